"""Tests of noticing that the process stood still or is behind."""

import socket

import pytest
import trio
import trio.testing

from kingcupvane import asgi
from kingcupvane.process.wakeup import BEHIND_S, CARE_S, TICK_S, WakeupWatch


def make_watch(clock, observe=lambda late_s: None, tell=lambda *a, **f: None):
    return WakeupWatch(clock=clock, observe=observe, tell=tell)


def test_lateness_is_counted_and_its_worst_told_once_a_second(clock):
    seen, told = [], []
    watch = make_watch(
        clock, seen.append, lambda kind, **fields: told.append((kind, fields))
    )
    for late_s in (0.2, 0.4, *[0.0] * 12):
        clock.advance(TICK_S + late_s)
        watch.tick()
    assert seen == pytest.approx([0.2, 0.4, *[0.0] * 12], abs=1e-9)
    assert told == [
        ("process-behind", {"worst_ms": 200}),
        ("process-behind", {"worst_ms": 400}),
    ]


def test_suspension_is_noticed_before_and_after_the_next_tick(clock):
    watch = make_watch(clock)
    for _ in range(20):
        clock.advance(TICK_S)
        assert not watch.tick()
        assert not watch.has_just_woken()
    clock.advance(1.2)
    assert watch.has_just_woken()
    assert watch.tick()
    assert watch.has_just_woken()
    clock.advance(CARE_S + 0.01)
    assert not watch.has_just_woken()


def test_lateness_is_noticed_and_forgotten(clock):
    watch = make_watch(clock)
    clock.advance(TICK_S + BEHIND_S / 2)
    watch.tick()
    assert not watch.is_behind()
    clock.advance(TICK_S + 2 * BEHIND_S)
    assert watch.is_behind()
    watch.tick()
    assert not watch.has_just_woken()
    assert watch.is_behind()
    for _ in range(4):
        clock.advance(TICK_S)
        watch.tick()
    assert not watch.is_behind()


def test_request_of_a_caller_that_left_is_not_acted_on_when_behind(clock):
    """The request and the end of its connection lie ready together."""
    watch = make_watch(clock)
    clock.advance(TICK_S + 2 * BEHIND_S)
    acted = []

    async def handle(request, send):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request.cancel_when_closed, nursery.cancel_scope)
            await watch.let_departures_in()
            acted.append(request.path)

    async def main():
        stop = trio.Event()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, port, stop)
            await trio.testing.wait_all_tasks_blocked(0.05)
            for number in range(20):
                with socket.create_connection(("127.0.0.1", port)) as caller:
                    caller.sendall(
                        b"GET /%d HTTP/1.1\r\nhost: h\r\n\r\n" % number
                    )
            await trio.testing.wait_all_tasks_blocked(0.05)
            stop.set()

    async def serve(port, stop):
        await asgi.serve(handle, address=f"127.0.0.1:{port}", stop=stop)

    trio.run(main)
    assert acted == []
