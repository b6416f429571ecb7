"""Notices that the process stood still or is behind with its work.

After a suspension, and while more is ready than the process gets done,
requests and the ends of their connections lie ready together. Whoever acts on
a request should first let the ends be read.
"""

from collections.abc import Callable

import trio

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock

TICK_S = 0.1
# Lateness of a tick from which the process counts as having stood still, in s.
STILL_S = 0.3
# Lateness of a tick from which the process counts as behind, in seconds.
BEHIND_S = 0.02
# Rounds of the scheduler in which the end of a connection that lies ready is
# read and reaches the task of its request.
DEPARTURE_ROUNDS = 6
# Time in which the ends of connections are read after the process stood still,
# in seconds.
DEPARTURE_S = 0.03
# Time for which care is needed after that, in seconds.
CARE_S = 0.3
# Lateness that is worth a line in the log, in seconds.
TOLD_S = 0.05
# Least time between two such lines, in seconds.
TELL_PERIOD_S = 1.0


class WakeupWatch:
    """Knows whether the process has just gone on after standing still."""

    def __init__(
        self,
        *,
        clock: Clock,
        observe: Callable[[float], None],
        tell: Callable[..., None],
    ):
        """Starts as if it ran all the while.

        Args:
            clock: Monotonic clock that counts suspension.
            observe: Takes the lateness of each tick, in seconds.
            tell: Takes a kind of event and its fields for the log.
        """
        self._clock = clock
        self._observe = observe
        self._tell = tell
        self._worst_s = 0.0
        self._told_at = float("-inf")
        self._ticked_at = clock.now()
        self._woke_at = float("-inf")
        self._behind_at = float("-inf")

    def tick(self) -> bool:
        """Notes that the process runs; returns whether it stood still."""
        now = self._clock.now()
        late_s = max(0.0, now - self._ticked_at - TICK_S)
        stood_still = late_s > STILL_S
        if stood_still:
            self._woke_at = now
        if late_s > BEHIND_S:
            self._behind_at = now
        self._ticked_at = now
        self._note(late_s, now)
        return stood_still

    def _note(self, late_s: float, now: float) -> None:
        """Counts how late a tick was, and tells the worst of each second."""
        self._observe(late_s)
        self._worst_s = max(self._worst_s, late_s)
        if self._worst_s < TOLD_S or now - self._told_at < TELL_PERIOD_S:
            return
        worst_ms = round(self._worst_s * MILLISECONDS_PER_SECOND)
        self._tell("process-behind", worst_ms=worst_ms)
        self._told_at = now
        self._worst_s = 0.0

    def has_just_woken(self) -> bool:
        """Returns whether ends of connections may lie unread."""
        now = self._clock.now()
        late = now - self._ticked_at > TICK_S + STILL_S
        return late or now - self._woke_at < CARE_S

    def is_behind(self) -> bool:
        """Returns whether the process has more to do than it gets done."""
        now = self._clock.now()
        late = now - self._ticked_at > TICK_S + BEHIND_S
        return late or now - self._behind_at < CARE_S

    async def let_departures_in(self) -> None:
        """Waits until ends of connections that lie ready have been read."""
        if self.has_just_woken():
            await trio.sleep(DEPARTURE_S)
        if self.is_behind():
            for _ in range(DEPARTURE_ROUNDS):
                await trio.lowlevel.checkpoint()

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            self.tick()
            await trio.sleep(TICK_S)
