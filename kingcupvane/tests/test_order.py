"""Tests of order records and idempotency keys."""

import uuid

import uuid6
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from kingcupvane.errors import Executed
from kingcupvane.request.order import (
    DONE,
    NOT_RUN,
    CompleteRecord,
    CreateRecord,
    OrderRecord,
    Segment,
    apply,
    created_at_s,
    parse_key,
    refuse_repeat,
    segment_key,
)
from kingcupvane.settings import OrderSettings

SETTINGS = OrderSettings()


def record(token, state="running"):
    return OrderRecord(token=token, state=state)


@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.booleans(), st.booleans()),
        max_size=30,
    )
)
def test_only_one_attempt_may_ever_dispatch(steps):
    """Attempts compete for one record while replies of the store are lost."""
    segment = Segment()
    winners = set()
    for attempt, finish, lost in steps:
        operation = CreateRecord(key="acme/1", record=record(f"t{attempt}"))
        if finish:
            operation = CompleteRecord(
                key="acme/1", record=record(f"t{attempt}", NOT_RUN)
            )
        applied = apply(segment, [operation])
        segment = applied.segment
        outcome = applied.outcomes[0]
        won = outcome.accepted and outcome.record.state == "running"
        if won and not lost:
            winners.add(attempt)
    assert len(winners) <= 1


def test_applying_twice_changes_nothing():
    operations = [CreateRecord(key="acme/1", record=record("t1"))]
    once = apply(Segment(), operations)
    twice = apply(once.segment, operations)
    assert twice.segment == once.segment
    assert twice.outcomes[0].accepted
    assert not twice.changed


def test_tombstone_stops_a_late_create():
    late = CreateRecord(key="acme/1", record=record("t1"))
    refused = CompleteRecord(key="acme/1", record=record("t1", NOT_RUN))
    segment = apply(Segment(), [refused]).segment
    outcome = apply(segment, [late]).outcomes[0]
    assert outcome.record.state == NOT_RUN


def test_key_must_be_of_version_7():
    for text in ("", "x", str(uuid.UUID(int=7))):
        refusal = parse_key(text, now_wall_s=0.0, settings=SETTINGS)
        assert refusal.err_value.executed is Executed.NO


def test_key_out_of_time_makes_no_claim():
    key = uuid6.uuid7()
    created_at = created_at_s(key)
    for now in (created_at + SETTINGS.retention_s + 1, created_at - 60):
        refusal = parse_key(str(key), now_wall_s=now, settings=SETTINGS)
        assert isinstance(refusal, Err)
        assert refusal.err_value.executed is Executed.UNKNOWN
    fresh = parse_key(str(key), now_wall_s=created_at, settings=SETTINGS)
    assert fresh == Ok(key)


def test_repeats_say_what_the_record_says():
    assert refuse_repeat(record("t", NOT_RUN)).executed is Executed.NO
    assert refuse_repeat(record("t", DONE)).executed is Executed.YES
    assert refuse_repeat(record("t")).executed is Executed.UNKNOWN


def test_equal_keys_share_a_segment_wherever_they_arrive():
    key = uuid6.uuid7()
    first = segment_key("acme", key, settings=SETTINGS)
    assert first == segment_key("acme", key, settings=OrderSettings())
    alone = OrderSettings(buckets=0)
    assert segment_key("acme", key, settings=alone).endswith(str(key))
