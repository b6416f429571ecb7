"""Tests of the allocation of accounts' rates to the entries."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.settings import ShareSettings
from kingcupvane.version.items import Account
from kingcupvane.version.rate_allocator import DemandMeter, RateAllocator
from kingcupvane.version.rate_division import (
    RateAllocationRecord,
    RateShare,
    entry_floor,
    water_fill,
)

ACCOUNT = Account(name="acme", rate=100.0, burst=200.0)
SETTINGS = ShareSettings()
TOLERANCE = 1e-6


@dataclass
class SimulatedEntries:
    """Simulates several entries that share one record in the store."""

    names: list[str]
    now: float = 100.0
    record: RateAllocationRecord = field(default_factory=RateAllocationRecord)
    revision: int = 0
    incarnation: int = 1
    allocators_by_name: dict[str, RateAllocator] = field(default_factory=dict)
    buckets_by_name: dict[str, TokenBucket] = field(default_factory=dict)
    admitted_at: list[float] = field(default_factory=list)
    reads_by_name: dict[str, tuple[int, RateAllocationRecord]] = field(
        default_factory=dict
    )

    def __post_init__(self):
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        self.incarnation += 1
        self.allocators_by_name[name] = RateAllocator(
            name=name, incarnation=self.incarnation, settings=SETTINGS
        )
        self.buckets_by_name[name] = TokenBucket(now=self.now)
        self.reads_by_name.pop(name, None)

    def read(self, name):
        self.reads_by_name[name] = (self.revision, self.record)

    def write(self, name, *, reply_lost=False):
        """Plans on the last read, which may be stale, and writes."""
        if name not in self.reads_by_name:
            self.read(name)
        revision, record = self.reads_by_name.pop(name)
        allocator = self.allocators_by_name[name]
        planned = allocator.next_record(record, [ACCOUNT], self.names, self.now)
        if planned is None or revision != self.revision:
            return
        self.record = planned
        self.revision += 1
        if not reply_lost:
            allocator.confirm(planned, started_at=self.now)

    def arrive(self, name, count):
        allocator = self.allocators_by_name[name]
        bucket = self.buckets_by_name[name]
        for _ in range(count):
            allocator.count_arrival("acme", self.now)
            share = allocator.share(ACCOUNT, self.now)
            bucket.resize(rate=share.rate, burst=share.burst, now=self.now)
            if bucket.try_acquire(self.now):
                self.admitted_at.append(self.now)

    def check_allocated_sum(self):
        shares = [
            allocator.share(ACCOUNT, self.now)
            for allocator in self.allocators_by_name.values()
        ]
        assert sum(share.rate for share in shares) <= ACCOUNT.rate + TOLERANCE
        assert sum(share.burst for share in shares) <= ACCOUNT.burst + TOLERANCE

    def check_admitted_requests(self):
        """Checks that the admitted requests fit into one token bucket.

        They then keep to rate and burst in every window of time.
        """
        tokens = ACCOUNT.burst
        previous = 0.0
        for arrived_at in self.admitted_at:
            gained = (arrived_at - previous) * ACCOUNT.rate
            tokens = min(ACCOUNT.burst, tokens + gained) - 1
            previous = arrived_at
            assert tokens >= -TOLERANCE


class RandomSchedule:
    """Random load, lost replies, pauses and restarts, from a seed."""

    def __init__(self, *, seed):
        """Starts four entries without load."""
        self.random = random.Random(seed)
        self.entries = SimulatedEntries(names=["a", "b", "c", "d"])
        self.busy_entry = "a"
        self.paused = set()

    def step(self):
        draw = self.random.random()
        name = self.random.choice(self.entries.names)
        if draw < 0.45:
            self.allocate(name)
        elif draw < 0.75:
            self.send_requests()
        elif draw < 0.95:
            self.entries.now += self.random.choice([0.05, 0.3, 1.0, 3.0])
        elif draw < 0.97:
            self.busy_entry = name
        elif draw < 0.98:
            self.entries.restart(name)
        elif draw < 0.985:
            self.entries.allocators_by_name[name].release()
            self.entries.write(name)
            self.entries.restart(name)
        else:
            self.paused ^= {name}

    def allocate(self, name):
        if name in self.paused:
            return
        if self.random.random() < 0.3:
            self.entries.read(name)
            return
        self.entries.write(name, reply_lost=self.random.random() < 0.3)

    def send_requests(self):
        self.entries.arrive(self.busy_entry, self.random.randint(1, 120))
        other = self.random.choice(self.entries.names)
        self.entries.arrive(other, self.random.randint(0, 20))


@pytest.mark.parametrize("seed", range(40))
def test_entries_together_never_exceed_rate_or_burst(seed):
    schedule = RandomSchedule(seed=seed)
    for _ in range(400):
        schedule.step()
        schedule.entries.check_allocated_sum()
    schedule.entries.check_admitted_requests()
    assert len(schedule.entries.admitted_at) > ACCOUNT.burst


def run_rounds(entries, rounds, *, demand_by_name, period_s=2.0):
    for _ in range(rounds):
        entries.now += period_s
        for name, demand in demand_by_name.items():
            allocator = entries.allocators_by_name[name]
            for _ in range(int(demand * period_s)):
                allocator.count_arrival("acme", entries.now)
        for name in demand_by_name:
            entries.write(name)


def test_share_follows_demand():
    entries = SimulatedEntries(names=["a", "b"])
    run_rounds(entries, 8, demand_by_name={"a": 90, "b": 0})
    assert entries.allocators_by_name["a"].share(ACCOUNT, entries.now).rate > 90
    run_rounds(entries, 8, demand_by_name={"a": 0, "b": 90})
    assert entries.allocators_by_name["b"].share(ACCOUNT, entries.now).rate > 90


def test_idle_entries_get_equal_rates():
    entries = SimulatedEntries(names=["a", "b", "c", "d"])
    run_rounds(entries, 6, demand_by_name=dict.fromkeys("abcd", 0))
    rates = [
        allocator.share(ACCOUNT, entries.now).rate
        for allocator in entries.allocators_by_name.values()
    ]
    assert min(rates) == pytest.approx(25, abs=1)


def test_entry_that_cannot_renew_keeps_its_floor_and_loses_its_loan():
    entries = SimulatedEntries(names=["a", "b"])
    run_rounds(entries, 4, demand_by_name={"a": 50, "b": 50})
    entries.now += SETTINGS.loan_ttl_s
    assert entries.allocators_by_name["a"].share(
        ACCOUNT, entries.now
    ) == entry_floor(ACCOUNT)


def test_loan_of_a_stopped_entry_is_reallocated_after_its_ttl():
    entries = SimulatedEntries(names=["a", "b"])
    run_rounds(entries, 4, demand_by_name={"a": 100, "b": 0})
    run_rounds(entries, 8, demand_by_name={"b": 100})
    floors = 2 * entry_floor(ACCOUNT).rate
    share = entries.allocators_by_name["b"].share(ACCOUNT, entries.now)
    assert share.rate > 0.9 * (ACCOUNT.rate - floors)


def test_entry_that_starts_late_gets_its_floor():
    entries = SimulatedEntries(names=["a", "b"])
    run_rounds(entries, 6, demand_by_name={"a": 100})
    run_rounds(entries, 4, demand_by_name={"a": 100, "b": 2})
    share = entries.allocators_by_name["b"].share(ACCOUNT, entries.now)
    assert share.rate >= entry_floor(ACCOUNT).rate


def test_account_with_a_small_rate_has_no_floor():
    small = Account(name="small", rate=2.0, burst=4.0)
    assert entry_floor(small) == RateShare()


@given(
    st.floats(0.1, 1000),
    st.dictionaries(st.text(min_size=1), st.floats(0, 1000), min_size=1),
)
def test_water_fill_never_grants_more_than_the_pool(pool, demand_by_name):
    granted = water_fill(pool, demand_by_name)
    assert sum(granted.values()) <= pool * (1 + 1e-9)


def test_demand_decays_without_arrivals():
    meter = DemandMeter(now=0.0)
    for _ in range(100):
        meter.count()
    assert meter.sample(1.0) > 20
    assert meter.sample(21.0) < 1
