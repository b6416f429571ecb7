"""Tests of the group commit of order records, also under store faults."""

import trio
import trio.testing
from result import Err, Ok

from kingcupvane.process.order_writer import OrderRecordWriter
from kingcupvane.request.order import CompleteRecord, CreateRecord, OrderRecord
from kingcupvane.settings import OrderSettings
from kingcupvane.tests.fakes import MemoryStore, TrioClock


def run(scenario):
    """Runs a check with one store and the record writers of two entries."""

    async def main():
        clock = TrioClock()
        store = MemoryStore(clock=clock)
        store.delay_s = 0.002
        async with trio.open_nursery() as nursery:
            ledgers = [
                OrderRecordWriter(
                    store=store,
                    clock=clock,
                    settings=OrderSettings(),
                    nursery=nursery,
                )
                for _ in range(2)
            ]
            await scenario(store, ledgers)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def create(key, token):
    return CreateRecord(key=key, record=OrderRecord(token=token))


def test_lost_answer_is_settled_by_reading_back():
    async def scenario(store, ledgers):
        store.faults.append("lose")
        reply = await ledgers[0].submit("s", create("a/1", "t1"))
        assert reply.ok_value.accepted

    run(scenario)


def test_dropped_write_is_repeated():
    async def scenario(store, ledgers):
        store.faults.append("drop")
        reply = await ledgers[0].submit("s", create("a/1", "t1"))
        assert reply.ok_value.accepted

    run(scenario)


def test_store_down_refuses_and_never_claims_the_record():
    async def scenario(store, ledgers):
        store.down = True
        reply = await ledgers[0].submit("s", create("a/1", "t1"))
        assert isinstance(reply, Err)
        store.down = False
        other = await ledgers[1].submit("s", create("a/1", "t2"))
        assert other.ok_value.accepted

    run(scenario)


def test_two_entries_race_for_one_order():
    async def scenario(store, ledgers):
        replies = []

        async def attempt(index):
            operation = create("a/1", f"t{index}")
            replies.append(await ledgers[index].submit("s", operation))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt, 0)
            nursery.start_soon(attempt, 1)
        assert sorted(r.ok_value.accepted for r in replies) == [False, True]

    run(scenario)


def test_orders_that_arrive_together_share_writes():
    async def scenario(store, ledgers):
        async def attempt(index):
            reply = await ledgers[0].submit("s", create(f"a/{index}", "t"))
            assert reply.ok_value.accepted

        async with trio.open_nursery() as nursery:
            for index in range(100):
                nursery.start_soon(attempt, index)
        assert store.writes <= 3

    run(scenario)


def test_lapsed_lease_is_replaced():
    async def scenario(store, ledgers):
        await ledgers[0].submit("s", create("a/1", "t1"))
        store.state.revoke(1)
        with trio.fail_after(5):
            reply = await ledgers[0].submit("s", create("a/2", "t2"))
        assert isinstance(reply, Ok)

    run(scenario)


def test_outcome_is_kept_for_a_repeat():
    async def scenario(store, ledgers):
        await ledgers[0].submit("s", create("a/1", "t1"))
        done = OrderRecord(token="t1", state="done", status=200)
        await ledgers[0].submit("s", CompleteRecord(key="a/1", record=done))
        reply = await ledgers[1].submit("s", create("a/1", "t2"))
        assert not reply.ok_value.accepted
        assert reply.ok_value.record.status == 200

    run(scenario)


def test_repeat_sees_an_outcome_that_came_after_its_last_read():
    async def scenario(store, ledgers):
        await ledgers[0].submit("s", create("a/1", "t1"))
        before = await ledgers[1].submit("s", create("a/1", "t2"))
        assert before.ok_value.record.state == "running"
        done = OrderRecord(token="t1", state="done", status=200)
        await ledgers[0].submit("s", CompleteRecord(key="a/1", record=done))
        after = await ledgers[1].submit("s", create("a/1", "t3"))
        assert after.ok_value.record.state == "done"

    run(scenario)
