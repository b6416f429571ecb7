"""Writes log lines to a descriptor, whatever state its reader is in.

A pipe that is not read may be non-blocking, may take a part of a chunk, and
may have lost its reader; a file may be on a full disk.
"""

import os
import select
import time

from kingcupvane.clock import MILLISECONDS_PER_SECOND

# Longest wait for room before the next attempt, in seconds.
ROOM_WAIT_MAX_S = 1.0
# Least time between two attempts, for descriptors that are always ready.
ATTEMPT_PERIOD_MIN_S = 0.01


class LinesLostError(Exception):
    """Lines that could not be written.

    Attributes:
        count: Number of lines of which not all bytes were written.
        cause: The operating system's error.
    """

    def __init__(self, *, count: int, cause: OSError):
        """Makes an error for some lines."""
        super().__init__(f"{count} lines: {cause}")
        self.count = count
        self.cause = cause


class LineOutput:
    """Writes whole lines; may block, so only the writer thread calls it."""

    def __init__(self, descriptor: int):
        """Makes an output; the descriptor stays open."""
        self._descriptor = descriptor
        self._is_in_line = False

    def write(self, data: bytes) -> None:
        """Writes lines, waiting for room as long as it takes.

        Raises:
            LinesLostError: The descriptor takes nothing now; the next call may
                succeed.
        """
        left = memoryview(b"\n" + data if self._is_in_line else data)
        while left:
            try:
                written = os.write(self._descriptor, left)
            except BlockingIOError:
                self._wait_for_room()
                continue
            except OSError as error:
                count = bytes(left).count(b"\n")
                raise LinesLostError(count=count, cause=error) from error
            if written:
                self._is_in_line = left[written - 1] != ord("\n")
                left = left[written:]

    def _wait_for_room(self) -> None:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        time.sleep(ATTEMPT_PERIOD_MIN_S)
        poll.poll(ROOM_WAIT_MAX_S * MILLISECONDS_PER_SECOND)
