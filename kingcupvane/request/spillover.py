"""Spillover: the share of a region's requests that other regions serve.

Load pattern: a region's demand for a service exceeds what its own targets can
serve while other regions have spare capacity, and the ratio changes with the
time of day. Demand beyond a set utilization of the local targets spills over to
other regions in proportion to their spare capacity. The share changes in small
steps, so that affinity keys keep their targets and no region is overloaded by a
sudden change.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# Utilization of a region's own targets above which requests spill over.
LOCAL_UTILIZATION_MAX = 0.5
# Utilization up to which a region takes the spillover of others.
SPILLOVER_UTILIZATION_MAX = 0.7
# Largest and least change of the local share in one step; smaller changes are
# skipped unless all requests are to be served locally again.
STEP_MAX = 0.04
STEP_MIN = 0.02
# Least share that a region with targets serves itself while it has demand.
LOCAL_SHARE_MIN = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLoad:
    """Demand and capacity of one service in one region.

    Attributes:
        demand: Requests per second of the region's callers.
        slots: Total slots of the region's usable targets, without those that
            a rate limit leaves unused.
    """

    demand: float
    slots: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionShares:
    """The shares of a region's requests by the region that serves them.

    Attributes:
        by_region: Share by region, 0 to 1; they add up to 1 unless no other
            region has slots.
    """

    by_region: Mapping[str, float]


def usable_slots(
    slots: int, *, rate_limit: float, service_time_s: float
) -> float:
    """Returns how many of a target's slots its rate limit allows to be used.

    A target may be used up to its limit, but only up to a share of its slots,
    so the limit counts for more slots than it keeps busy.

    Args:
        slots: Slots of the target.
        rate_limit: Its limit in requests per second, infinite if none.
        service_time_s: Service time of a request, in seconds.
    """
    return min(
        float(slots), rate_limit * service_time_s / SPILLOVER_UTILIZATION_MAX
    )


class SpilloverController:
    """Controls which share of one service's requests is served locally."""

    def __init__(self, *, region: str):
        """Starts with all requests served locally.

        Args:
            region: Region of this gateway.
        """
        self._region = region
        self._local_share = 1.0

    def update(
        self, loads: Mapping[str, RegionLoad], *, service_time_s: float
    ) -> RegionShares:
        """Makes one step towards the desired shares and returns the result.

        If the local region has no slots, its share drops to 0 at once.

        Args:
            loads: Load by region, including the local one.
            service_time_s: Service time of a request, in seconds.
        """
        local = loads.get(self._region, RegionLoad(demand=0.0, slots=0))
        spare_by_region = {
            region: _spare_capacity(load, service_time_s)
            for region, load in loads.items()
            if region != self._region
        }
        desired = _desired_local_share(
            local, sum(spare_by_region.values()), service_time_s
        )
        step = max(-STEP_MAX, min(STEP_MAX, desired - self._local_share))
        if local.slots == 0:
            self._local_share = 0.0
        elif abs(step) >= STEP_MIN or desired in (0.0, 1.0):
            self._local_share = min(1.0, max(0.0, self._local_share + step))
        return RegionShares(
            by_region=self._split_shares(spare_by_region, loads)
        )

    def _split_shares(
        self,
        spare_by_region: Mapping[str, float],
        loads: Mapping[str, RegionLoad],
    ) -> dict[str, float]:
        spilled_share = 1.0 - self._local_share
        share_by_region = {self._region: self._local_share}
        total_spare = sum(spare_by_region.values())
        total_slots = sum(loads[region].slots for region in spare_by_region)
        for region, spare in spare_by_region.items():
            if total_spare > 0.0:
                share_by_region[region] = spilled_share * spare / total_spare
            elif total_slots:
                share_by_region[region] = (
                    spilled_share * loads[region].slots / total_slots
                )
        return share_by_region


def _spare_capacity(load: RegionLoad, service_time_s: float) -> float:
    """Returns the spillover that a region can take, in requests per second."""
    capacity = SPILLOVER_UTILIZATION_MAX * load.slots / service_time_s
    return max(0.0, capacity - load.demand)


def _desired_local_share(
    local: RegionLoad, spare: float, service_time_s: float
) -> float:
    if local.demand <= 0.0:
        return 1.0
    capacity = LOCAL_UTILIZATION_MAX * local.slots / service_time_s
    excess = max(0.0, local.demand - capacity)
    spilled = min(excess, spare)
    return max(LOCAL_SHARE_MIN, 1.0 - spilled / local.demand)
