"""Tests of the group commit of order records, also under store faults."""

import trio
import trio.testing
from result import Err, Ok

from kingcupvane.process.order_writer import OrderRecordWriter
from kingcupvane.request.order import CompleteRecord, CreateRecord, OrderRecord
from kingcupvane.settings import OrderSettings
from kingcupvane.tests.fakes import MemoryStore, TrioClock


def run(check):
    """Runs a check with one store and the record writers of two entries."""

    async def main():
        clock = TrioClock()
        store = MemoryStore(clock=clock)
        store.delay_s = 0.002
        async with trio.open_nursery() as nursery:
            writers = [
                OrderRecordWriter(
                    store=store,
                    clock=clock,
                    settings=OrderSettings(),
                    nursery=nursery,
                )
                for _ in range(2)
            ]
            await check(store, writers)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def create(key, token):
    return CreateRecord(key=key, record=OrderRecord(token=token))


def test_lost_reply_of_a_write_is_resolved_by_a_read():
    async def check(store, writers):
        store.faults.append("lose")
        reply = await writers[0].submit("s", create("a/1", "t1"))
        assert reply.ok_value.accepted

    run(check)


def test_dropped_write_is_retried():
    async def check(store, writers):
        store.faults.append("drop")
        reply = await writers[0].submit("s", create("a/1", "t1"))
        assert reply.ok_value.accepted

    run(check)


def test_create_fails_without_a_record_while_the_store_is_down():
    async def check(store, writers):
        store.down = True
        reply = await writers[0].submit("s", create("a/1", "t1"))
        assert isinstance(reply, Err)
        store.down = False
        other_reply = await writers[1].submit("s", create("a/1", "t2"))
        assert other_reply.ok_value.accepted

    run(check)


def test_one_of_two_concurrent_creates_is_accepted():
    async def check(store, writers):
        replies = []

        async def attempt(index):
            operation = create("a/1", f"t{index}")
            replies.append(await writers[index].submit("s", operation))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt, 0)
            nursery.start_soon(attempt, 1)
        assert sorted(reply.ok_value.accepted for reply in replies) == [
            False,
            True,
        ]

    run(check)


def test_concurrent_orders_share_writes():
    async def check(store, writers):
        async def attempt(index):
            reply = await writers[0].submit("s", create(f"a/{index}", "t"))
            assert reply.ok_value.accepted

        async with trio.open_nursery() as nursery:
            for index in range(100):
                nursery.start_soon(attempt, index)
        assert store.writes <= 3

    run(check)


def test_revoked_lease_is_replaced():
    async def check(store, writers):
        await writers[0].submit("s", create("a/1", "t1"))
        store.state.revoke(1)
        with trio.fail_after(5):
            reply = await writers[0].submit("s", create("a/2", "t2"))
        assert isinstance(reply, Ok)

    run(check)


def test_repeat_gets_the_recorded_outcome():
    async def check(store, writers):
        await writers[0].submit("s", create("a/1", "t1"))
        done = OrderRecord(token="t1", state="done", status=200)
        await writers[0].submit("s", CompleteRecord(key="a/1", record=done))
        reply = await writers[1].submit("s", create("a/1", "t2"))
        assert not reply.ok_value.accepted
        assert reply.ok_value.record.status == 200

    run(check)


def test_repeat_gets_an_outcome_written_after_the_last_read():
    async def check(store, writers):
        await writers[0].submit("s", create("a/1", "t1"))
        before = await writers[1].submit("s", create("a/1", "t2"))
        assert before.ok_value.record.state == "running"
        done = OrderRecord(token="t1", state="done", status=200)
        await writers[0].submit("s", CompleteRecord(key="a/1", record=done))
        after = await writers[1].submit("s", create("a/1", "t3"))
        assert after.ok_value.record.state == "done"

    run(check)
