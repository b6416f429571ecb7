"""Tests of the wait limit, Retry-After and detection of caller retries."""

import heapq
import random

import pytest

from kingcupvane.request.placement import Candidate, TargetView
from kingcupvane.request.wait_limit import (
    RETRY_AFTER_MAX_S,
    CallerRetryDetector,
    allowed_wait_s,
    retry_after_s,
)
from kingcupvane.tests.targets import registered_target

SERVICE_TIME_S = 0.108
OBJECTIVE_S = 0.25
DEADLINE_S = 2.0
SLOTS = 4


def candidate(wait_s):
    return Candidate(
        view=TargetView(target=registered_target("t")),
        expected_latency_s=wait_s + SERVICE_TIME_S,
        cost_s=wait_s + SERVICE_TIME_S,
        wait_s=wait_s,
        round_trip_s=0.0,
        is_known_warm=True,
    )


def replay(*, overload, bounded, seed):
    """Simulates a target with a first-in first-out queue.

    Args:
        overload: Request rate relative to the target's capacity.
        bounded: Whether requests that exceed the allowed wait are refused.
        seed: Seed of the arrival times.

    Returns:
        The share of all requests that meet the latency objective.
    """
    rng = random.Random(seed)
    rate = overload * SLOTS / SERVICE_TIME_S
    slot_free_at = [0.0] * SLOTS
    now = 0.0
    outcomes = []
    while now < 20.0:
        now += rng.expovariate(rate)
        start = max(now, slot_free_at[0])
        queue_wait_s = start - now
        allowed_s = allowed_wait_s(
            candidate(queue_wait_s),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            remaining_s=DEADLINE_S,
            is_caller_retry=False,
        )
        if bounded and queue_wait_s > allowed_s:
            outcomes.append("refused")
            continue
        if queue_wait_s + SERVICE_TIME_S > DEADLINE_S:
            outcomes.append("failed")
        else:
            late = queue_wait_s + SERVICE_TIME_S > OBJECTIVE_S
            outcomes.append("late" if late else "in time")
        heapq.heapreplace(slot_free_at, start + SERVICE_TIME_S)
    return outcomes.count("in time") / len(outcomes)


@pytest.mark.parametrize("overload", [1.2, 1.5, 2.0])
@pytest.mark.parametrize("seed", range(3))
def test_wait_limit_keeps_most_responses_in_time_under_overload(overload, seed):
    """Without the limit a standing queue makes nearly all responses late."""
    bounded = replay(overload=overload, bounded=True, seed=seed)
    unbounded = replay(overload=overload, bounded=False, seed=seed)
    assert bounded >= 0.85 / overload
    assert unbounded <= 0.4 * bounded


def test_caller_retry_may_wait_longer_than_a_first_attempt():
    first_attempt_s, retry_s = (
        allowed_wait_s(
            candidate(0.0),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            remaining_s=1.4,
            is_caller_retry=is_retry,
        )
        for is_retry in (False, True)
    )
    assert first_attempt_s < OBJECTIVE_S - SERVICE_TIME_S
    assert retry_s > 2 * first_attempt_s


def replay_with_retries(*, is_overload_known, seed):
    """Simulates a target at which a third of the requests are late already.

    Args:
        is_overload_known: Whether the gateway knows of the overload.
        seed: Seed of the arrival times.

    Returns:
        The share of the first attempts that meet the latency objective.
    """
    rng = random.Random(seed)
    slot_free_at = [0.0] * SLOTS
    now = 0.0
    first_attempts = in_time = 0
    while now < 20.0:
        now += rng.expovariate(1.5 * SLOTS / SERVICE_TIME_S)
        is_retry = rng.random() < 1 / 3
        start = max(now, slot_free_at[0])
        queue_wait_s = start - now
        allowed_s = allowed_wait_s(
            candidate(queue_wait_s),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            remaining_s=DEADLINE_S,
            is_caller_retry=is_retry,
            is_overloaded=is_overload_known,
        )
        first_attempts += not is_retry
        if queue_wait_s > allowed_s:
            continue
        is_in_time = queue_wait_s + SERVICE_TIME_S <= OBJECTIVE_S
        in_time += is_in_time and not is_retry
        heapq.heapreplace(slot_free_at, start + SERVICE_TIME_S)
    return in_time / first_attempts


@pytest.mark.parametrize("seed", range(3))
def test_late_requests_leave_the_queue_to_those_in_time_in_an_overload(seed):
    """Otherwise they lengthen a queue that first attempts can't bear."""
    known = replay_with_retries(is_overload_known=True, seed=seed)
    unknown = replay_with_retries(is_overload_known=False, seed=seed)
    assert known >= 0.9 / 1.5 > unknown


def test_allowed_wait_does_not_exceed_the_deadline():
    for is_retry in (False, True):
        allowed_s = allowed_wait_s(
            candidate(0.0),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            remaining_s=SERVICE_TIME_S,
            is_caller_retry=is_retry,
        )
        assert allowed_s == 0.0


def test_shorter_timeout_is_detected_as_caller_retry():
    detector = CallerRetryDetector()
    assert not detector.is_caller_retry("r", 2.0)
    assert not detector.is_caller_retry("r", 2.0)
    assert detector.is_caller_retry("r", 1.4)
    assert not detector.is_caller_retry("other", 1.4)


def test_retry_after_is_spread_by_jitter_and_capped():
    delays_s = [
        retry_after_s(0.4, caller_attempt_id=f"{i:x}") for i in range(400)
    ]
    assert min(delays_s) >= 0.4
    assert max(delays_s) <= 0.8
    first_half = sum(delay_s < 0.6 for delay_s in delays_s)
    assert 150 < first_half < 250
    assert retry_after_s(60.0, caller_attempt_id="x") == RETRY_AFTER_MAX_S


def test_spread_of_first_timeouts_is_not_taken_for_retries():
    """First attempts have 0.83 to 1 times the longest timeout."""
    rng = random.Random(5)
    detector = CallerRetryDetector()
    longest_s = DEADLINE_S
    detector.is_caller_retry("r", longest_s)
    first_timeouts_s = [rng.uniform(0.83, 1.0) * longest_s for _ in range(500)]
    assert not any(
        detector.is_caller_retry("r", timeout_s)
        for timeout_s in first_timeouts_s
    )
    retry_timeouts_s = [timeout_s - 0.4 for timeout_s in first_timeouts_s]
    assert (
        sum(
            detector.is_caller_retry("r", timeout_s)
            for timeout_s in retry_timeouts_s
        )
        > 450
    )
