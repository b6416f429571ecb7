"""How much of a region's requests its own targets serve.

Load pattern: a region asks more of a service than its own targets can bear,
while others have room, and the ratio follows the hours of the day. Requests
beyond a set utilization of the own targets go to other regions in proportion
to their room. The part moves in small steps, so that objects keep their
targets and no region is flooded at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# Utilization of a region's own targets beyond which requests go elsewhere.
LOCAL_UTILIZATION_MAX = 0.5
# Utilization up to which other regions' requests fill a region.
SPILLOVER_UTILIZATION_MAX = 0.7
# Largest change of a part in one step, and its grain.
STEP_MAX = 0.04
STEP_MIN = 0.02
# Least part that a region serves itself.
LOCAL_SHARE_MIN = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLoad:
    """Demand and capacity of one service in one region.

    Attributes:
        demand: Requests a second of the region's callers.
        slots: Slots of the region's usable targets.
    """

    demand: float
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionShares:
    """The part of a region's requests that goes to each region.

    Attributes:
        by_region: Part by region; the parts add up to one.
    """

    by_region: Mapping[str, float]


class SpilloverController:
    """Keeps the part of one service that this region serves itself."""

    def __init__(self, *, region: str):
        """Starts with all requests in the own region."""
        self._region = region
        self._local_share = 1.0

    def update(
        self, loads: Mapping[str, RegionLoad], *, work_s: float
    ) -> RegionShares:
        """Returns the parts after one step towards what the loads ask for.

        Args:
            loads: Load by region, the own one too.
            work_s: Time that a target works on a request, in seconds.
        """
        local = loads.get(self._region, RegionLoad(demand=0.0, slots=0))
        spare_by_region = {
            region: _spare_capacity(load, work_s)
            for region, load in loads.items()
            if region != self._region
        }
        desired = _desired_local_share(
            local, sum(spare_by_region.values()), work_s
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


def _spare_capacity(load: RegionLoad, work_s: float) -> float:
    """Returns the requests a second that a region can take from others."""
    capacity = SPILLOVER_UTILIZATION_MAX * load.slots / work_s
    return max(0.0, capacity - load.demand)


def _desired_local_share(
    local: RegionLoad, spare: float, work_s: float
) -> float:
    if local.demand <= 0.0:
        return 1.0
    capacity = LOCAL_UTILIZATION_MAX * local.slots / work_s
    excess = max(0.0, local.demand - capacity)
    spilled = min(excess, spare)
    return max(LOCAL_SHARE_MIN, 1.0 - spilled / local.demand)
