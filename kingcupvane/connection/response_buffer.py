"""Bounded buffers for responses of targets while they are received.

A faulty target may send an endless head or body. The HTTP parser limits the
head; this module limits the body, the number of small chunks, the interim (1xx)
responses and the memory that all incomplete responses use together.
"""

from collections.abc import Iterable

import h11
import trio

from kingcupvane.connection.memory_budget import ResponseMemoryBudget

# Largest response body that is accepted.
RESPONSE_MAX_BYTES = 16 * 1024 * 1024
# Responses up to this size are accepted even while the shared memory is full.
SMALL_RESPONSE_BYTES = 256 * 1024
# Chunks of a response that may be of any size; with more, their mean size must
# reach the minimum below, since tiny chunks cost more work than they are worth.
UNCHECKED_CHUNKS_MAX = 1024
CHUNK_MEAN_MIN_BYTES = 512
INTERIM_RESPONSES_MAX = 16
# Longest time that a small response of known length waits for room, in seconds.
ROOM_WAIT_S = 1.0
ROOM_POLL_S = 0.05
# Chunks after which the reader yields to other tasks.
CHUNKS_PER_YIELD = 64


class AnswerTooLargeError(Exception):
    """A response exceeds a limit.

    The name of this class is part of the detail that callers get.
    """


def announced_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the length that a response announces; 0 if it is not known.

    Args:
        headers: Header pairs; other than digits announces no length.
    """
    lengths = [
        int(value)
        for name, value in headers
        if name.lower() == b"content-length" and value.isdigit()
    ]
    return max(lengths, default=0)


def check_announced_size(headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Checks the length that a response announces.

    Raises:
        AnswerTooLargeError: It exceeds the limit.
    """
    size = announced_bytes(headers)
    if size > RESPONSE_MAX_BYTES:
        raise AnswerTooLargeError(f"{size} bytes are announced")


class PartialResponse:
    """One response while it is received; `close` releases its memory.

    Attributes:
        response: The head; None until it is received.
    """

    def __init__(self, *, memory: ResponseMemoryBudget):
        """Starts without a head.

        Args:
            memory: Budget shared by all incomplete responses.
        """
        self._memory = memory
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._reserved_bytes = 0
        self._chunk_count = 0
        self._interim_count = 0
        self.response: h11.Response | None = None

    @property
    def body(self) -> bytes:
        """The part of the body received so far."""
        return b"".join(self._chunks)

    def set_head(self, response: h11.Response) -> None:
        """Stores the head.

        Raises:
            AnswerTooLargeError: Its Content-Length exceeds the limit.
        """
        self.response = response
        check_announced_size(response.headers)

    async def wait_for_room(self, size: int) -> None:
        """Reserves room for a small response; waits for it for a short time.

        Only its beginning has been read then; the rest is with the target.

        Args:
            size: Announced length of the body in bytes; 0 if it is not known.
        """
        if not 0 < size <= SMALL_RESPONSE_BYTES:
            return
        give_up_at = trio.current_time() + ROOM_WAIT_S
        while True:
            now = trio.current_time()
            if self._memory.reserve(size, now, force=now >= give_up_at):
                self._reserved_bytes = size
                return
            await trio.sleep(ROOM_POLL_S)

    def count_interim(self) -> None:
        """Counts an interim (1xx) response.

        Raises:
            AnswerTooLargeError: There are too many of them.
        """
        self._interim_count += 1
        if self._interim_count > INTERIM_RESPONSES_MAX:
            raise AnswerTooLargeError(f"{self._interim_count} interim answers")

    def add(self, data: bytes) -> bool:
        """Adds a chunk of the body; returns whether the reader should yield.

        Raises:
            AnswerTooLargeError: The response exceeds a limit.
        """
        self._chunks.append(data)
        self._size_bytes += len(data)
        self._count()
        self._chunk_count += 1
        if self._size_bytes > RESPONSE_MAX_BYTES or self._is_fragmented():
            raise AnswerTooLargeError(
                f"{self._size_bytes} bytes in {self._chunk_count} pieces"
            )
        if self._size_bytes > SMALL_RESPONSE_BYTES:
            self._check_room()
        return self._chunk_count % CHUNKS_PER_YIELD == 0

    def _count(self) -> None:
        """Counts what exceeds the reserved room."""
        if self._size_bytes > self._reserved_bytes:
            added = self._size_bytes - self._reserved_bytes
            self._memory.buffered_bytes += added
            self._reserved_bytes = self._size_bytes

    def _check_room(self) -> None:
        """Makes room at the cost of responses that callers do not take."""
        memory = self._memory
        while memory.is_full():
            if not memory.evict_stalled(trio.current_time()):
                raise AnswerTooLargeError(
                    f"{self._size_bytes} bytes while answers hold"
                    f" {memory.used_bytes}"
                )

    def _is_fragmented(self) -> bool:
        """Returns whether the chunks are too many and too small."""
        return (
            self._chunk_count > UNCHECKED_CHUNKS_MAX
            and self._size_bytes < self._chunk_count * CHUNK_MEAN_MIN_BYTES
        )

    def close(self) -> None:
        """Releases the memory of the response."""
        self._memory.buffered_bytes -= self._reserved_bytes
        self._reserved_bytes = 0
        self._size_bytes = 0
        self._chunks.clear()
