"""Adaptive concurrency limit and health of one target, from observations.

The limit grows by one for each round of fast answers that used it fully, and
shrinks when answers slow down or the target sheds load. What the target
reports about itself is not used: such reports lag or mislead.
"""

import enum

LIMIT_MIN = 1.0
SLOW_LATENCY_FACTOR = 3.0
SLOW_LIMIT_FACTOR = 0.9
SHED_LIMIT_FACTOR = 0.5
BASELINE_EWMA_WEIGHT = 0.002
EWMA_WEIGHT = 0.2
FAILURES_TO_EJECT = 3
EJECT_MIN_S = 1.0
EJECT_MAX_S = 30.0
SHED_PAUSE_S = 0.2


class ExchangeOutcome(enum.StrEnum):
    """How an exchange with a target ended."""

    SUCCESS = "success"
    SHED = "shed"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class TargetLoad:
    """What an entry knows of a target; does no I/O.

    Attributes:
        in_flight: Requests that this entry has at the target.
        usable_slots: Slots of the target that this entry may use.
        limit: Adaptive bound below the allotment.
        latency_s: Smoothed time of an exchange, in seconds.
    """

    def __init__(self, *, slots: int):
        """Starts healthy, with a limit of one: it may be cold."""
        self.in_flight = 0
        self.usable_slots = slots
        self.limit = LIMIT_MIN
        self.latency_s = 0.0
        self._baseline_s = 0.0
        self._consecutive_failures = 0
        self._ejection_s = EJECT_MIN_S
        self._ejected_until = 0.0
        self._paused_until = 0.0
        self._probing = False

    def capacity(self) -> int:
        """Returns the number of requests that may be in flight."""
        if self._probing:
            return min(1, self.usable_slots)
        return min(self.usable_slots, int(self.limit))

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target gets no requests for its failures."""
        return now < self._ejected_until

    def is_healthy(self, now: float) -> bool:
        """Returns whether the target has answered since it last failed."""
        return not self._probing and not self.is_ejected(now)

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        if self.is_ejected(now) or now < self._paused_until:
            return False
        return self.in_flight < self.capacity()

    def cost(self) -> float:
        """Returns what one more request costs; lower is better."""
        utilization = (self.in_flight + 1) / max(1, self.capacity())
        return utilization * max(self.latency_s, 1e-4)

    def start(self) -> None:
        """Counts a request that is sent."""
        self.in_flight += 1

    def finish(
        self, outcome: ExchangeOutcome, *, latency_s: float, now: float
    ) -> bool:
        """Counts the end of a request.

        Args:
            outcome: How it ended.
            latency_s: How long it took, in seconds.
            now: Monotonic seconds.

        Returns:
            Whether the target was ejected by this.
        """
        at_limit = self.in_flight >= int(self.limit)
        self.in_flight -= 1
        match outcome:
            case ExchangeOutcome.SUCCESS:
                self._note_success(latency_s, at_limit=at_limit)
            case ExchangeOutcome.SHED:
                self.limit = max(LIMIT_MIN, self.limit * SHED_LIMIT_FACTOR)
                self._paused_until = now + SHED_PAUSE_S
            case ExchangeOutcome.FAILURE:
                self._consecutive_failures += 1
                if (
                    self._consecutive_failures >= FAILURES_TO_EJECT
                    or self._probing
                ):
                    return self._eject(now)
            case ExchangeOutcome.UNREACHABLE:
                return self._eject(now)
            case ExchangeOutcome.CANCELLED:
                pass
        return False

    def _note_success(self, latency_s: float, *, at_limit: bool) -> None:
        self._consecutive_failures = 0
        self._probing = False
        self._ejection_s = EJECT_MIN_S
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            self._baseline_s = latency_s
        self.latency_s += EWMA_WEIGHT * (latency_s - self.latency_s)
        self._baseline_s += BASELINE_EWMA_WEIGHT * (
            latency_s - self._baseline_s
        )
        self._baseline_s = min(self._baseline_s, latency_s)
        if self.latency_s > SLOW_LATENCY_FACTOR * self._baseline_s:
            self.limit = max(LIMIT_MIN, self.limit * SLOW_LIMIT_FACTOR)
        elif at_limit:
            grown = self.limit + 1.0 / self.limit
            self.limit = min(grown, float(max(1, self.usable_slots)))

    def _eject(self, now: float) -> bool:
        if self.is_ejected(now):
            return False
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(EJECT_MAX_S, self._ejection_s * 2)
        self._consecutive_failures = 0
        self._probing = True
        self.limit = LIMIT_MIN
        return True
