"""Limits that all gateways hold together, and their use at each gateway."""

import math
from typing import Protocol

import msgspec

# Time constant of the moving average of demand, in seconds.
DEMAND_TIME_CONSTANT_S = 1.0


class RateLimit(Protocol):
    """A limit that all gateways hold together; replaced when it changes.

    Attributes:
        name: Name among all limits.
        rate: Requests per second over all gateways; 0 for no limit.
        burst: Token bucket size over all gateways, in requests.
    """

    @property
    def name(self) -> str:  # noqa: D102
        ...

    @property
    def rate(self) -> float:  # noqa: D102
        ...

    @property
    def burst(self) -> float:  # noqa: D102
        ...


class AccountUsage(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's report on the limit of an account or a target.

    Attributes:
        demand: Requests per second at the gateway that fall under the limit.
        admitted: Requests admitted since the gateway's start.
        rate: Limit that a target has named to the gateway, in requests per
            second; 0 for an account.
    """

    demand: float
    admitted: int
    rate: float = 0.0


class DemandEstimator:
    """Exponentially weighted moving average of requests per second."""

    def __init__(
        self, *, now: float, time_constant_s: float = DEMAND_TIME_CONSTANT_S
    ):
        """Starts with zero demand.

        Args:
            now: Monotonic seconds.
            time_constant_s: Time constant of the average, in seconds.
        """
        self._time_constant_s = time_constant_s
        self._rate = 0.0
        self._updated_at = now

    def add(self, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self._rate += 1.0 / self._time_constant_s

    def rate(self, now: float) -> float:
        """Returns the average, in requests per second."""
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        age = max(0.0, now - self._updated_at)
        self._rate *= math.exp(-age / self._time_constant_s)
        self._updated_at = now
