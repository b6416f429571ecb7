"""Tests of who coordinates a rollout, and of what a successor inherits."""

import msgspec
import pytest

from kingcupvane.platform.records import PlatformItemDecoder
from kingcupvane.process.catalog import RolloutCheckpointUpdate, UnreadableItem
from kingcupvane.process.evidence import MARKS_MAX, EvidenceCounter
from kingcupvane.process.item import Item
from kingcupvane.process.rollout_coordination import (
    LOST_SILENCE_MAX_S,
    SILENCE_MAX_S,
    STAGGER_S,
    Coordination,
)
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.version.canary_analysis import (
    CanaryAnalysis,
    RouteEvidence,
    Tally,
)
from kingcupvane.version.move import MoveState, Phase, Verdict
from kingcupvane.version.rollout_checkpoint import (
    CHECKPOINT_PREFIX,
    EvidenceMark,
    RolloutCheckpoint,
    encode_checkpoint,
)

SERVICE = "s"
NAMES = ["a", "b", "c"]
FIRST, SECOND, THIRD = rendezvous_rank(NAMES, hash_key=SERVICE)
STATE = MoveState(Phase.RUNNING, 1, "s/v2/9", 0.05)
ROUND_S = 0.25


def checkpoint(*, epoch=1, coordinator=FIRST, round=1, released=False):
    return RolloutCheckpoint(
        service=SERVICE,
        mark=EvidenceMark(9, epoch, coordinator, round),
        state=STATE,
        age_s=1.0,
        released=released,
        routes=[RouteEvidence("/r/", 3.5, 0.0, 12, 40.0, 1.0)],
    )


def seconds_until_takeover(coordination, own, *, ready=NAMES, start=0.0):
    """Returns when a gateway takes over if it hears nothing more."""
    now = start
    while now < start + 10.0:
        if coordination.must_coordinate(
            own=own, ready=ready, service=SERVICE, now=now
        ):
            return now - start
        now += ROUND_S
    return None


def heard(of, *, at=0.0):
    coordination = Coordination()
    coordination.must_coordinate(
        own="none", ready=NAMES, service=SERVICE, now=at
    )
    coordination.merge(of, at)
    return coordination


def test_first_ranked_gateway_begins_and_the_next_ones_wait():
    assert seconds_until_takeover(Coordination(), FIRST) == 0.0
    assert seconds_until_takeover(Coordination(), SECOND) >= STAGGER_S


def test_gateway_that_has_just_started_listens_if_the_rollout_has_begun():
    coordination = Coordination(has_begun=True)
    assert seconds_until_takeover(coordination, FIRST) >= LOST_SILENCE_MAX_S


def test_silent_coordinator_is_succeeded_by_rank():
    waits = [
        seconds_until_takeover(heard(checkpoint(coordinator=FIRST)), own)
        for own in (SECOND, THIRD)
    ]
    assert SILENCE_MAX_S <= waits[0] < waits[1]


def test_stopped_coordinator_is_succeeded_at_once():
    coordination = heard(checkpoint(coordinator=FIRST, released=True))
    ready = [SECOND, THIRD]
    assert seconds_until_takeover(coordination, SECOND, ready=ready) == 0.0


def test_restarted_coordinator_does_not_go_on_as_if_it_were_the_old_process():
    coordination = heard(checkpoint(coordinator=FIRST))
    wait_s = seconds_until_takeover(coordination, FIRST)
    assert wait_s >= LOST_SILENCE_MAX_S
    assert coordination.next_epoch(9, FIRST).epoch == 2


def test_first_ranked_gateway_leaves_a_working_coordinator_alone():
    coordination = heard(checkpoint(coordinator=SECOND, epoch=2))
    for number in range(2, 40):
        now = number * ROUND_S
        coordination.merge(
            checkpoint(coordinator=SECOND, epoch=2, round=number), now
        )
        assert not coordination.must_coordinate(
            own=FIRST, ready=NAMES, service=SERVICE, now=now
        )


# A frozen coordinator that wakes would decide by the clock on old evidence.
def test_coordinator_that_was_paused_listens_before_it_decides():
    coordination = Coordination()
    assert coordination.must_coordinate(
        own=FIRST, ready=NAMES, service=SERVICE, now=0.0
    )
    coordination.is_coordinator = True
    coordination.advance(checkpoint(), 0.0)
    assert not coordination.must_coordinate(
        own=FIRST, ready=NAMES, service=SERVICE, now=3.0
    )
    assert not coordination.is_coordinator


def test_coordinator_steps_down_for_a_higher_checkpoint_only():
    coordination = Coordination(is_coordinator=True)
    coordination.advance(checkpoint(epoch=2, coordinator="b", round=9), 0.0)
    assert not coordination.merge(
        checkpoint(epoch=2, coordinator="a", round=30), 1.0
    )
    assert coordination.is_coordinator
    assert coordination.merge(
        checkpoint(epoch=2, coordinator="c", round=1), 1.0
    )
    assert not coordination.is_coordinator


def add_samples(counter, count, *, failed=False):
    for _ in range(count):
        counter.add(
            ExchangeSample(
                service=SERVICE,
                version="v2",
                route="/r/",
                failed=failed,
                latency_s=0.1,
            )
        )


def test_counters_are_known_as_of_an_earlier_reading():
    counter = EvidenceCounter()
    add_samples(counter, 3)
    counter.mark(SERVICE, EvidenceMark(9, 1, "a", 4))
    add_samples(counter, 2)
    [earlier] = counter.as_of(SERVICE, EvidenceMark(9, 1, "a", 6))
    assert earlier.count == 3
    assert counter.of_services([SERVICE])[0].count == 5


def test_counters_of_a_process_that_started_after_a_reading_are_zero():
    counter = EvidenceCounter()
    assert counter.as_of(SERVICE, EvidenceMark(9, 1, "a", 4)) == []
    add_samples(counter, 3)
    counter.mark(SERVICE, EvidenceMark(9, 2, "b", 1))
    assert counter.as_of(SERVICE, EvidenceMark(9, 1, "a", 4)) == []


def test_readings_of_an_earlier_rollout_are_not_evidence_on_the_next():
    counter = EvidenceCounter()
    add_samples(counter, 50, failed=True)
    counter.mark(SERVICE, EvidenceMark(9, 3, "a", 60))
    [earlier] = counter.as_of(SERVICE, EvidenceMark(30))
    assert earlier.failed == 50


def test_oldest_kept_reading_stands_in_for_one_that_was_dropped():
    counter = EvidenceCounter()
    for number in range(1, MARKS_MAX + 3):
        add_samples(counter, 1)
        counter.mark(SERVICE, EvidenceMark(9, 1, "a", number))
    [earlier] = counter.as_of(SERVICE, EvidenceMark(9, 1, "a", 1))
    assert earlier.count == 3


def test_restored_analysis_finds_a_fault_that_its_predecessor_half_proved():
    analysis = CanaryAnalysis(service=SERVICE, old="old", new="new")
    analysis.restore(checkpoint().routes, samples_since_step=12)
    assert analysis.evaluate().verdict is not Verdict.BAD
    analysis.add(
        [Tally(service=SERVICE, version="new", route="/r/", count=8, failed=8)]
    )
    assert analysis.evaluate().verdict is Verdict.BAD
    assert analysis.evidence()[0].new_version_count == 20


def test_restored_analysis_does_not_compare_latencies_it_has_not_seen():
    analysis = CanaryAnalysis(service=SERVICE, old="old", new="new")
    analysis.restore(checkpoint().routes, samples_since_step=0)
    slow = Tally(service=SERVICE, version="new", route="/r/")
    for _ in range(50):
        slow.add(failed=False, latency_s=5.0)
    for _ in range(6):
        analysis.add([slow])
    assert analysis.evidence()[0].slowness == 0.0


def test_checkpoint_is_read_back_from_the_store():
    stored = checkpoint(epoch=3, round=12)
    update = PlatformItemDecoder(regions={}).decode(
        Item(
            key=CHECKPOINT_PREFIX + SERVICE,
            value=encode_checkpoint(stored),
            revision=40,
        )
    )
    assert update == RolloutCheckpointUpdate(service=SERVICE, checkpoint=stored)


@pytest.mark.parametrize(
    "value",
    ["", "{", "null", "[" * 100_000, '["s",[9],[0,1,"x",0.1],"old"]'],
)
def test_unreadable_checkpoint_is_reported_and_not_used(value):
    update = PlatformItemDecoder(regions={}).decode(
        Item(key=CHECKPOINT_PREFIX + SERVICE, value=value, revision=40)
    )
    assert isinstance(update, UnreadableItem)


def test_checkpoint_survives_its_encoding_on_the_wire():
    stored = checkpoint()
    encoded = msgspec.msgpack.encode(stored)
    assert msgspec.msgpack.decode(encoded, type=RolloutCheckpoint) == stored
