"""Tests of load shedding by priority.

A seeded load is replayed on a few gateways and targets: requests of low
priority and a generous objective share a service with short, urgent ones.
"""

import heapq
import random
from collections import Counter

import pytest

from kingcupvane.request.load_shedding import (
    REPORT_EXPIRY_S,
    SILENT_PEER_EXPIRY_S,
    LoadShedder,
)
from kingcupvane.request.placement import Candidate, TargetView
from kingcupvane.request.priority_load import PriorityLoad, add_loads
from kingcupvane.request.priority_shares import (
    LEAST_SHARE,
    PRESSURE_AIM_RATIO,
    next_shares,
)
from kingcupvane.request.wait_limit import allowed_wait_s
from kingcupvane.tests.targets import registered_target

SERVICE = "files"
TARGETS = 6
SLOTS = 6
# Service time and latency objective by priority, in seconds.
SERVICE_S = {1: 0.16, 2: 0.8}
OBJECTIVE_S = {1: 0.4, 2: 3.0}
DEADLINE_S = {1: 2.5, 2: 12.0}
# Part of the wanted slots by priority.
PART = {1: 0.35, 2: 0.65}
REPORT_PERIOD_S = 0.4


def candidate(wait_s, service_s):
    return Candidate(
        view=TargetView(target=registered_target("t")),
        expected_latency_s=wait_s + service_s,
        cost_s=wait_s + service_s,
        wait_s=wait_s,
        round_trip_s=0.0,
        is_known_warm=True,
    )


def make_shedder(*, idle_slots):
    return LoadShedder(
        idle_slots=lambda service: idle_slots,
        log_event=lambda kind, **fields: None,
    )


class Fleet:
    """Gateways with late reports of each other, and targets with queues."""

    def __init__(self, *, seed, gateway_count=4, by_priority=True):
        """Starts without load.

        Args:
            seed: Seed of the arrivals.
            gateway_count: Number of gateways.
            by_priority: Whether load is shed by priority.
        """
        self.rng = random.Random(seed)
        self.events = []
        self.gateways = [self.start() for _ in range(gateway_count)]
        self.slot_free_at = [[0.0] * SLOTS for _ in range(TARGETS)]
        self.cut_off = set()
        self.by_priority = by_priority
        self.now = 0.0
        self.reported_at = 0.0
        self.reports = {}
        self.refused_while_free = 0
        self.shares = []

    def start(self):
        return LoadShedder(
            idle_slots=lambda service: self.idle_slots(),
            log_event=lambda kind, **fields: self.events.append(kind),
        )

    def restart(self, index):
        self.gateways[index] = self.start()

    def exchange_reports(self):
        """Delivers the reports of the period before, and collects new ones."""
        for name, report in self.reports.items():
            for index, gateway in enumerate(self.gateways):
                apart = {name, index} & self.cut_off
                if index != name and not apart and gateway is not None:
                    gateway.update_peer(str(name), report, self.now)
        self.reports = {
            name: gateway.report(self.now)
            for name, gateway in enumerate(self.gateways)
            if gateway is not None
        }
        self.shares.append(
            [
                gateway.state(SERVICE, self.now).shares.get(2, 1.0)
                for gateway in self.gateways
                if gateway is not None
            ]
        )

    def play(self, seconds, overload, part=None):
        """Plays requests; returns the number of outcomes by priority."""
        slots = TARGETS * SLOTS
        part = part or PART
        rates = {p: overload * slots * part[p] / SERVICE_S[p] for p in part}
        total = sum(rates.values())
        outcomes = Counter()
        until = self.now + seconds
        while True:
            self.now += self.rng.expovariate(total)
            if self.now >= until:
                return outcomes
            if self.now - self.reported_at >= REPORT_PERIOD_S:
                self.reported_at = self.now
                self.exchange_reports()
            priority = self.rng.choices(list(rates), list(rates.values()))[0]
            outcomes[priority, self.request(priority)] += 1

    def request(self, priority):
        alive = [g for g in self.gateways if g is not None]
        gateway = self.rng.choice(alive)
        service_s = SERVICE_S[priority]
        now = self.now
        gateway.count_request(
            SERVICE,
            route=f"route-{priority}",
            priority=priority,
            service_s=service_s,
            tolerable_wait_s=OBJECTIVE_S[priority] - service_s,
            is_returning=False,
            now=now,
        )
        queue = min(
            self.rng.sample(self.slot_free_at, 3), key=lambda free: free[0]
        )
        wait_s = max(0.0, queue[0] - now)
        limit_s = allowed_wait_s(
            candidate(wait_s, service_s),
            latency_objective_s=OBJECTIVE_S[priority],
            elapsed_s=0.0,
            remaining_s=DEADLINE_S[priority],
            is_caller_retry=False,
        )
        if self.by_priority:
            limit_s = gateway.wait_limit_s(
                SERVICE,
                priority=priority,
                request_id=f"{self.rng.random()}",
                limit_s=limit_s,
                now=now,
            )
        if wait_s > limit_s:
            self.refused_while_free += wait_s <= 0.0
            gateway.count_refusal(
                SERVICE, priority=priority, service_s=service_s, now=now
            )
            return "refused"
        heapq.heapreplace(queue, max(now, queue[0]) + service_s)
        in_time = wait_s + service_s <= OBJECTIVE_S[priority]
        return "in time" if in_time else "late"

    def idle_slots(self):
        return sum(
            free_at <= self.now
            for queue in self.slot_free_at
            for free_at in queue
        )


def in_time_share(outcomes, priority):
    total = sum(n for (p, _), n in outcomes.items() if p == priority)
    return outcomes[priority, "in time"] / total


def served_share(outcomes):
    served = sum(n for (_, o), n in outcomes.items() if o != "refused")
    return served / outcomes.total()


def room_of_urgent(outcomes, overload):
    """Returns the share of urgent requests that the slots suffice for.

    The least share of the others is taken off.
    """
    others = LEAST_SHARE * served_share(outcomes) * PART[2]
    return min(1.0, (1.0 / overload - others) / PART[1])


@pytest.mark.parametrize("overload", [1.3, 1.8, 2.5])
@pytest.mark.parametrize("seed", range(2))
def test_urgent_requests_are_served_first_in_an_overload(overload, seed):
    """Without shares the others queue so long that urgent ones are refused."""
    fleet = Fleet(seed=seed)
    fleet.play(5.0, overload)
    with_shares = fleet.play(20.0, overload)
    plain_fleet = Fleet(seed=seed, by_priority=False)
    plain_fleet.play(5.0, overload)
    without = plain_fleet.play(20.0, overload)
    room = room_of_urgent(with_shares, overload)
    assert in_time_share(with_shares, 1) >= 0.9 * room
    assert in_time_share(without, 1) < 0.75 * room
    assert in_time_share(with_shares, 1) > in_time_share(with_shares, 2)
    # A least share of the others is served, and no slot stays idle for them.
    least = 0.25 * served_share(with_shares)
    assert in_time_share(with_shares, 2) > least
    assert fleet.refused_while_free == 0


def test_shares_stay_steady_and_gateways_agree():
    fleet = Fleet(seed=3)
    fleet.play(8.0, 1.8)
    fleet.shares.clear()
    fleet.play(20.0, 1.8)
    lowest = min(min(shares) for shares in fleet.shares)
    highest = max(max(shares) for shares in fleet.shares)
    assert highest - lowest < 0.25
    assert all(max(s) - min(s) < 0.15 for s in fleet.shares)


def test_an_overload_begins_and_ends_once():
    fleet = Fleet(seed=4)
    fleet.play(5.0, 0.6)
    assert not fleet.events
    fleet.play(10.0, 2.0)
    fleet.play(10.0, 0.6)
    count = len(fleet.gateways)
    assert fleet.events.count("overload-began") == count
    assert fleet.events.count("overload-ended") == count


def test_single_refusals_are_no_overload():
    shedder = make_shedder(idle_slots=0.0)
    for step in range(50):
        now = 0.2 * step
        shedder.count_request(
            SERVICE,
            route="r",
            priority=1,
            service_s=0.16,
            tolerable_wait_s=0.1,
            is_returning=False,
            now=now,
        )
        shedder.count_refusal(SERVICE, priority=1, service_s=0.16, now=now)
        assert not shedder.state(SERVICE, now).is_overloaded


def test_one_priority_alone_is_not_bounded():
    fleet = Fleet(seed=5)
    fleet.play(10.0, 2.0, part={2: 1.0})
    gateway = fleet.gateways[0]
    assert gateway.state(SERVICE, fleet.now).is_overloaded
    limit_s = gateway.wait_limit_s(
        SERVICE, priority=2, request_id="x", limit_s=2.0, now=fleet.now
    )
    assert limit_s == 2.0


def kill(fleet):
    fleet.gateways[0] = None


def restart(fleet):
    fleet.restart(0)


def cut_off(fleet):
    fleet.cut_off.add(0)


@pytest.mark.parametrize("fail", [kill, restart, cut_off])
def test_urgent_requests_go_first_also_after_a_failure(fail):
    fleet = Fleet(seed=6)
    fleet.play(8.0, 1.8)
    fail(fleet)
    outcomes = fleet.play(10.0, 1.8)
    assert in_time_share(outcomes, 1) >= 0.9 * room_of_urgent(outcomes, 1.8)
    assert in_time_share(outcomes, 2) > 0.25 * served_share(outcomes)
    assert fleet.refused_while_free == 0


def test_no_overload_while_slots_are_idle():
    """Queues at single targets are no reason to prefer any priority."""
    shedder = make_shedder(idle_slots=8.0)
    shedder.update_peer("p", {SERVICE: [PriorityLoad(1, 30.0, 7.0)]}, 0.0)
    assert not shedder.state(SERVICE, 0.1).is_overloaded
    shedder.update_peer("p", {SERVICE: [PriorityLoad(1, 30.0, 15.0)]}, 0.2)
    assert shedder.state(SERVICE, 0.4).is_overloaded


def test_silent_peer_no_longer_counts_as_load_but_as_one_that_serves():
    shedder = make_shedder(idle_slots=0.0)
    peer_load = {SERVICE: [PriorityLoad(1, 30.0, 20.0)]}
    shedder.update_peer("peer", peer_load, 0.0)
    shedder.count_request(
        SERVICE,
        route="r",
        priority=1,
        service_s=10.0,
        tolerable_wait_s=0.1,
        is_returning=False,
        now=0.0,
    )
    fresh = shedder.state(SERVICE, 0.0)
    assert fresh.is_overloaded
    assert fresh.own_part == pytest.approx(0.25)
    shedder.update_peer("peer", peer_load, 0.1)
    silent_for_s = REPORT_EXPIRY_S + 1.0
    shedder.count_request(
        SERVICE,
        route="r",
        priority=1,
        service_s=10.0,
        tolerable_wait_s=0.1,
        is_returning=False,
        now=silent_for_s,
    )
    silent = shedder.state(SERVICE, silent_for_s)
    assert not silent.is_overloaded
    assert 0.2 < silent.own_part < 0.3
    gone = shedder.state(SERVICE, SILENT_PEER_EXPIRY_S + 1.0)
    assert gone.own_part == 1.0


LEAST = 0.2


def step(shares, refused, *, is_overloaded=True):
    """Returns the shares after a step; all priorities want the same."""
    loads = [
        PriorityLoad(priority, 10.0, part, rate=10.0, refused_rate=part)
        for priority, part in refused.items()
    ]
    return next_shares(
        shares,
        loads,
        least=LEAST,
        is_overloaded=is_overloaded,
        elapsed_s=0.2,
    )


def test_the_lowest_share_falls_first():
    refused = {0: 1.0, 1: 1.0, 2: 1.0}
    shares = step({0: 1.0, 1: 1.0, 2: 1.0}, refused)
    assert shares[0] == shares[1] == 1.0
    assert shares[2] < 1.0
    shares = step({0: 1.0, 1: 1.0, 2: LEAST}, refused)
    assert shares[2] == LEAST
    assert shares[1] < 1.0


def test_the_highest_share_rises_first():
    shares = step({0: 1.0, 1: 0.6, 2: LEAST}, {0: 0.0, 1: 3.0, 2: 5.0})
    assert shares[1] > 0.6
    assert shares[2] == LEAST


def test_all_shares_rise_without_an_overload():
    shares = step({0: 1.0, 1: 0.6}, {0: 0.0, 1: 3.0}, is_overloaded=False)
    assert shares[1] > 0.6


def test_shares_rest_while_few_urgent_requests_are_refused():
    before = {0: 1.0, 1: 0.6}
    assert step(before, {0: PRESSURE_AIM_RATIO * 5.0, 1: 5.0}) == before


def test_reports_add_up_by_priority():
    sums = add_loads(
        [
            {"a": [PriorityLoad(1, 2.0, 1.0, 1.5, 0.5)], "b": []},
            {"a": [PriorityLoad(0, 4.0), PriorityLoad(1, 1.0)]},
        ]
    )
    assert sums["a"] == [
        PriorityLoad(0, 4.0),
        PriorityLoad(1, 3.0, 1.0, 1.5, 0.5),
    ]
