"""Adaptive concurrency limit and outlier ejection of one target.

Both rest on this entry's own observations. The limit grows by about one per
`limit` fast responses while it is fully used, and shrinks when responses slow
down or the target sheds load. The load that a target reports is not used: such
reports are late or misleading.
"""

import enum

LIMIT_MIN = 1.0
# Ratio of average to baseline latency above which a target counts as slow.
SLOW_LATENCY_FACTOR = 3.0
# Factors on the limit: per response while the target is slow, and per shed
# request.
SLOW_LIMIT_FACTOR = 0.9
SHED_LIMIT_FACTOR = 0.5
# Weights of a new sample in the baseline (the lowest latency, which slowly
# drifts towards later samples) and in the average latency.
BASELINE_EWMA_WEIGHT = 0.002
EWMA_WEIGHT = 0.2
# Consecutive failures that eject a target. The ejection time, in seconds,
# starts at the least value and doubles up to the largest one.
FAILURES_TO_EJECT = 3
EJECT_MIN_S = 1.0
EJECT_MAX_S = 30.0
# Time without requests for a target that shed load, in seconds.
SHED_PAUSE_S = 0.2


class ExchangeOutcome(enum.StrEnum):
    """How an exchange with a target ended, for the target's health.

    Attributes:
        SUCCESS: With a response that is no server error.
        SHED: Refused by the target without running it.
        FAILURE: It broke, timed out or ended with a server error.
        UNREACHABLE: The request could not be sent.
        CANCELLED: It ended in a way that says nothing of the target's health.
    """

    SUCCESS = "success"
    SHED = "shed"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class TargetLoad:
    """Load and health of a target as seen by one entry; does no I/O.

    Attributes:
        in_flight: Requests of this entry in flight at the target.
        usable_slots: Slots of the target that this entry may use.
        limit: Adaptive concurrency limit; the usable slots cap it.
        latency_s: Moving average of the exchange latency, in seconds.
    """

    def __init__(self, *, slots: int):
        """Starts healthy, with a limit of one since the target may be cold.

        Args:
            slots: Slots of the target that this entry may use.
        """
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
        """Returns how many requests may be in flight at the target.

        It is one after an ejection, until a request succeeds.
        """
        if self._probing:
            return min(1, self.usable_slots)
        return min(self.usable_slots, int(self.limit))

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target is ejected after failures."""
        return now < self._ejected_until

    def is_healthy(self, now: float) -> bool:
        """Returns whether the target is neither ejected nor being probed."""
        return not self._probing and not self.is_ejected(now)

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        if self.is_ejected(now) or now < self._paused_until:
            return False
        return self.in_flight < self.capacity()

    def cost(self) -> float:
        """Returns the cost of sending one more request; lower is better.

        It is the average latency times the utilization with that request.
        """
        utilization = (self.in_flight + 1) / max(1, self.capacity())
        return utilization * max(self.latency_s, 1e-4)

    def record_start(self) -> None:
        """Records that a request is sent."""
        self.in_flight += 1

    def record_outcome(
        self, outcome: ExchangeOutcome, *, latency_s: float, now: float
    ) -> bool:
        """Records the outcome of a request.

        Args:
            outcome: How the exchange ended.
            latency_s: How long it took, in seconds.
            now: Monotonic seconds.

        Returns:
            Whether this outcome ejected the target.
        """
        at_limit = self.in_flight >= int(self.limit)
        self.in_flight -= 1
        match outcome:
            case ExchangeOutcome.SUCCESS:
                self._record_success(latency_s, at_limit=at_limit)
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

    def _record_success(self, latency_s: float, *, at_limit: bool) -> None:
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
