"""Tests that requests of disconnected callers are cancelled or not sent."""

import contextlib
import socket
import time
from types import SimpleNamespace

import pytest
import trio
from result import Err, Ok

from kingcupvane import asgi
from kingcupvane.platform.names import NAMES
from kingcupvane.process.metrics import EntryMetrics
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.request import refusals
from kingcupvane.request.active_requests import ActiveRequests
from kingcupvane.request.handler import RequestHandler
from kingcupvane.settings import ConfigurationSettings, RequestSettings
from kingcupvane.tests.builders import KEY, configuration
from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    respond_with_account,
)
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
)

# Longest time from a caller's disconnect until its request is cancelled at the
# target, in seconds.
CANCEL_MAX_S = 0.5
# Least duration of a scheduler round in a busy process, in seconds.
ROUND_DURATION_S = 0.008
CALLERS = 100


class RecordingTarget:
    """A target that records the paths of the requests it receives.

    A request with "held" in its path gets no response: the target waits until
    the connection ends and records when.
    """

    def __init__(self):
        """Makes a target that has received nothing."""
        self.paths = []
        self.ended_at = []

    async def handle(self, stream):
        """Responds to each request, but never to held ones."""
        while True:
            data = await read_request(stream)
            if not data:
                return
            path = data.split(b" ", 2)[1].decode()
            self.paths.append(path)
            if "held" in path:
                await self._hold(stream)
                return
            await respond_with_account(ReplayStream(stream=stream, data=data))

    async def _hold(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        self.ended_at.append(time.monotonic())


class ReplayStream:
    """A stream that returns one request, already read, a second time."""

    def __init__(self, *, stream, data):
        """Makes a stream whose first read returns `data`."""
        self._stream = stream
        self._data = [data]

    async def receive_some(self, size=None):
        return self._data.pop() if self._data else b""

    async def send_all(self, data):
        await self._stream.send_all(data)


def request_bytes(path):
    return (
        b"GET %s HTTP/1.1\r\nhost: h.example\r\n%s: id\r\n%s: 2000\r\n"
        b"authorization: Token k1\r\n\r\n"
        % (path.encode(), NAMES.attempt, NAMES.deadline)
    )


def open_caller(harness, path):
    host, _, port = harness.settings.caller_address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.sendall(request_bytes(path))
    return caller


async def keep_busy():
    """Blocks the event loop in each round of the scheduler."""
    while True:
        time.sleep(ROUND_DURATION_S)
        await trio.lowlevel.checkpoint()


async def start_serving(harness):
    harness.put_plan()
    await harness.wait_until(harness.is_ready)
    assert (await harness.send_request("/r/first"))[0] == 200


@pytest.fixture
def target():
    return RecordingTarget()


@pytest.fixture
def harness(target):
    harness = GatewayHarness()
    harness.target = ScriptedTarget(target.handle)
    return harness


def test_request_is_not_sent_if_its_caller_disconnected_before_reading(
    harness, target
):
    async def check(harness):
        await start_serving(harness)
        for number in range(CALLERS):
            open_caller(harness, f"/r/gone-{number}").close()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_busy)
            assert (await harness.send_request("/r/last"))[0] == 200
            nursery.cancel_scope.cancel()
        assert [path for path in target.paths if "gone" in path] == []

    harness.run_gateway(check)


def test_busy_gateway_cancels_target_request_when_caller_disconnects(
    harness, target
):
    async def check(harness):
        await start_serving(harness)
        held_callers = [open_caller(harness, f"/r/held-{n}") for n in range(3)]
        await harness.wait_until(
            lambda: have_arrived(target, 1 + len(held_callers))
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_busy)
            other_callers = [
                open_caller(harness, f"/r/other-{n}") for n in range(CALLERS)
            ]
            disconnected_at = time.monotonic()
            for caller in [*held_callers, *other_callers]:
                caller.close()
            await harness.wait_until(
                lambda: have_ended(target, len(held_callers))
            )
            nursery.cancel_scope.cancel()
        assert max(target.ended_at) - disconnected_at < CANCEL_MAX_S

    harness.run_gateway(check)


async def have_arrived(target, count):
    return len(target.paths) >= count


async def have_ended(target, count):
    return len(target.ended_at) >= count


class CountingRunner:
    """Fake dispatcher and order runner of an entry; counts its runs."""

    def __init__(self):
        """Starts at zero runs."""
        self.runs = 0

    async def run(self, context, configuration, *sink):
        self.runs += 1
        return Err(refusals.no_free_slot(context, "no-capacity"))


def entry_handler(clock, timeline, dispatcher, orders):
    replica = ConfigurationReplica(
        clock=clock, timeline=timeline, settings=ConfigurationSettings()
    )
    replica.offer(configuration().model_dump_json(), source="test")
    return RequestHandler(
        settings=RequestSettings(),
        clock=clock,
        metrics=EntryMetrics(),
        refusal_counter=SimpleNamespace(count=lambda refusal: None),
        admission=SimpleNamespace(admit=lambda context, revision: Ok(None)),
        dispatcher=dispatcher,
        order_runner=orders,
        active_requests=ActiveRequests(),
        replica=replica,
    )


@pytest.mark.parametrize("path", ["/treaty/open/1", "/treaty/book/1"])
@pytest.mark.parametrize(("disconnected", "runs"), [(True, 0), (False, 1)])
def test_entry_runs_no_request_of_a_disconnected_caller(
    clock, timeline, path, disconnected, runs
):
    runner = CountingRunner()
    handler = entry_handler(clock, timeline, runner, runner)

    messages = [{"type": "http.request", "body": b""}]

    async def receive():
        if not messages:
            await trio.sleep_forever()
        return messages.pop()

    async def send(message):
        """Discards the message."""

    http_request = asgi.HttpRequest(
        method="POST",
        path=path,
        query="",
        headers={"authorization": f"Bearer {KEY}"},
        receive=receive,
        is_disconnected=lambda: disconnected,
    )
    trio.run(handler.handle, http_request, send)
    assert runner.runs == runs
