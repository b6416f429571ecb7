"""Division of rates: loans by demand against an equal static split.

Both see the same arrivals. A central bucket with the whole rate and burst
tells which requests were within the account's rate.
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
SECONDS = 120
STEP_S = 0.05
SHIFT_AT_S = 60
ENTRIES = [f"e{number}" for number in range(6)]
SETTINGS = ShareSettings()


@dataclass(frozen=True, kw_only=True)
class Demand:
    """An account and what it sends to each entry, by second."""

    account: Account
    rate_at: Callable[[float, str], float]


def skewed(second: float, entry: str) -> float:
    """Nine tenths of the demand arrive at one entry."""
    del second
    return 0.9 * 90 if entry == "e0" else 0.02 * 90


def greedy(second: float, entry: str) -> float:
    """Five times the account's rate, over all entries."""
    del second, entry
    return 5 * 50 / len(ENTRIES)


def shifting(second: float, entry: str) -> float:
    """All demand moves from one data centre to another."""
    before = second < SHIFT_AT_S
    home = ("e2", "e3") if before else ("e4", "e5")
    return 40.0 if entry in home else 0.0


DEMANDS = [
    Demand(account=Account(name="skewed", rate=100, burst=100), rate_at=skewed),
    Demand(account=Account(name="greedy", rate=50, burst=50), rate_at=greedy),
    Demand(
        account=Account(name="shifting", rate=100, burst=100),
        rate_at=shifting,
    ),
]


@dataclass(kw_only=True)
class Score:
    """What became of an account's requests."""

    sent: int = 0
    within: int = 0
    refused_within: int = 0
    admitted: int = 0
    excess: int = 0
    refused_by_second: dict[int, int] = field(default_factory=dict)


class EqualSplit:
    """Every entry has the same part of the rate for good."""

    calls = 0

    def shares(self, now: float) -> None:
        """Changes nothing."""

    def size(self, account: Account, entry: str, now: float) -> tuple:
        """Returns rate and burst of an entry."""
        del entry, now
        count = len(ENTRIES)
        return account.rate / count, max(1.0, account.burst / count)

    def count(self, account: str, entry: str, now: float) -> None:
        """Ignores demand."""


class Loans:
    """The project's division, with one record in a store."""

    def __init__(self):
        """Starts with an empty record."""
        self._record = RateAllocationRecord()
        self._due = {
            name: index * SETTINGS.period_s / len(ENTRIES)
            for index, name in enumerate(ENTRIES)
        }
        self._holders = {
            name: RateAllocator(name=name, incarnation=1, settings=SETTINGS)
            for name in ENTRIES
        }
        self.calls = 0
        self.bytes = 0

    def shares(self, now: float) -> None:
        """Runs the rounds that are due."""
        accounts = [demand.account for demand in DEMANDS]
        for name, due in self._due.items():
            if now < due:
                continue
            self._due[name] = now + SETTINGS.period_s
            self.calls += 1
            holder = self._holders[name]
            planned = holder.plan(self._record, accounts, ENTRIES, now)
            if planned is not None:
                self.calls += 1
                self._record = planned
                holder.confirm(planned, started_at=now)
        self.bytes = len(msgspec.json.encode(self._record))

    def size(self, account: Account, entry: str, now: float) -> tuple:
        """Returns rate and burst of an entry."""
        share = self._holders[entry].share(account, now)
        return share.rate, share.burst

    def count(self, account: str, entry: str, now: float) -> None:
        """Counts an arrival."""
        self._holders[entry].count_arrival(account, now)


def arrivals(demand: Demand, rng: random.Random) -> Iterator[tuple]:
    """Yields times and entries of requests, in order."""
    steps = int(SECONDS / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        for entry in ENTRIES:
            expected = demand.rate_at(now, entry) * STEP_S
            count = int(expected) + (rng.random() < expected % 1)
            for _ in range(count):
                yield now, entry


def simulate(split) -> dict[str, Score]:
    """Runs one way of dividing on all accounts."""
    rng = random.Random(SEED)
    queues = {d.account.name: list(arrivals(d, rng)) for d in DEMANDS}
    places = dict.fromkeys(queues, 0)
    scores = {name: Score() for name in queues}
    central = {d.account.name: full_bucket(d.account) for d in DEMANDS}
    buckets = {
        (d.account.name, e): TokenBucket(now=0.0)
        for d in DEMANDS
        for e in ENTRIES
    }
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        split.shares(now)
        for demand in DEMANDS:
            account = demand.account
            queue = queues[account.name]
            while places[account.name] < len(queue):
                at, entry = queue[places[account.name]]
                if at > now:
                    break
                places[account.name] += 1
                split.count(account.name, entry, now)
                bucket = buckets[(account.name, entry)]
                rate, burst = split.size(account, entry, now)
                bucket.resize(rate=rate, burst=burst, now=now)
                judge(
                    scores[account.name],
                    within=central[account.name].try_acquire(now),
                    admitted=bucket.try_acquire(now),
                    now=now,
                )
    return scores


def full_bucket(account: Account) -> TokenBucket:
    """Returns a bucket with the whole rate, full at the start."""
    bucket = TokenBucket(now=-1e6)
    bucket.resize(rate=account.rate, burst=account.burst, now=-1e6)
    return bucket


def judge(score: Score, *, within: bool, admitted: bool, now: float) -> None:
    """Counts one request."""
    score.sent += 1
    score.within += within
    score.admitted += admitted
    if within and not admitted:
        score.refused_within += 1
        second = int(now)
        refused = score.refused_by_second
        refused[second] = refused.get(second, 0) + 1


def follow_s(score: Score) -> float:
    """Returns how long after the shift requests were still refused."""
    late = [s for s in score.refused_by_second if s >= SHIFT_AT_S]
    return max(late) - SHIFT_AT_S + 1 if late else 0


def run() -> None:
    """Prints both ways side by side."""
    print(f"seed {SEED}, {SECONDS} s, {len(ENTRIES)} entries")
    for name, split in (("equal split", EqualSplit()), ("loans", Loans())):
        scores = simulate(split)
        print(f"{name}: {split.calls / SECONDS:.2f} store calls/s")
        worst = 1.0
        for account, score in scores.items():
            part = score.admitted / max(1, score.within)
            worst = min(worst, part)
            print(
                f"  {account}: sent {score.sent}, within rate {score.within},"
                f" admitted {score.admitted} ({part:.1%})"
            )
        print(f"  worst-served account gets {worst:.1%} of its due")
        print(f"  shift followed after {follow_s(scores['shifting'])} s")
