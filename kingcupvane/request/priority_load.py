"""Load of a service by the priority of its requests, for gateways' reports."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

# Time constant of the moving averages of load, in seconds.
LOAD_TIME_CONSTANT_S = 1.0
# Load that isn't worth reporting, in slots.
REPORTED_SLOTS_MIN = 0.01


class PriorityLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of the requests of one priority at a service.

    Slots are requests a second times their service time.

    Attributes:
        priority: The priority; 0 is the highest.
        wanted: Slots that all its requests would keep busy.
        refused: The part of `wanted` that was refused for want of a slot.
        allowed: The part of `wanted` that may wait for a slot.
        returning: The part of `wanted` that had been refused before.
        rate: All its requests, by the second.
        refused_rate: The refused ones among them, by the second.
    """

    priority: int
    wanted: float
    refused: float = 0.0
    allowed: float = 0.0
    returning: float = 0.0
    rate: float = 0.0
    refused_rate: float = 0.0

    def __add__(self, other: "PriorityLoad") -> "PriorityLoad":
        """Returns the sum of two loads of the same priority."""
        return PriorityLoad(
            self.priority,
            round(self.wanted + other.wanted, 2),
            round(self.refused + other.refused, 2),
            round(self.allowed + other.allowed, 2),
            round(self.returning + other.returning, 2),
            round(self.rate + other.rate, 2),
            round(self.refused_rate + other.refused_rate, 2),
        )


ServiceLoads = Mapping[str, Iterable[PriorityLoad]]


def add_loads(reports: Iterable[ServiceLoads]) -> dict[str, list[PriorityLoad]]:
    """Returns the sums of several reports, by service and priority."""
    sums: dict[str, dict[int, PriorityLoad]] = {}
    for report in reports:
        for service, loads in report.items():
            by_priority = sums.setdefault(service, {})
            for load in loads:
                known = by_priority.get(load.priority)
                by_priority[load.priority] = known + load if known else load
    return {
        service: [by_priority[priority] for priority in sorted(by_priority)]
        for service, by_priority in sums.items()
    }


@dataclass(kw_only=True, slots=True)
class _OwnLoad:
    """Moving averages of this gateway's load of one priority.

    They are those of `PriorityLoad`.
    """

    wanted: float = 0.0
    refused: float = 0.0
    returning: float = 0.0
    rate: float = 0.0
    refused_rate: float = 0.0
    updated_at: float

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.updated_at) / LOAD_TIME_CONSTANT_S)
        self.wanted *= factor
        self.refused *= factor
        self.returning *= factor
        self.rate *= factor
        self.refused_rate *= factor
        self.updated_at = now

    def to_report(self, priority: int, share: float) -> PriorityLoad:
        return PriorityLoad(
            priority,
            round(self.wanted, 4),
            round(min(self.refused, self.wanted), 4),
            round(share * self.wanted, 4),
            round(self.returning, 4),
            round(self.rate, 4),
            round(min(self.refused_rate, self.rate), 4),
        )


class LoadCounter:
    """Moving averages of one gateway's load, by service and priority."""

    def __init__(self):
        """Starts without load."""
        self._loads: dict[str, dict[int, _OwnLoad]] = {}

    def services(self) -> list[str]:
        """Returns the services that callers have asked for."""
        return list(self._loads)

    def count_request(
        self,
        service: str,
        *,
        priority: int,
        service_s: float,
        is_returning: bool,
        now: float,
    ) -> None:
        """Counts a caller's request.

        Args:
            service: Name of the service.
            priority: Priority of the request.
            service_s: Its service time, in seconds.
            is_returning: Whether it was refused before.
            now: Monotonic seconds.
        """
        load = self._load(service, priority, now)
        slots = service_s / LOAD_TIME_CONSTANT_S
        load.wanted += slots
        load.rate += 1.0 / LOAD_TIME_CONSTANT_S
        if is_returning:
            load.returning += slots

    def count_refusal(
        self, service: str, *, priority: int, service_s: float, now: float
    ) -> None:
        """Counts the refusal of a request that was counted before."""
        load = self._load(service, priority, now)
        load.refused += service_s / LOAD_TIME_CONSTANT_S
        load.refused_rate += 1.0 / LOAD_TIME_CONSTANT_S

    def _load(self, service: str, priority: int, now: float) -> _OwnLoad:
        by_priority = self._loads.setdefault(service, {})
        load = by_priority.get(priority)
        if load is None:
            load = _OwnLoad(updated_at=now)
            by_priority[priority] = load
        load.decay(now)
        return load

    def loads(
        self, service: str, shares: Mapping[int, float], now: float
    ) -> list[PriorityLoad]:
        """Returns the load of a service, by priority.

        Args:
            service: Name of the service.
            shares: Shares that may wait for a slot, by priority.
            now: Monotonic seconds.
        """
        reported = []
        for priority, load in sorted(self._loads.get(service, {}).items()):
            load.decay(now)
            if load.wanted >= REPORTED_SLOTS_MIN:
                share = shares.get(priority, 1.0)
                reported.append(load.to_report(priority, share))
        return reported
