"""Placement of a gateway's requests on the targets with the lowest cost.

Load pattern: many gateways send requests for a few dozen affinity keys to
targets of a few slots, without coordination. A target that served a key
recently (a warm target) serves it again in a third of the time, so all gateways
must send a key to the same few targets: targets are ranked by weighted
rendezvous hashing of the key, with more weight on those close to the gateway.
Among the first ranks the target with the lowest cost wins: its expected latency
plus penalties in seconds for failures, for a cold key and for traffic between
data centres. A queue or a slow target thus outweighs the rank only by the time
that it costs.
"""

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from kingcupvane.hashing import stable_hash
from kingcupvane.request.service_time import EWMA_WEIGHT, ServiceTimeEstimate
from kingcupvane.request.slowdown import TargetSlowdown
from kingcupvane.version.plan import RegisteredTarget

# Weight of targets in other data centres of the region for bulk requests,
# relative to the gateway's own data centre. Small requests ignore data centre
# borders within a region, so that a key gets warm in one place only.
BULK_WEIGHT_REMOTE_DATA_CENTRE = 0.1
# Size of request and response together from which a request counts as bulk.
BULK_BYTES = 20_000
# Lower bound of a target's weight, so that every target has a rank.
WEIGHT_MIN = 1e-4
# Usable targets that are compared for one request.
CANDIDATES_MAX = 4
# Factor on the extra time that a cold key takes: that work occupies a slot
# which requests for warm keys could use.
COLD_WORK_WEIGHT = 2.0
# Assumed network round trips to targets, in seconds.
ROUND_TRIP_SAME_REGION_S = 0.003
ROUND_TRIP_OTHER_REGION_S = 0.045
# Cost of traffic between data centres, in seconds per byte: their links have
# little bandwidth.
CROSS_DATA_CENTRE_S_PER_BYTE = 3e-6
# Affinity keys per target that a gateway remembers as warm, and for how long.
WARM_KEYS_MAX = 64
WARM_TTL_S = 20.0
# Weight of a new sample in the moving average of a target's reported load.
LOAD_EWMA_WEIGHT = 0.5
# Utilization of a service's targets from which a request isn't sent to a target
# that is cold for its key only because the others have too long a queue: the
# extra work would lengthen all queues.
DIVERSION_UTILIZATION_MAX = 0.6
# Cost per rank, in seconds, for a key that is warm at no candidate: all
# gateways should then warm the same target, unless it has a queue.
RANK_COST_S = 0.08
# Bounds of a target's slowness, and of the latency ratio in one sample of it.
SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 20.0
LATENCY_RATIO_MAX = 4.0
# Consecutive failures that eject a target. The ejection time, in seconds,
# starts at the least value and doubles up to the largest one.
FAILURES_TO_EJECT = 3
EJECT_MIN_S = 0.5
EJECT_MAX_S = 4.0
# Time without requests for a target that shed load, in seconds, unless it
# reported a free slot.
SHED_PAUSE_S = 0.15
# Time over which a target that asked this gateway to wait is used again, in
# seconds: the gateway's concurrent requests there rise from one to the slots.
READMISSION_S = 1.0
# Weight of a shed request in the failure share, relative to a failure.
SHED_FAILURE_WEIGHT = 0.5
# Cost of a target that fails every exchange, in seconds; the cost of others is
# this value times their failure share.
FAILURE_COST_S = 1.0
# Time constant with which the load in a target's response gives way to what the
# other gateways report, in seconds.
LOAD_TIME_CONSTANT_S = 1.0
HASH_RANGE = 2.0**64


class AttemptOutcome(enum.StrEnum):
    """How an exchange with a target ended.

    Attributes:
        ANSWERED: With a complete response that is no server error.
        FAILED: With a server error.
        SHED: Refused by the target without running it.
        UNREACHABLE: No connection.
        MISDIRECTED: The connection led to another target, which refused.
        WITHHELD: Not sent, since the target asked for no more requests while
            the connection was being opened.
        BROKEN: The connection broke, or the response did not come from the
            target or was meant for another request.
        TIMEOUT: No response in time.
        CANCELLED: The caller disconnected.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    WITHHELD = "withheld"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """Load that a target reports in a response.

    Attributes:
        running: Requests in progress.
        waiting: Requests in its queue.
        slots: Requests that it can process concurrently.
        slowdown: How long its work takes at present, relative to the usual
            time; None if it doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def is_full(self) -> bool:
        """Whether a further request would have to queue."""
        return self.running >= self.slots


class TargetView:
    """One gateway's view of a target: load, warm keys and health.

    Attributes:
        target: Registration of the target.
        in_flight: Requests of this gateway in flight at the target.
        slowness: Moving average of the target's service time relative to the
            average of its service, without the slowdowns that it reported.
        slowdown: The slowdown that it last reported.
        failure_share: Moving average of the share of failed exchanges.
        has_announced_leaving: Whether a response has announced its stop.
        deferred_until: Monotonic time until which it wants no requests from
            this gateway, in seconds.
        peer_in_flight: Requests of other gateways in flight at the target, as
            they last reported.
    """

    def __init__(self, *, target: RegisteredTarget):
        """Starts as healthy, idle and cold."""
        self.target = target
        self.in_flight = 0
        self.slowness = 1.0
        self.slowdown = TargetSlowdown()
        self.failure_share = 0.0
        self.has_announced_leaving = False
        self.deferred_until = float("-inf")
        self.peer_in_flight = 0
        self._peer_load = 0.0
        self._peer_load_at = 0.0
        self._warm_until: OrderedDict[str, float] = OrderedDict()
        self._consecutive_failures = 0
        self._ejection_s = EJECT_MIN_S
        self._avoided_until = 0.0

    def is_avoided(self, now: float) -> bool:
        """Returns whether the target gets no further request now.

        It is ejected, paused after shedding, or has asked this gateway to wait.
        """
        if now < self._avoided_until:
            return True
        return self.in_flight >= self._concurrency_max(now)

    @property
    def is_leaving(self) -> bool:
        """Whether its registration or a response announces its stop."""
        return self.target.leaving or self.has_announced_leaving

    def accepts_requests(self, now: float) -> bool:
        """Returns whether the target has not asked for no more requests."""
        return not self.is_leaving and now >= self.deferred_until

    def defer(self, duration_s: float, now: float) -> None:
        """Sends nothing to the target for some time, at its own request.

        Args:
            duration_s: The time, in seconds; never shortens an earlier one.
            now: Monotonic seconds.
        """
        self.deferred_until = max(self.deferred_until, now + duration_s)

    def _concurrency_max(self, now: float) -> float:
        """Returns how many requests of this gateway may run there at once."""
        since_s = now - self.deferred_until
        if since_s < 0.0:
            return 0.0
        if since_s >= READMISSION_S:
            return math.inf
        return 1.0 + int(self.target.slots * since_s / READMISSION_S)

    def is_warm(self, affinity_key: str, now: float) -> bool:
        """Returns whether this gateway sent the key there recently."""
        return self._warm_until.get(affinity_key, 0.0) > now

    def load(self, now: float) -> float:
        """Returns the estimated number of requests at the target.

        That is this gateway's own requests plus those of other gateways: just
        after a response, the moving average of what the target reported, and
        more and more what the gateways reported as time passes.
        """
        age = max(0.0, now - self._peer_load_at)
        weight = math.exp(-age / LOAD_TIME_CONSTANT_S)
        peer_load = (
            weight * self._peer_load + (1.0 - weight) * self.peer_in_flight
        )
        return self.in_flight + peer_load

    def has_free_slot(self, now: float) -> bool:
        """Returns whether a further request need not queue, as estimated."""
        return self.load(now) + 1.0 <= self.target.slots

    def record_start(self, affinity_key: str, now: float) -> None:
        """Records that a request is sent to the target."""
        self.in_flight += 1
        if affinity_key:
            self._warm_until[affinity_key] = now + WARM_TTL_S
            self._warm_until.move_to_end(affinity_key)
            if len(self._warm_until) > WARM_KEYS_MAX:
                self._warm_until.popitem(last=False)

    def record_outcome(
        self,
        outcome: AttemptOutcome,
        *,
        latency_ratio: float,
        reported: ReportedLoad | None,
        now: float,
    ) -> bool:
        """Records the outcome of a request to the target.

        Args:
            outcome: How the exchange ended.
            latency_ratio: Measured over expected time, as the function
                `latency_ratio` returns it; 0 when unknown.
            reported: Load that the target reported, if any.
            now: Monotonic seconds.

        Returns:
            Whether this outcome ejected the target.
        """
        self.in_flight -= 1
        if reported is not None:
            # A request that was not shed still counts as running in the report.
            finished = 0 if outcome is AttemptOutcome.SHED else 1
            self._update_peer_load(
                reported.running + reported.waiting - finished, now
            )
        match outcome:
            case AttemptOutcome.ANSWERED:
                self._record_success(latency_ratio)
            case AttemptOutcome.SHED:
                self._record_failure(SHED_FAILURE_WEIGHT)
                if reported is None or reported.is_full:
                    self._avoided_until = now + SHED_PAUSE_S
            case (
                AttemptOutcome.FAILED
                | AttemptOutcome.BROKEN
                | AttemptOutcome.TIMEOUT
            ):
                self._record_failure(1.0)
                self._consecutive_failures += 1
                if self._consecutive_failures >= FAILURES_TO_EJECT:
                    return self._eject(now)
            case AttemptOutcome.UNREACHABLE | AttemptOutcome.MISDIRECTED:
                self._record_failure(1.0)
                return self._eject(now)
        return False

    def _record_success(self, latency_ratio: float) -> None:
        self._consecutive_failures = 0
        self._ejection_s = EJECT_MIN_S
        self.failure_share *= 1.0 - EWMA_WEIGHT
        if latency_ratio > 0.0:
            # The expected time includes the slowness already, so the measured
            # slowness is `slowness * latency_ratio`.
            change = EWMA_WEIGHT * self.slowness * (latency_ratio - 1.0)
            updated = self.slowness + change
            self.slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, updated))

    def _record_failure(self, weight: float) -> None:
        self.failure_share += EWMA_WEIGHT * (weight - self.failure_share)

    def _update_peer_load(self, reported_total: int, now: float) -> None:
        observed = max(0.0, reported_total - self.in_flight)
        age = max(0.0, now - self._peer_load_at)
        decayed = self._peer_load * math.exp(-age / LOAD_TIME_CONSTANT_S)
        self._peer_load = decayed + LOAD_EWMA_WEIGHT * (observed - decayed)
        self._peer_load_at = now

    def _eject(self, now: float) -> bool:
        # More time left than a shed pause lasts means an ejection in force.
        if self.is_avoided(now) and self._avoided_until - now > SHED_PAUSE_S:
            return False
        self._avoided_until = now + self._ejection_s
        self._ejection_s = min(EJECT_MAX_S, 2 * self._ejection_s)
        # After the ejection, a single further failure ejects the target again.
        self._consecutive_failures = FAILURES_TO_EJECT - 1
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target considered for a request, with its expected latency and cost.

    Attributes:
        view: This gateway's view of the target.
        expected_latency_s: Expected time until the response, in seconds.
        cost_s: Cost by which candidates are compared, in seconds.
        wait_s: Part of `expected_latency_s` spent in the target's queue, in
            seconds.
        round_trip_s: Part of `expected_latency_s` spent on the network, in
            seconds.
        slowdown: Slowdown that the target is expected to have, from reports.
        is_known_warm: Whether this gateway sent the key to the target recently.
        is_first_rank: Whether it is the first usable target for the key.
    """

    view: TargetView
    expected_latency_s: float
    cost_s: float
    wait_s: float
    round_trip_s: float
    is_known_warm: bool
    is_first_rank: bool = False
    slowdown: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Locality:
    """Data centre and region of a gateway."""

    data_centre: str
    region: str


def locality_weight(
    locality: Locality,
    target: RegisteredTarget,
    region_weights: Mapping[str, float] | None,
    *,
    bulk: bool,
) -> float:
    """Returns a target's weight by locality, for each of its slots.

    Args:
        locality: Locality of the gateway.
        target: The target.
        region_weights: Weight of a slot by region; None for 1 in the gateway's
            own region and `WEIGHT_MIN` elsewhere.
        bulk: Whether the weight is for bulk requests.
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
    ranking_key: str,
    locality: Locality,
    region_weights: Mapping[str, float] | None = None,
    bulk: bool = False,
) -> list[TargetView]:
    """Returns targets ranked by weighted rendezvous hashing, best first.

    Args:
        views: Targets to rank.
        ranking_key: Key that is hashed.
        locality: Locality of the gateway.
        region_weights: Weight of a slot by region; None for 1 in the gateway's
            own region and `WEIGHT_MIN` elsewhere.
        bulk: Whether the ranking is for bulk requests.
    """

    def score(view: TargetView) -> float:
        target = view.target
        uniform = (stable_hash(f"{ranking_key}/{target.name}") + 1) / (
            HASH_RANGE + 2
        )
        weight = locality_weight(locality, target, region_weights, bulk=bulk)
        return math.log(uniform) / (target.slots * weight)

    return sorted(views, key=score, reverse=True)


class RankingCache:
    """Cache of rankings, valid while targets and region weights are unchanged.

    When it is full, it is cleared.
    """

    def __init__(self, *, locality: Locality, capacity: int = 4096):
        """Creates an empty cache.

        Args:
            locality: Locality of the gateway.
            capacity: Most rankings held.
        """
        self._locality = locality
        self._capacity = capacity
        self._region_weights_by_service: dict[str, Mapping[str, float]] = {}
        self._ranking_by_key: dict[tuple[str, str, bool], list[TargetView]] = {}

    def invalidate(self, service: str) -> None:
        """Invalidates the rankings of a service whose targets changed."""
        for key in [k for k in self._ranking_by_key if k[0] == service]:
            del self._ranking_by_key[key]

    def set_region_weights(
        self, service: str, region_weights: Mapping[str, float]
    ) -> None:
        """Sets the weight of a slot by region; invalidates on a change."""
        if self._region_weights_by_service.get(service) == region_weights:
            return
        self._region_weights_by_service[service] = region_weights
        self.invalidate(service)

    def get(
        self,
        service: str,
        ranking_key: str,
        views: Sequence[TargetView],
        *,
        bulk: bool,
    ) -> list[TargetView]:
        """Returns the ranking of a service's targets for a ranking key."""
        key = (service, ranking_key, bulk)
        ranking = self._ranking_by_key.get(key)
        if ranking is None:
            ranking = rank_targets(
                views,
                ranking_key=ranking_key,
                locality=self._locality,
                region_weights=self._region_weights_by_service.get(service),
                bulk=bulk,
            )
            if len(self._ranking_by_key) >= self._capacity:
                self._ranking_by_key.clear()
            self._ranking_by_key[key] = ranking
        return ranking


def estimate_candidate(
    view: TargetView,
    *,
    assume_warm: bool,
    is_known_warm: bool,
    is_first_rank: bool = False,
    service_time: ServiceTimeEstimate,
    locality: Locality,
    size: int,
    now: float,
) -> Candidate:
    """Returns a target as a candidate, with its expected latency and cost.

    Args:
        view: The target.
        assume_warm: Whether the target is assumed to be warm for the key.
        is_known_warm: Whether this gateway sent the key to the target recently.
        is_first_rank: Whether all gateways prefer the target for the key.
        service_time: Service times of the service.
        locality: Locality of the gateway.
        size: Bytes of the request and of the expected response.
        now: Monotonic seconds.
    """
    target = view.target
    other_region = target.region != locality.region
    round_trip = (
        ROUND_TRIP_OTHER_REGION_S if other_region else ROUND_TRIP_SAME_REGION_S
    )
    slowdown = view.slowdown.expected(service_time.slowdown, now)
    factor = view.slowness * slowdown
    warm_s = service_time.warm_service_s * factor
    cold_s = service_time.cold_service_s * factor
    warm_chance = 1.0 if assume_warm else 0.0
    if is_first_rank and not assume_warm:
        warm_chance = service_time.first_rank_warm_share
    service_s = warm_chance * warm_s + (1.0 - warm_chance) * cold_s
    queue_length = max(0.0, view.load(now) + 1.0 - target.slots)
    queue_service_s = service_time.queue_service_s * factor
    wait = queue_length * queue_service_s / target.slots
    expected_latency = round_trip + wait + service_s
    cost = expected_latency + view.failure_share * FAILURE_COST_S
    cost += (COLD_WORK_WEIGHT - 1.0) * (service_s - warm_s)
    if target.data_centre != locality.data_centre:
        cost += size * CROSS_DATA_CENTRE_S_PER_BYTE
    return Candidate(
        view=view,
        expected_latency_s=expected_latency,
        cost_s=cost,
        wait_s=wait,
        round_trip_s=round_trip,
        is_known_warm=is_known_warm,
        is_first_rank=is_first_rank,
        slowdown=slowdown,
    )


def latency_ratio(
    candidate: Candidate, elapsed_s: float, reported: ReportedLoad | None = None
) -> float:
    """Returns measured over expected time of an exchange, without round trip.

    Args:
        candidate: The target with its expected latency.
        elapsed_s: Measured time of the exchange, in seconds.
        reported: Load that the target reported; its slowdown takes the place of
            the one that was expected.

    Returns:
        The ratio, capped; 0 when no time was expected.
    """
    expected = candidate.expected_latency_s - candidate.round_trip_s
    if reported is not None and reported.slowdown is not None:
        expected *= reported.slowdown / candidate.slowdown
    spent = max(0.0, elapsed_s - candidate.round_trip_s)
    return min(LATENCY_RATIO_MAX, spent / expected) if expected > 0.0 else 0.0


def nominal_latency_s(
    candidate: Candidate, service_time: ServiceTimeEstimate
) -> float:
    """Returns the expected latency at a target of average speed, in seconds."""
    service_s = (
        service_time.warm_service_s
        if candidate.is_known_warm
        else service_time.cold_service_s
    )
    wait = candidate.wait_s / (candidate.view.slowness * candidate.slowdown)
    return candidate.round_trip_s + wait + service_s


def record_service_time(
    service_time: ServiceTimeEstimate,
    candidate: Candidate,
    reported: ReportedLoad | None,
    elapsed_s: float,
) -> None:
    """Adds a service time sample, unless the request had to queue.

    Args:
        service_time: Service times of the service.
        candidate: The target with its expected latency.
        reported: Load that the target reported, if any.
        elapsed_s: Measured time of the exchange, in seconds.
    """
    queued = candidate.wait_s > 0.0 or (reported and reported.waiting > 0)
    if queued:
        return
    slowdown = reported.slowdown if reported is not None else None
    spent = max(0.0, elapsed_s - candidate.round_trip_s)
    service_time.add(
        is_known_warm=candidate.is_known_warm,
        is_first_rank=candidate.is_first_rank,
        elapsed_s=spent / (candidate.view.slowness * (slowdown or 1.0)),
    )


def choose_candidate(
    ranking: Sequence[TargetView],
    *,
    affinity_key: str,
    usable: Callable[[TargetView], bool] | None,
    service_time: ServiceTimeEstimate,
    locality: Locality,
    size: int,
    now: float,
    wait_limit_s: Callable[[Candidate], float] | None = None,
) -> Candidate | None:
    """Returns the best candidate, or None if no target is usable.

    That is the cheapest one of the first ranks. If the request may not wait as
    long as it would have to there, it is one that is warm for the key and has
    an allowed wait. Failing that, unless the targets are busy as a whole, it is
    the cheapest one with an allowed wait, or the first with a free slot.

    Args:
        ranking: Targets, best rank first.
        affinity_key: Affinity key of the request; empty for none.
        usable: Returns whether a target may be used; None for all.
        service_time: Service times of the service.
        locality: Locality of the gateway.
        size: Bytes of the request and of the expected response.
        now: Monotonic seconds.
        wait_limit_s: Returns the longest wait that the request may have at a
            candidate, in seconds; None for no limit.
    """
    candidates = _compare_first_ranks(
        list(_first_usable(ranking, usable, now)),
        affinity_key=affinity_key,
        service_time=service_time,
        locality=locality,
        size=size,
        now=now,
    )
    if not candidates:
        return None
    best = candidates[0]
    if wait_limit_s is None or best.wait_s <= wait_limit_s(best):
        return best
    allowed = [
        candidate
        for candidate in candidates[1:]
        if candidate.wait_s <= wait_limit_s(candidate)
    ]
    for candidate in allowed:
        if candidate.is_known_warm:
            return candidate
    if _utilization(ranking, now) >= DIVERSION_UTILIZATION_MAX:
        return best
    if allowed:
        return allowed[0]
    for view in _with_free_slot(ranking, usable, now):
        return estimate_candidate(
            view,
            assume_warm=False,
            is_known_warm=view.is_warm(affinity_key, now),
            service_time=service_time,
            locality=locality,
            size=size,
            now=now,
        )
    return best


def _compare_first_ranks(
    views: Sequence[TargetView],
    *,
    affinity_key: str,
    service_time: ServiceTimeEstimate,
    locality: Locality,
    size: int,
    now: float,
) -> list[Candidate]:
    """Returns the candidates among the first usable targets, cheapest first.

    If any of them is warm for the key, the first one is assumed to be warm too,
    since all gateways prefer it. A cold target of a later rank is a candidate
    only while it has a free slot: cold work in a queue would delay requests
    for warm keys.
    """
    found = []
    any_warm = any(view.is_warm(affinity_key, now) for view in views)
    for rank, view in enumerate(views):
        is_known_warm = view.is_warm(affinity_key, now)
        assume_warm = is_known_warm or (rank == 0 and any_warm)
        if rank > 0 and not assume_warm and not view.has_free_slot(now):
            continue
        candidate = estimate_candidate(
            view,
            assume_warm=assume_warm,
            is_known_warm=is_known_warm,
            is_first_rank=rank == 0,
            service_time=service_time,
            locality=locality,
            size=size,
            now=now,
        )
        if not any_warm:
            candidate = replace(
                candidate, cost_s=candidate.cost_s + RANK_COST_S * rank
            )
        found.append(candidate)
    return sorted(found, key=lambda candidate: candidate.cost_s)


def _utilization(views: Sequence[TargetView], now: float) -> float:
    """Returns the share of the targets' slots that are in use, queues included.

    Targets that get no requests now are left out.
    """
    used = total = 0.0
    for view in views:
        if view.is_leaving or view.is_avoided(now):
            continue
        used += view.load(now)
        total += view.target.slots
    return used / total if total else 1.0


def _with_free_slot(
    ranking: Sequence[TargetView],
    usable: Callable[[TargetView], bool] | None,
    now: float,
) -> Iterator[TargetView]:
    """Yields the usable targets with a free slot, best rank first."""
    for view in ranking:
        if view.is_avoided(now) or not view.has_free_slot(now):
            continue
        if usable is None or usable(view):
            yield view


def _first_usable(
    ranking: Sequence[TargetView],
    usable: Callable[[TargetView], bool] | None,
    now: float,
) -> Iterator[TargetView]:
    """Yields the first usable targets, `CANDIDATES_MAX` at most."""
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
