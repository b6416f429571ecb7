"""Tests of placement: target rankings and choice of the cheapest target.

Some replay a seeded load on simulated targets; one compares the share of
responses in time with that of a baseline.
"""

import heapq
import random
from collections import OrderedDict

import pytest

from kingcupvane.request.placement import (
    AttemptOutcome,
    Locality,
    RankingCache,
    ReportedLoad,
    TargetView,
    choose_candidate,
    latency_ratio,
    rank_targets,
    record_service_time,
)
from kingcupvane.request.service_time import (
    WARM_SAMPLES_MIN,
    ServiceTimeEstimate,
)
from kingcupvane.tests.targets import registered_target

WARM_SERVICE_S = 0.108
COLD_SERVICE_S = 0.36
TARGET_WARM_KEYS_MAX = 48
AFFINITY_KEY_COUNT = 66
LOCALITY = Locality(data_centre="north-a", region="north")


class SimulatedTarget:
    """A target with a few slots, a queue and a bounded set of warm keys."""

    def __init__(self, *, slots, speed=1.0):
        """Starts idle and cold.

        Args:
            slots: Requests that it processes concurrently.
            speed: Factor on its service times.
        """
        self.slots = slots
        self.speed = speed
        self.running = 0
        self.queue = []
        self.warm_keys = OrderedDict()

    def serve(self, affinity_key):
        is_warm = affinity_key in self.warm_keys
        self.warm_keys[affinity_key] = True
        self.warm_keys.move_to_end(affinity_key)
        if len(self.warm_keys) > TARGET_WARM_KEYS_MAX:
            self.warm_keys.popitem(last=False)
        return self.speed * (WARM_SERVICE_S if is_warm else COLD_SERVICE_S)


class Gateway:
    """One gateway's own view of all targets."""

    def __init__(self, *, targets):
        """Starts with the registered targets and no measurements."""
        self.views = [TargetView(target=t) for t in targets]
        self.service_time = ServiceTimeEstimate()
        self.rankings = RankingCache(locality=LOCALITY)

    def choose(self, affinity_key, now):
        return choose_candidate(
            self.rankings.get("reads", affinity_key, self.views, bulk=False),
            affinity_key=affinity_key,
            usable=None,
            service_time=self.service_time,
            locality=LOCALITY,
            size=2000,
            now=now,
        )


def pick_less_loaded_of_two(rng):
    """Returns the baseline: the less loaded one of two random targets."""

    def pick_target(gateway, affinity_key, now):
        sampled = rng.sample(gateway.views, 2)
        view = min(sampled, key=lambda v: v.load(now))
        return gateway.choose(affinity_key, now), view

    return pick_target


def pick_by_cost(gateway, affinity_key, now):
    candidate = gateway.choose(affinity_key, now)
    return candidate, candidate.view


def replay(
    *, rate, pick_target, seconds=30.0, seed=1, gateway_count=4, speeds=None
):
    """Returns arrival time and latency of each request, in seconds."""
    rng = random.Random(seed)
    target_count = 6
    targets = [registered_target(f"t{i}") for i in range(target_count)]
    simulated_targets = {
        t.name: SimulatedTarget(slots=4, speed=(speeds or {}).get(i, 1.0))
        for i, t in enumerate(targets)
    }
    gateways = [Gateway(targets=targets) for _ in range(gateway_count)]
    results = []
    events = []
    sequence = 0
    now = 0.0

    def start(simulated, name, request, now):
        nonlocal sequence
        sequence += 1
        simulated.running += 1
        end = now + simulated.serve(request[1])
        heapq.heappush(events, (end, sequence, name, request))

    def finish(end, name, request):
        simulated = simulated_targets[name]
        simulated.running -= 1
        if simulated.queue:
            start(simulated, name, simulated.queue.pop(0), end)
        gateway, _, candidate, view, arrived_at = request
        reported = ReportedLoad(
            running=simulated.running + 1, waiting=len(simulated.queue), slots=4
        )
        latency_s = end - arrived_at
        ratio = 0.0
        if candidate.view is view:
            if (
                candidate.is_known_warm
                and gateway.service_time.has_enough_samples
            ):
                ratio = latency_ratio(candidate, latency_s)
            record_service_time(
                gateway.service_time, candidate, reported, latency_s
            )
        view.record_outcome(
            AttemptOutcome.ANSWERED,
            latency_ratio=ratio,
            reported=reported,
            now=end,
        )
        results.append((arrived_at, latency_s))

    while now < seconds:
        now += rng.expovariate(rate)
        while events and events[0][0] <= now:
            end, _, name, request = heapq.heappop(events)
            finish(end, name, request)
        gateway = rng.choice(gateways)
        affinity_key = f"o{rng.randrange(AFFINITY_KEY_COUNT)}"
        candidate, view = pick_target(gateway, affinity_key, now)
        view.record_start(affinity_key, now)
        simulated = simulated_targets[view.target.name]
        request = (gateway, affinity_key, candidate, view, now)
        if simulated.running < simulated.slots:
            start(simulated, view.target.name, request, now)
        else:
            simulated.queue.append(request)
    return results


def share_in_time(results, *, after=6.0, objective=0.25):
    latencies = [
        latency for arrived_at, latency in results if arrived_at >= after
    ]
    return sum(latency <= objective for latency in latencies) / len(latencies)


@pytest.mark.parametrize("seed", range(3))
def test_affinity_key_reaches_warm_targets_from_all_gateways(seed):
    """The load is 60% of the warm capacity, and twice the cold capacity."""
    rate = 0.6 * 24 / WARM_SERVICE_S
    results = replay(rate=rate, pick_target=pick_by_cost, seed=seed)
    baseline_pick = pick_less_loaded_of_two(random.Random(seed))
    baseline = replay(rate=rate, pick_target=baseline_pick, seed=seed)
    assert share_in_time(results) >= 0.85
    assert share_in_time(results) >= share_in_time(baseline) + 0.1


@pytest.mark.parametrize("seed", range(3))
def test_latency_recovers_within_seconds_of_a_cold_start(seed):
    """While all keys are cold, the load needs twice the existing slots."""
    rate = 0.6 * 24 / WARM_SERVICE_S
    results = replay(
        rate=rate, pick_target=pick_by_cost, seed=seed, seconds=8.0
    )
    assert share_in_time(results, after=5.0) >= 0.8


@pytest.mark.parametrize("seed", range(3))
def test_slow_target_is_avoided(seed):
    rate = 0.4 * 24 / WARM_SERVICE_S
    results = replay(
        rate=rate, pick_target=pick_by_cost, seed=seed, speeds={0: 8.0}
    )
    assert share_in_time(results) >= 0.8


def test_ranking_moves_only_the_keys_of_a_removed_target():
    views = [TargetView(target=registered_target(f"t{i}")) for i in range(8)]
    affinity_keys = [f"o{i}" for i in range(400)]

    def best_target(candidates, affinity_key):
        return rank_targets(
            candidates, ranking_key=affinity_key, locality=LOCALITY
        )[0].target.name

    before = {key: best_target(views, key) for key in affinity_keys}
    after = {key: best_target(views[1:], key) for key in affinity_keys}
    moved = [key for key in affinity_keys if before[key] != after[key]]
    assert all(before[key] == "t0" for key in moved)
    counts = [list(before.values()).count(f"t{i}") for i in range(8)]
    assert max(counts) <= 1.5 * 400 / 8


def test_ranking_follows_the_region_weights():
    views = [
        TargetView(target=registered_target(f"n{i}")) for i in range(4)
    ] + [
        TargetView(
            target=registered_target(f"s{i}", data_centre="s-a", region="south")
        )
        for i in range(4)
    ]
    region_weights = {"north": 0.75 / 16, "south": 0.25 / 16}
    best_views = [
        rank_targets(
            views,
            ranking_key=f"o{i}",
            locality=LOCALITY,
            region_weights=region_weights,
        )[0]
        for i in range(600)
    ]
    south_share = (
        sum(view.target.region == "south" for view in best_views) / 600
    )
    assert abs(south_share - 0.25) < 0.06


def test_bulk_requests_prefer_the_local_data_centre():
    views = [
        TargetView(target=registered_target("near")),
        TargetView(target=registered_target("next", data_centre="north-b")),
    ]
    best_views = [
        rank_targets(views, ranking_key=f"o{i}", locality=LOCALITY, bulk=True)[
            0
        ]
        for i in range(400)
    ]
    local_share = sum(view.target.name == "near" for view in best_views) / 400
    assert local_share > 0.85


def test_unreachable_target_is_ejected_for_a_limited_time():
    view = TargetView(target=registered_target("t"))
    view.record_start("o", 0.0)
    assert view.record_outcome(
        AttemptOutcome.UNREACHABLE, latency_ratio=0.0, reported=None, now=1.0
    )
    assert view.is_avoided(1.1)
    assert not view.is_avoided(10.0)


def test_full_cold_targets_do_not_replace_the_first_rank():
    views = [
        TargetView(target=registered_target(f"t{i}", slots=1)) for i in range(3)
    ]
    ranking = rank_targets(views, ranking_key="o", locality=LOCALITY)
    ranking[0].record_start("o", 0.0)
    ranking[1].record_start("x", 0.0)
    ranking[2].record_start("y", 0.0)
    candidate = choose_candidate(
        ranking,
        affinity_key="o",
        usable=None,
        service_time=ServiceTimeEstimate(),
        locality=LOCALITY,
        size=0,
        now=0.0,
    )
    assert candidate.view is ranking[0]


def queue_at(view, count):
    for number in range(count):
        view.record_start(f"x{number}", 0.0)


def choose_with_limit(ranking, *, limit_s, service_time=None):
    return choose_candidate(
        ranking,
        affinity_key="o",
        usable=None,
        service_time=service_time or ServiceTimeEstimate(),
        locality=LOCALITY,
        size=0,
        now=0.0,
        wait_limit_s=lambda candidate: limit_s,
    )


def ranked_views(count=16, slots=2):
    views = [
        TargetView(target=registered_target(f"t{i}", slots=slots))
        for i in range(count)
    ]
    return rank_targets(views, ranking_key="o", locality=LOCALITY)


# The request was refused although most targets had free slots.
@pytest.mark.parametrize("full_ranks", [1, 4, 6])
def test_free_target_is_used_when_the_wait_at_the_first_rank_is_too_long(
    full_ranks,
):
    ranking = ranked_views()
    ranking[0].record_start("o", 0.0)
    for view in ranking[:full_ranks]:
        queue_at(view, 2)
    candidate = choose_with_limit(ranking, limit_s=0.05)
    assert candidate.view is ranking[full_ranks]
    assert candidate.wait_s == 0.0


def test_allowed_wait_at_the_warm_target_is_preferred_to_a_cold_one():
    ranking = ranked_views()
    ranking[0].record_start("o", 0.0)
    queue_at(ranking[0], 2)
    assert choose_with_limit(ranking, limit_s=1.0).view is ranking[0]


# Cold work takes several times as long, so it would only lengthen the queues.
def test_busy_targets_get_no_more_cold_work():
    ranking = ranked_views(count=4)
    ranking[0].record_start("o", 0.0)
    for view in ranking[:3]:
        queue_at(view, 2)
    candidate = choose_with_limit(ranking, limit_s=0.05)
    assert candidate.view is ranking[0]
    assert candidate.wait_s > 0.05


def test_chance_that_others_have_warmed_a_key_is_learned():
    service_time = ServiceTimeEstimate()
    for _ in range(WARM_SAMPLES_MIN):
        service_time.add(is_known_warm=True, elapsed_s=WARM_SERVICE_S)
    ranking = ranked_views()
    before = choose_with_limit(ranking, limit_s=1.0, service_time=service_time)
    for _ in range(60):
        service_time.add(
            is_known_warm=False, is_first_rank=True, elapsed_s=WARM_SERVICE_S
        )
    after = choose_with_limit(ranking, limit_s=1.0, service_time=service_time)
    assert after.view is before.view is ranking[0]
    assert before.expected_latency_s > 2.0 * after.expected_latency_s
    for _ in range(60):
        service_time.add(
            is_known_warm=False,
            is_first_rank=True,
            elapsed_s=service_time.cold_service_s,
        )
    assert service_time.first_rank_warm_share < 0.1


def test_other_warm_target_with_an_allowed_wait_is_used_by_busy_targets_too():
    ranking = ranked_views(count=4)
    for view in ranking:
        queue_at(view, 2)
    ranking[0].record_start("o", 0.0)
    queue_at(ranking[0], 4)
    ranking[1].record_start("o", 0.0)
    candidate = choose_with_limit(ranking, limit_s=0.2)
    assert candidate.view is ranking[1]
    assert candidate.wait_s <= 0.2
