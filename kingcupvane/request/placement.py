"""Choice of the target that serves a request soonest.

Load pattern: many gateways send requests for a few dozen objects to targets
of a few slots, without telling each other. A target that served an object
lately serves it again in a third of the time, so the same object must reach
the same few targets from everywhere: candidates are ranked by weighted
rendezvous hashing of the object, near targets with more weight than far ones.
Among the first candidates the one with the earliest expected answer wins, so
that a queue, a slow target or a cold object outweighs the rank only by what it
costs in time.
"""

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from kingcupvane.hashing import stable_hash
from kingcupvane.version.plan import RegisteredTarget

# Weight of a region's other data centres for requests of many bytes, against
# the gateway's own data centre. Small requests share targets region-wide, so
# that an object gets warm in one place only.
BULK_WEIGHT_REMOTE_DATA_CENTRE = 0.1
# Bytes from which a request counts as bulk.
BULK_BYTES = 20_000
# Least weight of a target, so that all targets have a rank.
WEIGHT_MIN = 1e-4
# Candidates that are compared for one request.
CANDIDATES_MAX = 4
# How much longer work on a cold object counts than it lasts, since it takes
# the place of requests for warm ones.
COLD_WORK_WEIGHT = 2.0
# Round trips, in seconds, until they are measured.
ROUND_TRIP_SAME_REGION_S = 0.003
ROUND_TRIP_OTHER_REGION_S = 0.045
# Delay that crossing a data centre's border stands for, in seconds a byte:
# links between data centres are scarce.
CROSS_DATA_CENTRE_S_PER_BYTE = 3e-6
# Objects of which a gateway remembers that a target has served them.
WARM_KEYS_MAX = 64
WARM_TTL_S = 20.0
# Weight of a new sample in the smoothed figures.
EWMA_WEIGHT = 0.15
LOAD_EWMA_WEIGHT = 0.5
# Work that is assumed before any was seen, in seconds.
INITIAL_WARM_SERVICE_S = 0.15
INITIAL_COLD_SERVICE_S = 0.4
# Answers after which the work of a service counts as known.
WARM_SAMPLES_MIN = 20
# What a later rank costs for an object that nobody is known to have served:
# all gateways should then warm the same target, unless it has a queue.
RANK_COST_S = 0.08
SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 20.0
LATENCY_RATIO_MAX = 4.0
# Ejection after failures in a row, and its length in seconds.
FAILURES_TO_EJECT = 3
EJECT_MIN_S = 0.5
EJECT_MAX_S = 4.0
# A target that sheds because it is full is avoided for this long, in seconds.
SHED_PAUSE_S = 0.15
# Part of a failure that a shed request counts as.
SHED_FAILURE_WEIGHT = 0.5
# The share of failures that a target's cost counts as this much delay, in s.
FAILURE_COST_S = 1.0
# A target's load that others cause is forgotten with this time constant, in s.
LOAD_TIME_CONSTANT_S = 3.0
HASH_RANGE = 2.0**64


class AttemptOutcome(enum.StrEnum):
    """How an exchange with a target ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """What a target says of itself in an answer.

    Attributes:
        running: Requests that it works on.
        waiting: Requests in its queue.
        slots: Requests that it can work on.
    """

    running: int
    waiting: int
    slots: int

    @property
    def is_full(self) -> bool:
        """Whether a further request would have to wait."""
        return self.running >= self.slots


class ServiceTimeEstimate:
    """Smoothed work of a service's requests, by whether the object is warm.

    Attributes:
        warm_service_s: Time for an object that the target served lately,
            in seconds.
        cold_service_s: Time for any other object, in seconds.
    """

    def __init__(self):
        """Starts with a guess that the first answers replace."""
        self.warm_service_s = INITIAL_WARM_SERVICE_S
        self.cold_service_s = INITIAL_COLD_SERVICE_S
        self._samples = 0

    @property
    def is_known(self) -> bool:
        """Whether enough answers for warm objects were seen."""
        return self._samples >= WARM_SAMPLES_MIN

    def add(self, *, known: bool, seconds: float) -> None:
        """Takes in how long a target worked on a request.

        Args:
            known: Whether this gateway knows that the object was warm. If
                not, another one may have warmed it: a short time says so.
            seconds: Time that the target worked.
        """
        if known:
            self._samples += 1
            weight = max(EWMA_WEIGHT, 1.0 / self._samples)
            self.warm_service_s += weight * (seconds - self.warm_service_s)
        elif seconds > 0.5 * (self.warm_service_s + self.cold_service_s):
            self.cold_service_s += EWMA_WEIGHT * (seconds - self.cold_service_s)


class TargetView:
    """What a gateway knows of one target.

    Attributes:
        target: Its registration.
        in_flight: Requests that this gateway has there.
        slowness: Smoothed ratio of its time to its service's.
        failure_share: Smoothed share of failed exchanges.
    """

    def __init__(self, *, target: RegisteredTarget):
        """Starts without observations."""
        self.target = target
        self.in_flight = 0
        self.slowness = 1.0
        self.failure_share = 0.0
        self._peer_load = 0.0
        self._peer_load_at = 0.0
        self._warm_until: OrderedDict[str, float] = OrderedDict()
        self._consecutive_failures = 0
        self._ejection_s = EJECT_MIN_S
        self._avoided_until = 0.0

    def is_avoided(self, now: float) -> bool:
        """Returns whether the target is out of use for a while."""
        return now < self._avoided_until

    def is_warm(self, affinity_key: str, now: float) -> bool:
        """Returns whether the target served an object lately."""
        return self._warm_until.get(affinity_key, 0.0) > now

    def load(self, now: float) -> float:
        """Returns the requests expected at the target now."""
        age = max(0.0, now - self._peer_load_at)
        return self.in_flight + self._peer_load * math.exp(
            -age / LOAD_TIME_CONSTANT_S
        )

    def start(self, affinity_key: str, now: float) -> None:
        """Counts a request that is sent."""
        self.in_flight += 1
        if affinity_key:
            self._warm_until[affinity_key] = now + WARM_TTL_S
            self._warm_until.move_to_end(affinity_key)
            if len(self._warm_until) > WARM_KEYS_MAX:
                self._warm_until.popitem(last=False)

    def finish(
        self,
        outcome: AttemptOutcome,
        *,
        ratio: float,
        reported: ReportedLoad | None,
        now: float,
    ) -> bool:
        """Counts the end of a request.

        Args:
            outcome: How it ended.
            ratio: Its time against what was expected of this target; 0 when
                not known.
            reported: What the target says of its load.
            now: Monotonic seconds.

        Returns:
            Whether the target was ejected by this.
        """
        self.in_flight -= 1
        if reported is not None:
            # The report counts a request that ran as running.
            finished = 0 if outcome is AttemptOutcome.SHED else 1
            self._update_peer_load(
                reported.running + reported.waiting - finished, now
            )
        match outcome:
            case AttemptOutcome.ANSWERED:
                self._note_success(ratio)
            case AttemptOutcome.SHED:
                self._note_failure(SHED_FAILURE_WEIGHT)
                if reported is None or reported.is_full:
                    self._avoided_until = now + SHED_PAUSE_S
            case (
                AttemptOutcome.FAILED
                | AttemptOutcome.BROKEN
                | AttemptOutcome.TIMEOUT
            ):
                self._note_failure(1.0)
                self._consecutive_failures += 1
                if self._consecutive_failures >= FAILURES_TO_EJECT:
                    return self._eject(now)
            case AttemptOutcome.UNREACHABLE:
                self._note_failure(1.0)
                return self._eject(now)
        return False

    def _note_success(self, ratio: float) -> None:
        self._consecutive_failures = 0
        self._ejection_s = EJECT_MIN_S
        self.failure_share *= 1.0 - EWMA_WEIGHT
        if ratio > 0.0:
            change = EWMA_WEIGHT * self.slowness * (ratio - 1.0)
            updated = self.slowness + change
            self.slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, updated))

    def _note_failure(self, weight: float) -> None:
        self.failure_share += EWMA_WEIGHT * (weight - self.failure_share)

    def _update_peer_load(self, reported_total: int, now: float) -> None:
        observed = max(0.0, reported_total - self.in_flight)
        age = max(0.0, now - self._peer_load_at)
        decayed = self._peer_load * math.exp(-age / LOAD_TIME_CONSTANT_S)
        self._peer_load = decayed + LOAD_EWMA_WEIGHT * (observed - decayed)
        self._peer_load_at = now

    def _eject(self, now: float) -> bool:
        if self.is_avoided(now) and self._avoided_until - now > SHED_PAUSE_S:
            return False
        self._avoided_until = now + self._ejection_s
        self._ejection_s = min(EJECT_MAX_S, 2 * self._ejection_s)
        self._consecutive_failures = FAILURES_TO_EJECT - 1
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target that may serve a request, and when its answer is expected.

    Attributes:
        view: What is known of the target.
        finish_s: Expected time until the answer, in seconds.
        cost_s: What the choice goes by, in seconds.
        wait_s: Part of it that the request waits for a slot, in seconds.
        round_trip_s: Part of it on the way there and back, in seconds.
        known: Whether this gateway has sent the object there lately.
    """

    view: TargetView
    finish_s: float
    cost_s: float
    wait_s: float
    round_trip_s: float
    known: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Locality:
    """Where a gateway stands."""

    data_centre: str
    region: str


def locality_weight(
    locality: Locality,
    target: RegisteredTarget,
    region_weights: Mapping[str, float] | None,
    *,
    bulk: bool,
) -> float:
    """Returns the weight of a target in the ranking of a gateway.

    Args:
        locality: Where the gateway stands.
        target: The target.
        region_weights: Weight of a slot by region; None for own region only.
        bulk: Whether the requests are large.
    """
    same_region = target.region == locality.region
    default = 1.0 if same_region else 0.0
    weight = (
        default
        if region_weights is None
        else region_weights.get(target.region, 0.0)
    )
    if bulk and same_region and target.data_centre != locality.data_centre:
        weight *= BULK_WEIGHT_REMOTE_DATA_CENTRE
    return max(WEIGHT_MIN, weight)


def rank_targets(
    views: Iterable[TargetView],
    *,
    affinity_key: str,
    locality: Locality,
    region_weights: Mapping[str, float] | None = None,
    bulk: bool = False,
) -> list[TargetView]:
    """Returns targets by weighted rendezvous hashing, the best first.

    Args:
        views: The targets.
        affinity_key: The object that is asked for.
        locality: Where the gateway stands.
        region_weights: Weight of a slot by region; None for own region only.
        bulk: Whether the requests are large.
    """

    def score(view: TargetView) -> float:
        target = view.target
        uniform = (stable_hash(f"{affinity_key}/{target.name}") + 1) / (
            HASH_RANGE + 2
        )
        weight = locality_weight(locality, target, region_weights, bulk=bulk)
        return math.log(uniform) / (target.slots * weight)

    return sorted(views, key=score, reverse=True)


class RankingCache:
    """Remembers rankings while targets and weights stay the same."""

    def __init__(self, *, locality: Locality, capacity: int = 4096):
        """Starts empty."""
        self._locality = locality
        self._capacity = capacity
        self._region_weights_by_service: dict[str, Mapping[str, float]] = {}
        self._ranking_by_key: dict[tuple[str, str, bool], list[TargetView]] = {}

    def forget(self, service: str) -> None:
        """Forgets the rankings of a service, since its targets changed."""
        for key in [k for k in self._ranking_by_key if k[0] == service]:
            del self._ranking_by_key[key]

    def set_region_weights(
        self, service: str, region_weights: Mapping[str, float]
    ) -> None:
        """Sets the weight of a service's slots by region."""
        if self._region_weights_by_service.get(service) == region_weights:
            return
        self._region_weights_by_service[service] = region_weights
        self.forget(service)

    def get(
        self,
        service: str,
        affinity_key: str,
        views: Sequence[TargetView],
        *,
        bulk: bool,
    ) -> list[TargetView]:
        """Returns the ranking of a service's targets for an object."""
        key = (service, affinity_key, bulk)
        ranking = self._ranking_by_key.get(key)
        if ranking is None:
            ranking = rank_targets(
                views,
                affinity_key=affinity_key,
                locality=self._locality,
                region_weights=self._region_weights_by_service.get(service),
                bulk=bulk,
            )
            if len(self._ranking_by_key) >= self._capacity:
                self._ranking_by_key.clear()
            self._ranking_by_key[key] = ranking
        return ranking


def estimate(
    view: TargetView,
    *,
    warm: bool,
    known: bool,
    service_time: ServiceTimeEstimate,
    locality: Locality,
    size: int,
    now: float,
) -> Candidate:
    """Returns when a target is expected to answer.

    Args:
        view: The target.
        warm: Whether it is taken to know the object.
        known: Whether this gateway has sent the object there lately.
        service_time: Work of the service's requests.
        locality: Where the gateway stands.
        size: Bytes of the request and the expected answer.
        now: Monotonic seconds.
    """
    target = view.target
    other_region = target.region != locality.region
    round_trip = (
        ROUND_TRIP_OTHER_REGION_S if other_region else ROUND_TRIP_SAME_REGION_S
    )
    warm_s = service_time.warm_service_s * view.slowness
    service_s = warm_s if warm else service_time.cold_service_s * view.slowness
    queue_length = max(0.0, view.load(now) + 1.0 - target.slots)
    wait = queue_length * warm_s / target.slots
    finish = round_trip + wait + service_s
    cost = finish + view.failure_share * FAILURE_COST_S
    cost += (COLD_WORK_WEIGHT - 1.0) * (service_s - warm_s)
    if target.data_centre != locality.data_centre:
        cost += size * CROSS_DATA_CENTRE_S_PER_BYTE
    return Candidate(
        view=view,
        finish_s=finish,
        cost_s=cost,
        wait_s=wait,
        round_trip_s=round_trip,
        known=known,
    )


def ratio_of(candidate: Candidate, seconds: float) -> float:
    """Returns how long an exchange took against what was expected."""
    expected = candidate.finish_s - candidate.round_trip_s
    spent = max(0.0, seconds - candidate.round_trip_s)
    return min(LATENCY_RATIO_MAX, spent / expected) if expected > 0.0 else 0.0


def expected_s(
    candidate: Candidate, service_time: ServiceTimeEstimate
) -> float:
    """Returns the time of an exchange if the target were like all others."""
    service_s = (
        service_time.warm_service_s
        if candidate.known
        else service_time.cold_service_s
    )
    wait = candidate.wait_s / candidate.view.slowness
    return candidate.round_trip_s + wait + service_s


def learn_work(
    service_time: ServiceTimeEstimate,
    candidate: Candidate,
    reported: ReportedLoad | None,
    seconds: float,
) -> None:
    """Takes in how long a target worked, unless the request had to queue.

    Args:
        service_time: Estimate of the service.
        candidate: The target and what was expected of it.
        reported: What the target says of its load.
        seconds: How long the exchange took.
    """
    queued = candidate.wait_s > 0.0 or (reported and reported.waiting > 0)
    if queued:
        return
    spent = max(0.0, seconds - candidate.round_trip_s)
    service_time.add(
        known=candidate.known, seconds=spent / candidate.view.slowness
    )


def choose(
    ranking: Sequence[TargetView],
    *,
    affinity_key: str,
    usable: Callable[[TargetView], bool] | None,
    service_time: ServiceTimeEstimate,
    locality: Locality,
    size: int,
    now: float,
) -> Candidate | None:
    """Returns the best of the first usable candidates, None without any.

    The first one is taken to know an object that this gateway has seen
    before, since all gateways prefer it. A target that does not know it is
    used only while it has a free slot: cold work in a queue would hold up work
    for warm objects.

    Args:
        ranking: Targets, the best rank first.
        affinity_key: The object that is asked for; empty for none.
        usable: Returns whether a target may be used; None for all.
        service_time: Work of the service's requests.
        locality: Where the gateway stands.
        size: Bytes of the request and the expected answer.
        now: Monotonic seconds.
    """
    best: Candidate | None = None
    candidates = list(_first_usable(ranking, usable, now))
    any_warm = any(view.is_warm(affinity_key, now) for view in candidates)
    for rank, view in enumerate(candidates):
        known = view.is_warm(affinity_key, now)
        warm = known or (rank == 0 and any_warm)
        is_full = view.load(now) + 1.0 > view.target.slots
        if rank > 0 and is_full and not warm:
            continue
        candidate = estimate(
            view,
            warm=warm,
            known=known,
            service_time=service_time,
            locality=locality,
            size=size,
            now=now,
        )
        if not any_warm:
            candidate = replace(
                candidate, cost_s=candidate.cost_s + RANK_COST_S * rank
            )
        if best is None or candidate.cost_s < best.cost_s:
            best = candidate
    return best


def _first_usable(
    ranking: Sequence[TargetView],
    usable: Callable[[TargetView], bool] | None,
    now: float,
) -> Iterator[TargetView]:
    """Yields the first targets of a ranking that may be compared."""
    count = 0
    for view in ranking:
        if view.is_avoided(now):
            continue
        if usable is not None and not usable(view):
            continue
        yield view
        count += 1
        if count >= CANDIDATES_MAX:
            return
