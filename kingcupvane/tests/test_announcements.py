"""Tests of what targets announce in their responses."""

import pytest

from kingcupvane.connection.target_connection import WireResponse
from kingcupvane.request.announcements import (
    DEFERRAL_MAX_S,
    LEAVING_INSTANCES_MAX,
    SLOWDOWN_MAX,
    SLOWDOWN_MIN,
    LeavingInstances,
    TargetInstance,
    parse_reported_load,
    read_announcement,
)
from kingcupvane.request.placement import (
    READMISSION_S,
    AttemptOutcome,
    TargetView,
)
from kingcupvane.tests.targets import registered_target

LEAVING = frozenset({b"leaving"})


def announce(status, *headers):
    response = WireResponse(status=status, headers=list(headers), body=b"")
    return read_announcement(response, LEAVING)


def test_leaving_header_on_any_status_announces_a_stop():
    assert announce(200, (b"leaving", b"1")).is_leaving
    assert announce(500, (b"leaving", b"1")).is_leaving
    assert not announce(200, (b"leaving", b"0")).is_leaving
    assert not announce(200, (b"load", b"1")).is_leaving


@pytest.mark.parametrize(
    ("value", "deferral_s", "is_valid"),
    [
        (b"2", 2.0, True),
        (b"0.25", 0.25, True),
        (b"0", 0.0, True),
        (b"-3", 0.0, False),
        (b"nan", 0.0, False),
        (b"soon", 0.0, False),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0, False),
        (b"", 0.0, False),
        (b"inf", DEFERRAL_MAX_S, False),
        (b"9" * 400, DEFERRAL_MAX_S, False),
    ],
)
def test_retry_after_is_bounded_and_an_invalid_one_is_named(
    value, deferral_s, is_valid
):
    announcement = announce(503, (b"retry-after", value))
    assert announcement.deferral_s == deferral_s
    if is_valid:
        assert announcement.invalid_retry_after == ""
    elif value:
        assert announcement.invalid_retry_after == value.decode()


def test_retry_after_counts_only_with_a_503():
    assert announce(200, (b"retry-after", b"5")).deferral_s == 0.0
    assert announce(429, (b"retry-after", b"5")).deferral_s == 0.0


def test_reported_load_is_bounded_and_an_invalid_one_is_ignored():
    load = parse_reported_load(b"3,1,4")
    assert (load.running, load.waiting, load.slots) == (3, 1, 4)
    assert load.slowdown is None
    assert parse_reported_load(b"9" * 400 + b",0,4").running == 10_000
    for value in (None, b"", b"1,2", b"1,2,x", b"-1,0,4", b"1,2,3,4,5"):
        assert parse_reported_load(value) is None


@pytest.mark.parametrize(
    ("value", "slowdown"),
    [
        (b"3,1,4,100", 1.0),
        (b"3,1,4,250", 2.5),
        (b"3, 1, 4, 50", 0.5),
        (b"3,1,4,0", SLOWDOWN_MIN),
        (b"3,1,4," + b"9" * 400, SLOWDOWN_MAX),
    ],
)
def test_reported_load_may_state_how_long_work_takes_now(value, slowdown):
    load = parse_reported_load(value)
    assert (load.running, load.waiting, load.slots) == (3, 1, 4)
    assert load.slowdown == slowdown


@pytest.mark.parametrize("value", [b"3,1,4,", b"3,1,4,x", b"3,1,4,-1"])
def test_load_holds_without_a_readable_slowdown(value):
    load = parse_reported_load(value)
    assert (load.running, load.waiting, load.slots) == (3, 1, 4)
    assert load.slowdown is None


def test_instance_is_remembered_and_the_oldest_is_forgotten_first():
    leaving = LeavingInstances()
    first = TargetInstance("t", "127.0.0.1:1", 1)
    assert leaving.add(first)
    assert not leaving.add(first)
    assert TargetInstance("t", "127.0.0.1:1", 2) not in leaving
    for number in range(LEAVING_INSTANCES_MAX):
        leaving.add(TargetInstance(f"t{number}", "127.0.0.1:1", 1))
    assert first not in leaving


def test_target_that_asked_to_wait_is_let_back_gradually():
    """All waiting requests must not reach it as soon as the time is over."""
    view = TargetView(target=registered_target("t", slots=4))
    view.defer(2.0, 10.0)
    view.defer(1.0, 10.5)
    assert view.is_avoided(11.99)
    started = 0
    started_by_time = []
    for step in range(11):
        now = 12.0 + step * READMISSION_S / 10
        while not view.is_avoided(now) and started < 20:
            view.record_start("", now)
            started += 1
        started_by_time.append(started)
    assert started_by_time[0] == 1
    assert started_by_time[5] == 3
    assert started_by_time[-1] == 20
    assert started_by_time == sorted(started_by_time)


def test_deferred_target_is_available_again_after_the_readmission():
    view = TargetView(target=registered_target("t", slots=1))
    view.defer(1.0, 0.0)
    view.record_start("", 1.5)
    assert view.is_avoided(1.6)
    view.record_outcome(
        AttemptOutcome.ANSWERED, latency_ratio=1.0, reported=None, now=1.7
    )
    assert not view.is_avoided(1.7)


def announce_limit(status, value):
    response = WireResponse(
        status=status, headers=[(b"limit", value)], body=b""
    )
    return read_announcement(response, (), frozenset({b"limit"}))


def test_limit_is_read_from_any_response_and_lifted_by_a_success_only():
    assert announce_limit(200, b"2.5").rate_limit == 2.5
    assert announce_limit(503, b"2.5").rate_limit == 2.5
    assert not announce_limit(200, b"2.5").lifts_rate_limit
    assert announce(200).lifts_rate_limit
    assert not announce(503).lifts_rate_limit
    assert not announce(500).lifts_rate_limit


def test_invalid_limit_is_named_and_neither_sets_nor_lifts_one():
    announcement = announce_limit(200, b"many")
    assert announcement.rate_limit is None
    assert not announcement.lifts_rate_limit
    assert announcement.invalid_rate_limit == "many"


def test_lowest_of_several_limits_counts():
    headers = [(b"limit", b"7"), (b"limit", b"2"), (b"limit", b"x")]
    response = WireResponse(status=200, headers=headers, body=b"")
    announcement = read_announcement(response, (), frozenset({b"limit"}))
    assert announcement.rate_limit == 2.0
