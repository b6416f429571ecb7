"""Tests of the rate limits that targets name.

The fleets replay seeded arrivals at gateways that report to each other as they
do in production, and count what reaches a target in any 4 s.
"""

import random

import pytest

from kingcupvane.request.quota import DistributedQuota
from kingcupvane.request.target_limits import (
    FORGET_S,
    LIFTED_S,
    RATE_MAX,
    RATE_MIN,
    TELL_S,
    TargetLimits,
    parse_rate,
)
from kingcupvane.tests.targets import registered_target
from kingcupvane.tests.test_quota import LayeredFleet

WINDOW_S = 4.0
# What a target may get in any window: the excess over its limit, and requests.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# Time after a limit was first named from which it holds, in seconds.
CONTACT_S = 3.0


class LimitedFleet(LayeredFleet):
    """Gateways that send to targets with limits.

    Attributes:
        rate: The limit that each target names; None for none.
        arrivals: Time and target of each request that reached a target.
    """

    def __init__(self, *, data_centres, members, targets=1, rate):
        """Starts the gateways; each knows all targets."""
        super().__init__(data_centres=data_centres, members=members, plan=None)
        self.rate = rate
        self.targets = [registered_target(f"t{n}") for n in range(targets)]
        self.limits = [self._make_limits(quota) for quota in self.gateways]
        self.arrivals = []
        self.refused = 0

    def _make_limits(self, quota):
        return TargetLimits(quota=quota, log_event=lambda *_, **__: None)

    def restart(self, index):
        super().restart(index)
        self.limits[index] = self._make_limits(self.gateways[index])

    def report(self):
        self.periods += 1
        self._report_locally()
        if self.periods % 2:
            self._exchange_summaries()
        for limits, quota in zip(self.limits, self.gateways, strict=True):
            limits.update(self.now)
            quota.update_shares(limits.limits(), self.now)

    def send(self, *, seed, demand, seconds, pick_gateway=None):
        """Sends requests to the first target with room at their gateway."""
        rng = random.Random(seed)
        end = self.now + seconds
        while self.now < end:
            self.now += rng.expovariate(demand)
            while self.now - self._reported_at >= 0.2:
                self._reported_at += 0.2
                self.report()
            index = (
                pick_gateway(rng)
                if pick_gateway
                else rng.randrange(len(self.gateways))
            )
            self._send_one(self.limits[index], rng)

    def _send_one(self, limits, rng):
        ranking = rng.sample(self.targets, len(self.targets))
        for target in ranking:
            if limits.may_use(target, self.now):
                limits.record_request(target, self.now)
                limits.hear(target, self.rate, sent_at=self.now, now=self.now)
                self.arrivals.append((self.now, target.name))
                return
        self.refused += 1

    def excess(self, *, since=0.0):
        """Returns the worst window's arrivals beyond what is allowed."""
        allowed = EXCESS_FACTOR * self.rate * WINDOW_S + EXCESS_REQUESTS
        return max(
            self._most_in_window(target.name, since) - allowed
            for target in self.targets
        )

    def _most_in_window(self, target, since):
        times = [t for t, name in self.arrivals if name == target and t > since]
        most = first = 0
        for last, time in enumerate(times):
            while time - times[first] > WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most


FLEETS = [
    pytest.param(6, 2, id="12-gateways"),
    pytest.param(15, 13, id="195-gateways"),
]
SEEDS = range(2)


@pytest.mark.parametrize(("data_centres", "members"), FLEETS)
@pytest.mark.parametrize("rate", [0.25, 2.0, 5.5, 40.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_target_far_over_its_limit_gets_no_more_than_allowed(
    data_centres, members, rate, seed
):
    fleet = LimitedFleet(data_centres=data_centres, members=members, rate=rate)
    fleet.send(seed=seed, demand=3 * rate + 2, seconds=12)
    assert fleet.excess(since=CONTACT_S) <= 0
    assert len(fleet.arrivals) >= 0.7 * rate * 12


@pytest.mark.parametrize(("data_centres", "members"), FLEETS)
@pytest.mark.parametrize("seed", SEEDS)
def test_target_below_its_limit_is_rarely_passed_over(
    data_centres, members, seed
):
    fleet = LimitedFleet(data_centres=data_centres, members=members, rate=8.0)
    fleet.send(seed=seed, demand=4.0, seconds=4)
    fleet.refused = 0
    fleet.arrivals.clear()
    fleet.send(seed=seed, demand=4.0, seconds=20)
    assert fleet.refused <= 0.05 * len(fleet.arrivals)


@pytest.mark.parametrize(("data_centres", "members"), FLEETS)
@pytest.mark.parametrize("seed", SEEDS)
def test_whole_service_with_limits_serves_what_they_allow(
    data_centres, members, seed
):
    """What one target has no room for goes to the others, or is refused."""
    fleet = LimitedFleet(
        data_centres=data_centres, members=members, targets=8, rate=4.0
    )
    fleet.send(seed=seed, demand=3 * 8 * 4.0, seconds=10)
    assert fleet.excess(since=CONTACT_S) <= 0
    assert len(fleet.arrivals) >= 0.75 * 8 * 4.0 * 10
    assert fleet.refused > 0


@pytest.mark.parametrize(("data_centres", "members"), FLEETS)
@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_on_both_sides_of_a_cut(data_centres, members, seed):
    fleet = LimitedFleet(data_centres=data_centres, members=members, rate=6.0)
    fleet.send(seed=seed, demand=20, seconds=8)
    border = data_centres // 3 * members
    fleet.is_connected = lambda sender, receiver: (
        (sender < border) == (receiver < border)
    )
    fleet.send(seed=seed + 1, demand=30, seconds=10)
    assert fleet.excess(since=CONTACT_S) <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_while_gateways_restart(seed):
    fleet = LimitedFleet(data_centres=6, members=2, rate=6.0)
    fleet.send(seed=seed, demand=20, seconds=5)
    for index in range(12):
        fleet.restart(index)
        fleet.send(seed=seed + index, demand=20, seconds=0.4)
    assert fleet.excess(since=CONTACT_S) <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_when_demand_moves_between_gateways(seed):
    fleet = LimitedFleet(data_centres=6, members=2, rate=6.0)
    for turn in range(6):
        fleet.send(
            seed=seed,
            demand=20,
            seconds=3,
            pick_gateway=lambda rng, turn=turn: 2 * turn + rng.randrange(2),
        )
    assert fleet.excess(since=CONTACT_S) <= 0
    assert len(fleet.arrivals) >= 0.6 * 6.0 * 18


@pytest.mark.parametrize("seed", SEEDS)
def test_changed_limit_is_followed_and_a_lifted_one_forgotten(seed):
    fleet = LimitedFleet(data_centres=6, members=2, rate=20.0)
    fleet.send(seed=seed, demand=60, seconds=6)
    fleet.rate = 4.0
    fleet.send(seed=seed, demand=60, seconds=CONTACT_S)
    lowered_at = fleet.now
    fleet.send(seed=seed, demand=60, seconds=6)
    assert fleet.excess(since=lowered_at) <= 0
    fleet.rate = None
    fleet.send(seed=seed, demand=60, seconds=LIFTED_S)
    fleet.refused = 0
    fleet.send(seed=seed, demand=60, seconds=4)
    assert fleet.refused == 0


def test_gateway_keeps_to_a_limit_that_only_peers_have_heard():
    fleet = LimitedFleet(data_centres=1, members=3, rate=6.0)
    fleet.send(seed=1, demand=20, seconds=2, pick_gateway=lambda rng: 0)
    assert all(limits.is_limited(fleet.targets[0]) for limits in fleet.limits)
    fleet.rate = None
    fleet.limits[0].hear(
        fleet.targets[0], None, sent_at=fleet.now, now=fleet.now
    )
    for _ in range(3):
        fleet.report()
    assert not any(known.is_limited(fleet.targets[0]) for known in fleet.limits)


def test_limit_that_is_not_heard_again_is_no_longer_told_and_forgotten():
    fleet = LimitedFleet(data_centres=1, members=2, rate=6.0)
    fleet.send(seed=1, demand=20, seconds=1, pick_gateway=lambda rng: 0)
    fleet.now += TELL_S + 0.1
    fleet.report()
    fleet.report()
    target = fleet.targets[0]
    assert [limits.is_limited(target) for limits in fleet.limits] == [
        True,
        False,
    ]
    fleet.now += FORGET_S
    fleet.report()
    assert not fleet.limits[0].is_limited(target)


def test_response_to_an_earlier_request_does_not_lift_a_limit():
    quota = DistributedQuota(now=0.0, is_initial_deployment=True)
    limits = TargetLimits(quota=quota, log_event=lambda *_, **__: None)
    target = registered_target("t")
    limits.hear(target, 2.0, sent_at=1.0, now=1.5)
    limits.hear(target, None, sent_at=1.2, now=1.8)
    assert limits.rate(target) == 2.0
    limits.hear(target, None, sent_at=1.6, now=2.0)
    assert limits.rate(target) == float("inf")


def test_limit_ends_with_the_process_that_named_it():
    quota = DistributedQuota(now=0.0, is_initial_deployment=True)
    limits = TargetLimits(quota=quota, log_event=lambda *_, **__: None)
    limits.hear(registered_target("t"), 2.0, sent_at=1.0, now=1.5)
    assert not limits.is_limited(registered_target("t", started_ms=2))


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"2.5", 2.5),
        (b" 12 ", 12.0),
        (b".5", 0.5),
        (b"0", RATE_MIN),
        (b"0.0001", RATE_MIN),
        (b"1000000000", RATE_MAX),
        (b"9" * 400, RATE_MAX),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e3", None),
        (b"1_000", None),
        (b"many", None),
        (b"", None),
        ("١٢".encode(), None),
    ],
)
def test_limit_is_a_decimal_number_within_bounds(value, rate):
    assert parse_rate(value) == rate


def test_wait_is_finite_and_none_while_there_is_room():
    fleet = LimitedFleet(data_centres=6, members=2, rate=2.0)
    fleet.send(seed=1, demand=30, seconds=6)
    target = fleet.targets[0]
    waits = [limits.wait_s(target, fleet.now) for limits in fleet.limits]
    rooms = [limits.may_use(target, fleet.now) for limits in fleet.limits]
    assert all(
        (wait == 0.0) == room for wait, room in zip(waits, rooms, strict=True)
    )
    assert max(waits) <= 5.0
