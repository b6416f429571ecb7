"""HTTP client of entries for targets; gateways use `target_connection`.

Each exchange opens a connection of its own. httpcore keeps bytes that follow a
complete response and would take them for the response to the next request on
that connection: a faulty target may send a response twice, or repeat an earlier
refusal.
"""

import enum
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import httpcore
import trio

from kingcupvane.asgi import Send
from kingcupvane.connection.bounded_response import add_chunk
from kingcupvane.connection.request_body import Body
from kingcupvane.connection.reset_detection import ResetDetectingConnector
from kingcupvane.connection.response_buffer import (
    AnswerTooLargeError,
    PartialResponse,
    ResponseMemoryBudget,
    announced_bytes,
    check_announced_size,
)
from kingcupvane.connection.response_status import (
    InvalidStatusError,
    check_final_status,
)
from kingcupvane.version.items import Target

CONNECTIONS_PER_TARGET = 64
CONNECT_TIMEOUT_S = 1.0
# Response header of a target that has not run the request.
NOT_RUN_HEADER = "not-run"
SERVICE_UNAVAILABLE = 503
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "upgrade", "te"}
)


class ExchangeFailureKind(enum.StrEnum):
    """Why an exchange gave no complete response.

    `NOT_SENT`: no connection could be opened. `SHED`: the target refused the
    request and has not run it. `BROKEN`: the connection failed or the response
    was invalid. `TIMEOUT`: the time for the exchange was over.
    """

    NOT_SENT = "not-sent"
    SHED = "shed"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """A request as it is sent to a target, without the caller's key.

    Attributes:
        method: HTTP method.
        path: Path within the service, with the query.
        headers: Header values by name.
        body: The complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: Body


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetResponse:
    """A complete response, held in memory or already streamed.

    Attributes:
        status: HTTP status code.
        headers: Header pairs without hop-by-hop headers.
        body: The body; empty if it was streamed.
        streamed: Whether it has already been sent to the caller.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    streamed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeFailure:
    """An exchange that gave no complete response.

    Attributes:
        kind: Class of the failure.
        detail: Name of the error, `shed`, or `deadline` for a timeout.
        response_started: Whether a part of the response has already been sent
            to the caller.
    """

    kind: ExchangeFailureKind
    detail: str
    response_started: bool = False


class ResponseSink:
    """Streams a large or endless response to the caller.

    Attributes:
        response_started: Whether the head has been sent.
    """

    def __init__(self, *, send: Send):
        """Wraps the caller's ASGI send function."""
        self._send = send
        self.response_started = False

    async def begin(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Sends the status and the headers."""
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
    """Sends requests to targets, over one pool for each address.

    A pool limits the connections to its address; it keeps none of them.
    """

    def __init__(
        self,
        *,
        whole_max_bytes: int,
        memory: ResponseMemoryBudget | None = None,
    ):
        """Makes a client.

        Args:
            whole_max_bytes: Largest response body that is buffered; larger ones
                are streamed.
            memory: Budget of the process for responses; one of its own if None.
        """
        self._whole_max_bytes = whole_max_bytes
        self._memory = memory or ResponseMemoryBudget()
        self._connector = ResetDetectingConnector()
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
    ) -> TargetResponse | ExchangeFailure:
        """Sends a request and reads the complete response.

        Args:
            target: Target to send it to.
            target_request: The request.
            sink: Receives responses that are too large to buffer; if None,
                they are buffered, too.

        Returns:
            The response, or why there is no complete one. Only connecting has
            a timeout here.
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
            return ExchangeFailure(
                kind=ExchangeFailureKind.NOT_SENT, detail=_error_name(error)
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            AnswerTooLargeError,
            InvalidStatusError,
        ) as error:
            response_started = sink is not None and sink.response_started
            return ExchangeFailure(
                kind=ExchangeFailureKind.BROKEN,
                detail=_error_name(error),
                response_started=response_started,
            )

    async def is_listening(self, target: Target) -> bool:
        """Returns whether a target accepts connections."""
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
    ) -> TargetResponse | ExchangeFailure:
        check_final_status(response.status)
        headers = [
            (name.lower(), value)
            for name, value in response.headers
            if name.lower().decode() not in HOP_BY_HOP_HEADERS
        ]
        headers_by_name = dict(headers)
        partial = PartialResponse(memory=self._memory)
        try:
            if sink is None:
                check_announced_size(response.headers)
            await partial.wait_for_room(announced_bytes(response.headers))
            size = 0
            chunks = response.aiter_stream()
            async for chunk in chunks:
                await add_chunk(partial, chunk)
                size += len(chunk)
                if sink is not None and size > self._whole_max_bytes:
                    await self._stream_to_sink(
                        response.status,
                        headers,
                        partial.body,
                        chunks,
                        sink,
                    )
                    return TargetResponse(
                        status=response.status,
                        headers=headers,
                        body=b"",
                        streamed=True,
                    )
            body = partial.body
        finally:
            partial.close()
        if (
            response.status == SERVICE_UNAVAILABLE
            and NOT_RUN_HEADER.encode() in headers_by_name
        ):
            return ExchangeFailure(kind=ExchangeFailureKind.SHED, detail="shed")
        return TargetResponse(
            status=response.status, headers=headers, body=body
        )

    async def _stream_to_sink(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        beginning: bytes,
        rest: AsyncIterator[bytes],
        sink: ResponseSink,
    ) -> None:
        await sink.begin(status, headers)
        await sink.write(beginning)
        async for chunk in rest:
            await sink.write(chunk)
        await sink.end()

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=CONNECTIONS_PER_TARGET,
                max_keepalive_connections=0,
                network_backend=self._connector,
            )
            self._pools_by_address[address] = pool
        return pool


def _error_name(error: Exception) -> str:
    return type(error).__name__
