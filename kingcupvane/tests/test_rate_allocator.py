"""Tests of the allocation of accounts' rates to the entries."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.settings import ShareSettings
from kingcupvane.version.division import (
    RateAllocationRecord,
    RateShare,
    entry_floor,
    water_fill,
)
from kingcupvane.version.items import Account
from kingcupvane.version.rate_allocator import DemandMeter, RateAllocator

ACCOUNT = Account(name="acme", rate=100.0, burst=200.0)
SETTINGS = ShareSettings()
TOLERANCE = 1e-6


@dataclass
class World:
    """Simulates several entries that share one record in the store."""

    names: list[str]
    now: float = 100.0
    record: RateAllocationRecord = field(default_factory=RateAllocationRecord)
    revision: int = 0
    incarnation: int = 1
    holders: dict[str, RateAllocator] = field(default_factory=dict)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    admitted: list[float] = field(default_factory=list)
    reads: dict[str, tuple[int, RateAllocationRecord]] = field(
        default_factory=dict
    )

    def __post_init__(self):
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        self.incarnation += 1
        self.holders[name] = RateAllocator(
            name=name, incarnation=self.incarnation, settings=SETTINGS
        )
        self.buckets[name] = TokenBucket(now=self.now)
        self.reads.pop(name, None)

    def read(self, name):
        self.reads[name] = (self.revision, self.record)

    def write(self, name, *, lost=False):
        """Plans on the last read, which may be stale, and writes."""
        if name not in self.reads:
            self.read(name)
        revision, record = self.reads.pop(name)
        holder = self.holders[name]
        planned = holder.plan(record, [ACCOUNT], self.names, self.now)
        if planned is None or revision != self.revision:
            return
        self.record = planned
        self.revision += 1
        if not lost:
            holder.confirm(planned, started_at=self.now)

    def arrive(self, name, count):
        holder = self.holders[name]
        bucket = self.buckets[name]
        for _ in range(count):
            holder.count_arrival("acme", self.now)
            share = holder.share(ACCOUNT, self.now)
            bucket.resize(rate=share.rate, burst=share.burst, now=self.now)
            if bucket.try_acquire(self.now):
                self.admitted.append(self.now)

    def check_sum(self):
        shares = [h.share(ACCOUNT, self.now) for h in self.holders.values()]
        assert sum(s.rate for s in shares) <= ACCOUNT.rate + TOLERANCE
        assert sum(s.burst for s in shares) <= ACCOUNT.burst + TOLERANCE

    def check_windows(self):
        """Checks that the admitted requests fit into one token bucket.

        They then keep to rate and burst in every window of time.
        """
        tokens = ACCOUNT.burst
        at = 0.0
        for moment in self.admitted:
            gained = (moment - at) * ACCOUNT.rate
            tokens = min(ACCOUNT.burst, tokens + gained) - 1
            at = moment
            assert tokens >= -TOLERANCE


class Chaos:
    """Random load, lost replies, pauses and restarts, from a seed."""

    def __init__(self, *, seed):
        """Starts four entries without load."""
        self.random = random.Random(seed)
        self.world = World(names=["a", "b", "c", "d"])
        self.hot = "a"
        self.paused = set()

    def step(self):
        pick = self.random.random()
        name = self.random.choice(self.world.names)
        if pick < 0.45:
            self.control(name)
        elif pick < 0.75:
            self.load()
        elif pick < 0.95:
            self.world.now += self.random.choice([0.05, 0.3, 1.0, 3.0])
        elif pick < 0.97:
            self.hot = name
        elif pick < 0.98:
            self.world.restart(name)
        elif pick < 0.985:
            self.world.holders[name].release()
            self.world.write(name)
            self.world.restart(name)
        else:
            self.paused ^= {name}

    def control(self, name):
        if name in self.paused:
            return
        if self.random.random() < 0.3:
            self.world.read(name)
            return
        self.world.write(name, lost=self.random.random() < 0.3)

    def load(self):
        self.world.arrive(self.hot, self.random.randint(1, 120))
        other = self.random.choice(self.world.names)
        self.world.arrive(other, self.random.randint(0, 20))


@pytest.mark.parametrize("seed", range(40))
def test_no_interleaving_exceeds_rate_or_burst(seed):
    chaos = Chaos(seed=seed)
    for _ in range(400):
        chaos.step()
        chaos.world.check_sum()
    chaos.world.check_windows()
    assert len(chaos.world.admitted) > ACCOUNT.burst


def settle(world, rounds, *, demand_by_name, period_s=2.0):
    for _ in range(rounds):
        world.now += period_s
        for name, demand in demand_by_name.items():
            holder = world.holders[name]
            for _ in range(int(demand * period_s)):
                holder.count_arrival("acme", world.now)
        for name in demand_by_name:
            world.write(name)


def test_share_follows_demand():
    world = World(names=["a", "b"])
    settle(world, 8, demand_by_name={"a": 90, "b": 0})
    assert world.holders["a"].share(ACCOUNT, world.now).rate > 90
    settle(world, 8, demand_by_name={"a": 0, "b": 90})
    assert world.holders["b"].share(ACCOUNT, world.now).rate > 90


def test_idle_entries_divide_the_pool_evenly():
    world = World(names=["a", "b", "c", "d"])
    settle(world, 6, demand_by_name=dict.fromkeys("abcd", 0))
    rates = [h.share(ACCOUNT, world.now).rate for h in world.holders.values()]
    assert min(rates) == pytest.approx(25, abs=1)


def test_cut_holder_keeps_its_floor_and_loses_its_loan():
    world = World(names=["a", "b"])
    settle(world, 4, demand_by_name={"a": 50, "b": 50})
    world.now += SETTINGS.loan_ttl_s
    assert world.holders["a"].share(ACCOUNT, world.now) == entry_floor(ACCOUNT)


def test_loan_of_a_dead_holder_returns_after_its_life():
    world = World(names=["a", "b"])
    settle(world, 4, demand_by_name={"a": 100, "b": 0})
    settle(world, 8, demand_by_name={"b": 100})
    floors = 2 * entry_floor(ACCOUNT).rate
    share = world.holders["b"].share(ACCOUNT, world.now)
    assert share.rate > 0.9 * (ACCOUNT.rate - floors)


def test_entry_that_starts_late_gets_its_floor():
    world = World(names=["a", "b"])
    settle(world, 6, demand_by_name={"a": 100})
    settle(world, 4, demand_by_name={"a": 100, "b": 2})
    share = world.holders["b"].share(ACCOUNT, world.now)
    assert share.rate >= entry_floor(ACCOUNT).rate


def test_account_too_small_for_floors_is_lent_whole():
    small = Account(name="small", rate=2.0, burst=4.0)
    assert entry_floor(small) == RateShare()


@given(
    st.floats(0.1, 1000),
    st.dictionaries(st.text(min_size=1), st.floats(0, 1000), min_size=1),
)
def test_water_fill_never_grants_more_than_the_pool(pool, demand_by_name):
    granted = water_fill(pool, demand_by_name)
    assert sum(granted.values()) <= pool * (1 + 1e-9)


def test_demand_meter_forgets():
    meter = DemandMeter(now=0.0)
    for _ in range(100):
        meter.count()
    assert meter.sample(1.0) > 20
    assert meter.sample(21.0) < 1
