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
    apply_operations,
    created_at_s,
    parse_idempotency_key,
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
def test_at_most_one_attempt_may_dispatch_an_order(steps):
    """Attempts compete for one record while replies of the store are lost."""
    segment = Segment()
    dispatching_attempts = set()
    for attempt, is_completion, reply_lost in steps:
        operation = CreateRecord(key="acme/1", record=record(f"t{attempt}"))
        if is_completion:
            operation = CompleteRecord(
                key="acme/1", record=record(f"t{attempt}", NOT_RUN)
            )
        result = apply_operations(segment, [operation])
        segment = result.segment
        outcome = result.results[0]
        may_dispatch = outcome.accepted and outcome.record.state == "running"
        if may_dispatch and not reply_lost:
            dispatching_attempts.add(attempt)
    assert len(dispatching_attempts) <= 1


def test_apply_is_idempotent():
    operations = [CreateRecord(key="acme/1", record=record("t1"))]
    first = apply_operations(Segment(), operations)
    second = apply_operations(first.segment, operations)
    assert second.segment == first.segment
    assert second.results[0].accepted
    assert not second.changed


def test_not_run_record_blocks_a_later_create():
    create = CreateRecord(key="acme/1", record=record("t1"))
    complete = CompleteRecord(key="acme/1", record=record("t1", NOT_RUN))
    segment = apply_operations(Segment(), [complete]).segment
    outcome = apply_operations(segment, [create]).results[0]
    assert outcome.record.state == NOT_RUN


def test_key_that_is_no_uuid_of_version_7_is_refused_as_not_executed():
    for text in ("", "x", str(uuid.UUID(int=7))):
        refusal = parse_idempotency_key(text, now_wall_s=0.0, settings=SETTINGS)
        assert refusal.err_value.executed is Executed.NO


def test_expired_or_future_key_is_refused_with_execution_unknown():
    key = uuid6.uuid7()
    created_at = created_at_s(key)
    for now in (created_at + SETTINGS.retention_s + 1, created_at - 60):
        refusal = parse_idempotency_key(
            str(key), now_wall_s=now, settings=SETTINGS
        )
        assert isinstance(refusal, Err)
        assert refusal.err_value.executed is Executed.UNKNOWN
    parsed = parse_idempotency_key(
        str(key), now_wall_s=created_at, settings=SETTINGS
    )
    assert parsed == Ok(key)


def test_refusal_of_a_repeat_states_the_recorded_execution():
    assert refuse_repeat(record("t", NOT_RUN)).executed is Executed.NO
    assert refuse_repeat(record("t", DONE)).executed is Executed.YES
    assert refuse_repeat(record("t")).executed is Executed.UNKNOWN


def test_segment_key_is_the_same_at_every_entry():
    key = uuid6.uuid7()
    shared_key = segment_key("acme", key, settings=SETTINGS)
    assert shared_key == segment_key("acme", key, settings=OrderSettings())
    unshared_settings = OrderSettings(buckets=0)
    assert segment_key("acme", key, settings=unshared_settings).endswith(
        str(key)
    )
