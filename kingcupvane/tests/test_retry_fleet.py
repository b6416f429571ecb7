"""The fleet's retries stay within its allowance in any window, and use it.

Issue 40: 195 gateways together made more retries than a service allows.
"""

import random
from collections.abc import Iterable

import pytest

from kingcupvane.tests.retry_fleet import (
    REGISTRATION_TTL_S,
    SHARE,
    WINDOW_S,
    SimulatedFleet,
    everyone,
)

COUNTS = (2, 3, 10, 27, 60, 195, 300)
# Retries beyond the share that a deployment allows for each gateway.
EXTRA_PER_GATEWAY = 2.2
EXTRA_MIN = 58.0
RATES = (0.6, 6.0)


def fleet_of(count: int, *, rate: float, **values) -> SimulatedFleet:
    return SimulatedFleet(
        names=[f"g{index:03}" for index in range(count)],
        extra=max(EXTRA_MIN, EXTRA_PER_GATEWAY * count),
        rate=rate,
        **values,
    )


def begin(fleet: SimulatedFleet, *, calm: bool) -> None:
    """Lets all gateways run for a while; if calm, no request fails until now.

    Retries are saved up in a calm time.
    """
    fleet.start(fleet.names)
    if calm:
        fleet.failing = lambda name: 0.0
    fleet.run(15)
    fleet.failing = lambda name: 1.0


def waves(names: list[str], size: int) -> Iterable[list[str]]:
    for first in range(0, len(names), size):
        yield names[first : first + size]


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("count", COUNTS)
def test_gateways_that_start_together_keep_to_the_allowance(count, rate):
    fleet = fleet_of(count, rate=rate)
    fleet.start(fleet.names)
    fleet.run(25)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("count", COUNTS)
def test_small_extra_of_a_large_fleet_is_kept(count, rate):
    fleet = fleet_of(count, rate=rate)
    fleet.extra = EXTRA_MIN
    fleet.start(fleet.names)
    fleet.failing = lambda name: 0.0
    fleet.run(30)
    fleet.failing = lambda name: 1.0
    fleet.run(25)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("calm", [True, False])
@pytest.mark.parametrize("times", [1, 4])
@pytest.mark.parametrize("count", COUNTS)
def test_gateways_killed_at_once_keep_to_the_allowance(count, times, calm):
    fleet = fleet_of(count, rate=4.0)
    begin(fleet, calm=calm)
    fleet.run(1)
    for _ in range(times):
        fleet.restart(fleet.names)
        fleet.run(3)
    fleet.run(15)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("calm", [True, False])
@pytest.mark.parametrize("share", [0.1, 0.34])
@pytest.mark.parametrize("count", COUNTS)
def test_restarts_in_waves_keep_to_the_allowance(count, share, calm):
    fleet = fleet_of(count, rate=4.0)
    begin(fleet, calm=calm)
    fleet.run(1)
    for names in waves(fleet.names, max(1, round(share * count))):
        fleet.stop(names)
        fleet.run(0.6)
        fleet.start(names)
        fleet.run(1.0)
    fleet.run(12)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("calm", [True, False])
@pytest.mark.parametrize("count", COUNTS)
def test_power_loss_beyond_the_registrations_keeps_to_the_allowance(
    count, calm
):
    fleet = fleet_of(count, rate=4.0)
    begin(fleet, calm=calm)
    fleet.run(1)
    fleet.stop(fleet.names)
    fleet.run(REGISTRATION_TTL_S + 2)
    fleet.start(fleet.names)
    fleet.run(20)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("calm", [True, False])
@pytest.mark.parametrize("with_store", [True, False])
@pytest.mark.parametrize("cut_share", [0.35, 0.5])
@pytest.mark.parametrize("count", COUNTS)
def test_two_sides_of_a_cut_keep_to_the_allowance(
    count, cut_share, with_store, calm
):
    """One side keeps the store, or neither, for longer than a registration."""
    fleet = fleet_of(count, rate=4.0)
    begin(fleet, calm=calm)
    fleet.run(1)
    cut = set(fleet.names[: max(1, round(cut_share * count))])
    fleet.sees = lambda sender, receiver: (sender in cut) == (receiver in cut)
    fleet.reaches_store = lambda name: with_store and name not in cut
    fleet.run(30)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("calm", [True, False])
@pytest.mark.parametrize("count", COUNTS)
def test_gateways_cut_off_one_by_one_keep_to_the_allowance(count, calm):
    fleet = fleet_of(count, rate=4.0)
    begin(fleet, calm=calm)
    fleet.run(1)
    cut = set(fleet.names[: max(1, round(0.35 * count))])
    fleet.sees = lambda sender, receiver: not {sender, receiver} & cut
    fleet.reaches_store = lambda name: name not in cut
    fleet.run(20)
    fleet.restart(sorted(cut)[::2])
    fleet.run(10)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("one_way", [True, False])
@pytest.mark.parametrize("seen_share", [0.1, 0.7])
@pytest.mark.parametrize("count", COUNTS)
def test_gateways_that_see_the_fleet_differently_keep_to_the_allowance(
    count, seen_share, one_way
):
    fleet = fleet_of(count, rate=4.0, seed=count)
    rng = random.Random(count)
    hidden = set()
    for sender in fleet.names:
        for receiver in fleet.names:
            if rng.random() >= seen_share:
                hidden.add((sender, receiver))
                if not one_way:
                    hidden.add((receiver, sender))
    fleet.sees = lambda sender, receiver: (sender, receiver) not in hidden
    fleet.start(fleet.names)
    fleet.run(15)
    fleet.restart(fleet.names[::3])
    fleet.run(15)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("count", COUNTS)
def test_fleet_that_grows_keeps_to_the_allowance(count):
    fleet = fleet_of(count, rate=4.0)
    half = count // 2
    fleet.start(fleet.names[:half])
    fleet.run(15)
    for names in waves(fleet.names[half:], max(1, count // 8)):
        fleet.start(names)
        fleet.run(0.5)
    fleet.run(15)
    assert fleet.worst_excess() <= 0


def play_random_fault(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Kills, cuts off or reconnects some gateways, then lets time pass."""
    share = rng.choice([0.1, 0.35, 0.6, 1.0])
    some = rng.sample(fleet.names, max(1, round(share * len(fleet.names))))
    match rng.choice(["kill", "pause", "cut", "reconnect", "store", "none"]):
        case "kill":
            fleet.restart(some)
        case "pause":
            fleet.stop(some)
            fleet.run(0.5)
            fleet.start(some)
        case "cut":
            cut = frozenset(some)
            fleet.sees = lambda a, b: (a in cut) == (b in cut)
            fleet.reaches_store = lambda name: name not in cut
        case "reconnect":
            fleet.sees = everyone
            fleet.reaches_store = lambda name: True
        case "store":
            fleet.reaches_store = lambda name: False
    fleet.run(rng.choice([0.5, 2.0, 4.0, 9.0]))


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [3, 12, 60, 195])
def test_faults_in_series_keep_to_the_allowance(count, seed):
    fleet = fleet_of(count, rate=4.0, seed=seed)
    rng = random.Random(seed)
    begin(fleet, calm=seed % 2 == 0)
    for _ in range(8):
        play_random_fault(fleet, rng)
    fleet.run(5)
    assert fleet.worst_excess() <= 0


def used_share(fleet: SimulatedFleet) -> float:
    """Returns the used part of what the last window allows."""
    totals = fleet.totals(WINDOW_S)
    return totals.retries / (SHARE * totals.requests + fleet.extra)


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("count", COUNTS)
def test_gateways_use_the_allowance_when_all_requests_fail(count, rate):
    fleet = fleet_of(count, rate=max(rate, 20.0 / count))
    fleet.start(fleet.names)
    fleet.failing = lambda name: 0.0
    fleet.run(30)
    fleet.failing = lambda name: 1.0
    fleet.run(WINDOW_S)
    assert used_share(fleet) > 0.6


@pytest.mark.parametrize("count", COUNTS)
def test_few_gateways_with_all_the_callers_use_the_allowance(count):
    busy = max(2, count // 7)
    fleet = fleet_of(count, rate=0.0)
    fleet.rate_by_name = dict.fromkeys(fleet.names[:busy], 120.0 / busy)
    fleet.start(fleet.names)
    fleet.failing = lambda name: 0.0
    fleet.run(30)
    fleet.failing = lambda name: 1.0
    fleet.run(WINDOW_S)
    assert used_share(fleet) > 0.6


@pytest.mark.parametrize("count", COUNTS)
def test_allowance_is_used_again_soon_after_all_gateways_were_killed(count):
    fleet = fleet_of(count, rate=4.0)
    fleet.start(fleet.names)
    fleet.run(20)
    fleet.restart(fleet.names)
    fleet.run(5)
    fleet.run(WINDOW_S)
    assert used_share(fleet) > 0.5


@pytest.mark.parametrize("count", COUNTS)
def test_gateways_that_stay_use_what_dead_ones_leave(count):
    fleet = fleet_of(count, rate=4.0)
    fleet.start(fleet.names)
    fleet.run(15)
    dead = fleet.names[: count // 3]
    fleet.stop(dead)
    fleet.rate = 4.0 * count / (count - len(dead))
    fleet.run(REGISTRATION_TTL_S + 5)
    fleet.run(WINDOW_S)
    assert used_share(fleet) > 0.6


@pytest.mark.parametrize("count", COUNTS)
def test_every_gateway_with_callers_gets_retries(count):
    fleet = fleet_of(count, rate=4.0)
    fleet.start(fleet.names)
    fleet.run(60)
    assert set(fleet.retries_by_name) == set(fleet.names)
