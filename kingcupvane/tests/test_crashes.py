"""Tests of requests that crash targets: what is remembered, told and tried."""

import pytest

from kingcupvane.request.crashes import (
    CRASHES_MAX,
    NEWS_S,
    SUSPICIONS_MAX,
    TRIAL_WAITS_S,
    CrashNotice,
    CrashRegistry,
    SuspicionNotice,
)
from kingcupvane.settings import RetrySettings

SETTINGS = RetrySettings()
MEMORY_S = SETTINGS.crash_memory_s


@pytest.fixture
def registry():
    return CrashRegistry(settings=SETTINGS)


def crash(registry, target, *, started_at, at):
    return registry.record_crash(
        "p", started_at=started_at, now=at, process=target
    )


# Review case 3: however many targets the copies crashed, they were one crash.
def test_crashes_that_gateways_saw_add_up_to_a_set():
    registries = [CrashRegistry(settings=SETTINGS) for _ in range(4)]
    for number, registry in enumerate(registries):
        crash(registry, f"t{number}", started_at=0.0, at=0.2)
    for _ in range(3):
        for one in registries:
            for other in registries:
                one.merge(other.snapshot(0.5), 0.5)
    assert [r.crash_counts("p", 0.5) for r in registries] == [(4, 1)] * 4
    assert all(r.is_quarantined("p", 0.5) for r in registries)


def test_crash_of_one_target_seen_by_two_gateways_is_one():
    first, second = (CrashRegistry(settings=SETTINGS) for _ in range(2))
    crash(first, "t", started_at=0.0, at=0.2)
    crash(second, "t", started_at=0.1, at=0.3)
    first.merge(second.snapshot(0.4), 0.4)
    assert first.crash_counts("p", 0.4) == (1, 1)
    assert not first.is_quarantined("p", 0.4)


def test_target_that_returns_under_its_name_and_crashes_again_counts_twice(
    registry,
):
    crash(registry, "t", started_at=0.0, at=0.2)
    crash(registry, "t/2", started_at=5.0, at=5.2)
    assert registry.crash_counts("p", 5.2) == (2, 2)


def test_crash_that_is_told_late_is_still_the_same(registry):
    crash(registry, "t", started_at=0.0, at=0.2)
    delayed = registry.snapshot(0.3)
    registry.merge(delayed, 9.0)
    assert registry.crash_counts("p", 9.0) == (1, 1)


def test_request_is_tried_three_times_at_most(registry):
    now = 0.2
    for target in ("a", "b", "c", "d"):
        crash(registry, target, started_at=0.0, at=now)
    trials = 0
    end = MEMORY_S
    while now < end:
        if registry.trial_wait_s("p", now) == 0.0:
            trials += 1
            crash(registry, f"u{trials}", started_at=now, at=now + 0.2)
        now += 0.5
    assert trials == len(TRIAL_WAITS_S) == 3


def test_crashes_of_one_moment_leave_a_trial_at_once(registry):
    for number in range(3):
        crash(registry, f"t{number}", started_at=0.0, at=1.0 + number / 100)
    assert registry.is_quarantined("p", 1.1)
    assert not registry.is_refused("p", 1.1)
    assert registry.trial_wait_s("p", 1.2) == 0.0
    crash(registry, "u", started_at=1.5, at=1.7)
    assert registry.trial_wait_s("p", 1.7) == pytest.approx(TRIAL_WAITS_S[1])


# Review case 4: peers brought a suspicion back that a response had ended.
def test_response_ends_a_suspicion_in_the_whole_fleet_and_for_good():
    registries = [CrashRegistry(settings=SETTINGS) for _ in range(3)]
    crash(registries[0], "t", started_at=0.0, at=1.0)
    crash(registries[1], "u", started_at=1.5, at=2.0)
    for _ in range(2):
        for one in registries:
            for other in registries:
                one.merge(other.snapshot(2.5), 2.5)
    assert all(r.is_quarantined("p", 2.5) for r in registries)
    assert registries[2].clear_suspicion("p", 3.0)
    now = 3.0
    while now < 3.0 + 2 * NEWS_S:
        now += 0.2
        for one in registries:
            for other in registries:
                one.merge(other.snapshot(now), now)
        if now > 3.5:
            assert not any(r.is_suspect("p", now) for r in registries)
    # The next crash, however much later, is the first one again.
    crash(registries[0], "v", started_at=now, at=now + 1.0)
    assert not registries[0].is_quarantined("p", now + 1.0)


def test_crash_after_a_response_is_not_ended_by_it(registry):
    registry.clear_suspicion("p", 1.0)
    crash(registry, "t", started_at=0.5, at=2.0)
    registry.merge([SuspicionNotice("p", [], cleared_age_s=1.5)], 2.5)
    assert registry.is_suspect("p", 2.5)


def test_quarantine_is_told_for_as_long_as_it_lasts(registry):
    crash(registry, "t", started_at=0.0, at=0.2)
    crash(registry, "u", started_at=1.0, at=1.2)
    registry.record_crash("q", started_at=0.0, now=0.2, process="t")
    told = [n.fingerprint for n in registry.snapshot(100.0)]
    assert told == ["p"]
    assert registry.snapshot(1.2 + MEMORY_S + 1.0) == []


def test_memory_is_bounded(registry):
    for number in range(CRASHES_MAX + 5):
        crash(registry, f"t{number}", started_at=number, at=number + 0.5)
    assert registry.crash_counts("p", 20.0)[0] == CRASHES_MAX
    for number in range(SUSPICIONS_MAX + 50):
        registry.record_crash(
            f"q{number}", started_at=20.0, now=20.0 + number / 1000, process="t"
        )
    assert len(registry.snapshot(21.0)) <= SUSPICIONS_MAX + 1


def test_what_is_told_survives_a_second_telling(registry):
    crash(registry, "t", started_at=0.0, at=0.2)
    crash(registry, "u", started_at=1.0, at=1.2)
    other = CrashRegistry(settings=SETTINGS)
    other.merge(registry.snapshot(2.0), 102.0)
    assert other.crash_counts("p", 102.0) == (2, 2)
    assert other.trial_wait_s("p", 102.0) == pytest.approx(
        registry.trial_wait_s("p", 2.0), abs=0.01
    )


def test_odd_notice_is_taken_as_it_is(registry):
    notice = SuspicionNotice("p", [CrashNotice("t", -5.0, -1.0)], float("inf"))
    registry.merge([notice, SuspicionNotice("q")], 1.0)
    assert registry.crash_counts("p", 1.0) == (1, 1)
    assert not registry.is_suspect("q", 1.0)
