"""Tests of the record, the term and the schedule of usage reports."""

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from kingcupvane.process.usage_duty import (
    COLLECTING_S,
    LATE_KEPT_S,
    PENDING_MAX,
    DutyRecord,
    DutyTerm,
    UsageSchedule,
    WindowRecord,
    decode_record,
    encode,
)

SCHEDULE = UsageSchedule(window_s=5.0, late_s=10.0)
NEXT = 100
END_S = (NEXT + 1) * 5.0


def next_step(now, *, held_s=60.0, pending=()):
    record = DutyRecord(token=1, next_window=NEXT, pending=list(pending))
    return SCHEDULE.next_step(record, now=now, held_s=held_s)


def test_window_is_recorded_once_it_has_settled():
    assert next_step(END_S + 3.9) is None
    step = next_step(END_S + 4.1)
    assert (step.next_window, list(step.windows)) == (NEXT + 1, [NEXT])


def test_new_holder_collects_counts_unless_time_is_short():
    assert next_step(END_S + 5.0, held_s=COLLECTING_S - 0.1) is None
    assert next_step(END_S + 5.0, held_s=COLLECTING_S) is not None
    assert next_step(END_S + 8.7, held_s=0.0) is None
    assert next_step(END_S + 8.9, held_s=0.0) is not None


def test_windows_whose_time_is_over_are_given_up():
    step = next_step(END_S + 10.0 + 3 * 5.0)
    assert list(step.given_up) == [NEXT, NEXT + 1, NEXT + 2, NEXT + 3]
    assert list(step.windows) == [NEXT + 4, NEXT + 5][: len(step.windows)]
    assert step.next_window == NEXT + 4 + len(step.windows)


def test_recorded_windows_are_kept_for_a_while():
    old = WindowRecord(NEXT - 1, {"a": 1})
    assert not next_step(END_S + 4.1, pending=[old]).dropped
    late = END_S + LATE_KEPT_S + 10.0
    assert list(next_step(late, pending=[old]).dropped) == [old]


def test_recorded_windows_are_bounded():
    pending = [WindowRecord(NEXT - n, {}) for n in range(60, 0, -1)]
    schedule = UsageSchedule(window_s=0.1, late_s=100.0)
    record = DutyRecord(token=1, next_window=NEXT, pending=pending)
    step = schedule.next_step(record, now=(NEXT + 1) * 0.1 + 4.1, held_s=60.0)
    assert len(pending) - len(step.dropped) + len(step.windows) == PENDING_MAX
    assert step.dropped[0].window == NEXT - 60


@given(
    windows=st.sets(st.integers(90, 110), min_size=1),
    now=st.floats(400.0, 700.0),
)
def test_oldest_window_that_is_in_time_goes_first(windows, now):
    unsent = [WindowRecord(window, {}) for window in windows]
    chosen = SCHEDULE.next_to_send(unsent, now).window
    in_time = [each for each in windows if SCHEDULE.due_at(each) > now]
    assert chosen == min(in_time or windows)


def test_token_rises_with_each_holder_and_windows_go_on():
    record = DutyRecord().taken_over_by("g1", first_window=7)
    assert (record.token, record.next_window) == (1, 7)
    assert not record.has_returned()
    again = record.taken_over_by("g1", first_window=9)
    assert (again.token, again.next_window) == (2, 7)
    assert not again.has_returned()
    other = again.taken_over_by("g2", first_window=9)
    assert not other.has_returned()
    assert other.taken_over_by("g1", first_window=9).has_returned()


def test_record_survives_the_store_and_bad_values_are_named():
    record = DutyRecord(
        token=3, holders=["g1"], pending=[WindowRecord(7, {"a": 1})]
    )
    assert decode_record(encode(record)).ok_value == record
    assert decode_record("").ok_value == DutyRecord()
    assert isinstance(decode_record("{"), Err)
    assert isinstance(decode_record('{"token": "x"}'), Err)


def test_holder_acts_only_while_its_lease_is_sure_to_run():
    term = DutyTerm(
        lease=1,
        ttl_s=3.0,
        renewed_at=100.0,
        won_at=100.0,
        acts_from=101.0,
        record=DutyRecord(token=1),
        revision=5,
    )
    assert not term.may_act(100.9)
    assert term.may_act(101.0)
    assert not term.may_act(102.7)
    term.renew(102.0)
    assert term.may_act(104.0)
    term.renew(101.0)
    assert term.may_act(104.0)


def test_older_record_is_not_adopted():
    term = DutyTerm(
        lease=1,
        ttl_s=3.0,
        renewed_at=0.0,
        won_at=0.0,
        acts_from=0.0,
        record=DutyRecord(token=1, pending=[WindowRecord(1, {"a": 1})]),
        revision=5,
    )
    term.accepted.add(1)
    assert term.unsent() == []
    term.adopt(DutyRecord(token=1), 4)
    assert term.record.pending
    term.adopt(DutyRecord(token=1, pending=[WindowRecord(2, {})]), 6)
    assert term.unsent() == [WindowRecord(2, {})]
