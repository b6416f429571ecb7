"""Tests of the division of an account's limit among gateways.

Each replays seeded arrivals at several gateways that report to each other
every 0.2 s, and counts what they admit together in every window.
"""

import random

import pytest

from kingcupvane.process.reporting import DATA_CENTRE_SILENCE_S
from kingcupvane.process.summary import UsageTotals
from kingcupvane.request.quota import DistributedQuota
from kingcupvane.version.plan import AccountPlan

# Each of two gateways asks the other every 0.4 s, so news come twice as often.
REPORT_S = 0.2
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20


def account(rate):
    return AccountPlan(
        name="a",
        keys=frozenset(),
        priority=None,
        rate=rate,
        burst=rate,
        regions=frozenset(),
    )


class Fleet:
    """Gateways on one clock; `heard` says who hears whom."""

    def __init__(self, *, count, plan, is_initial_deployment=True):
        """Starts gateways that all hear each other."""
        self.plan = plan
        self.now = 0.0
        self.heard = lambda one, other: True
        self.incarnations = [1] * count
        self.gateways = [
            DistributedQuota(
                now=0.0, is_initial_deployment=is_initial_deployment
            )
            for _ in range(count)
        ]
        self._reported_at = 0.0
        self.admitted = []
        self.refused = 0

    def restart(self, index):
        self.incarnations[index] += 1
        self.gateways[index] = DistributedQuota(now=self.now)

    def report(self):
        for i, one in enumerate(self.gateways):
            for j, other in enumerate(self.gateways):
                if i != j and self.heard(i, j):
                    other.update_peer(
                        str(i),
                        one.usage_by_account(self.now),
                        source=str(i),
                        incarnation=self.incarnations[i],
                        now=self.now,
                    )
        for gateway in self.gateways:
            gateway.update_shares([self.plan], self.now)

    def play(self, *, seed, demand, seconds, at=None):
        """Lets requests come; `at` picks the gateway of each."""
        chance = random.Random(seed)
        end = self.now + seconds
        while self.now < end:
            self.now += chance.expovariate(demand)
            while self.now - self._reported_at >= REPORT_S:
                self._reported_at += REPORT_S
                self.report()
            index = (
                at(chance, self.now)
                if at
                else (chance.randrange(len(self.gateways)))
            )
            if self.gateways[index].admit(self.plan, self.now):
                self.admitted.append(self.now)
            else:
                self.refused += 1

    def worst_window(self):
        worst = 0
        first = 0
        for last, time in enumerate(self.admitted):
            while time - self.admitted[first] > WINDOW_S:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    def bound(self):
        plan = self.plan
        return (plan.rate * WINDOW_S + plan.burst) * (1 + OVERAGE) + SLACK


class LayeredFleet(Fleet):
    """Gateways in data centres whose hubs exchange summaries.

    A summary has the figures that the hub last heard, and reaches the other
    gateways of a data centre with their hub's next report.
    """

    def __init__(self, *, centres, members, plan):
        """Starts `members` gateways in each of `centres` data centres."""
        super().__init__(count=centres * members, plan=plan)
        self.members = members
        self.hub_by_centre = [c * members for c in range(centres)]
        self.totals = [UsageTotals() for _ in self.gateways]
        self.summaries_by_hub = {}
        self.rounds = 0

    def report(self):
        """Makes the hops of one period; hubs talk in every second one."""
        self.rounds += 1
        self._report_near()
        if self.rounds % 2:
            self._report_far()
        for gateway in self.gateways:
            gateway.update_shares([self.plan], self.now)

    def _report_near(self):
        news_by_hub, self.summaries_by_hub = self.summaries_by_hub, {}
        for i, one in enumerate(self.gateways):
            use = one.usage_by_account(self.now)
            for j, other in enumerate(self.gateways):
                if i // self.members != j // self.members:
                    continue
                self.totals[j].update(str(i), self.incarnations[i], use)
                if i == j:
                    continue
                other.update_peer(
                    str(i),
                    use,
                    source=str(i),
                    incarnation=self.incarnations[i],
                    now=self.now,
                )
                for heard in news_by_hub.get(i, {}).items():
                    self._log_event(j, *heard)

    def _report_far(self):
        for one in self.hub_by_centre:
            near = self.gateways[one // self.members * self.members :][
                : self.members
            ]
            self.totals[one].update(
                str(one),
                self.incarnations[one],
                self.gateways[one].usage_by_account(self.now),
            )
            use = self.totals[one].usage_by_account(
                g.usage_by_account(self.now) for g in near
            )
            for other in self.hub_by_centre:
                if one != other and self.heard(one, other):
                    heard = self.summaries_by_hub.setdefault(other, {})
                    heard[one // self.members] = (one, use)
                    self._log_event(other, one // self.members, (one, use))

    def _log_event(self, to, centre, told):
        source, use = told
        self.gateways[to].update_peer(
            f"centre {centre}",
            use,
            source=str(source),
            incarnation=self.incarnations[source],
            now=self.now,
            silence_timeout_s=DATA_CENTRE_SILENCE_S,
        )

    def change_hubs(self):
        """Lets the next gateway of each data centre be its hub."""
        for centre, hub in enumerate(self.hub_by_centre):
            following = (hub + 1) % self.members
            self.hub_by_centre[centre] = centre * self.members + following
        self.summaries_by_hub.clear()


@pytest.mark.parametrize("rate", [8, 40, 230])
@pytest.mark.parametrize("seed", range(3))
def test_layers_keep_an_account_within_its_limit(rate, seed):
    fleet = LayeredFleet(centres=6, members=2, plan=account(rate))
    fleet.play(seed=seed, demand=rate / 1.6, seconds=10)
    assert fleet.refused <= 0.01 * len(fleet.admitted)
    fleet.play(seed=seed + 9, demand=rate * 4.7, seconds=15)
    assert fleet.worst_window() <= fleet.bound()


@pytest.mark.parametrize("seed", range(3))
def test_layers_go_on_when_hubs_change(seed):
    fleet = LayeredFleet(centres=6, members=3, plan=account(60))
    fleet.play(seed=seed, demand=38, seconds=10)
    for turn in range(4):
        fleet.change_hubs()
        fleet.play(seed=seed + turn, demand=38, seconds=3)
    assert fleet.refused <= 0.02 * len(fleet.admitted)
    fleet.change_hubs()
    fleet.play(seed=seed + 9, demand=280, seconds=10)
    assert fleet.worst_window() <= fleet.bound()


@pytest.mark.parametrize("rate", [60, 200])
@pytest.mark.parametrize("seed", range(5))
def test_parted_layers_stay_below_the_bound(rate, seed):
    fleet = LayeredFleet(centres=6, members=2, plan=account(rate))
    fleet.play(seed=seed, demand=rate / 1.6, seconds=10)
    fleet.heard = lambda one, other: (one < 4) == (other < 4)
    fleet.play(seed=seed + 1, demand=4.7 * rate, seconds=10)
    assert fleet.worst_window() <= fleet.bound()


@pytest.mark.parametrize("rate", [8, 40, 230])
@pytest.mark.parametrize("seed", range(3))
def test_account_within_its_rate_is_hardly_refused(rate, seed):
    fleet = Fleet(count=10, plan=account(rate))
    fleet.play(seed=seed, demand=rate / 1.6, seconds=30)
    assert fleet.refused <= 0.01 * len(fleet.admitted)


@pytest.mark.parametrize("rate", [8, 40, 230])
@pytest.mark.parametrize("seed", range(3))
def test_account_far_over_its_rate_stays_below_the_bound(rate, seed):
    fleet = Fleet(count=10, plan=account(rate))
    fleet.play(seed=seed, demand=rate / 1.6, seconds=10)
    fleet.play(seed=seed + 9, demand=rate * 4.7, seconds=15)
    assert fleet.worst_window() <= fleet.bound()


@pytest.mark.parametrize("seed", range(3))
def test_account_over_its_rate_gets_its_rate(seed):
    fleet = Fleet(count=10, plan=account(40))
    fleet.play(seed=seed, demand=120, seconds=20)
    assert len(fleet.admitted) >= 0.9 * 40 * 20


@pytest.mark.parametrize("seed", range(3))
def test_two_sides_of_a_partition_stay_below_the_bound(seed):
    fleet = Fleet(count=10, plan=account(60))
    fleet.play(seed=seed, demand=38, seconds=10)
    fleet.heard = lambda one, other: (one < 4) == (other < 4)
    fleet.play(seed=seed + 1, demand=280, seconds=10)
    assert fleet.worst_window() <= fleet.bound()


@pytest.mark.parametrize("seed", range(3))
def test_restarts_hand_out_no_second_burst(seed):
    fleet = Fleet(count=10, plan=account(60))
    fleet.play(seed=seed, demand=280, seconds=6)
    for index in range(10):
        fleet.restart(index)
        fleet.play(seed=seed + index, demand=280, seconds=0.3)
    assert fleet.worst_window() <= fleet.bound()


@pytest.mark.parametrize("seed", range(3))
def test_demand_that_moves_is_followed(seed):
    fleet = Fleet(count=10, plan=account(60))
    fleet.play(seed=seed, demand=38, seconds=10, at=lambda c, now: 0)
    fleet.refused = 0
    fleet.admitted.clear()
    fleet.play(seed=seed, demand=38, seconds=10, at=lambda c, now: 7)
    assert fleet.refused <= 0.02 * len(fleet.admitted)
