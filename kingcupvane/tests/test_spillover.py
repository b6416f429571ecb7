"""Tests of the spillover of a region's requests to other regions."""

from math import inf

import pytest

from kingcupvane.request.spillover import (
    LOCAL_UTILIZATION_MAX,
    SPILLOVER_UTILIZATION_MAX,
    STEP_MAX,
    RegionLoad,
    SpilloverController,
    usable_slots,
)

SERVICE_TIME_S = 0.1


def run_controller(loads, steps=60):
    controller = SpilloverController(region="north")
    shares_by_step = []
    for _ in range(steps):
        shares_by_step.append(
            controller.update(loads, service_time_s=SERVICE_TIME_S).by_region
        )
    return shares_by_step


def test_region_with_spare_capacity_serves_all_locally():
    loads = {
        "north": RegionLoad(demand=20, slots=8),
        "south": RegionLoad(demand=20, slots=8),
    }
    assert run_controller(loads)[-1] == {"north": 1.0, "south": 0.0}


def test_excess_spills_over_in_proportion_to_spare_capacity():
    loads = {
        "north": RegionLoad(demand=90, slots=8),
        "south": RegionLoad(demand=50, slots=16),
        "west": RegionLoad(demand=90, slots=24),
    }
    shares = run_controller(loads)[-1]
    local_utilization = shares["north"] * 90 * SERVICE_TIME_S / 8
    assert abs(local_utilization - LOCAL_UTILIZATION_MAX) < 0.05
    assert shares["west"] > shares["south"] > 0
    assert abs(sum(shares.values()) - 1) < 1e-9


def test_region_without_spare_capacity_gets_no_spillover():
    loads = {
        "north": RegionLoad(demand=90, slots=8),
        "south": RegionLoad(demand=200, slots=16),
    }
    assert run_controller(loads)[-1]["south"] == 0.0


def test_local_share_changes_in_small_steps():
    loads = {
        "north": RegionLoad(demand=300, slots=8),
        "south": RegionLoad(demand=0, slots=60),
    }
    local_shares = [shares["north"] for shares in run_controller(loads)]
    decreases = [
        earlier - later
        for earlier, later in zip(local_shares, local_shares[1:], strict=False)
    ]
    assert max(decreases) <= STEP_MAX + 1e-9


def test_region_without_targets_spills_over_everything():
    loads = {
        "north": RegionLoad(demand=30, slots=0),
        "south": RegionLoad(demand=0, slots=8),
    }
    assert run_controller(loads, steps=1)[-1] == {"north": 0.0, "south": 1.0}


def test_rate_limits_of_targets_count_as_less_room():
    """Half of the requests went to a region whose targets took a tenth."""
    assert usable_slots(4, rate_limit=inf, service_time_s=0.25) == 4.0
    limited = usable_slots(4, rate_limit=0.8, service_time_s=0.25)
    assert limited == pytest.approx(0.2 / SPILLOVER_UTILIZATION_MAX)
    assert usable_slots(4, rate_limit=1e6, service_time_s=0.25) == 4.0
