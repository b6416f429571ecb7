"""Tests of Retry-After: promises of a whole fleet to refused callers."""

import random

import pytest

from kingcupvane.request.load_shedding import LoadShedder
from kingcupvane.request.returning_callers import (
    RETURN_DELAY_SHARE,
    ReturnRoom,
    ReturnSchedule,
)
from kingcupvane.request.wait_limit import RETRY_AFTER_MAX_S

SERVICE_S = 0.15
TIME_LEFT_S = 6.0
ROOM_SLOTS = 120.0
STEP_S = 0.25
# Part of the room that is for late returns.
LATE_PART = 0.25
SHORTEST_S = 0.1
LONGEST_S = RETURN_DELAY_SHARE * TIME_LEFT_S
# Callers without room come back after that part of the longest delay.
NO_ROOM_FROM_S = 0.6 * LONGEST_S


def delay_s(
    schedule, request_id, *, room_slots, now=0.0, priority=1, **changes
):
    arguments = {
        "service_s": SERVICE_S,
        "shortest_s": SHORTEST_S,
        "in_time_s": 0.0,
        "time_left_s": TIME_LEFT_S,
        **changes,
    }
    return schedule.delay_s(
        "reads",
        priority=priority,
        request_id=str(request_id),
        room=ReturnRoom(
            in_time_slots=(1.0 - LATE_PART) * room_slots,
            late_slots=LATE_PART * room_slots,
        ),
        now=now,
        **arguments,
    )


def own_parts(gateway_count, rng):
    """Returns each gateway's part as it follows from what all report."""
    shedders = {
        f"g{index}": LoadShedder(
            idle_slots=lambda service: 0.0,
            log_event=lambda kind, **fields: None,
        )
        for index in range(gateway_count)
    }
    for shedder in shedders.values():
        shedder.count_request(
            "reads",
            route="r",
            priority=1,
            service_s=rng.uniform(0.5, 1.5),
            tolerable_wait_s=0.1,
            is_returning=False,
            now=0.0,
        )
    reports = {name: s.report(0.0) for name, s in shedders.items()}
    for name, shedder in shedders.items():
        for peer, report in reports.items():
            if peer != name:
                shedder.update_peer(peer, report, 0.0)
    return [s.state("reads", 0.0).own_part for s in shedders.values()]


def refuse_burst(schedule, gateway, *, own_part, count, now=0.0, in_time_s=0.0):
    """Returns the times at which the callers of a refused burst return."""
    return [
        now
        + delay_s(
            schedule,
            f"{gateway}/{now}/{number}",
            room_slots=ROOM_SLOTS * own_part,
            now=now,
            in_time_s=in_time_s,
        )
        for number in range(count)
    ]


def count_between(returns, begin, end):
    return sum(begin <= at < end for at in returns)


@pytest.mark.parametrize("gateway_count", [2, 12, 84, 300])
def test_promises_of_the_fleet_add_up_to_the_room(gateway_count):
    """All gateways refuse a burst at once; each has its part of the room."""
    parts = own_parts(gateway_count, random.Random(gateway_count))
    assert sum(parts) == pytest.approx(1.0, rel=0.02)
    returns = []
    for gateway, part in enumerate(parts):
        returns += refuse_burst(
            ReturnSchedule(),
            gateway,
            own_part=part,
            count=1 + 1500 // gateway_count,
        )
    expected = LATE_PART * STEP_S * ROOM_SLOTS / SERVICE_S
    at = SHORTEST_S
    while at + STEP_S <= NO_ROOM_FROM_S:
        count = count_between(returns, at, at + STEP_S)
        assert 0.6 * expected <= count <= 1.4 * expected
        at += STEP_S
    assert max(returns) <= LONGEST_S


@pytest.mark.parametrize("gateway_count", [2, 12, 84, 300])
def test_callers_return_in_time_while_the_sum_stays_within_the_room(
    gateway_count,
):
    """Refusals go on for two seconds; all callers could still be in time."""
    in_time_s = 0.25
    parts = own_parts(gateway_count, random.Random(gateway_count))
    schedules = [ReturnSchedule() for _ in parts]
    returns = []
    in_time = 0
    for tick in range(20):
        now = 0.1 * tick
        for gateway, part in enumerate(parts):
            promised = refuse_burst(
                schedules[gateway],
                gateway,
                own_part=part,
                count=max(1, 240 // gateway_count),
                now=now,
                in_time_s=in_time_s,
            )
            returns += promised
            in_time += sum(at <= now + in_time_s for at in promised)
    room = ROOM_SLOTS / SERVICE_S
    assert in_time >= 0.6 * (1.0 - LATE_PART) * room * 2.0
    at = SHORTEST_S
    while at + STEP_S <= NO_ROOM_FROM_S:
        assert count_between(returns, at, at + STEP_S) <= 1.4 * STEP_S * room
        at += STEP_S


def test_a_restarted_gateway_exceeds_the_room_by_its_own_part_at_most():
    """It has forgotten its promises; the others keep theirs."""
    gateway_count = 12
    part = 1.0 / gateway_count
    returns = []
    for gateway in range(gateway_count):
        schedule = ReturnSchedule()
        returns += refuse_burst(schedule, gateway, own_part=part, count=100)
        if gateway == 0:
            schedule = ReturnSchedule()
        returns += refuse_burst(
            schedule, gateway, own_part=part, count=100, now=0.2
        )
    room = LATE_PART * (NO_ROOM_FROM_S - 0.4) * ROOM_SLOTS / SERVICE_S
    assert count_between(returns, 0.4, NO_ROOM_FROM_S) <= room * (1.05 + part)


def test_callers_without_room_come_back_late_and_spread():
    schedule = ReturnSchedule()
    delays = [delay_s(schedule, i, room_slots=0.0) for i in range(400)]
    assert min(delays) >= NO_ROOM_FROM_S
    assert max(delays) <= LONGEST_S
    middle = 0.5 * (min(delays) + max(delays))
    assert 150 < sum(delay < middle for delay in delays) < 250


def test_urgent_callers_come_back_first():
    schedule = ReturnSchedule()
    low = [
        delay_s(schedule, f"l{i}", priority=2, room_slots=30.0)
        for i in range(25)
    ]
    high = [
        delay_s(schedule, f"h{i}", priority=1, room_slots=30.0)
        for i in range(25)
    ]
    later = delay_s(schedule, "later", priority=2, room_slots=30.0)
    assert max(high) <= max(low) + 0.01
    # They took the place of those of low priority that come after them.
    assert later >= SHORTEST_S + 50 * SERVICE_S / (LATE_PART * 30.0) - 0.01


def test_delay_stays_within_what_callers_honour():
    schedule = ReturnSchedule()
    for number in range(100):
        short = delay_s(
            schedule, number, room_slots=5.0, time_left_s=0.3, shortest_s=0.2
        )
        assert short <= 0.3 / 3


def test_promises_of_the_past_are_forgotten():
    schedule = ReturnSchedule()
    for number in range(20):
        delay_s(schedule, number, room_slots=3.0)
    assert delay_s(schedule, "x", room_slots=300.0, now=60.0) < 0.11


# One refusal without room blocked its priority and all lower ones for good.
def test_moment_without_room_leaves_later_promises_as_they_are():
    schedule = ReturnSchedule()
    delay_s(schedule, "a", room_slots=0.0)
    without_room_s = delay_s(schedule, "b", room_slots=0.0, now=1.0)
    assert without_room_s >= NO_ROOM_FROM_S
    assert delay_s(schedule, "c", room_slots=ROOM_SLOTS, now=2.0) < 0.5


def test_no_caller_is_promised_more_than_the_longest_retry_after():
    schedule = ReturnSchedule()
    delays_s = [
        delay_s(schedule, n, room_slots=1.0, time_left_s=60.0)
        for n in range(40)
    ]
    assert max(delays_s) <= RETRY_AFTER_MAX_S
