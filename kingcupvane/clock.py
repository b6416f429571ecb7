"""Clocks: monotonic time for leases and wall time for deadlines."""

import time
from typing import Protocol

MILLISECONDS_PER_SECOND = 1000


class Clock(Protocol):
    """Source of monotonic time and wall time."""

    def now(self) -> float:
        """Returns monotonic seconds, which also advance in system suspend."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> float:
        """Returns CLOCK_BOOTTIME in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns CLOCK_REALTIME in seconds."""
        return time.time()


class ManualClock:
    """A clock that tests advance explicitly.

    Attributes:
        now_s: Monotonic time, in seconds.
        wall_s: Wall time, in seconds since the Unix epoch.
    """

    def __init__(self, *, now_s: float = 1000.0, wall_s: float = 1.7e9):
        """Starts both clocks at the given seconds."""
        self.now_s = now_s
        self.wall_s = wall_s

    def now(self) -> float:
        """Returns the monotonic time that was set, in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Returns the wall time that was set, in seconds."""
        return self.wall_s

    def advance(self, seconds: float) -> None:
        """Advances both clocks by some seconds."""
        self.now_s += seconds
        self.wall_s += seconds
