"""Tests of the estimate of true time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.clock import ManualClock
from kingcupvane.process.true_time import (
    CLOCK_SETTLING_S,
    PEER_TIME_EXPIRY_S,
    TrueTime,
)

EPOCH_S = 1.7e9


def make_clock(*, skew_s=0.0, now_s=1000.0):
    return ManualClock(now_s=now_s, wall_s=EPOCH_S + skew_s)


def test_estimate_follows_the_monotonic_clock_not_a_jump():
    clock = make_clock()
    true_time = TrueTime(clock=clock)
    clock.wall_s += 7.0
    clock.advance(3.0)
    true_time.update()
    assert true_time.now() == pytest.approx(EPOCH_S + 3.0)
    assert true_time.own() == pytest.approx(EPOCH_S + 3.0)


def test_changed_clock_is_followed_once_it_has_settled():
    clock = make_clock(skew_s=-40.0)
    true_time = TrueTime(clock=clock)
    clock.wall_s = EPOCH_S
    true_time.update()
    clock.advance(CLOCK_SETTLING_S - 1.0)
    true_time.update()
    assert true_time.now() == pytest.approx(clock.wall() - 40.0)
    clock.advance(2.0)
    true_time.update()
    assert true_time.now() == pytest.approx(clock.wall())


def test_peer_that_is_silent_no_longer_counts():
    clock = make_clock()
    true_time = TrueTime(clock=clock)
    for peer in "ab":
        true_time.receive(peer, 1, EPOCH_S + 5.0)
    true_time.update()
    assert true_time.now() == pytest.approx(EPOCH_S + 5.0)
    clock.advance(PEER_TIME_EXPIRY_S + 1.0)
    true_time.update()
    assert true_time.now() == pytest.approx(clock.wall())


@given(
    skews=st.lists(st.floats(-0.02, 0.02), min_size=6, max_size=12),
    wrong_skew=st.floats(-3600.0, 3600.0),
    delays=st.lists(st.floats(0.0, 0.05), min_size=1, max_size=20),
    own_is_wrong=st.booleans(),
)
def test_wrong_third_of_the_clocks_does_not_move_the_estimate(
    skews, wrong_skew, delays, own_is_wrong
):
    wrong_count = len(skews) // 3
    skews = [wrong_skew] * wrong_count + skews[wrong_count:]
    if not own_is_wrong:
        skews.reverse()
    clock = make_clock(skew_s=skews[0])
    true_time = TrueTime(clock=clock)
    started_at = clock.now()
    for delay_s in delays:
        clock.advance(0.3)
        truth = EPOCH_S + clock.now() - started_at
        for number, skew_s in enumerate(skews[1:]):
            true_time.receive(f"p{number}", 1, truth + skew_s - delay_s)
    true_time.update()
    truth = EPOCH_S + clock.now() - started_at
    assert abs(true_time.now() - truth) <= 0.02 + min(delays) + 1e-6
