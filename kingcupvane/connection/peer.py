"""Messaging between daemons over pynng request and reply sockets."""

from collections import Counter
from collections.abc import Awaitable, Callable

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
from kingcupvane.errors import PeerError
from kingcupvane.process.timeline import HybridClock

# Messages that a daemon handles concurrently.
WORKER_COUNT = 8
MESSAGE_MAX_BYTES = 2 * 1024 * 1024
# Upper bound of the backoff between reconnection attempts.
RECONNECT_MAX_MS = 1000

PeerHandler = Callable[[Message], Awaitable[Message | None]]


class PeerServer:
    """Receives messages from other daemons and sends the replies."""

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

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        with pynng.Rep0() as socket:
            socket.recv_max_size = MESSAGE_MAX_BYTES
            socket.listen(f"tcp://{self._address}")
            task_status.started()
            async with trio.open_nursery() as nursery:
                for _ in range(WORKER_COUNT):
                    nursery.start_soon(
                        self._serve_context, socket.new_context()
                    )

    async def _serve_context(self, context: pynng.Context) -> None:
        with context:
            while True:
                frame = await context.arecv()
                try:
                    envelope = self._codec.decode(frame)
                except FrameError as error:
                    logger.warning("event=peer-frame-refused why={!r}", error)
                    continue
                self._clock.receive(envelope.stamp)
                reply = await self._handler(envelope.message)
                if reply is not None:
                    reply_envelope = Envelope(self._clock.tick(), reply)
                    await context.asend(self._codec.encode(reply_envelope))


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
        self._sockets_by_address: dict[str, pynng.Req0] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.failures: Counter[tuple[str, str]] = Counter()

    def close(self) -> None:
        """Closes all sockets."""
        for socket in self._sockets_by_address.values():
            socket.close()
        self._sockets_by_address.clear()

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
        try:
            with trio.fail_after(self._timeout_s):
                reply_frame = await self._exchange(address, frame)
            envelope = self._codec.decode(reply_frame)
        except (trio.TooSlowError, pynng.NNGException, FrameError) as error:
            detail = type(error).__name__
            self.failures[step, detail] += 1
            return Err(PeerError(step=step, peer=address, detail=detail))
        self.received_bytes += len(reply_frame)
        self._clock.receive(envelope.stamp)
        return Ok(envelope.message)

    async def _exchange(self, address: str, frame: bytes) -> bytes:
        socket = self._socket(address)
        with socket.new_context() as context:
            await context.asend(frame)
            return await context.arecv()

    def _socket(self, address: str) -> pynng.Req0:
        socket = self._sockets_by_address.get(address)
        if socket is None:
            socket = pynng.Req0(resend_time=0)
            socket.recv_max_size = MESSAGE_MAX_BYTES
            socket.reconnect_time_min = 50
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(f"tcp://{address}", block=False)
            self._sockets_by_address[address] = socket
        return socket
