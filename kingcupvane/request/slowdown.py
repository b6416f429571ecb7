"""Slowdowns that targets report: how long work takes there at present.

Load pattern: targets share their machines with others and are slow for moments.
A report tells of the moment at which it was sent. It is of use for as long as
slow moments last, and shows afterwards that a slow answer was no fault of the
target itself.
"""

import math

# Weight of a report in the moving averages over all targets of a service.
REPORT_EWMA_WEIGHT = 0.02
# Time constant with which a report loses its weight, in seconds.
REPORT_TIME_CONSTANT_S = 0.3
# Age of a report up to which the next one of the same target shows whether it
# still held, in seconds.
COMPARABLE_AGE_MAX_S = 0.6
# Variance of the reports that is assumed before the first one.
INITIAL_VARIANCE = 0.05


class ServiceSlowdown:
    """What the reports of a service's targets are worth.

    Attributes:
        mean: Mean slowdown, 1 being the usual time.
    """

    def __init__(self):
        """Starts with targets at their usual speed and reports unproved."""
        self.mean = 1.0
        self._covariance = 0.0
        self._variance = INITIAL_VARIANCE

    @property
    def persistence(self) -> float:
        """Share of a reported deviation that the next report shows, 0 to 1."""
        return min(1.0, max(0.0, self._covariance / self._variance))

    def add(self, slowdown: float, previous: float | None) -> None:
        """Adds a report.

        Args:
            slowdown: The reported slowdown.
            previous: A recent report of the same target; None without one.
        """
        weight = REPORT_EWMA_WEIGHT
        self.mean += weight * (slowdown - self.mean)
        if previous is None:
            return
        before = previous - self.mean
        product = before * (slowdown - self.mean)
        self._covariance += weight * (product - self._covariance)
        self._variance += weight * (before * before - self._variance)


class TargetSlowdown:
    """The last slowdown that a target reported to this gateway."""

    def __init__(self):
        """Starts without a report."""
        self._last: float | None = None
        self._received_at = 0.0

    def add(
        self, slowdown: float, service: ServiceSlowdown, now: float
    ) -> None:
        """Adds a report of the target, for its service as well."""
        age_s = now - self._received_at
        comparable = age_s <= COMPARABLE_AGE_MAX_S
        service.add(slowdown, self._last if comparable else None)
        self._last = slowdown
        self._received_at = now

    def expected(self, service: ServiceSlowdown, now: float) -> float:
        """Returns the slowdown that a request sent now should meet."""
        if self._last is None:
            return service.mean
        age_s = max(0.0, now - self._received_at)
        trust = service.persistence * math.exp(-age_s / REPORT_TIME_CONSTANT_S)
        return service.mean + trust * (self._last - service.mean)
