"""Callers that leave at random moments, seeded, against a whole gateway."""

import contextlib
import random
import time
from dataclasses import dataclass, field

import pytest
import trio

from kingcupvane.tests.test_callers_gone import Replayed, request
from kingcupvane.tests.test_exchange import Script, read_request
from kingcupvane.tests.test_platform_gateway import World, answer_echo

SEEDS = range(4)
CALLERS = 40
REQUESTS_EACH = 8
# Time after a caller's end at which its request must not be worked on, in s.
GONE_S = 0.5
ROUND_MAX_S = 0.015
WORK_MAX_S = 1.0
PATIENCE_MAX_S = 0.4


@dataclass(kw_only=True)
class Record:
    """When things happened, in monotonic seconds by path.

    Attributes:
        left_at: The caller closed its connection.
        arrived_at: The request reached the target.
        ended_at: The target ended its work on it.
        answered: Requests that were answered.
    """

    left_at: dict[str, float] = field(default_factory=dict)
    arrived_at: dict[str, float] = field(default_factory=dict)
    ended_at: dict[str, float] = field(default_factory=dict)
    answered: int = 0


class WorkingTarget:
    """A target that works for a random time unless its caller closes."""

    def __init__(self, *, chance, record):
        """Takes the source of times and where they are kept."""
        self._chance = chance
        self._record = record

    async def answer(self, stream):
        while True:
            data = await read_request(stream)
            if not data:
                return
            path = data.split(b" ", 2)[1].decode()
            self._record.arrived_at[path] = time.monotonic()
            try:
                if not await self._work(stream):
                    return
            finally:
                self._record.ended_at[path] = time.monotonic()
            await answer_echo(Replayed(stream=stream, data=data))

    async def _work(self, stream):
        """Returns whether the work was done before the connection ended."""
        seconds = self._chance.choice(
            [0.0, self._chance.uniform(0, WORK_MAX_S)]
        )
        with trio.move_on_after(seconds):
            await stream.receive_some(1)
            return False
        return True


async def call(world, chance, record, name):
    """Asks one request after the other and leaves in between."""
    host, _, port = world.settings.caller_address.rpartition(":")
    stream = None
    for number in range(REQUESTS_EACH):
        path = f"/r/{name}-{number}"
        if stream is None:
            stream = await trio.open_tcp_stream(host, int(port))
        patience_s = chance.choice(
            [0.0, chance.uniform(0, PATIENCE_MAX_S), 5.0]
        )
        await stream.send_all(request(path))
        answered = False
        with trio.move_on_after(patience_s):
            with contextlib.suppress(trio.BrokenResourceError):
                answered = bool(await stream.receive_some(65536))
        if answered:
            record.answered += 1
            await trio.sleep(chance.uniform(0, 0.05))
            continue
        await trio.aclose_forcefully(stream)
        record.left_at[path] = time.monotonic()
        stream = None


async def keep_busy(chance):
    while True:
        time.sleep(chance.uniform(0, ROUND_MAX_S))
        await trio.lowlevel.checkpoint()


def play(seed):
    """Returns what happened with a seed."""
    chance = random.Random(seed)
    record = Record()
    world = World()
    target = WorkingTarget(chance=chance, record=record)
    world.target = Script(target.answer)

    async def use(world):
        world.put_plan()
        await world.until(world.is_ready)
        async with trio.open_nursery() as background:
            background.start_soon(keep_busy, chance)
            async with trio.open_nursery() as callers:
                for name in range(CALLERS):
                    callers.start_soon(call, world, chance, record, name)
            await trio.sleep(2 * GONE_S)
            background.cancel_scope.cancel()

    world.play(use)
    return record


@pytest.mark.parametrize("seed", SEEDS)
def test_no_work_goes_on_for_callers_that_left(seed):
    record = play(seed)
    late = {
        path: (record.arrived_at[path] - left, record.ended_at[path] - left)
        for path, left in record.left_at.items()
        if path in record.arrived_at
        and max(record.arrived_at[path], record.ended_at[path]) > left + GONE_S
    }
    assert late == {}
    assert record.answered > CALLERS
    assert len(record.left_at) > CALLERS
