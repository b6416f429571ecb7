"""ASGI requests and responses of the HTTP servers in this package."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Handler = Callable[["HttpRequest", Send], Awaitable[None]]

JSON_TYPE = "application/json"


class BodyTooLargeError(Exception):
    """The request body is larger than the server accepts."""


class BodyTooSlowError(Exception):
    """The body came too slowly while other bodies needed its room."""


class NoRoomError(Exception):
    """The process has no room for the body now."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the exchange was complete."""


def never_disconnected() -> bool:
    """Returns False; for requests whose connection cannot be checked."""
    return False


def read_without_limit() -> None:
    """Does nothing; for requests whose connection has no limit to set."""


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """One HTTP request at an ASGI server.

    Attributes:
        method: HTTP method in upper case.
        path: Decoded path.
        query: Query string, not decoded.
        headers: Header values by lower-case name; the last one if repeated.
        receive: ASGI receive function, for the body and the disconnection.
        client_address: Address from which the caller connected, as host and
            port.
        raw_path_and_query: Path and query of the request line as sent, not
            decoded.
        header_pairs: All headers in the order received, with lower-case names.
        is_disconnected: Returns whether the caller has closed its
            connection, even if no read has reported that yet.
        limit_unread: Keeps what the kernel takes for the connection small,
            while the body is not read.
        queued_s: Time from the request's arrival to its handling, in seconds.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    receive: Receive
    client_address: str = ""
    raw_path_and_query: bytes = b""
    header_pairs: list[tuple[bytes, bytes]] = field(default_factory=list)
    is_disconnected: Callable[[], bool] = never_disconnected
    limit_unread: Callable[[], None] = read_without_limit
    queued_s: float = 0.0

    def has_body(self) -> bool:
        """Returns whether the headers announce a body."""
        return self.announced_bytes() > 0 or "transfer-encoding" in self.headers

    def announced_bytes(self) -> int:
        """Returns the announced length of the body; 0 without one."""
        text = self.headers.get("content-length", "")
        return int(text) if text.isdigit() else 0

    async def read_body(self, *, limit: int) -> bytes:
        """Reads the whole body.

        Args:
            limit: Largest accepted size, in bytes.

        Raises:
            BodyTooLargeError: The body is larger than `limit`.
            CallerDisconnectedError: The caller disconnected before the
                end of the body.
        """
        parts = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                raise BodyTooLargeError
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    async def wait_disconnected(self) -> None:
        """Waits until the caller has closed its connection."""
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return

    async def cancel_when_disconnected(self, scope: trio.CancelScope) -> None:
        """Waits until the caller has disconnected and cancels a scope."""
        await self.wait_disconnected()
        scope.cancel()


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        body: Body of the response.
        content_type: Media type of the body.
        headers: Additional headers by lower-case name.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(default_factory=dict)

    async def send(self, send: Send) -> None:
        """Sends the response with its whole body in one message."""
        pairs = [
            (b"content-type", self.content_type.encode()),
            (b"content-length", str(len(self.body)).encode()),
        ]
        for name, value in self.headers.items():
            pairs.append((name.encode(), value.encode()))
        await send(
            {
                "type": "http.response.start",
                "status": self.status,
                "headers": pairs,
            }
        )
        await send({"type": "http.response.body", "body": self.body})


def json_response(value: object, *, status: int = 200) -> HttpResponse:
    """Returns a response whose body is `value` in JSON."""
    return HttpResponse(status=status, body=msgspec.json.encode(value))
