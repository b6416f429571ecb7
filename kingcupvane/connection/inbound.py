"""Server side of one caller's HTTP/1.1 connection.

hypercorn reads a connection through two queues and does not expose its socket,
so a handler learns late that its caller has disconnected and cannot check for
it. Therefore this module drives h11, the parser below hypercorn, directly.
"""

import contextlib
import select
import socket
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import h11
import trio
from loguru import logger

from kingcupvane import asgi
from kingcupvane.connection.memory_budget import (
    CONNECTION_BYTES,
    LEAST_RATE_BYTES_PER_S,
    MEBIBYTE,
    Account,
    BodyBudget,
    ResponseMemoryBudget,
)
from kingcupvane.connection.round_limiter import RoundLimiter
from kingcupvane.connection.target_connection import RECEIVE_CHUNK_BYTES, abort

# Largest request line and headers together.
HEAD_MAX_BYTES = 65536
# Default keep-alive timeout of a caller's connection.
DEFAULT_KEEP_ALIVE_S = 75.0
# Time that a connection accepted during shutdown may stay idle; those that are
# idle when the shutdown begins are closed at once.
SHUTDOWN_IDLE_S = 0.3
# Longest time for reading what the caller still sends after its response.
DRAIN_TIMEOUT_S = 1.0
# Most bytes that are read then: the rest of a body of usual largest size.
DRAIN_MAX_BYTES = 64 * MEBIBYTE
# A response to a request with more of its body unread closes the connection.
DRAIN_FOR_REUSE_MAX_BYTES = MEBIBYTE
# Bytes of a head read at a time.
HEAD_CHUNK_BYTES = 16384
# Bytes that the kernel takes for a connection which is not being read.
UNREAD_MAX_BYTES = 65536
# Chunks of a body that are joined if they are smaller than this, and how many
# before other tasks get their turn.
TINY_CHUNK_BYTES = 1024
JOINED_CHUNKS_MAX = 32
# Longest time in which a caller takes a response, in seconds, in addition to
# what the least rate allows for its size.
WRITE_TIMEOUT_S = 30.0
# Parts of a response that are joined for one write.
JOINED_WRITE_MAX_BYTES = 16384
# Time from which an incomplete head loses its place to a new connection.
HEAD_LATE_S = 2.0
# Limits of the connections where no process has set them.
DEFAULT_CONNECTIONS_MAX = 2000
DEFAULT_CONNECTIONS_BYTES = 64 * MEBIBYTE
# Bytes of pipelined requests from which no more are read ahead.
READ_AHEAD_MAX_BYTES = 16384
# Time that more bytes may wait unread behind those read ahead. A caller's close
# can't arrive behind them, so they are dropped then and the next response
# closes the connection, which tells the caller to send them again.
UNREAD_MAX_S = 0.2
# Most bytes dropped on a connection.
DROPPED_MAX_BYTES = 1024 * 1024
# Most arrival times that are kept of bytes that have not been parsed.
ARRIVALS_MAX = 64
# Period of the disconnect check while unread bytes keep the socket readable.
DISCONNECT_POLL_S = 0.05
TLS_HANDSHAKE_TIMEOUT_S = 10.0
NO_BODY_STATUSES = (204, 304)
BAD_REQUEST = 400
INTERNAL_ERROR = 500
# Errors that are raised when the caller or the network breaks the connection.
CONNECTION_ERRORS = (
    asgi.CallerDisconnectedError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
DISCONNECT = {"type": "http.disconnect"}


@dataclass(kw_only=True, slots=True)
class ServerState:
    """State shared by the connections of one server.

    Attributes:
        stop: Set when the server shuts down.
        keep_alive_s: Longest idle time of a connection, in seconds.
        accepted: Number of connections accepted since the start.
        accept_batch_size: Number of connections accepted in the last batch.
        idle_scopes: Cancel scopes of the connections that wait for a request,
            the longest wait first.
        head_scopes: Cancel scopes of the connections whose head is incomplete,
            with its monotonic arrival time, the earliest first.
        round_limiter: Limits how many requests start in one scheduler round.
        head_max_bytes: Largest request line and headers together.
        head_timeout_s: Longest time from the first byte of a head to its end.
        open_count: Number of open connections.
        connections_max: Most open connections.
        memory: Memory of the connections and of what they have sent ahead.
        bodies: Room for request bodies; slow ones give way to new connections.
        responses: Room for responses; those that callers do not take give way,
            too.
    """

    stop: trio.Event = field(default_factory=trio.Event)
    keep_alive_s: float = DEFAULT_KEEP_ALIVE_S
    accepted: int = 0
    accept_batch_size: int = 0
    idle_scopes: dict[trio.CancelScope, None] = field(default_factory=dict)
    head_scopes: dict[trio.CancelScope, float] = field(default_factory=dict)
    round_limiter: RoundLimiter = field(default_factory=RoundLimiter)
    head_max_bytes: int = HEAD_MAX_BYTES
    head_timeout_s: float = DEFAULT_KEEP_ALIVE_S
    open_count: int = 0
    connections_max: int = DEFAULT_CONNECTIONS_MAX
    memory: Account = field(
        default_factory=lambda: Account(max_bytes=DEFAULT_CONNECTIONS_BYTES)
    )
    bodies: BodyBudget | None = None
    responses: ResponseMemoryBudget | None = None

    def free_places(self) -> int:
        """Returns how many more connections may be accepted now."""
        if self.memory.is_full():
            return 0
        return max(0, self.connections_max - self.open_count)

    def make_place(self, now: float) -> bool:
        """Ends what can best be spared; returns whether there was anything.

        That is a head that stays incomplete, else the connection that has been
        idle for longest, else a request whose body comes too slowly, else a
        response that its caller does not take.

        Args:
            now: Monotonic time in seconds.
        """
        scope, arrived_at = next(iter(self.head_scopes.items()), (None, now))
        if scope is not None and now - arrived_at >= HEAD_LATE_S:
            del self.head_scopes[scope]
            scope.cancel()
            return True
        scope = next(iter(self.idle_scopes), None)
        if scope is not None:
            del self.idle_scopes[scope]
            scope.cancel()
            return True
        if self.bodies is not None and self.bodies.evict_latest(now):
            return True
        return self.responses is not None and self.responses.evict_stalled(now)


class InboundConnection:
    """Reads requests from one connection and sends the responses."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream | trio.SSLStream,
        transport: trio.SocketStream,
        handler: asgi.Handler,
        state: ServerState,
        client_address: str,
    ):
        """Makes a connection; `run` serves it.

        Args:
            stream: Stream of the HTTP bytes, with or without TLS.
            transport: TCP stream below it; `stream` itself without TLS.
            handler: Called for each request.
            state: State shared by all connections of the server.
            client_address: Address from which the caller connected, as host and
                port.
        """
        self._stream = stream
        self._transport = transport
        self._handler = handler
        self._state = state
        self._client_address = client_address
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=state.head_max_bytes
        )
        self._hangup_poll = _make_poll(transport, select.POLLRDHUP)
        self._request_head: h11.Request | None = None
        self._response_start: dict[str, Any] | None = None
        self._status = 0
        self._arrived_at = 0.0
        self._received_bytes = 0
        # Unparsed bytes that count as memory of the connection.
        self._ahead_bytes = 0
        self._unread_body_bytes = 0
        # End offset and arrival time of chunks that may hold unparsed bytes.
        self._chunks: deque[tuple[int, float]] = deque()
        self._drops_input = False
        self._dropped_bytes = 0
        self._response_started = False
        self._response_sent = False
        self._connection_lost = False

    def is_disconnected(self) -> bool:
        """Returns whether the caller has closed its side of the connection.

        Asks the kernel, which knows of the close before a read reports it.
        """
        if self._connection_lost or self._transport.socket.fileno() < 0:
            return True
        return bool(self._hangup_poll.poll(0))

    async def run(self) -> None:
        """Serves requests until either side closes; raises no errors.

        An error on one connection must not end those of other callers.
        """
        self._state.memory.used_bytes += CONNECTION_BYTES
        try:
            await self._serve_all()
        except CONNECTION_ERRORS as error:
            self._log_broken(error)
        except Exception as error:
            logger.opt(exception=error).error(
                "event=caller-connection-crashed peer={}", self._client_address
            )
        finally:
            self._state.memory.used_bytes -= CONNECTION_BYTES
            self._charge_ahead(0)
            await self._close()

    async def _serve_all(self) -> None:
        if self._stream is not self._transport:
            with trio.fail_after(TLS_HANDSHAKE_TIMEOUT_S):
                await self._stream.do_handshake()
        while await self._serve_next():
            pass

    async def _close(self) -> None:
        try:
            await self._stream.aclose()
        except Exception as error:
            self._log_broken(error)
            await trio.aclose_forcefully(self._transport)

    def _log_broken(self, error: Exception) -> None:
        logger.debug(
            "event=caller-connection-broken peer={} why={!r}",
            self._client_address,
            error,
        )

    async def _serve_next(self) -> bool:
        """Serves one request; returns whether another one may follow."""
        try:
            head = await self._read_head()
        except h11.RemoteProtocolError as error:
            await self._send_empty_response(
                error.error_status_hint or BAD_REQUEST
            )
            await self._linger_until_closed()
            return False
        if head is None:
            return False
        self._request_head = head
        self._response_start = None
        self._response_started = False
        self._response_sent = False
        await self._handle(head)
        if not self._response_sent:
            await self._end_incomplete_response()
            return False
        return await self._start_next_cycle()

    async def _handle(self, head: h11.Request) -> None:
        try:
            await self._handler(self._make_request(head), self._send)
        except Exception as error:
            if self._connection_lost:
                return  # The caller disconnected during the response.
            logger.opt(exception=error).error(
                "event=request-crashed peer={} path={}",
                self._client_address,
                head.target.decode("latin-1"),
            )

    async def _end_incomplete_response(self) -> None:
        if self._response_started:
            # A reset, since a truncated response must not look complete.
            await abort(self._transport)
        elif not self.is_disconnected():
            await self._send_empty_response(INTERNAL_ERROR)

    async def _start_next_cycle(self) -> bool:
        """Prepares for the next request; returns whether it may be read."""
        parser = self._parser
        is_plain = self._stream is self._transport
        if parser.their_state is h11.SEND_BODY:
            must_close = parser.our_state is h11.MUST_CLOSE
            if not (is_plain and must_close) and await self._drain():
                pass
            elif is_plain:
                await self._linger_until_closed()
                return False
            else:
                return False
        if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            # Also during shutdown: this response has not announced the close,
            # the next one will.
            parser.start_next_cycle()
            return True
        if is_plain:
            # With TLS, an EOF before its closure alert would look like an
            # attack; closing the stream sends the alert.
            await self._linger_until_closed()
        return False

    async def _drain(self) -> bool:
        """Reads the rest of a request body; returns whether it is complete.

        Closing a socket with unread bytes would reset the connection, and the
        response might be lost.
        """
        if self._parser.they_are_waiting_for_100_continue:
            return False
        drained_bytes = 0
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while drained_bytes <= DRAIN_FOR_REUSE_MAX_BYTES:
                message = await self._receive()
                if message is DISCONNECT:
                    return False
                if not message["more_body"]:
                    return True
                drained_bytes += len(message["body"])
        return False

    async def _linger_until_closed(self) -> None:
        """Sends an EOF and discards input until the caller closes too.

        Pipelined requests may be unread or on their way. Without this wait,
        they would cause a reset, which could destroy the last response before
        the caller has read it.
        """
        remaining_bytes = DRAIN_MAX_BYTES
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            await self._transport.send_eof()
            while remaining_bytes > 0:
                data = await self._transport.receive_some(RECEIVE_CHUNK_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)

    async def _read_head(self) -> h11.Request | None:
        """Returns the head of the next request; None if there is none."""
        state = self._state
        idle_s = SHUTDOWN_IDLE_S if state.stop.is_set() else state.keep_alive_s
        deadline = trio.current_time() + idle_s
        if not self._parser.trailing_data[0]:
            first = await self._receive_first_bytes(deadline)
            if first == b"":
                return None
            if first is not None:
                self._feed(first)
            elif not _make_poll(self._transport, select.POLLIN).poll(0):
                return None
        self._arrived_at = self._take_arrival_time()
        await state.round_limiter.enter()
        now = trio.current_time()
        deadline = min(deadline, now + state.head_timeout_s)
        with trio.CancelScope(deadline=deadline) as scope:
            state.head_scopes[scope] = now
            try:
                event = await self._next_event()
            finally:
                state.head_scopes.pop(scope, None)
                self._charge_ahead(len(self._parser.trailing_data[0]))
            if isinstance(event, h11.Request):
                return event
        return None

    def _charge_ahead(self, size_bytes: int) -> None:
        """Counts the bytes that are held for the caller but not parsed."""
        self._state.memory.used_bytes += size_bytes - self._ahead_bytes
        self._ahead_bytes = size_bytes

    def _limit_unread(self) -> None:
        """Keeps what the kernel takes while this connection is not read."""
        with contextlib.suppress(OSError):
            self._transport.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_MAX_BYTES
            )

    def _take_arrival_time(self) -> float:
        """Returns the time at which the request to be read arrived.

        A pipelined one has waited for the response before it, and the time
        that its caller waits has been running since it arrived.
        """
        self._forget_parsed_chunks()
        return self._chunks[0][1] if self._chunks else trio.current_time()

    def _forget_parsed_chunks(self) -> None:
        unparsed_bytes = len(self._parser.trailing_data[0])
        first_byte = self._received_bytes - unparsed_bytes
        while len(self._chunks) > 1 and self._chunks[0][0] <= first_byte:
            self._chunks.popleft()

    def _feed(self, data: bytes) -> None:
        """Passes received bytes to the parser and notes when they arrived.

        Bytes that come in too many pieces count as arrived with the last piece
        that is kept.
        """
        if len(self._chunks) >= ARRIVALS_MAX:
            self._forget_parsed_chunks()
        arrived_at = trio.current_time()
        if len(self._chunks) >= ARRIVALS_MAX:
            arrived_at = self._chunks.pop()[1]
        self._parser.receive_data(data)
        self._received_bytes += len(data)
        self._chunks.append((self._received_bytes, arrived_at))

    async def _receive_first_bytes(self, deadline: float) -> bytes | None:
        """Returns received bytes, which are empty once the caller has closed.

        Returns None at the deadline or on shutdown. Bytes that arrive at that
        moment stay unread in the socket.
        """
        idle_scopes = self._state.idle_scopes
        with trio.CancelScope(deadline=deadline) as scope:
            idle_scopes[scope] = None
            try:
                return bytes(await self._stream.receive_some(HEAD_CHUNK_BYTES))
            finally:
                idle_scopes.pop(scope, None)
        return None

    async def _next_event(self) -> Any:
        parser = self._parser
        is_head = parser.their_state is h11.IDLE
        chunk_bytes = HEAD_CHUNK_BYTES if is_head else RECEIVE_CHUNK_BYTES
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            # What is unparsed belongs to this event, whose time is known.
            self._chunks.clear()
            data = await self._stream.receive_some(chunk_bytes)
            self._feed(bytes(data))
            if is_head:
                self._charge_ahead(self._ahead_bytes + len(data))
                if self._state.memory.is_full():
                    self._state.make_place(trio.current_time())

    async def _receive(self) -> dict[str, Any]:
        """Implements ASGI `receive`.

        Returns the next part of the body; after its end, waits until the
        caller disconnects.
        """
        parser = self._parser
        if parser.their_state is not h11.SEND_BODY:
            await self._wait_disconnected()
            return DISCONNECT
        try:
            if parser.they_are_waiting_for_100_continue:
                await self._write(
                    parser.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )
            event = await self._next_event()
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as error:
            self._connection_lost = True
            logger.debug(
                "event=request-cut peer={} why={}", self._client_address, error
            )
            return DISCONNECT
        if not isinstance(event, h11.Data):
            return {"type": "http.request", "body": b"", "more_body": False}
        body, more_body = bytes(event.data), True
        if len(body) < TINY_CHUNK_BYTES:
            body, more_body = await self._join_tiny_chunks(body)
        self._unread_body_bytes -= len(body)
        return {"type": "http.request", "body": body, "more_body": more_body}

    async def _join_tiny_chunks(self, first: bytes) -> tuple[bytes, bool]:
        """Returns a part with the chunks that follow it and have arrived.

        Returns:
            The joined chunks, and whether the body may go on.
        """
        joined = bytearray(first)
        for _ in range(JOINED_CHUNKS_MAX):
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                break  # The next call raises it again.
            if isinstance(event, h11.EndOfMessage):
                return bytes(joined), False
            if not isinstance(event, h11.Data):
                break
            joined += event.data
        else:
            # They cost much work, and there may be more without a wait.
            await trio.lowlevel.checkpoint()
        return bytes(joined), True

    async def _wait_disconnected(self) -> None:
        """Waits for the caller's close; reads pipelined requests meanwhile.

        Read ahead are `READ_AHEAD_MAX_BYTES` and what one call may add to them.
        """
        unread_since: float | None = None
        while True:
            await trio.lowlevel.wait_readable(self._transport.socket)
            if self.is_disconnected():
                return
            ahead_bytes = len(self._parser.trailing_data[0])
            self._charge_ahead(ahead_bytes)
            is_full = (
                ahead_bytes >= READ_AHEAD_MAX_BYTES
                or self._state.memory.is_full()
            )
            # Nothing behind dropped bytes may be parsed.
            drops = is_full or self._drops_input
            if not drops:
                unread_since = None
            elif unread_since is None:
                unread_since = trio.current_time()
            if drops and not self._may_drop(unread_since):
                self._limit_unread()
                await trio.sleep(DISCONNECT_POLL_S)
                continue
            # Before the read, since the response may be sent meanwhile.
            self._drops_input = drops
            data = await self._stream.receive_some(READ_AHEAD_MAX_BYTES)
            if not data:
                return
            if drops:
                self._dropped_bytes += len(data)
            else:
                self._feed(bytes(data))
                self._charge_ahead(ahead_bytes + len(data))

    def _may_drop(self, unread_since: float) -> bool:
        """Returns whether pipelined bytes may be read and dropped.

        The response must still be able to announce the connection's close.
        """
        if self._response_started or self._dropped_bytes >= DROPPED_MAX_BYTES:
            return False
        return trio.current_time() - unread_since >= UNREAD_MAX_S

    async def _send(self, message: dict[str, Any]) -> None:
        """Implements ASGI `send`; the head is sent with the first body part."""
        if message["type"] == "http.response.start":
            self._response_start = message
            return
        parser = self._parser
        parts = []
        if self._response_start is not None:
            parts.append(parser.send(self._make_response(self._response_start)))
            self._response_start = None
        body = message.get("body", b"")
        if body and self._may_have_body():
            parts += parser.send_with_data_passthrough(h11.Data(data=body))
        last = not message.get("more_body", False)
        if last:
            parts.append(parser.send(h11.EndOfMessage()))
        self._response_started = True
        await self._write_parts([part for part in parts if part])
        self._response_sent = last

    def _make_response(self, start: dict[str, Any]) -> h11.Response:
        headers = list(start.get("headers", []))
        is_body_unread = (
            self._parser.their_state is h11.SEND_BODY
            and self._unread_body_bytes > DRAIN_FOR_REUSE_MAX_BYTES
        )
        if self._state.stop.is_set() or self._drops_input or is_body_unread:
            headers.append((b"connection", b"close"))
        self._status = int(start["status"])
        return h11.Response(status_code=self._status, headers=headers)

    def _may_have_body(self) -> bool:
        head = self._request_head
        is_head = head is not None and head.method == b"HEAD"
        return not is_head and self._status not in NO_BODY_STATUSES

    async def _send_empty_response(self, status: int) -> None:
        """Sends a response without a body that closes the connection."""
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        head = self._parser.send(
            h11.Response(status_code=status, headers=headers)
        )
        await self._write(head + (self._parser.send(h11.EndOfMessage()) or b""))

    async def _write_parts(self, parts: list[bytes | memoryview]) -> None:
        """Sends parts of a response; large ones are not copied."""
        if sum(map(len, parts)) <= JOINED_WRITE_MAX_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self._write(part)

    async def _write(self, data: bytes | memoryview) -> None:
        """Sends bytes; a caller that does not take them counts as gone."""
        timeout_s = WRITE_TIMEOUT_S + len(data) / LEAST_RATE_BYTES_PER_S
        try:
            with trio.fail_after(timeout_s):
                await self._stream.send_all(data)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ) as error:
            self._connection_lost = True
            raise asgi.CallerDisconnectedError from error

    def _make_request(self, head: h11.Request) -> asgi.HttpRequest:
        path, _, query = head.target.partition(b"?")
        pairs = [(bytes(name), bytes(value)) for name, value in head.headers]
        request = asgi.HttpRequest(
            method=head.method.decode("ascii").upper(),
            path=unquote(path.decode("latin-1")),
            query=query.decode("latin-1"),
            headers={
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in pairs
            },
            receive=self._receive,
            client_address=self._client_address,
            raw_path_and_query=bytes(head.target),
            header_pairs=pairs,
            is_disconnected=self.is_disconnected,
            limit_unread=self._limit_unread,
            queued_s=trio.current_time() - self._arrived_at,
        )
        self._unread_body_bytes = request.announced_bytes()
        return request


def _make_poll(stream: trio.SocketStream, events: int) -> select.poll:
    poll = select.poll()
    poll.register(stream.socket.fileno(), events)
    return poll
