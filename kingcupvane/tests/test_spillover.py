"""Tests of the spillover of a region's requests to other regions."""

from math import inf, pi, sin

import pytest

from kingcupvane.request.spillover import (
    LOCAL_UTILIZATION_MAX,
    RETURN_STEP_MAX,
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
    for step in range(steps):
        shares = controller.update(
            loads, service_time_s=SERVICE_TIME_S, now=float(step)
        )
        shares_by_step.append(shares.by_region)
    return shares_by_step


def run_waves(*, seconds, slots, mean, swing=0.55, period_s=36.0):
    """Returns the shares of each second, for waves apart by a third each."""
    controller = SpilloverController(region="north")
    shares_by_step = []
    for second in range(seconds):
        loads = {
            region: RegionLoad(
                demand=mean
                * (
                    1
                    + swing
                    * sin(2 * pi * (second / period_s + index / len(slots)))
                ),
                slots=slots[region],
            )
            for index, region in enumerate(slots)
        }
        shares = controller.update(
            loads, service_time_s=SERVICE_TIME_S, now=float(second)
        )
        shares_by_step.append(shares.by_region)
    return shares_by_step


def moved_share(shares_by_step):
    """Returns how much of the region's keys changed their region."""
    return sum(
        abs(later["north"] - earlier["north"])
        for earlier, later in zip(
            shares_by_step, shares_by_step[1:], strict=False
        )
    )


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


# A region with few targets and as many callers as the others. Following each
# wave, it moved most of its keys there and back, to targets cold for them.
UNEVEN_SLOTS = {"north": 16, "south": 72, "west": 84}


def test_waves_of_demand_move_few_keys():
    shares = run_waves(seconds=108, slots=UNEVEN_SLOTS, mean=250)
    assert moved_share(shares[36:]) < 0.2
    local_utilizations = [
        step["north"] * 250 * 1.55 * SERVICE_TIME_S / 16 for step in shares
    ]
    assert max(local_utilizations) < 1.0


def test_region_with_few_targets_spills_over_before_its_demand_is_known():
    loads = {
        region: RegionLoad(demand=0.0, slots=slots)
        for region, slots in UNEVEN_SLOTS.items()
    }
    shares = run_controller(loads, steps=3)
    mean_slots = sum(UNEVEN_SLOTS.values()) / 3
    for step in shares:
        assert step["north"] == pytest.approx(16 / mean_slots)
        assert step["west"] > step["south"] > 0.0
        assert sum(step.values()) == pytest.approx(1.0)


def test_low_demand_returns_to_the_region():
    controller = SpilloverController(region="north")
    shares = []
    for second in range(120):
        loads = {
            region: RegionLoad(demand=1.0, slots=slots)
            for region, slots in UNEVEN_SLOTS.items()
        }
        result = controller.update(
            loads, service_time_s=SERVICE_TIME_S, now=float(second)
        )
        shares.append(result.by_region["north"])
    assert shares[-1] == 1.0
    steps = [b - a for a, b in zip(shares, shares[1:], strict=False)]
    assert max(steps) <= RETURN_STEP_MAX + 1e-9
