"""Measures how late the process runs tasks that are due."""

from collections.abc import Callable

import trio

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock

TICK_PERIOD_S = 0.1
# Least lateness that is logged, in seconds.
LOG_THRESHOLD_S = 0.05
# Least time between two such log lines, in seconds.
LOG_PERIOD_S = 1.0


class LatenessMeter:
    """Runs a periodic tick and measures its lateness."""

    def __init__(
        self,
        *,
        clock: Clock,
        observe: Callable[[float], None],
        log_event: Callable[..., None],
    ):
        """Starts as if a tick had just run.

        Args:
            clock: Monotonic clock that includes time in suspension.
            observe: Called with the lateness of each tick, in seconds.
            log_event: Called with an event's kind and fields to log it.
        """
        self._clock = clock
        self._observe = observe
        self._log_event = log_event
        self._worst_s = 0.0
        self._logged_at = float("-inf")
        self._ticked_at = clock.now()
        self._previous_tick_at = self._ticked_at

    def tick(self) -> None:
        """Observes this tick's lateness; logs the worst since the last log."""
        now = self._clock.now()
        late_s = max(0.0, now - self._ticked_at - TICK_PERIOD_S)
        self._previous_tick_at, self._ticked_at = self._ticked_at, now
        self._observe(late_s)
        self._worst_s = max(self._worst_s, late_s)
        if (
            self._worst_s < LOG_THRESHOLD_S
            or now - self._logged_at < LOG_PERIOD_S
        ):
            return
        worst_ms = round(self._worst_s * MILLISECONDS_PER_SECOND)
        self._log_event("process-behind", worst_ms=worst_ms)
        self._logged_at = now
        self._worst_s = 0.0

    def held_up_s(self, now: float) -> float:
        """Returns for how long the process may just have been held up.

        What is read now may have arrived up to that much earlier, in seconds,
        and two periods of the tick.

        Args:
            now: Monotonic seconds.
        """
        return max(0.0, now - self._previous_tick_at - 2 * TICK_PERIOD_S)

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            self.tick()
            await trio.sleep(TICK_PERIOD_S)
