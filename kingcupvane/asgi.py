"""Requests and answers of the HTTP servers here, in the form of ASGI."""

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
    """The caller sent more bytes than the server takes."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its exchange was whole."""


def never_disconnected() -> bool:
    """Says that a caller is there, where nobody can ask its connection."""
    return False


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """One HTTP request at an ASGI server.

    Attributes:
        method: Upper-case HTTP method.
        path: Decoded path.
        query: Raw query string.
        headers: Header values by lower-case name; the last one wins.
        receive: ASGI receive function, for the body and the disconnection.
        connection: Address of the client, as host and port.
        target: Path and query as they were sent, not decoded.
        header_pairs: All headers in their order, names in lower case.
        is_disconnected: Returns whether the caller has closed its
            connection, also where nobody has read that yet.
        waited_s: Time for which it lay in the process, in seconds.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    receive: Receive
    connection: str = ""
    target: bytes = b""
    header_pairs: list[tuple[bytes, bytes]] = field(default_factory=list)
    is_disconnected: Callable[[], bool] = never_disconnected
    waited_s: float = 0.0

    async def read_body(self, *, limit: int) -> bytes:
        """Reads the whole body.

        Args:
            limit: Largest size taken, in bytes.

        Raises:
            BodyTooLargeError: The body is larger than `limit`.
            CallerDisconnectedError: The connection ended before the body did.
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

    async def wait_closed(self) -> None:
        """Returns when the caller has closed its connection."""
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return

    async def cancel_when_closed(self, scope: trio.CancelScope) -> None:
        """Cancels a scope when the caller has closed its connection."""
        await self.wait_closed()
        scope.cancel()


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        body: The bytes of the body.
        content_type: Media type of the body.
        headers: Further headers by lower-case name.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(default_factory=dict)

    async def send(self, send: Send) -> None:
        """Sends the answer in one piece."""
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
    """Returns an answer whose body is `value` as JSON."""
    return HttpResponse(status=status, body=msgspec.json.encode(value))
