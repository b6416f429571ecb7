"""Rate allocation: loans by demand compared with an equal static split.

Both get the same arrivals. One reference bucket per account, with the whole
rate and burst, decides which requests were within the account's rate.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.settings import ShareSettings
from kingcupvane.version.items import Account
from kingcupvane.version.rate_allocator import RateAllocator
from kingcupvane.version.rate_division import RateAllocationRecord

SEED = 11
DURATION_S = 120
STEP_S = 0.05
SHIFT_AT_S = 60
ENTRIES = [f"e{number}" for number in range(6)]
SETTINGS = ShareSettings()


@dataclass(frozen=True, kw_only=True)
class Demand:
    """Demand of an account over time.

    Attributes:
        account: The account.
        rate_at: Returns its requests per second at a time, in seconds, and an
            entry.
    """

    account: Account
    rate_at: Callable[[float, str], float]


def skewed(second: float, entry: str) -> float:
    """Returns an entry's part of demand of which 90 % arrives at `e0`."""
    del second
    return 0.9 * 90 if entry == "e0" else 0.02 * 90


def greedy(second: float, entry: str) -> float:
    """Returns an entry's equal part of five times the account's rate."""
    del second, entry
    return 5 * 50 / len(ENTRIES)


def shifting(second: float, entry: str) -> float:
    """Returns demand that shifts to other entries at `SHIFT_AT_S`.

    The entries before and after the shift stand for two data centres.
    """
    before = second < SHIFT_AT_S
    active_entries = ("e2", "e3") if before else ("e4", "e5")
    return 40.0 if entry in active_entries else 0.0


DEMANDS = [
    Demand(account=Account(name="skewed", rate=100, burst=100), rate_at=skewed),
    Demand(account=Account(name="greedy", rate=50, burst=50), rate_at=greedy),
    Demand(
        account=Account(name="shifting", rate=100, burst=100),
        rate_at=shifting,
    ),
]


@dataclass(kw_only=True)
class AccountResult:
    """Counts of an account's requests by result.

    Attributes:
        sent: All requests.
        within_rate: Requests that the reference bucket admits.
        refused_within_rate: Requests refused although within the rate.
        admitted: Requests that the entries' buckets admit.
        excess: Unused; always 0.
        refused_by_second: Requests refused although within the rate, by second
            of the simulation.
    """

    sent: int = 0
    within_rate: int = 0
    refused_within_rate: int = 0
    admitted: int = 0
    excess: int = 0
    refused_by_second: dict[int, int] = field(default_factory=dict)


class EqualSplit:
    """Static allocation: equal shares of rate and burst for all entries.

    Attributes:
        calls: Number of store calls, always 0.
    """

    calls = 0

    def update(self, now: float) -> None:
        """Does nothing; the allocation is static."""

    def limits(self, account: Account, entry: str, now: float) -> tuple:
        """Returns the rate and burst of an account at an entry."""
        del entry, now
        count = len(ENTRIES)
        return account.rate / count, max(1.0, account.burst / count)

    def count_arrival(self, account: str, entry: str, now: float) -> None:
        """Does nothing; demand has no effect."""


class LoanAllocation:
    """Allocation by one `RateAllocator` per entry, over one record in memory.

    Attributes:
        calls: Number of store calls: one read per round, one write per change.
        bytes: Size of the record as JSON, in bytes.
    """

    def __init__(self):
        """Creates an empty record and staggers the rounds of the entries."""
        self._record = RateAllocationRecord()
        self._next_round_at = {
            name: index * SETTINGS.period_s / len(ENTRIES)
            for index, name in enumerate(ENTRIES)
        }
        self._allocators = {
            name: RateAllocator(name=name, incarnation=1, settings=SETTINGS)
            for name in ENTRIES
        }
        self.calls = 0
        self.bytes = 0

    def update(self, now: float) -> None:
        """Runs the allocation rounds that are due; counts store calls."""
        accounts = [demand.account for demand in DEMANDS]
        for name, next_round_at in self._next_round_at.items():
            if now < next_round_at:
                continue
            self._next_round_at[name] = now + SETTINGS.period_s
            self.calls += 1
            allocator = self._allocators[name]
            new_record = allocator.next_record(
                self._record, accounts, ENTRIES, now
            )
            if new_record is not None:
                self.calls += 1
                self._record = new_record
                allocator.confirm(new_record, started_at=now)
        self.bytes = len(msgspec.json.encode(self._record))

    def limits(self, account: Account, entry: str, now: float) -> tuple:
        """Returns the rate and burst of an account at an entry."""
        share = self._allocators[entry].share(account, now)
        return share.rate, share.burst

    def count_arrival(self, account: str, entry: str, now: float) -> None:
        """Counts an arrival as demand at an entry."""
        self._allocators[entry].count_arrival(account, now)


def arrivals(demand: Demand, rng: random.Random) -> Iterator[tuple]:
    """Yields the time, in seconds, and the entry of each request, by time."""
    steps = int(DURATION_S / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        for entry in ENTRIES:
            expected = demand.rate_at(now, entry) * STEP_S
            count = int(expected) + (rng.random() < expected % 1)
            for _ in range(count):
                yield now, entry


def simulate(allocation) -> dict[str, AccountResult]:
    """Runs one allocation for all accounts; returns results by account."""
    rng = random.Random(SEED)
    arrivals_by_account = {
        d.account.name: list(arrivals(d, rng)) for d in DEMANDS
    }
    positions = dict.fromkeys(arrivals_by_account, 0)
    results = {name: AccountResult() for name in arrivals_by_account}
    reference_buckets = {
        d.account.name: make_full_bucket(d.account) for d in DEMANDS
    }
    buckets = {
        (d.account.name, e): TokenBucket(now=0.0)
        for d in DEMANDS
        for e in ENTRIES
    }
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        allocation.update(now)
        for demand in DEMANDS:
            account = demand.account
            account_arrivals = arrivals_by_account[account.name]
            while positions[account.name] < len(account_arrivals):
                at, entry = account_arrivals[positions[account.name]]
                if at > now:
                    break
                positions[account.name] += 1
                allocation.count_arrival(account.name, entry, now)
                bucket = buckets[(account.name, entry)]
                rate, burst = allocation.limits(account, entry, now)
                bucket.resize(rate=rate, burst=burst, now=now)
                record_request(
                    results[account.name],
                    within_rate=reference_buckets[account.name].try_acquire(
                        now
                    ),
                    admitted=bucket.try_acquire(now),
                    now=now,
                )
    return results


def make_full_bucket(account: Account) -> TokenBucket:
    """Returns a bucket with the account's whole rate, full at time 0."""
    bucket = TokenBucket(now=-1e6)
    bucket.resize(rate=account.rate, burst=account.burst, now=-1e6)
    return bucket


def record_request(
    result: AccountResult, *, within_rate: bool, admitted: bool, now: float
) -> None:
    """Counts one request in its account's result."""
    result.sent += 1
    result.within_rate += within_rate
    result.admitted += admitted
    if within_rate and not admitted:
        result.refused_within_rate += 1
        second = int(now)
        refused = result.refused_by_second
        refused[second] = refused.get(second, 0) + 1


def adaptation_s(result: AccountResult) -> float:
    """Returns the time that the allocation took to follow the shift.

    Returns:
        Seconds from the shift to the end of the last second in which a request
        within the rate was refused; 0 if there is none.
    """
    refused_seconds = [s for s in result.refused_by_second if s >= SHIFT_AT_S]
    return max(refused_seconds) - SHIFT_AT_S + 1 if refused_seconds else 0


def run() -> None:
    """Runs both allocations and prints their results."""
    print(f"seed {SEED}, {DURATION_S} s, {len(ENTRIES)} entries")
    for name, allocation in (
        ("equal split", EqualSplit()),
        ("loans", LoanAllocation()),
    ):
        results = simulate(allocation)
        print(f"{name}: {allocation.calls / DURATION_S:.2f} store calls/s")
        worst_ratio = 1.0
        for account, result in results.items():
            ratio = result.admitted / max(1, result.within_rate)
            worst_ratio = min(worst_ratio, ratio)
            print(
                f"  {account}: sent {result.sent},"
                f" within rate {result.within_rate},"
                f" admitted {result.admitted} ({ratio:.1%})"
            )
        print(f"  worst-served account gets {worst_ratio:.1%} of its due")
        print(f"  shift followed after {adaptation_s(results['shifting'])} s")
