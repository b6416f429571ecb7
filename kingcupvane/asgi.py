"""Helpers over ASGI and hypercorn that every HTTP server here shares."""

import ssl
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Handler = Callable[["HttpRequest", Send], Awaitable[None]]

JSON_TYPE = "application/json"
KEEP_ALIVE_S = 75.0
BACKLOG = 1024
REQUESTS_PER_CONNECTION = 1_000_000


class BodyTooLargeError(Exception):
    """The caller sent more bytes than the server takes."""


class CallerGoneError(Exception):
    """The caller closed its connection before its request was whole."""


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
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    receive: Receive
    connection: str = ""
    target: bytes = b""
    header_pairs: list[tuple[bytes, bytes]] = field(default_factory=list)

    async def read_body(self, *, limit: int) -> bytes:
        """Reads the whole body.

        Args:
            limit: Largest size taken, in bytes.

        Raises:
            BodyTooLargeError: The body is larger than `limit`.
            CallerGoneError: The connection ended before the body did.
        """
        parts = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
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


def application(handler: Handler) -> Callable[..., Awaitable[None]]:
    """Wraps a handler of HTTP requests as an ASGI application."""

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        client = scope.get("client") or ("", 0)
        request = HttpRequest(
            method=scope["method"],
            path=scope["path"],
            query=scope["query_string"].decode("latin-1"),
            headers={
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            receive=receive,
            connection=f"{client[0]}:{client[1]}",
            target=_raw_target(scope),
            header_pairs=list(scope["headers"]),
        )
        await handler(request, send)

    return app


def _raw_target(scope: dict[str, Any]) -> bytes:
    path = scope.get("raw_path") or scope["path"].encode()
    query = scope["query_string"]
    return path + b"?" + query if query else path


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


async def serve(
    handler: Handler,
    *,
    address: str,
    stop: trio.Event,
    graceful_s: float = 60.0,
    certificate: str = "",
    private_key: str = "",
    config: hypercorn.config.Config | None = None,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves HTTP until `stop` is set and the requests in flight have ended.

    Args:
        handler: Called for each request.
        address: Host and port to listen on.
        stop: Refuses new connections once set.
        graceful_s: Longest wait for requests in flight, in seconds.
        certificate: Path of a PEM certificate chain; empty for plain HTTP.
        private_key: Path of the PEM key that belongs to it.
        config: Settings that the caller may change while it serves.
        task_status: Reports when the port is bound.
    """
    config = config or hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.graceful_timeout = graceful_s
    config.shutdown_timeout = graceful_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = REQUESTS_PER_CONNECTION
    config.include_server_header = False
    config.alpn_protocols = ["http/1.1"]
    if certificate:
        config.certfile = certificate
        config.keyfile = private_key
        config.verify_mode = ssl.CERT_NONE
    await hypercorn.trio.serve(
        application(handler),
        config,
        shutdown_trigger=stop.wait,
        mode="asgi",
        task_status=task_status,
    )
