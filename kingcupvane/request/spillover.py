"""Spillover: the share of a region's requests that other regions serve.

Load pattern: a region's demand for a service exceeds what its own targets can
serve while other regions have spare capacity; the demand rises and falls in
waves, each region's at another time. Demand beyond a set utilization of the
local targets spills over to other regions in proportion to their spare
capacity.

Each change of a share moves affinity keys to targets that are cold for them.
The share therefore changes in small steps, follows the recent peak of the
demand rather than its waves, and returns more slowly than it spills over. Until
demand is known, at the start and after a restart, the regions' slots decide:
all gateways of a region then agree without messages.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

# Utilization of a region's own targets above which requests spill over.
LOCAL_UTILIZATION_MAX = 0.5
# Utilization up to which a region takes the spillover of others.
SPILLOVER_UTILIZATION_MAX = 0.7
# Largest and least decrease of the local share in one step; smaller ones are
# skipped.
STEP_MAX = 0.04
STEP_MIN = 0.02
# Largest step by which a share returns to the region, and the difference from
# the desired share up to which it stays as it is, unless all requests are to be
# served locally again.
RETURN_STEP_MAX = 0.02
RETURN_BAND = 0.1
# Time constant with which the peak of a demand is forgotten, in seconds.
PEAK_TIME_CONSTANT_S = 120.0
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


class RecentPeak:
    """The recent peak of a varying demand, forgotten slowly."""

    def __init__(self):
        """Starts without demand."""
        self._value = 0.0
        self._updated_at = 0.0

    def update(self, demand: float, now: float) -> float:
        """Takes the present demand; returns the peak, in the same unit."""
        age_s = max(0.0, now - self._updated_at)
        decayed = self._value * math.exp(-age_s / PEAK_TIME_CONSTANT_S)
        self._value = max(demand, decayed)
        self._updated_at = now
        return self._value


class SpilloverController:
    """Controls which share of one service's requests is served locally."""

    def __init__(self, *, region: str):
        """Starts without knowledge of the demand.

        Args:
            region: Region of this gateway.
        """
        self._region = region
        self._local_share: float | None = None
        self._has_seen_demand = False
        self._peaks_by_region: dict[str, RecentPeak] = {}

    def update(
        self,
        loads: Mapping[str, RegionLoad],
        *,
        service_time_s: float,
        now: float,
    ) -> RegionShares:
        """Makes one step towards the desired shares and returns the result.

        If the local region has no slots, its share drops to 0 at once.

        Args:
            loads: Load by region, including the local one.
            service_time_s: Service time of a request, in seconds.
            now: Monotonic seconds.
        """
        local = loads.get(self._region, RegionLoad(demand=0.0, slots=0))
        if local.demand > 0.0:
            self._has_seen_demand = True
        peaks = {
            region: self._at_peak(region, load, now)
            for region, load in loads.items()
        }
        spare_by_region = {
            region: _spare_capacity(load, service_time_s)
            for region, load in peaks.items()
            if region != self._region
        }
        if local.slots == 0:
            self._local_share = 0.0
        elif self._local_share is None or not self._has_seen_demand:
            self._local_share = _balanced_local_share(local, loads)
            return RegionShares(
                by_region=self._split_shares(
                    _balanced_spare(loads, self._region), loads
                )
            )
        else:
            desired = _desired_local_share(
                peaks[self._region],
                sum(spare_by_region.values()),
                service_time_s,
            )
            self._local_share += _step(self._local_share, desired)
        return RegionShares(
            by_region=self._split_shares(spare_by_region, loads)
        )

    def _at_peak(self, region: str, load: RegionLoad, now: float) -> RegionLoad:
        peak = self._peaks_by_region.setdefault(region, RecentPeak())
        return RegionLoad(
            demand=peak.update(load.demand, now), slots=load.slots
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


def _step(share: float, desired: float) -> float:
    """Returns by how much a local share changes now."""
    gap = desired - share
    if gap < 0.0:
        return 0.0 if -gap < STEP_MIN else max(-STEP_MAX, gap)
    if gap <= RETURN_BAND and desired < 1.0:
        return 0.0
    return min(RETURN_STEP_MAX, gap)


def _balanced_local_share(
    local: RegionLoad, loads: Mapping[str, RegionLoad]
) -> float:
    """Returns the local share for equal demand in all regions.

    All targets then have the same utilization, whatever the demand.
    """
    mean_slots = sum(load.slots for load in loads.values()) / len(loads)
    return max(LOCAL_SHARE_MIN, min(1.0, local.slots / mean_slots))


def _balanced_spare(
    loads: Mapping[str, RegionLoad], local_region: str
) -> dict[str, float]:
    """Returns the slots beyond a region's own need, for equal demand."""
    mean_slots = sum(load.slots for load in loads.values()) / len(loads)
    return {
        region: max(0.0, load.slots - mean_slots)
        for region, load in loads.items()
        if region != local_region
    }


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
