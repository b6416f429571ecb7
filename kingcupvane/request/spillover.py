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
UTILIZATION_OWN = 0.5
# Utilization up to which other regions' requests fill a region.
UTILIZATION_GUEST = 0.7
# Largest change of a part in one step, and its grain.
STEP_MAX = 0.04
GRAIN = 0.02
# Least part that a region serves itself.
OWN_MIN = 0.1


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
        self._own = 1.0

    def update(
        self, loads: Mapping[str, RegionLoad], *, work_s: float
    ) -> RegionShares:
        """Returns the parts after one step towards what the loads ask for.

        Args:
            loads: Load by region, the own one too.
            work_s: Time that a target works on a request, in seconds.
        """
        own = loads.get(self._region, RegionLoad(demand=0.0, slots=0))
        rooms = {
            region: _room(load, work_s)
            for region, load in loads.items()
            if region != self._region
        }
        wanted = _wanted(own, sum(rooms.values()), work_s)
        step = max(-STEP_MAX, min(STEP_MAX, wanted - self._own))
        if own.slots == 0:
            self._own = 0.0
        elif abs(step) >= GRAIN or wanted in (0.0, 1.0):
            self._own = min(1.0, max(0.0, self._own + step))
        return RegionShares(by_region=self._split(rooms, loads))

    def _split(
        self, rooms: Mapping[str, float], loads: Mapping[str, RegionLoad]
    ) -> dict[str, float]:
        rest = 1.0 - self._own
        parts = {self._region: self._own}
        total = sum(rooms.values())
        slots = sum(loads[region].slots for region in rooms)
        for region, room in rooms.items():
            if total > 0.0:
                parts[region] = rest * room / total
            elif slots:
                parts[region] = rest * loads[region].slots / slots
        return parts


def _room(load: RegionLoad, work_s: float) -> float:
    """Returns the requests a second that a region can take from others."""
    capacity = UTILIZATION_GUEST * load.slots / work_s
    return max(0.0, capacity - load.demand)


def _wanted(own: RegionLoad, room: float, work_s: float) -> float:
    if own.demand <= 0.0:
        return 1.0
    bearable = UTILIZATION_OWN * own.slots / work_s
    excess = max(0.0, own.demand - bearable)
    moved = min(excess, room)
    return max(OWN_MIN, 1.0 - moved / own.demand)
