"""Answers of targets while they come in, within bounds.

A target in trouble may send bytes without end, in a head or in a body. The
parser bounds a head; here are the bounds of a body, of the pieces that it
comes in, of interim answers, and of what all unfinished answers hold together.
"""

import h11

# Largest answer that is taken, in bytes.
ANSWER_MAX_BYTES = 16 * 1024 * 1024
# Answers up to this size are taken also while others fill the memory, in bytes.
SMALL_BYTES = 256 * 1024
# Bytes that unfinished answers hold together by default.
HELD_MAX_BYTES = 32 * 1024 * 1024
# Pieces from which they must have a mean size, in bytes.
PIECES_ANY_SIZE = 1024
PIECE_MEAN_MIN_BYTES = 512
INTERIM_MAX = 16
# Pieces after which other tasks get their turn.
PIECES_AT_ONCE = 64


class ResponseTooLargeError(Exception):
    """An answer has gone beyond a bound."""


class ResponseMemory:
    """Counts what unfinished answers hold.

    Attributes:
        held: Bytes that they hold now.
        max_bytes: Bytes that they may hold.
    """

    def __init__(self, *, max_bytes: int = HELD_MAX_BYTES):
        """Starts without answers."""
        self.held = 0
        self.max_bytes = max_bytes


class PartialResponse:
    """One answer while it comes in; `close` gives its bytes back."""

    def __init__(self, *, memory: ResponseMemory):
        """Starts without a head.

        Args:
            memory: What all unfinished answers hold.
        """
        self._memory = memory
        self._parts: list[bytes] = []
        self._size = 0
        self._pieces = 0
        self._interim = 0
        self.response: h11.Response | None = None

    @property
    def body(self) -> bytes:
        """The body as far as it has come."""
        return b"".join(self._parts)

    def begin(self, response: h11.Response) -> None:
        """Takes the head.

        Raises:
            ResponseTooLargeError: It announces too long a body.
        """
        self.response = response
        for name, value in response.headers:
            if name == b"content-length" and int(value) > ANSWER_MAX_BYTES:
                raise ResponseTooLargeError(f"{int(value)} bytes are announced")

    def count_interim(self) -> None:
        """Counts an answer that precedes the final one.

        Raises:
            ResponseTooLargeError: There are too many.
        """
        self._interim += 1
        if self._interim > INTERIM_MAX:
            raise ResponseTooLargeError(f"{self._interim} interim answers")

    def add(self, data: bytes) -> bool:
        """Takes a piece of the body; returns whether others should run.

        Raises:
            ResponseTooLargeError: A bound is passed.
        """
        self._parts.append(data)
        self._size += len(data)
        self._memory.held += len(data)
        self._pieces += 1
        if self._size > ANSWER_MAX_BYTES or self._is_crumbled():
            raise ResponseTooLargeError(
                f"{self._size} bytes in {self._pieces} pieces"
            )
        memory = self._memory
        if memory.held > memory.max_bytes and self._size > SMALL_BYTES:
            raise ResponseTooLargeError(
                f"{self._size} bytes while answers hold {memory.held}"
            )
        return self._pieces % PIECES_AT_ONCE == 0

    def _is_crumbled(self) -> bool:
        """Returns whether the pieces cost more work than they are worth."""
        return (
            self._pieces > PIECES_ANY_SIZE
            and self._size < self._pieces * PIECE_MEAN_MIN_BYTES
        )

    def close(self) -> None:
        """Gives back what the answer held."""
        self._memory.held -= self._size
        self._size = 0
        self._parts.clear()
