"""Connections to targets: one exchange owns a connection until it is whole.

httpcore closes a connection whose exchange was cancelled, cut or cut short,
so an answer that comes late can never reach another request.
"""

import enum
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import httpcore
import trio

from kingcupvane.asgi import Send
from kingcupvane.version.items import Target

CONNECTIONS_PER_TARGET = 64
KEEP_ALIVE_S = 30.0
CONNECT_TIMEOUT_S = 1.0
NOT_RUN_HEADER = "not-run"
SERVICE_UNAVAILABLE = 503
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "upgrade", "te"}
)


class FailureKind(enum.StrEnum):
    """Why an exchange gave no whole answer."""

    NOT_SENT = "not-sent"
    SHED = "shed"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """A request as a target gets it; it never carries the caller's key.

    Attributes:
        method: HTTP method.
        path: Path within the service, with the query.
        headers: Header values by name.
        body: The whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetResponse:
    """A whole answer, held in memory or already passed on.

    Attributes:
        status: HTTP status code.
        headers: Header pairs without those of the connection.
        body: The body, empty when it was streamed.
        streamed: Whether the caller has it already.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    streamed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """An exchange without a whole answer.

    Attributes:
        kind: Class of the failure.
        detail: What was seen.
        response_started: Whether the caller already has a part of the answer.
    """

    kind: FailureKind
    detail: str
    response_started: bool = False


class ResponseSink:
    """Passes a large or endless answer on to the caller as it comes."""

    def __init__(self, *, send: Send):
        """Wraps the caller's ASGI send function."""
        self._send = send
        self.response_started = False

    async def begin(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Sends status and headers."""
        self.response_started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        """Ends the body."""
        await self._send({"type": "http.response.body", "body": b""})


class TargetClient:
    """Carries requests to targets."""

    def __init__(self, *, whole_max_bytes: int):
        """Makes a client.

        Args:
            whole_max_bytes: Answers up to this size are read whole first.
        """
        self._whole_max_bytes = whole_max_bytes
        self._pools_by_address: dict[str, httpcore.AsyncConnectionPool] = {}

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools_by_address.values():
            await pool.aclose()

    async def exchange(
        self,
        target: Target,
        target_request: TargetRequest,
        sink: ResponseSink | None,
    ) -> TargetResponse | Failure:
        """Sends a request and reads its whole answer.

        Args:
            target: Where to send it.
            target_request: The request.
            sink: Takes answers that are too large to hold; without one they
                are held all the same.
        """
        pool = self._pool(target.address)
        headers = {
            **target_request.headers,
            "host": target.address,
            "content-length": str(len(target_request.body)),
        }
        try:
            async with pool.stream(
                target_request.method,
                f"http://{target.address}{target_request.path}",
                headers=headers,
                content=target_request.body,
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
            ) as response:
                return await self._read(response, sink)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Failure(kind=FailureKind.NOT_SENT, detail=_error_name(error))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            response_started = sink is not None and sink.response_started
            return Failure(
                kind=FailureKind.BROKEN,
                detail=_error_name(error),
                response_started=response_started,
            )

    async def is_listening(self, target: Target) -> bool:
        """Returns whether a target takes connections."""
        host, _, port = target.address.rpartition(":")
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return False
            await stream.aclose()
            return True
        return False

    async def _read(
        self, response: httpcore.Response, sink: ResponseSink | None
    ) -> TargetResponse | Failure:
        headers = [
            (name.lower(), value)
            for name, value in response.headers
            if name.lower().decode() not in HOP_BY_HOP_HEADERS
        ]
        headers_by_name = dict(headers)
        parts: list[bytes] = []
        size = 0
        chunks = response.aiter_stream()
        async for chunk in chunks:
            parts.append(chunk)
            size += len(chunk)
            if sink is not None and size > self._whole_max_bytes:
                await self._stream_to_sink(
                    response.status, headers, parts, chunks, sink
                )
                return TargetResponse(
                    status=response.status,
                    headers=headers,
                    body=b"",
                    streamed=True,
                )
        if (
            response.status == SERVICE_UNAVAILABLE
            and NOT_RUN_HEADER.encode() in headers_by_name
        ):
            return Failure(kind=FailureKind.SHED, detail="shed")
        return TargetResponse(
            status=response.status, headers=headers, body=b"".join(parts)
        )

    async def _stream_to_sink(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        parts: list[bytes],
        rest: AsyncIterator[bytes],
        sink: ResponseSink,
    ) -> None:
        await sink.begin(status, headers)
        for part in parts:
            await sink.write(part)
        async for chunk in rest:
            await sink.write(chunk)
        await sink.end()

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=CONNECTIONS_PER_TARGET,
                max_keepalive_connections=CONNECTIONS_PER_TARGET,
                keepalive_expiry=KEEP_ALIVE_S,
            )
            self._pools_by_address[address] = pool
        return pool


def _error_name(error: Exception) -> str:
    return type(error).__name__
