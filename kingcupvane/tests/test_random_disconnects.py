"""Tests that a busy gateway cancels the requests of disconnected callers.

The callers disconnect at random times, drawn from a seed.
"""

import contextlib
import random
import time
from dataclasses import dataclass, field

import pytest
import trio

from kingcupvane.tests.test_disconnected_callers import (
    ReplayStream,
    request_bytes,
)
from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    respond_with_account,
)
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
)

SEEDS = range(4)
CALLERS = 40
REQUESTS_EACH = 8
# Longest time from a caller's disconnect until its request is cancelled at the
# target, in seconds.
CANCEL_MAX_S = 0.5
# Longest time that `keep_busy` blocks the event loop in one round, in seconds.
ROUND_DURATION_MAX_S = 0.015
# Longest service time of the target, in seconds.
WORK_MAX_S = 1.0
# Longest of the callers' short timeouts, in seconds.
CALLER_TIMEOUT_MAX_S = 0.4


@dataclass(kw_only=True)
class CallLog:
    """Times of the events of each request, in monotonic seconds by path.

    Attributes:
        disconnected_at: When the caller closed its connection.
        arrived_at: When the request reached the target.
        ended_at: When the target finished or stopped working on it.
        answered: Number of requests that got a response.
    """

    disconnected_at: dict[str, float] = field(default_factory=dict)
    arrived_at: dict[str, float] = field(default_factory=dict)
    ended_at: dict[str, float] = field(default_factory=dict)
    answered: int = 0


class WorkingTarget:
    """A target that works for a random time or until the connection ends."""

    def __init__(self, *, rng, log):
        """Makes a target.

        Args:
            rng: Draws the service times.
            log: Receives arrivals and ends of requests.
        """
        self._rng = rng
        self._log = log

    async def handle(self, stream):
        while True:
            data = await read_request(stream)
            if not data:
                return
            path = data.split(b" ", 2)[1].decode()
            self._log.arrived_at[path] = time.monotonic()
            try:
                if not await self._work(stream):
                    return
            finally:
                self._log.ended_at[path] = time.monotonic()
            await respond_with_account(ReplayStream(stream=stream, data=data))

    async def _work(self, stream):
        """Returns whether the work finished before the connection ended."""
        work_s = self._rng.choice([0.0, self._rng.uniform(0, WORK_MAX_S)])
        with trio.move_on_after(work_s):
            await stream.receive_some(1)
            return False
        return True


async def run_caller(harness, rng, log, name):
    """Sends requests in sequence, and disconnects from slow ones."""
    host, _, port = harness.settings.caller_address.rpartition(":")
    stream = None
    for number in range(REQUESTS_EACH):
        path = f"/r/{name}-{number}"
        if stream is None:
            stream = await trio.open_tcp_stream(host, int(port))
        timeout_s = rng.choice([0.0, rng.uniform(0, CALLER_TIMEOUT_MAX_S), 5.0])
        await stream.send_all(request_bytes(path))
        answered = False
        with trio.move_on_after(timeout_s):
            with contextlib.suppress(trio.BrokenResourceError):
                answered = bool(await stream.receive_some(65536))
        if answered:
            log.answered += 1
            await trio.sleep(rng.uniform(0, 0.05))
            continue
        await trio.aclose_forcefully(stream)
        log.disconnected_at[path] = time.monotonic()
        stream = None


async def keep_busy(rng):
    while True:
        time.sleep(rng.uniform(0, ROUND_DURATION_MAX_S))
        await trio.lowlevel.checkpoint()


def run_callers(seed):
    """Runs callers against a busy gateway and returns their log."""
    rng = random.Random(seed)
    log = CallLog()
    harness = GatewayHarness()
    target = WorkingTarget(rng=rng, log=log)
    harness.target = ScriptedTarget(target.handle)

    async def check(harness):
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        async with trio.open_nursery() as background:
            background.start_soon(keep_busy, rng)
            async with trio.open_nursery() as callers:
                for name in range(CALLERS):
                    callers.start_soon(run_caller, harness, rng, log, name)
            await trio.sleep(2 * CANCEL_MAX_S)
            background.cancel_scope.cancel()

    harness.run_gateway(check)
    return log


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_of_disconnected_callers_are_cancelled_in_time(seed):
    log = run_callers(seed)
    late = {
        path: (
            log.arrived_at[path] - disconnected_at,
            log.ended_at[path] - disconnected_at,
        )
        for path, disconnected_at in log.disconnected_at.items()
        if path in log.arrived_at
        and max(log.arrived_at[path], log.ended_at[path])
        > disconnected_at + CANCEL_MAX_S
    }
    assert late == {}
    assert log.answered > CALLERS
    assert len(log.disconnected_at) > CALLERS
