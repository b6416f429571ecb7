"""Canary analysis: compares a new version with the old one at the same time.

Two sequential tests (Page's cumulative sum) run for each route: one on
failures and one on slow exchanges. An exchange is slow when it takes longer
than nine in ten of the old version's exchanges at that time, so that a general
overload, which slows both versions, isn't counted against the new one. A new
version with more traffic than the old one may be up to twice as slow, since
load slows it; once the old version gets no traffic, only failures are tested.
A cumulative sum never falls below zero, so a fault that begins late is found
as fast as one from the start.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from kingcupvane.version.move import Finding, Verdict

# Upper bound of the first latency bucket, and the ratio of each further bound
# to the previous one; the last bucket is unbounded.
FIRST_BUCKET_MAX_S = 0.001
BUCKET_RATIO = 1.25
BUCKET_COUNT = 60
SLOW_QUANTILE = 0.9
# Smallest rises of the shares of failed and slow exchanges that count as a
# fault.
FAILURE_RATE_RISE_MIN = 0.1
SLOW_SHARE_RISE_MIN = 0.35
# Lower bound of the old version's failure rate: the likelihood ratio is
# undefined for a rate of zero.
FAILURE_RATE_MIN = 0.01
# Cumulative log-likelihood ratios: a version is bad from the first value on,
# and good only below the second.
BAD_EVIDENCE_MIN = 7.0
GOOD_EVIDENCE_LIMIT = 3.5
# Exchanges of the new version that the verdict "good" requires: since the last
# step, and on each route since the start.
STEP_SAMPLES_MIN = 30
ROUTE_SAMPLES_MIN = 5
# Exchanges of the old version on a route from which latencies are compared, and
# the number of its latest exchanges that are compared with.
REFERENCE_SAMPLES_MIN = 20
REFERENCE_WINDOW_SAMPLES = 150
# Rounds without exchanges of the old version after which latencies are no
# longer compared.
IDLE_ROUNDS_MAX = 2
# Largest increases of a cumulative sum in one round: failures reach
# `BAD_EVIDENCE_MIN` after two rounds at the earliest, slowness after four.
FAILURE_INCREMENT_MAX = 3.5
SLOW_INCREMENT_MAX = 1.75
# Buckets added to the bound of slow exchanges while the new version has more
# traffic than the old one; three are a factor of about two in latency.
LOADED_SLACK_BUCKETS = 3


class Tally(msgspec.Struct, kw_only=True):
    """Counters of one version's exchanges on one route since a process start.

    Attributes:
        service: Name of the service.
        version: Name of the version.
        route: Prefix of the route.
        count: Number of exchanges.
        failed: Number of failed exchanges.
        latencies: Number of exchanges in each latency bucket.
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
        """Counts one exchange."""
        self.count += 1
        self.failed += failed
        self.latencies[bucket_index(latency_s)] += 1


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What an analysis has learned from one route, to be continued elsewhere.

    The latencies of the old version are left out: a successor learns them
    within a few rounds.

    Attributes:
        route: Prefix of the route.
        failures: Cumulative sum of the test on failures.
        slowness: Cumulative sum of the test on slow exchanges.
        new_version_count: Exchanges of the new version.
        old_count: Weighted number of latest exchanges of the old version.
        old_failed: Weighted number of failed ones among them.
    """

    route: str
    failures: float
    slowness: float
    new_version_count: int
    old_count: float
    old_failed: float


def copy_tally(tally: Tally) -> Tally:
    """Returns a copy of a tally that does not change with it."""
    return msgspec.structs.replace(tally, latencies=list(tally.latencies))


def bucket_index(latency_s: float) -> int:
    """Returns the index of the bucket that holds a latency."""
    if latency_s <= FIRST_BUCKET_MAX_S:
        return 0
    position = math.log(latency_s / FIRST_BUCKET_MAX_S) / math.log(BUCKET_RATIO)
    return min(BUCKET_COUNT - 1, int(position) + 1)


def counts_since(later: Tally, earlier: Tally | None) -> Tally:
    """Returns the increase of a tally between two readings.

    The later reading is returned whole if its counter was reset in between.
    """
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
    """Page's cumulative sum test for a rise of a probability.

    Attributes:
        value: Cumulative log-likelihood ratio, never below zero.
    """

    def __init__(self, *, increment_max: float):
        """Starts without evidence.

        Args:
            increment_max: Largest increase of the sum in one round. The
                exchanges of a round aren't independent: a pause delays all of
                them.
        """
        self.value = 0.0
        self._increment_max = increment_max

    def add(
        self, *, events: float, non_events: float, base_rate: float, rise: float
    ) -> None:
        """Adds the evidence of one round.

        Args:
            events: Number of exchanges with the event.
            non_events: Number of exchanges without the event.
            base_rate: Probability of the event without a fault.
            rise: Smallest rise of that probability that counts as a fault.
        """
        raised_rate = min(0.99, base_rate + rise)
        evidence_for = events * math.log(raised_rate / base_rate)
        evidence_against = non_events * math.log(
            (1 - raised_rate) / (1 - base_rate)
        )
        increment = min(self._increment_max, evidence_for + evidence_against)
        self.value = max(0.0, self.value + increment)


@dataclass(kw_only=True, slots=True)
class _Reference:
    """The old version's latest exchanges on one route, to compare with.

    The window is bounded by a number of exchanges, not by time, so that it
    follows a change of load as fast as the old version's traffic shows it.

    Attributes:
        count: Weighted number of exchanges in the window.
        failed: Weighted number of failed exchanges in the window.
        latencies: Weighted number of exchanges in each latency bucket.
        latest_count: Exchanges in the latest tally.
        idle_rounds: Rounds since the old version last had an exchange.
    """

    count: float = 0.0
    failed: float = 0.0
    latencies: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    latest_count: int = 0
    idle_rounds: int = 0

    def add(self, tally: Tally) -> None:
        self.latest_count = tally.count
        if tally.count:
            self.idle_rounds = 0
        remaining = max(0.0, REFERENCE_WINDOW_SAMPLES - tally.count)
        retained = min(1.0, remaining / self.count) if self.count else 0.0
        self.count = self.count * retained + tally.count
        self.failed = self.failed * retained + tally.failed
        pairs = zip(self.latencies, tally.latencies, strict=True)
        self.latencies = [a * retained + b for a, b in pairs]

    def failure_rate(self) -> float:
        if not self.count:
            return FAILURE_RATE_MIN
        return min(0.9, max(FAILURE_RATE_MIN, self.failed / self.count))

    def is_comparable(self) -> bool:
        recent = self.idle_rounds <= IDLE_ROUNDS_MAX
        return recent and sum(self.latencies) >= REFERENCE_SAMPLES_MIN

    def slow_threshold_bucket(self) -> int:
        rank = SLOW_QUANTILE * sum(self.latencies)
        cumulative = 0.0
        for index, count in enumerate(self.latencies):
            cumulative += count
            if cumulative >= rank:
                return index
        return BUCKET_COUNT - 1


@dataclass(kw_only=True, slots=True)
class _RouteTest:
    reference: _Reference = field(default_factory=_Reference)
    failures: CumulativeSum = field(
        default_factory=lambda: CumulativeSum(
            increment_max=FAILURE_INCREMENT_MAX
        )
    )
    slowness: CumulativeSum = field(
        default_factory=lambda: CumulativeSum(increment_max=SLOW_INCREMENT_MAX)
    )
    new_version_count: int = 0


class CanaryAnalysis:
    """Evidence on the new version of one move or rollout; does no I/O."""

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
        self._samples_since_step = 0

    @property
    def samples_since_step(self) -> int:
        """Exchanges of the new version since the last step."""
        return self._samples_since_step

    @property
    def new_version_count(self) -> int:
        """Exchanges of the new version on all routes."""
        return sum(t.new_version_count for t in self._tests_by_route.values())

    def reset_step_count(self) -> None:
        """Requires the full number of new samples before the next step."""
        self._samples_since_step = 0

    def evidence(self) -> list[RouteEvidence]:
        """Returns what was learned so far, by route."""
        return [
            RouteEvidence(
                route=route,
                failures=round(test.failures.value, 2),
                slowness=round(test.slowness.value, 2),
                new_version_count=test.new_version_count,
                old_count=round(test.reference.count, 1),
                old_failed=round(test.reference.failed, 1),
            )
            for route, test in sorted(self._tests_by_route.items())
        ]

    def restore(
        self, evidence: Iterable[RouteEvidence], *, samples_since_step: int
    ) -> None:
        """Continues an analysis; replaces what was learned here.

        Args:
            evidence: What that analysis had learned, by route.
            samples_since_step: Exchanges that it had seen since its last step.
        """
        self._tests_by_route.clear()
        self._samples_since_step = samples_since_step
        for row in evidence:
            test = self._route_test(row.route)
            test.failures.value = row.failures
            test.slowness.value = row.slowness
            test.new_version_count = row.new_version_count
            test.reference.count = row.old_count
            test.reference.failed = row.old_failed

    def strongest_suspicion(self) -> float:
        """Returns the largest cumulative sum of all routes and tests."""
        return max(
            (
                max(test.failures.value, test.slowness.value)
                for test in self._tests_by_route.values()
            ),
            default=0.0,
        )

    def add(self, tallies: Iterable[Tally]) -> None:
        """Adds one round's counts: the increases since the previous round."""
        tallies = [t for t in tallies if t.service == self._service]
        for test in self._tests_by_route.values():
            test.reference.idle_rounds += 1
        for tally in tallies:
            if tally.version == self._old:
                self._route_test(tally.route).reference.add(tally)
        for tally in tallies:
            if tally.version == self._new and tally.count:
                self._add_new_version(self._route_test(tally.route), tally)

    def _route_test(self, route: str) -> _RouteTest:
        return self._tests_by_route.setdefault(route, _RouteTest())

    def _add_new_version(self, test: _RouteTest, tally: Tally) -> None:
        test.new_version_count += tally.count
        self._samples_since_step += tally.count
        reference = test.reference
        test.failures.add(
            events=tally.failed,
            non_events=tally.count - tally.failed,
            base_rate=reference.failure_rate(),
            rise=FAILURE_RATE_RISE_MIN,
        )
        if not reference.is_comparable():
            return
        threshold_bucket = reference.slow_threshold_bucket()
        if tally.count > reference.latest_count:
            threshold_bucket += LOADED_SLACK_BUCKETS
        slow_count = sum(tally.latencies[threshold_bucket + 1 :])
        test.slowness.add(
            events=slow_count,
            non_events=tally.count - slow_count,
            base_rate=1 - SLOW_QUANTILE,
            rise=SLOW_SHARE_RISE_MIN,
        )

    def evaluate(self) -> Finding:
        """Returns the verdict on the new version from the evidence so far."""
        for route, test in sorted(self._tests_by_route.items()):
            if test.failures.value >= BAD_EVIDENCE_MIN:
                reason = f"the new version fails more often on {route}"
                return Finding(verdict=Verdict.BAD, reason=reason)
            if test.slowness.value >= BAD_EVIDENCE_MIN:
                reason = f"the new version is slower on {route}"
                return Finding(verdict=Verdict.BAD, reason=reason)
        return self._evaluate_good()

    def _evaluate_good(self) -> Finding:
        if self._samples_since_step < STEP_SAMPLES_MIN:
            reason = (
                f"{self._samples_since_step} answers of {STEP_SAMPLES_MIN} seen"
            )
            return Finding(verdict=Verdict.INSUFFICIENT, reason=reason)
        for route, test in sorted(self._tests_by_route.items()):
            if test.new_version_count < ROUTE_SAMPLES_MIN:
                reason = f"few answers of the new version on {route}"
                return Finding(verdict=Verdict.INSUFFICIENT, reason=reason)
            if (
                max(test.failures.value, test.slowness.value)
                >= GOOD_EVIDENCE_LIMIT
            ):
                reason = f"some evidence against the new version on {route}"
                return Finding(verdict=Verdict.INSUFFICIENT, reason=reason)
        reason = f"{self._samples_since_step} answers show no fault"
        return Finding(verdict=Verdict.GOOD, reason=reason)
