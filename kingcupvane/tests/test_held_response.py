"""Tests of the sending of responses within a budget."""

import trio
import trio.testing

from kingcupvane.connection.held_response import (
    PART_BYTES,
    HeldResponse,
    parts_of,
)
from kingcupvane.connection.memory_budget import (
    STALL_MAX_S,
    ResponseMemoryBudget,
)

SIZE_BYTES = 2 * PART_BYTES + 1


def run(check):
    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


def test_parts_make_up_the_body():
    for size in (0, 1, PART_BYTES, PART_BYTES + 1, SIZE_BYTES):
        body = bytes(range(256)) * (size // 256 + 1)
        parts = list(parts_of(body[:size]))
        assert b"".join(part for part, _ in parts) == body[:size]
        assert [more for _, more in parts] == [True] * (len(parts) - 1) + [
            False
        ]


def test_response_that_nobody_takes_ends_without_an_error_and_frees_its_room():
    memory = ResponseMemoryBudget(max_bytes=SIZE_BYTES)

    async def check():
        async def send_never(message):
            await trio.sleep_forever()

        async def send_one():
            held = HeldResponse(memory=memory, size_bytes=SIZE_BYTES)
            with held:
                await held.wrap(send_never)({})
            assert held.is_evicted

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_one)
            await trio.sleep(STALL_MAX_S)
            assert memory.evict_stalled(trio.current_time())

    run(check)
    assert memory.used_bytes == 0


def test_response_that_is_taken_in_parts_does_not_stall():
    memory = ResponseMemoryBudget(max_bytes=SIZE_BYTES)

    async def check():
        async def send_slowly(message):
            await trio.sleep(STALL_MAX_S / 2)
            assert not memory.evict_stalled(trio.current_time())

        held = HeldResponse(memory=memory, size_bytes=SIZE_BYTES)
        with held:
            for _ in range(4):
                await held.wrap(send_slowly)({})
        assert not held.is_evicted

    run(check)
    assert memory.used_bytes == 0


def test_response_whose_last_part_was_just_taken_counts_as_taken():
    memory = ResponseMemoryBudget(max_bytes=SIZE_BYTES)

    async def check():
        held = HeldResponse(memory=memory, size_bytes=SIZE_BYTES)
        with held:
            await trio.sleep(STALL_MAX_S)
            assert memory.evict_stalled(trio.current_time())
        assert not held.is_evicted

    run(check)
    assert memory.used_bytes == 0
