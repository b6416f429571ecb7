"""Messaging between daemons over pynng request and reply sockets."""

import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pynng
import trio
from loguru import logger
from result import Err, Ok, Result

from kingcupvane.connection.messages import (
    Envelope,
    FrameCodec,
    FrameError,
    Message,
)
from kingcupvane.connection.peer_replies import PendingReplies
from kingcupvane.errors import PeerError
from kingcupvane.process.logs import PRIORITY_KEY, LinePriority
from kingcupvane.process.timeline import HybridClock

# Messages that a daemon handles concurrently.
WORKER_COUNT = 8
# Workers that may wait for one connection to take its replies.
WAITING_REPLIES_MAX = WORKER_COUNT // 2
MESSAGE_MAX_BYTES = 2 * 1024 * 1024
# Upper bound of the backoff between reconnection attempts.
RECONNECT_MAX_MS = 1000


@dataclass(eq=False, kw_only=True, slots=True)
class _Dialer:
    """A socket that is dialed to one address.

    Attributes:
        socket: The socket.
        in_flight: Number of messages that use it now.
        is_replaced: Whether it is closed once no message uses it.
        silent_since: Time at which the first message since the last reply was
            sent, in seconds of trio's clock; None if none is unanswered.
    """

    socket: pynng.Req0
    in_flight: int = 0
    is_replaced: bool = False
    silent_since: float | None = None

    async def exchange(self, frame: bytes) -> bytes:
        """Sends a frame and returns the reply."""
        self.in_flight += 1
        if self.silent_since is None:
            self.silent_since = trio.current_time()
        try:
            with self.socket.new_context() as context:
                await context.asend(frame)
                reply = await context.arecv()
            self.silent_since = None
            return reply
        finally:
            self.in_flight -= 1
            self.close_if_unused()

    def silent_s(self) -> float:
        """Returns for how long messages have had no reply, in seconds."""
        if self.silent_since is None:
            return 0.0
        return trio.current_time() - self.silent_since

    def replace(self) -> None:
        """Closes the socket as soon as no message uses it."""
        self.is_replaced = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Closes a replaced socket that no message uses."""
        if self.is_replaced and not self.in_flight:
            self.socket.close()


PeerHandler = Callable[[Message], Awaitable[Message | None]]


class PeerServer:
    """Receives messages from other daemons and sends the replies.

    Attributes:
        failures: Number of messages that could not be replied to since the
            start, by type of message and type of error.
    """

    def __init__(
        self,
        *,
        address: str,
        codec: FrameCodec,
        clock: HybridClock,
        handler: PeerHandler,
    ):
        """Makes a server; `run` binds its socket.

        Args:
            address: Host and port to listen on.
            codec: Encodes and authenticates frames.
            clock: The process's hybrid logical clock.
            handler: Returns the reply to a message; None for no reply.
        """
        self._address = address
        self._codec = codec
        self._clock = clock
        self._handler = handler
        self._replies = PendingReplies(waiting_max=WAITING_REPLIES_MAX)
        self._logger = logger.bind(**{PRIORITY_KEY: LinePriority.NORMAL})
        self.failures: Counter[tuple[str, str]] = Counter()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        with pynng.Rep0() as socket:
            socket.recv_max_size = MESSAGE_MAX_BYTES
            socket.listen(f"tcp://{self._address}")
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._replies.close_stalled)
                for _ in range(WORKER_COUNT):
                    nursery.start_soon(
                        self._serve_context, socket.new_context()
                    )

    async def _serve_context(self, context: pynng.Context) -> None:
        with context:
            while True:
                request = await context.arecv_msg()
                try:
                    envelope = self._codec.decode(request.bytes)
                except FrameError as error:
                    self._logger.warning(
                        "event=peer-frame-refused why={!r}", error
                    )
                    continue
                try:
                    await self._answer(context, envelope, request.pipe)
                except Exception as error:
                    # Whatever one message causes, others must be served.
                    self._note_failure(envelope.message, error)

    async def _answer(
        self,
        context: pynng.Context,
        envelope: Envelope,
        pipe: pynng.Pipe | None,
    ) -> None:
        """Handles a message and sends the reply, if there is one."""
        self._clock.receive(envelope.stamp)
        reply = await self._handler(envelope.message)
        if reply is None:
            return
        frame = self._codec.encode(Envelope(self._clock.tick(), reply))
        with self._replies.waiting(pipe):
            await context.asend(frame)

    def _note_failure(self, message: Message, error: Exception) -> None:
        step, detail = type(message).__name__, type(error).__name__
        self.failures[step, detail] += 1
        last_frame = traceback.extract_tb(error.__traceback__)[-1]
        self._logger.error(
            "event=peer-message-failed message={} why={!r} at={}:{}",
            step,
            repr(error),
            last_frame.name,
            last_frame.lineno,
        )


class PeerClient:
    """Sends messages to other daemons, over one socket for each address.

    Attributes:
        sent_bytes: Bytes of all frames sent since the start.
        received_bytes: Bytes of all valid replies received since the start.
        failures: Number of messages without a valid reply since the start, by
            type of message and type of error.
    """

    def __init__(
        self, *, codec: FrameCodec, clock: HybridClock, timeout_s: float
    ):
        """Makes a client.

        Args:
            codec: Encodes and authenticates frames.
            clock: The process's hybrid logical clock.
            timeout_s: Longest wait for a reply, in seconds.
        """
        self._codec = codec
        self._clock = clock
        self._timeout_s = timeout_s
        self._dialers_by_address: dict[str, _Dialer] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.failures: Counter[tuple[str, str]] = Counter()

    def close(self) -> None:
        """Closes all sockets."""
        for dialer in self._dialers_by_address.values():
            dialer.socket.close()
        self._dialers_by_address.clear()

    async def ask(
        self, address: str, message: Message
    ) -> Result[Message, PeerError]:
        """Sends a message and returns the reply.

        Args:
            address: Host and port of the other daemon.
            message: The message.

        Returns:
            The reply; a `PeerError` if no valid one came within the timeout.
        """
        step = type(message).__name__
        frame = self._codec.encode(Envelope(self._clock.tick(), message))
        self.sent_bytes += len(frame)
        dialer = self._dialer(address)
        try:
            with trio.fail_after(self._timeout_s):
                reply_frame = await dialer.exchange(frame)
            envelope = self._codec.decode(reply_frame)
        except (trio.TooSlowError, pynng.NNGException, FrameError) as error:
            # A connection whose peer lost power neither fails nor passes
            # anything for minutes after the peer has returned.
            self._replace(address, dialer)
            detail = type(error).__name__
            self.failures[step, detail] += 1
            return Err(PeerError(step=step, peer=address, detail=detail))
        except trio.Cancelled:
            # The caller may wait for less time than a reply may take.
            if dialer.silent_s() >= self._timeout_s:
                self._replace(address, dialer)
            raise
        self.received_bytes += len(reply_frame)
        self._clock.receive(envelope.stamp)
        return Ok(envelope.message)

    def _replace(self, address: str, dialer: _Dialer) -> None:
        """Makes the next message to an address open a new connection."""
        if self._dialers_by_address.get(address) is dialer:
            del self._dialers_by_address[address]
        dialer.replace()

    def _dialer(self, address: str) -> _Dialer:
        dialer = self._dialers_by_address.get(address)
        if dialer is None:
            socket = pynng.Req0(resend_time=0)
            socket.recv_max_size = MESSAGE_MAX_BYTES
            socket.reconnect_time_min = 50
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(f"tcp://{address}", block=False)
            dialer = _Dialer(socket=socket)
            self._dialers_by_address[address] = dialer
        return dialer
