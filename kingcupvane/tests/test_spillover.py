"""Tests of how much of a region's requests go to other regions."""

from kingcupvane.request.spillover import (
    LOCAL_UTILIZATION_MAX,
    STEP_MAX,
    RegionLoad,
    SpilloverController,
)

WORK_S = 0.1


def settle(loads, steps=60):
    control = SpilloverController(region="north")
    parts = []
    for _ in range(steps):
        parts.append(control.update(loads, service_time_s=WORK_S).by_region)
    return parts


def test_region_with_room_keeps_everything():
    loads = {
        "north": RegionLoad(demand=20, slots=8),
        "south": RegionLoad(demand=20, slots=8),
    }
    assert settle(loads)[-1] == {"north": 1.0, "south": 0.0}


def test_excess_goes_to_regions_by_their_room():
    loads = {
        "north": RegionLoad(demand=90, slots=8),
        "south": RegionLoad(demand=50, slots=16),
        "west": RegionLoad(demand=90, slots=24),
    }
    parts = settle(loads)[-1]
    own = parts["north"] * 90 * WORK_S / 8
    assert abs(own - LOCAL_UTILIZATION_MAX) < 0.05
    assert parts["west"] > parts["south"] > 0
    assert abs(sum(parts.values()) - 1) < 1e-9


def test_nothing_goes_where_there_is_no_room():
    loads = {
        "north": RegionLoad(demand=90, slots=8),
        "south": RegionLoad(demand=200, slots=16),
    }
    assert settle(loads)[-1]["south"] == 0.0


def test_part_moves_in_small_steps():
    loads = {
        "north": RegionLoad(demand=300, slots=8),
        "south": RegionLoad(demand=0, slots=60),
    }
    parts = [part["north"] for part in settle(loads)]
    steps = [a - b for a, b in zip(parts, parts[1:], strict=False)]
    assert max(steps) <= STEP_MAX + 1e-9


def test_region_without_targets_sends_all_away():
    loads = {
        "north": RegionLoad(demand=30, slots=0),
        "south": RegionLoad(demand=0, slots=8),
    }
    assert settle(loads, steps=1)[-1] == {"north": 0.0, "south": 1.0}
