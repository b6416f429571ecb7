"""Judgement of a new version against the old one at the same time.

For each route the judge runs two sequential tests (Page's cumulative sum),
one on failures and one on slow answers. An answer is slow when it takes
longer than nine in ten answers of the old version took at the same time, so a
general overload slows both and is nobody's fault. A version that carries more
traffic than the old one may be up to twice as slow, since load slows it; when
the old version gets no traffic any more, only failures are judged. A
cumulative sum forgets good times, so a fault that shows late is found as fast
as one from the start.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from kingcupvane.version.move import Finding, Verdict

BUCKET_BASE_S = 0.001
BUCKET_RATIO = 1.25
BUCKET_COUNT = 60
SLOW_QUANTILE = 0.9
FAILURE_RISE = 0.1
SLOW_RISE = 0.35
FAILURE_FLOOR = 0.01
ALARM = 7.0
CALM = 3.5
SAMPLES_MIN = 30
ROUTE_SAMPLES_MIN = 5
REFERENCE_MIN = 20
REFERENCE_WINDOW = 150
STALE_ROUNDS = 2
FAILURE_GAIN_MAX = 3.5
SLOW_GAIN_MAX = 1.75
LOADED_SLACK_BUCKETS = 3


class Tally(msgspec.Struct, kw_only=True):
    """Exchanges with one version on one route, counted since a start.

    Attributes:
        service: Name of the service.
        version: Name of the version.
        route: Prefix of the route.
        count: Exchanges.
        failed: Those that failed.
        latencies: Exchanges by latency bucket.
    """

    service: str
    version: str
    route: str
    count: int = 0
    failed: int = 0
    latencies: list[int] = msgspec.field(
        default_factory=lambda: [0] * BUCKET_COUNT
    )

    def add(self, *, failed: bool, latency_s: float) -> None:
        """Counts an exchange."""
        self.count += 1
        self.failed += failed
        self.latencies[bucket_of(latency_s)] += 1


def bucket_of(latency_s: float) -> int:
    """Returns the index of the latency bucket, each 25% wider."""
    if latency_s <= BUCKET_BASE_S:
        return 0
    place = math.log(latency_s / BUCKET_BASE_S) / math.log(BUCKET_RATIO)
    return min(BUCKET_COUNT - 1, int(place) + 1)


def counts_since(later: Tally, earlier: Tally | None) -> Tally:
    """Returns what was counted between two readings of one tally."""
    if earlier is None or later.count < earlier.count:
        return later
    pairs = zip(later.latencies, earlier.latencies, strict=True)
    return Tally(
        service=later.service,
        version=later.version,
        route=later.route,
        count=later.count - earlier.count,
        failed=later.failed - earlier.failed,
        latencies=[a - b for a, b in pairs],
    )


class CumulativeSum:
    """Page's test for a rise of a probability.

    Attributes:
        value: Evidence for the rise, never below zero.
    """

    def __init__(self, *, gain_max: float):
        """Starts without evidence.

        Args:
            gain_max: Most evidence that one round adds. The answers of a
                round are not independent: a pause touches all of them.
        """
        self.value = 0.0
        self._gain_max = gain_max

    def add(
        self, *, hits: float, misses: float, base: float, rise: float
    ) -> None:
        """Adds the evidence of one round.

        Args:
            hits: Events.
            misses: Trials without the event.
            base: Probability of the event without a fault.
            rise: Smallest rise that counts as a fault.
        """
        raised = min(0.99, base + rise)
        gain = hits * math.log(raised / base)
        loss = misses * math.log((1 - raised) / (1 - base))
        change = min(self._gain_max, gain + loss)
        self.value = max(0.0, self.value + change)


@dataclass(kw_only=True, slots=True)
class _Reference:
    """The latest exchanges of the old version, a bounded number of them.

    A number and not a time: when load changes for all, the reference must
    follow as fast as the old version's traffic shows it.
    """

    count: float = 0.0
    failed: float = 0.0
    latencies: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    latest: int = 0
    idle_rounds: int = 0

    def add(self, tally: Tally) -> None:
        self.latest = tally.count
        if tally.count:
            self.idle_rounds = 0
        room = max(0.0, REFERENCE_WINDOW - tally.count)
        keep = min(1.0, room / self.count) if self.count else 0.0
        self.count = self.count * keep + tally.count
        self.failed = self.failed * keep + tally.failed
        pairs = zip(self.latencies, tally.latencies, strict=True)
        self.latencies = [a * keep + b for a, b in pairs]

    def failure_rate(self) -> float:
        if not self.count:
            return FAILURE_FLOOR
        return min(0.9, max(FAILURE_FLOOR, self.failed / self.count))

    def is_concurrent(self) -> bool:
        fresh = self.idle_rounds <= STALE_ROUNDS
        return fresh and self.count >= REFERENCE_MIN

    def slow_bucket(self) -> int:
        wanted = SLOW_QUANTILE * sum(self.latencies)
        passed = 0.0
        for index, count in enumerate(self.latencies):
            passed += count
            if passed >= wanted:
                return index
        return BUCKET_COUNT - 1


@dataclass(kw_only=True, slots=True)
class _RouteTest:
    reference: _Reference = field(default_factory=_Reference)
    failures: CumulativeSum = field(
        default_factory=lambda: CumulativeSum(gain_max=FAILURE_GAIN_MAX)
    )
    slowness: CumulativeSum = field(
        default_factory=lambda: CumulativeSum(gain_max=SLOW_GAIN_MAX)
    )
    new_count: int = 0


class CanaryAnalysis:
    """Evidence about one move; does no I/O."""

    def __init__(self, *, service: str, old: str, new: str):
        """Starts without evidence.

        Args:
            service: Name of the service.
            old: Name of the old version.
            new: Name of the new version.
        """
        self._service = service
        self._old = old
        self._new = new
        self._tests_by_route: dict[str, _RouteTest] = {}
        self._since_step = 0

    def reset_step_count(self) -> None:
        """Asks for fresh evidence before the next step."""
        self._since_step = 0

    def add(self, tallies: Iterable[Tally]) -> None:
        """Takes in what was counted in one period."""
        tallies = [t for t in tallies if t.service == self._service]
        for test in self._tests_by_route.values():
            test.reference.idle_rounds += 1
        for tally in tallies:
            if tally.version == self._old:
                self._test(tally.route).reference.add(tally)
        for tally in tallies:
            if tally.version == self._new and tally.count:
                self._add_new(self._test(tally.route), tally)

    def _test(self, route: str) -> _RouteTest:
        return self._tests_by_route.setdefault(route, _RouteTest())

    def _add_new(self, test: _RouteTest, tally: Tally) -> None:
        test.new_count += tally.count
        self._since_step += tally.count
        reference = test.reference
        test.failures.add(
            hits=tally.failed,
            misses=tally.count - tally.failed,
            base=reference.failure_rate(),
            rise=FAILURE_RISE,
        )
        if not reference.is_concurrent():
            return
        limit = reference.slow_bucket()
        if tally.count > reference.latest:
            limit += LOADED_SLACK_BUCKETS
        slow = sum(tally.latencies[limit + 1 :])
        test.slowness.add(
            hits=slow,
            misses=tally.count - slow,
            base=1 - SLOW_QUANTILE,
            rise=SLOW_RISE,
        )

    def evaluate(self) -> Finding:
        """Returns what the evidence says now."""
        for route, test in sorted(self._tests_by_route.items()):
            if test.failures.value >= ALARM:
                why = f"the new version fails more often on {route}"
                return Finding(verdict=Verdict.BAD, reason=why)
            if test.slowness.value >= ALARM:
                why = f"the new version is slower on {route}"
                return Finding(verdict=Verdict.BAD, reason=why)
        return self._find_good()

    def _find_good(self) -> Finding:
        if self._since_step < SAMPLES_MIN:
            why = f"{self._since_step} answers of {SAMPLES_MIN} seen"
            return Finding(verdict=Verdict.INSUFFICIENT, reason=why)
        for route, test in sorted(self._tests_by_route.items()):
            if test.new_count < ROUTE_SAMPLES_MIN:
                why = f"few answers of the new version on {route}"
                return Finding(verdict=Verdict.INSUFFICIENT, reason=why)
            if max(test.failures.value, test.slowness.value) >= CALM:
                why = f"some evidence against the new version on {route}"
                return Finding(verdict=Verdict.INSUFFICIENT, reason=why)
        why = f"{self._since_step} answers show no fault"
        return Finding(verdict=Verdict.GOOD, reason=why)
