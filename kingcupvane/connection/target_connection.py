"""Pooled HTTP/1.1 connections of gateways to targets.

A connection carries one exchange at a time. httpcore, which the entry's
`TargetClient` uses, keeps bytes that follow a complete response and would take
them for the next one, and it reads no response before the whole request body is
sent. So this module drives h11, the parser below httpcore, directly. It closes
a connection on which anything but one complete response arrived.
"""

import contextlib
import select
import socket
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field

import h11
import trio

from kingcupvane.clock import Clock
from kingcupvane.connection.request_body import Body, blocks_of
from kingcupvane.connection.response_buffer import (
    AnswerTooLargeError,
    PartialResponse,
    ResponseMemoryBudget,
    announced_bytes,
)
from kingcupvane.connection.response_status import (
    InvalidStatusError,
    check_final_status,
)

# Most bytes read from a socket at a time.
RECEIVE_CHUNK_BYTES = 65536
# Bytes read with the head of a response: it may then have to wait for room.
FIRST_CHUNK_BYTES = 16384
# Bodies up to this size are sent before the response is read; larger ones while
# it is read.
INLINE_BODY_BYTES = 16384
CONNECT_TIMEOUT_S = 0.4
# Size of the kernel's receive buffer for each connection to a target.
RECEIVE_BUFFER_BYTES = 256 * 1024
# Time after which the kernel drops a connection with unacknowledged bytes.
TCP_USER_TIMEOUT_MS = 4000
# Idle time after which a connection is closed unless the target's keep-alive
# timeout asks for less.
DEFAULT_IDLE_MAX_S = 6.0
# Share of the target's keep-alive timeout for which a connection is kept idle.
KEEP_ALIVE_SHARE = 0.6
# Longest idle time after which a connection still carries a request that must
# not run twice.
RECENTLY_USED_IDLE_MAX_S = 0.7
# SO_LINGER enabled with a time of 0: closing the socket sends a reset.
ZERO_LINGER = struct.pack("ii", 1, 0)
# Scheduler rounds after which an error that the kernel has returned to another
# task is known: trio hands it over in the round after the call.
ROUNDS_UNTIL_ERROR_IS_KNOWN = 2


class ConnectFailedError(Exception):
    """No connection could be opened, so no request was sent."""


class ExchangeBrokenError(Exception):
    """A request was sent, but no complete response was received."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WireRequest:
    """A request as it is sent to a target.

    Attributes:
        method: HTTP method.
        path: Path and query as the caller sent them.
        headers: Header pairs, without Content-Length and hop-by-hop headers.
        body: The complete body.
    """

    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: Body


@dataclass(frozen=True, kw_only=True, slots=True)
class WireResponse:
    """A complete response of a target.

    Attributes:
        status: HTTP status code.
        headers: Header pairs without hop-by-hop headers, names in lower case.
        body: The complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header, or None if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(kw_only=True, slots=True, eq=False)
class TargetConnection:
    """A connection to a target; it carries one exchange at a time.

    Attributes:
        stream: The TCP stream.
        memory: Budget shared by the incomplete responses of all connections.
        parser: HTTP state of the connection.
        idle_since: Monotonic time at which the last exchange ended, in seconds.
        idle_max_s: Longest idle time, in seconds; 0 if the connection must not
            be reused.
        has_carried_refusal: Whether the target refused a request on it without
            running it. Such a response names no request, so a faulty target
            that repeats it seems to refuse the next request, too.
    """

    stream: trio.SocketStream
    memory: ResponseMemoryBudget
    parser: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )
    idle_since: float = 0.0
    idle_max_s: float = DEFAULT_IDLE_MAX_S
    has_carried_refusal: bool = False
    _is_sending: bool = field(default=False, init=False)
    _send_failed: bool = field(default=False, init=False)

    def is_reusable(self) -> bool:
        """Returns whether no unread bytes and no close have arrived."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def exchange(self, request: WireRequest) -> WireResponse:
        """Sends a request and reads its response, without a timeout.

        Raises:
            ExchangeBrokenError: The connection broke, or the response is
                incomplete, invalid or too large.
        """
        try:
            return await self._exchange(request)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
            AnswerTooLargeError,
            InvalidStatusError,
        ) as error:
            raise ExchangeBrokenError(
                f"{type(error).__name__}: {error}"
            ) from error

    async def _exchange(self, request: WireRequest) -> WireResponse:
        length = str(len(request.body)).encode()
        head = self.parser.send(
            h11.Request(
                method=request.method,
                target=request.path,
                headers=[*request.headers, (b"content-length", length)],
            )
        )
        # Only counted: with a length, a body is sent as it is.
        self.parser.send_with_data_passthrough(h11.Data(data=request.body))
        self.parser.send(h11.EndOfMessage())
        if len(request.body) <= INLINE_BODY_BYTES:
            await self.stream.send_all(head + request.body)
            return await self._read()
        return await self._read_while_sending(head, request.body)

    async def _read_while_sending(
        self, head: bytes, body: Body
    ) -> WireResponse:
        """Sends a large request while already reading the response.

        If the response is complete first, the rest of the body is not sent.
        """
        response: WireResponse | None = None
        failure: Exception | None = None
        self._is_sending = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, head, body)
            try:
                response = await self._read()
            except (
                ExchangeBrokenError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.ProtocolError,
                AnswerTooLargeError,
                InvalidStatusError,
            ) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if self._is_sending:
            self.idle_max_s = 0.0
        if response is None:
            raise failure or ExchangeBrokenError("the target sent no answer")
        return response

    async def _send(self, head: bytes, body: Body) -> None:
        try:
            unsent_head = head
            for block in blocks_of(body):
                await self.stream.send_all(unsent_head + block)
                unsent_head = b""
            self._is_sending = False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The reader learns of it at the end of the input.
            self._send_failed = True

    async def _read(self) -> WireResponse:
        partial = PartialResponse(memory=self.memory)
        try:
            await self._read_into(partial)
            return self._finish(partial)
        finally:
            partial.close()

    async def _read_into(self, partial: PartialResponse) -> None:
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self._receive())
            elif isinstance(event, h11.Response):
                check_final_status(event.status_code)
                partial.set_head(event)
                await partial.wait_for_room(announced_bytes(event.headers))
            elif isinstance(event, h11.Data):
                if partial.add(bytes(event.data)):
                    await trio.lowlevel.checkpoint()
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.InformationalResponse):
                partial.count_interim()
            else:
                raise ExchangeBrokenError("the target closed the connection")

    async def _receive(self) -> bytes:
        """Receives bytes; there are none at the end of the input.

        The kernel reports a reset once. If the sending task gets it, a read
        finds an end of file, which would complete a response without a length.

        Raises:
            ExchangeBrokenError: The end is that of a reset connection.
        """
        is_body = self.parser.their_state is h11.SEND_BODY
        data = await self.stream.receive_some(
            RECEIVE_CHUNK_BYTES if is_body else FIRST_CHUNK_BYTES
        )
        if not data and self._is_sending:
            for _ in range(ROUNDS_UNTIL_ERROR_IS_KNOWN):
                await trio.lowlevel.checkpoint()
            if self._send_failed:
                raise ExchangeBrokenError("reset while the body was sent")
        return bytes(data)

    def _finish(self, partial: PartialResponse) -> WireResponse:
        response = partial.response
        if response is None:
            raise ExchangeBrokenError("the target sent no answer")
        headers = [(bytes(n), bytes(v)) for n, v in response.headers]
        self._apply_keep_alive(headers)
        self._start_next_cycle()
        return WireResponse(
            status=response.status_code,
            headers=end_to_end_headers(headers),
            body=partial.body,
        )

    def _apply_keep_alive(self, headers: list[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                seconds = value.partition(b"timeout=")[2].partition(b",")[0]
                if seconds.strip().isdigit():
                    self.idle_max_s = min(
                        self.idle_max_s, KEEP_ALIVE_SHARE * int(seconds)
                    )

    def _start_next_cycle(self) -> None:
        parser = self.parser
        complete = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        if not complete or parser.trailing_data[0]:
            self.idle_max_s = 0.0
            return
        parser.start_next_cycle()


HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers without the hop-by-hop ones."""
    connection_options = {
        word.strip().lower()
        for name, value in headers
        if name == b"connection"
        for word in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [(n, v) for n, v in headers if n not in dropped]


class ConnectionPool:
    """Idle connections for reuse, by target.

    Attributes:
        opened: Number of connections opened since the start.
    """

    def __init__(
        self, *, clock: Clock, memory: ResponseMemoryBudget | None = None
    ):
        """Starts without connections.

        Args:
            clock: Monotonic clock.
            memory: Budget shared by all incomplete responses.
        """
        self._clock = clock
        self._memory = memory or ResponseMemoryBudget()
        self._idle_by_target: dict[str, list[TargetConnection]] = {}
        self.opened = 0

    async def acquire(
        self, target: str, address: str, *, is_idempotent: bool
    ) -> TargetConnection:
        """Returns a connection for exclusive use, reused or new.

        Args:
            target: Name of the target; connections are not shared between
                targets.
            address: Host and port of the target.
            is_idempotent: Whether the request may run twice. Others reuse only
                connections that have carried no refusal and have been idle for
                less than `RECENTLY_USED_IDLE_MAX_S`: the target may close a
                connection that has been idle for longer, and after a reset it
                would be unknown whether the request has run.

        Raises:
            ConnectFailedError: No connection to the target could be opened.
        """
        now = self._clock.now()
        idle_connections = self._idle_by_target.get(target, [])
        while idle_connections:
            connection = idle_connections.pop()
            idle_s = now - connection.idle_since
            idle_limit_s = connection.idle_max_s
            if not is_idempotent:
                idle_limit_s = min(idle_limit_s, RECENTLY_USED_IDLE_MAX_S)
                if connection.has_carried_refusal:
                    idle_limit_s = 0.0
            if idle_s < idle_limit_s and connection.is_reusable():
                return connection
            await trio.aclose_forcefully(connection.stream)
        self.opened += 1
        return TargetConnection(
            stream=await connect(address), memory=self._memory
        )

    async def release(self, target: str, connection: TargetConnection) -> None:
        """Returns a connection to the pool after a complete exchange.

        Closes it instead if it must not be reused.
        """
        if connection.idle_max_s <= 0.0:
            await trio.aclose_forcefully(connection.stream)
            return
        connection.idle_since = self._clock.now()
        self._idle_by_target.setdefault(target, []).append(connection)

    async def close_expired(self, targets: Mapping[str, object]) -> None:
        """Closes connections idle for too long and those of removed targets.

        Args:
            targets: The registered targets, by name.
        """
        now = self._clock.now()
        for target, idle_connections in list(self._idle_by_target.items()):
            kept = []
            for connection in idle_connections:
                idle_s = now - connection.idle_since
                if target in targets and idle_s < connection.idle_max_s:
                    kept.append(connection)
                else:
                    await trio.aclose_forcefully(connection.stream)
            if kept:
                self._idle_by_target[target] = kept
            else:
                del self._idle_by_target[target]


async def abort(stream: trio.SocketStream) -> None:
    """Resets a connection, so that bytes in flight are dropped.

    After a plain close during a network partition, the kernel would still
    deliver the request once the partition heals, long after its caller has
    disconnected.
    """
    with contextlib.suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    await trio.aclose_forcefully(stream)


async def connect(address: str) -> trio.SocketStream:
    """Opens a TCP connection.

    Args:
        address: Host and port.

    Raises:
        ConnectFailedError: The connection failed or was not open within
            `CONNECT_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await sock.connect((host, int(port)))
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        raise ConnectFailedError(f"{type(error).__name__}: {error}") from error
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
