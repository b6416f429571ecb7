"""Tests of how long requests may wait and when refused ones return."""

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
from kingcupvane.tests.targets import target

WORK_S = 0.108
OBJECTIVE_S = 0.25
DEADLINE_S = 2.0
SLOTS = 4


def candidate(wait_s):
    return Candidate(
        view=TargetView(target=target("t")),
        expected_latency_s=wait_s + WORK_S,
        cost_s=wait_s + WORK_S,
        wait_s=wait_s,
        round_trip_s=0.0,
        is_known_warm=True,
    )


def replay(*, overload, bounded, seed):
    """One target in first-in first-out order; returns the shares in time."""
    chance = random.Random(seed)
    rate = overload * SLOTS / WORK_S
    free_at = [0.0] * SLOTS
    now = 0.0
    outcomes = []
    while now < 20.0:
        now += chance.expovariate(rate)
        start = max(now, free_at[0])
        wait = start - now
        allowed = allowed_wait_s(
            candidate(wait),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            left_s=DEADLINE_S,
            is_caller_retry=False,
        )
        if bounded and wait > allowed:
            outcomes.append("refused")
            continue
        if wait + WORK_S > DEADLINE_S:
            outcomes.append("failed")
        else:
            late = wait + WORK_S > OBJECTIVE_S
            outcomes.append("late" if late else "in time")
        heapq.heapreplace(free_at, start + WORK_S)
    return outcomes.count("in time") / len(outcomes)


@pytest.mark.parametrize("overload", [1.2, 1.5, 2.0])
@pytest.mark.parametrize("seed", range(3))
def test_overload_leaves_most_answers_in_time(overload, seed):
    """The baseline lets the queue stand: nearly all answers are late."""
    bounded = replay(overload=overload, bounded=True, seed=seed)
    standing = replay(overload=overload, bounded=False, seed=seed)
    assert bounded >= 0.85 / overload
    assert standing <= 0.4 * bounded


def test_returning_request_may_wait_longer():
    fresh, back = (
        allowed_wait_s(
            candidate(0.0),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            left_s=1.4,
            is_caller_retry=returning,
        )
        for returning in (False, True)
    )
    assert fresh < OBJECTIVE_S - WORK_S
    assert back > 2 * fresh


def test_no_wait_reaches_past_the_deadline():
    for returning in (False, True):
        allowed = allowed_wait_s(
            candidate(0.0),
            latency_objective_s=OBJECTIVE_S,
            elapsed_s=0.0,
            left_s=WORK_S,
            is_caller_retry=returning,
        )
        assert allowed == 0.0


def test_shorter_deadline_shows_that_a_request_returns():
    memory = CallerRetryDetector()
    assert not memory.is_caller_retry("r", 2.0)
    assert not memory.is_caller_retry("r", 2.0)
    assert memory.is_caller_retry("r", 1.4)
    assert not memory.is_caller_retry("other", 1.4)


def test_refused_requests_come_back_spread():
    times = [retry_after_s(0.4, attempt_id=f"{i:x}") for i in range(400)]
    assert min(times) >= 0.4
    assert max(times) <= 0.8
    halves = sum(time < 0.6 for time in times)
    assert 150 < halves < 250
    assert retry_after_s(60.0, attempt_id="x") == RETRY_AFTER_MAX_S


def test_spread_of_first_deadlines_is_not_taken_for_returning():
    """Callers ask with 0.83 to 1 of their longest deadline at first."""
    chance = random.Random(5)
    memory = CallerRetryDetector()
    longest = DEADLINE_S
    memory.is_caller_retry("r", longest)
    first = [chance.uniform(0.83, 1.0) * longest for _ in range(500)]
    assert not any(memory.is_caller_retry("r", waits) for waits in first)
    back = [waits - 0.4 for waits in first]
    assert sum(memory.is_caller_retry("r", waits) for waits in back) > 450
