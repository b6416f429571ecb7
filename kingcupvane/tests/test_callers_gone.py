"""Tests that targets do no work for callers that have left."""

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
from kingcupvane.tests.test_exchange import Script, read_request
from kingcupvane.tests.test_platform_gateway import World, answer_echo

# Time after a caller's end at which its request must not be worked on, in s.
GONE_S = 0.5
# What a round of the scheduler takes where the process is busy, in seconds.
ROUND_S = 0.008
CALLERS = 100


class RecordingTarget:
    """A target that keeps the paths of what reaches it.

    Paths with the word "held" are worked on until the connection ends.
    """

    def __init__(self):
        """Starts without requests."""
        self.paths = []
        self.ended_at = []

    async def answer(self, stream):
        """Answers each request, those that are held never."""
        while True:
            data = await read_request(stream)
            if not data:
                return
            path = data.split(b" ", 2)[1].decode()
            self.paths.append(path)
            if "held" in path:
                await self._hold(stream)
                return
            await answer_echo(Replayed(stream=stream, data=data))

    async def _hold(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        self.ended_at.append(time.monotonic())


class Replayed:
    """A stream of which one request has been read already."""

    def __init__(self, *, stream, data):
        """Gives `data` back before anything else."""
        self._stream = stream
        self._data = [data]

    async def receive_some(self, size=None):
        return self._data.pop() if self._data else b""

    async def send_all(self, data):
        await self._stream.send_all(data)


def request(path):
    return (
        b"GET %s HTTP/1.1\r\nhost: h.example\r\n%s: id\r\n%s: 2000\r\n"
        b"authorization: Token k1\r\n\r\n"
        % (path.encode(), NAMES.attempt, NAMES.deadline)
    )


def open_caller(world, path):
    host, _, port = world.settings.caller_address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.sendall(request(path))
    return caller


async def keep_busy():
    """Makes each round of the scheduler take time."""
    while True:
        time.sleep(ROUND_S)
        await trio.lowlevel.checkpoint()


async def start(world):
    world.put_plan()
    await world.until(world.is_ready)
    assert (await world.ask("/r/first"))[0] == 200


@pytest.fixture
def target():
    return RecordingTarget()


@pytest.fixture
def world(target):
    world = World()
    world.target = Script(target.answer)
    return world


def test_request_whose_caller_left_before_it_was_read_is_not_sent(
    world, target
):
    async def use(world):
        await start(world)
        for number in range(CALLERS):
            open_caller(world, f"/r/gone-{number}").close()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_busy)
            assert (await world.ask("/r/last"))[0] == 200
            nursery.cancel_scope.cancel()
        assert [path for path in target.paths if "gone" in path] == []

    world.play(use)


def test_work_ends_when_its_caller_leaves_a_busy_gateway(world, target):
    async def use(world):
        await start(world)
        held = [open_caller(world, f"/r/held-{n}") for n in range(3)]
        await world.until(lambda: have_come(target, 1 + len(held)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_busy)
            others = [
                open_caller(world, f"/r/other-{n}") for n in range(CALLERS)
            ]
            left_at = time.monotonic()
            for caller in [*held, *others]:
                caller.close()
            await world.until(lambda: have_ended(target, len(held)))
            nursery.cancel_scope.cancel()
        assert max(target.ended_at) - left_at < GONE_S

    world.play(use)


async def have_come(target, count):
    return len(target.paths) >= count


async def have_ended(target, count):
    return len(target.ended_at) >= count


class CountingRunner:
    """Stands in for what runs requests of an entry."""

    def __init__(self):
        """Starts without requests."""
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


@pytest.mark.parametrize("url", ["/treaty/open/1", "/treaty/book/1"])
@pytest.mark.parametrize(("left", "runs"), [(True, 0), (False, 1)])
def test_entry_runs_nothing_for_a_caller_that_left(
    clock, timeline, url, left, runs
):
    runner = CountingRunner()
    handler = entry_handler(clock, timeline, runner, runner)

    messages = [{"type": "http.request", "body": b""}]

    async def receive():
        if not messages:
            await trio.sleep_forever()
        return messages.pop()

    async def send(message):
        """Sends nowhere."""

    asked = asgi.HttpRequest(
        method="POST",
        path=url,
        query="",
        headers={"authorization": f"Bearer {KEY}"},
        receive=receive,
        is_disconnected=lambda: left,
    )
    trio.run(handler.handle, asked, send)
    assert runner.runs == runs
