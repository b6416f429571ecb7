"""Answers of targets while they come in, within bounds.

A target in trouble may send bytes without end, in a head or in a body. The
parser bounds a head; here are the bounds of a body, of the pieces that it
comes in, of interim answers, and of what all unfinished answers hold together.
"""

import h11

# Largest answer that is taken, in bytes.
RESPONSE_MAX_BYTES = 16 * 1024 * 1024
# Answers up to this size are taken also while others fill the memory, in bytes.
SMALL_RESPONSE_BYTES = 256 * 1024
# Bytes that unfinished answers hold together by default.
BUFFERED_MAX_BYTES = 32 * 1024 * 1024
# Pieces from which they must have a mean size, in bytes.
UNCHECKED_CHUNKS_MAX = 1024
CHUNK_MEAN_MIN_BYTES = 512
INTERIM_RESPONSES_MAX = 16
# Pieces after which other tasks get their turn.
CHUNKS_PER_YIELD = 64


class ResponseTooLargeError(Exception):
    """An answer has gone beyond a bound."""


class ResponseMemory:
    """Counts what unfinished answers hold.

    Attributes:
        held: Bytes that they hold now.
        max_bytes: Bytes that they may hold.
    """

    def __init__(self, *, max_bytes: int = BUFFERED_MAX_BYTES):
        """Starts without answers."""
        self.buffered_bytes = 0
        self.max_bytes = max_bytes


class PartialResponse:
    """One answer while it comes in; `close` gives its bytes back."""

    def __init__(self, *, memory: ResponseMemory):
        """Starts without a head.

        Args:
            memory: What all unfinished answers hold.
        """
        self._memory = memory
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._chunk_count = 0
        self._interim_count = 0
        self.response: h11.Response | None = None

    @property
    def body(self) -> bytes:
        """The body as far as it has come."""
        return b"".join(self._chunks)

    def set_head(self, response: h11.Response) -> None:
        """Takes the head.

        Raises:
            ResponseTooLargeError: It announces too long a body.
        """
        self.response = response
        for name, value in response.headers:
            if name == b"content-length" and int(value) > RESPONSE_MAX_BYTES:
                raise ResponseTooLargeError(f"{int(value)} bytes are announced")

    def count_interim(self) -> None:
        """Counts an answer that precedes the final one.

        Raises:
            ResponseTooLargeError: There are too many.
        """
        self._interim_count += 1
        if self._interim_count > INTERIM_RESPONSES_MAX:
            raise ResponseTooLargeError(
                f"{self._interim_count} interim answers"
            )

    def add(self, data: bytes) -> bool:
        """Takes a piece of the body; returns whether others should run.

        Raises:
            ResponseTooLargeError: A bound is passed.
        """
        self._chunks.append(data)
        self._size_bytes += len(data)
        self._memory.buffered_bytes += len(data)
        self._chunk_count += 1
        if self._size_bytes > RESPONSE_MAX_BYTES or self._is_fragmented():
            raise ResponseTooLargeError(
                f"{self._size_bytes} bytes in {self._chunk_count} pieces"
            )
        memory = self._memory
        if (
            memory.buffered_bytes > memory.max_bytes
            and self._size_bytes > SMALL_RESPONSE_BYTES
        ):
            raise ResponseTooLargeError(
                f"{self._size_bytes} bytes while answers hold"
                f" {memory.buffered_bytes}"
            )
        return self._chunk_count % CHUNKS_PER_YIELD == 0

    def _is_fragmented(self) -> bool:
        """Returns whether the pieces cost more work than they are worth."""
        return (
            self._chunk_count > UNCHECKED_CHUNKS_MAX
            and self._size_bytes < self._chunk_count * CHUNK_MEAN_MIN_BYTES
        )

    def close(self) -> None:
        """Gives back what the answer held."""
        self._memory.buffered_bytes -= self._size_bytes
        self._size_bytes = 0
        self._chunks.clear()
