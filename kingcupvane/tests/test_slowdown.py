"""Tests of the slowdowns that targets report."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.request.slowdown import ServiceSlowdown, TargetSlowdown

SLOW = 2.5
SLOW_SHARE = 0.15


def replay_reports(*, moment_s, period_s=0.1, seconds=200.0, seed=3):
    """Returns a service and a target after reports of slow moments.

    Args:
        moment_s: How long the machine stays slow or at its usual speed.
        period_s: Time from one report to the next, in seconds.
        seconds: Time that is replayed.
        seed: Seed of the moments.
    """
    rng = random.Random(seed)
    service, target = ServiceSlowdown(), TargetSlowdown()
    slowdown, changes_at, now = 1.0, 0.0, 0.0
    while now < seconds:
        if now >= changes_at:
            slowdown = SLOW if rng.random() < SLOW_SHARE else 1.0
            changes_at = now + moment_s
        target.add(slowdown, service, now)
        now += period_s
    return service, target, now


def test_targets_without_reports_are_at_their_usual_speed():
    assert TargetSlowdown().expected(ServiceSlowdown(), 5.0) == 1.0


def test_fresh_report_is_believed_where_slow_moments_last():
    service, target, now = replay_reports(moment_s=0.6)
    assert service.persistence > 0.6
    target.add(SLOW, service, now)
    assert target.expected(service, now) > 1.7
    assert target.expected(service, now + 3.0) == pytest.approx(
        service.mean, abs=0.01
    )


# A figure that is old when it arrives says nothing of the next request.
def test_report_is_not_believed_where_slow_moments_are_short():
    service, target, now = replay_reports(moment_s=0.01)
    assert service.persistence < 0.2
    target.add(SLOW, service, now)
    assert target.expected(service, now) < 1.6


def test_mean_of_the_reports_is_expected_of_all_targets():
    service, _, now = replay_reports(moment_s=0.6)
    usual = 1.0 + SLOW_SHARE * (SLOW - 1.0)
    assert TargetSlowdown().expected(service, now) == pytest.approx(
        usual, rel=0.25
    )


@given(
    reports=st.lists(
        st.tuples(st.floats(0.1, 20.0), st.floats(0.0, 5.0)), max_size=50
    )
)
def test_expected_slowdown_lies_within_the_reports(reports):
    service, target, now = ServiceSlowdown(), TargetSlowdown(), 0.0
    for slowdown, pause_s in reports:
        now += pause_s
        target.add(slowdown, service, now)
    seen = [1.0, *(slowdown for slowdown, _ in reports)]
    expected = target.expected(service, now)
    assert min(seen) - 1e-9 <= expected <= max(seen) + 1e-9
