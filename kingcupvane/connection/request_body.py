"""Reading of request bodies within the memory budget of the process."""

import math
from collections.abc import AsyncIterator, Iterator

import trio

from kingcupvane import asgi
from kingcupvane.connection.memory_budget import (
    MEBIBYTE,
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyLease,
)

# Large bodies are kept in blocks of one size: the memory of one body is then
# used again for the next, without gaps and without moving it while it grows.
BLOCK_BYTES = SMALL_BODY_BYTES
# Longest time that a body of unknown length waits for room in all, in seconds.
ROOM_WAIT_S = 1.0
ROOM_POLL_S = 0.05
# Room for bodies where no process has set it.
DEFAULT_BODIES_BYTES = 256 * MEBIBYTE
DEFAULT_SMALL_BODIES_BYTES = 8 * MEBIBYTE


class LargeBody:
    """A complete body in blocks, for which it has no second copy."""

    def __init__(self, *, blocks: list[bytes]):
        """Takes over the blocks; all but the last are of `BLOCK_BYTES`."""
        self._blocks = blocks
        self._size_bytes = sum(map(len, blocks))

    def __len__(self) -> int:
        """Returns the size in bytes."""
        return self._size_bytes

    def __iter__(self) -> Iterator[bytes]:
        """Yields the blocks."""
        return iter(self._blocks)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the blocks, for an HTTP client."""
        for block in self._blocks:
            yield block

    def __contains__(self, text: bytes) -> bool:
        """Returns whether some bytes occur, also across blocks."""
        before = b""
        for block in self._blocks:
            if text in block or text in before + block[: len(text)]:
                return True
            before = block[-len(text) :]
        return False


Body = bytes | LargeBody


def blocks_of(body: Body) -> Iterator[bytes]:
    """Yields a body in blocks; a small one is a single block."""
    return iter((body,)) if isinstance(body, bytes) else iter(body)


class BodyBuffer:
    """Collects a body; tiny parts cost no more than their bytes.

    Attributes:
        size_bytes: Bytes collected.
    """

    def __init__(self):
        """Starts empty."""
        self.size_bytes = 0
        self._blocks: list[bytes] = []
        self._tail = bytearray()

    def add(self, part: bytes) -> None:
        """Adds a part of any size."""
        self.size_bytes += len(part)
        start = 0
        while start < len(part):
            end = start + BLOCK_BYTES - len(self._tail)
            self._tail += part[start:end]
            start = end
            if len(self._tail) == BLOCK_BYTES:
                self._blocks.append(bytes(self._tail))
                self._tail.clear()

    def take(self) -> Body:
        """Returns the body and starts anew."""
        blocks, tail = self._blocks, bytes(self._tail)
        self.clear()
        if not blocks:
            return tail
        return LargeBody(blocks=[*blocks, tail] if tail else blocks)

    def clear(self) -> None:
        """Frees the memory."""
        self.size_bytes = 0
        self._blocks = []
        self._tail = bytearray()


class HeldBody:
    """The body of one request; a context that frees its room at the end."""

    def __init__(self, *, budget: BodyBudget):
        """Makes a body; `read` reads it.

        Args:
            budget: Room for all bodies of the process.
        """
        self._budget = budget
        self._buffer = BodyBuffer()
        self._lease: BodyLease | None = None
        self._remaining_wait_s = ROOM_WAIT_S
        self._is_unread_limited = False
        self._scope = trio.CancelScope()

    def __enter__(self) -> "HeldBody":
        """Returns itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Frees the room; what `read` returned must be dropped by then."""
        self._buffer.clear()
        if self._lease is not None:
            self._budget.close(self._lease)

    async def read(
        self,
        request: asgi.HttpRequest,
        *,
        limit: int,
        give_up_at: float = math.inf,
    ) -> Body:
        """Reads the whole body.

        A body whose announced length cannot be taken is not read at all.

        Args:
            request: The request.
            limit: Largest accepted size, in bytes.
            give_up_at: Time of trio's clock by which it must be complete.

        Raises:
            BodyTooLargeError: The body is larger than `limit`.
            NoRoomError: The process has no room for it now.
            BodyTooSlowError: It was not complete in time, or came too slowly
                while others needed its room.
            CallerDisconnectedError: The caller disconnected before its end.
        """
        if not request.has_body():
            return await request.read_body(limit=limit)
        announced = request.announced_bytes()
        if announced > limit:
            raise asgi.BodyTooLargeError(f"{announced} bytes are announced")
        self._lease = self._budget.open(
            announced, now=trio.current_time(), evict=self._evict
        )
        if self._lease is None:
            raise asgi.NoRoomError(self._budget.explain(announced))
        self._scope.deadline = give_up_at
        with self._scope:
            await self._receive_all(request, self._lease, limit)
        if self._lease.is_evicted or self._scope.cancelled_caught:
            raise asgi.BodyTooSlowError(self._explain_slow(announced))
        self._lease.is_complete = True
        return self._buffer.take()

    def _explain_slow(self, announced: int) -> str:
        cause = "evicted" if self._lease.is_evicted else "not complete in time"
        return f"{cause} {self._budget.explain(announced)}"

    def _evict(self) -> None:
        self._buffer.clear()
        self._scope.cancel()

    async def _receive_all(
        self, request: asgi.HttpRequest, lease: BodyLease, limit: int
    ) -> None:
        while not lease.is_evicted:
            self._limit_unread(request)
            message = await request.receive()
            if message["type"] == "http.disconnect":
                raise asgi.CallerDisconnectedError
            part = message.get("body", b"")
            if part:
                await self._add(request, lease, part, limit)
            if not message.get("more_body", False):
                return

    def _limit_unread(self, request: asgi.HttpRequest) -> None:
        """Keeps what the kernel holds of the body small while room is short.

        It takes effect only for bytes that have not arrived.
        """
        if not self._is_unread_limited and self._budget.is_short():
            self._is_unread_limited = True
            request.limit_unread()

    async def _add(
        self,
        request: asgi.HttpRequest,
        lease: BodyLease,
        part: bytes,
        limit: int,
    ) -> None:
        if lease.is_evicted:
            return
        size = self._buffer.size_bytes + len(part)
        if size > limit:
            raise asgi.BodyTooLargeError(f"{size} bytes have arrived")
        now = trio.current_time()
        if not self._budget.grow(lease, size, now):
            await self._wait_for_room(request, lease, size)
        self._buffer.add(part)
        self._budget.count_gain(lease, len(part), trio.current_time())

    async def _wait_for_room(
        self, request: asgi.HttpRequest, lease: BodyLease, size: int
    ) -> None:
        """Reads no more of the body until there is room for it."""
        request.limit_unread()
        self._budget.set_waiting(lease, True, trio.current_time())
        try:
            while not self._budget.grow(lease, size, trio.current_time()):
                if self._remaining_wait_s <= 0.0:
                    raise asgi.NoRoomError(self._budget.explain(size))
                if request.is_disconnected():
                    raise asgi.CallerDisconnectedError
                self._remaining_wait_s -= ROOM_POLL_S
                await trio.sleep(ROOM_POLL_S)
        finally:
            self._budget.set_waiting(lease, False, trio.current_time())


def default_budget() -> BodyBudget:
    """Returns room for bodies that follows from no settings."""
    return BodyBudget(
        max_bytes=DEFAULT_BODIES_BYTES, small_bytes=DEFAULT_SMALL_BODIES_BYTES
    )
