"""Tests of what a gateway takes from answers of the store and from peers."""

import msgspec
import pytest
import trio
from result import Ok
from trio.testing import MockClock

from kingcupvane.connection.messages import (
    GatewayRecord,
    GatewayReport,
    MirrorReply,
    MirrorRequest,
    MirrorSource,
)
from kingcupvane.process.confirmation import Confirmation
from kingcupvane.process.item import Position
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.replication import StoreReplicator, answered_moment
from kingcupvane.process.store import Listing
from kingcupvane.process.store_era import StoreEra
from kingcupvane.settings import PlatformStoreSettings


def make_record(name):
    return GatewayRecord(
        name=name,
        incarnation=1,
        region="r",
        data_centre="d",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )


class SlowStore:
    """A store whose answers are read long after they were given.

    Attributes:
        called_at: When each call was made, in seconds.
    """

    def __init__(self, *, clock):
        """Starts in the first era, with nothing newer than the mirror."""
        self.era = StoreEra()
        self.called_at = []
        self._clock = clock

    async def scan(self, prefix, *, at_least):
        """Answers 0.3 s after the call."""
        self.called_at.append(self._clock.now())
        self._clock.advance(0.3)
        return Ok(Listing(items=[], revision=10))

    async def watch(self, prefix, *, after, wait_s):
        """Answers the first call 7 s after it, and no other."""
        if len(self.called_at) == 2:
            await trio.sleep_forever()
        self.called_at.append(self._clock.now())
        self._clock.advance(7.0)
        return Ok(Listing(items=[], revision=10))


@pytest.fixture
def held_up_s():
    return {"held_up_s": 0.0}


@pytest.fixture
def store(clock):
    return SlowStore(clock=clock)


@pytest.fixture
def replicator(store, clock, timeline, held_up_s):
    mirror = Mirror(prefix="")
    mirror.merge([], as_of=Position(0, 10))
    return StoreReplicator(
        store=store,
        mirror=mirror,
        peers=PeerTable(own=make_record("g1")),
        settings=PlatformStoreSettings(address="127.0.0.1:3"),
        apply_items=lambda items: None,
        begin_era=lambda: None,
        held_up_s=lambda now: held_up_s["held_up_s"],
        clock=clock,
        timeline=timeline,
    )


def make_report(**fields):
    return GatewayReport(
        record=make_record("g2"), ready=True, as_of=10, **fields
    )


def test_answer_that_waited_to_be_read_is_not_taken_for_new():
    """The end of the wait, or earlier, as it was asked for."""
    waited = {"called_at": 10.0, "wait_s": 1.2}
    assert answered_moment(**waited, read_at=17.0) == 11.2
    assert answered_moment(**waited, read_at=10.4) == 10.4
    # The process was held up from before the call was made.
    assert answered_moment(**waited, read_at=9.9) == 10.0
    assert answered_moment(called_at=10.0, wait_s=0.0, read_at=10.3) == 10.0


def test_call_of_the_own_confirms_no_later_moment_than_it_can(
    replicator, store
):
    confirmed_at = []

    async def run():
        with trio.move_on_after(0.1):
            await replicator.run()
        confirmed_at.append(replicator.freshness.confirmed_at)
        with trio.move_on_after(1.0):
            await replicator.run()
        confirmed_at.append(replicator.freshness.confirmed_at)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    listed_at, watched_at = store.called_at
    assert confirmed_at == [listed_at, watched_at + 1.2]


def test_report_that_waited_while_the_process_was_held_up_is_older(
    replicator, clock, held_up_s
):
    clock.advance(20.0)
    held_up_s["held_up_s"] = 5.0
    confirmation = Confirmation(7, 1, Position(0, 10), 500)
    replicator.hear(make_report(confirmation=confirmation))
    assert replicator.freshness.age_s(clock.now()) == 5.5


def test_age_of_older_software_counts_only_from_a_watcher(replicator, clock):
    clock.advance(9.0)
    replicator.hear(make_report(confirmed_age_s=0.1, feed=MirrorSource.PEERS))
    replicator.hear(make_report(confirmed_age_s=0.1, feed=MirrorSource.LOST))
    assert replicator.freshness.age_s(clock.now()) == 9.0
    replicator.hear(make_report(confirmed_age_s=0.5, feed=MirrorSource.STORE))
    assert replicator.freshness.age_s(clock.now()) == 0.5


def test_age_of_older_software_is_not_passed_on(replicator, clock):
    """A circle of old and new gateways must not keep itself fresh."""
    clock.advance(9.0)
    replicator.hear(make_report(confirmed_age_s=0.5, feed=MirrorSource.STORE))
    reply = replicator.changes_since(MirrorRequest(after=10))
    assert reply.confirmation is msgspec.UNSET
    assert reply.confirmed_age_s == float("inf")


def test_mirror_reply_passes_the_confirmation_on(replicator, clock):
    confirmation = Confirmation(7, 1, Position(0, 10), 500)
    clock.advance(9.0)
    replicator.hear(make_report(confirmation=confirmation))
    clock.advance(0.25)
    reply = replicator.changes_since(MirrorRequest(after=10))
    assert reply.confirmation == Confirmation(7, 1, Position(0, 10), 750)
    assert reply.confirmed_age_s == 0.75


def test_confirmation_of_a_mirror_reply_counts(replicator, clock):
    clock.advance(9.0)
    confirmation = Confirmation(7, 1, Position(0, 12), 250)
    reply = MirrorReply(
        items=[], as_of=12, whole=True, confirmation=confirmation
    )
    replicator.apply_changes(reply)
    assert replicator.freshness.age_s(clock.now()) == 0.25


def test_report_of_older_software_is_understood():
    encoded = msgspec.msgpack.encode(make_report(confirmed_age_s=0.5))
    decoded = msgspec.msgpack.decode(encoded, type=GatewayReport)
    assert decoded.confirmation is msgspec.UNSET
