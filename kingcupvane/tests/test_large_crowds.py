"""Tests that crowds of hundreds of hostile clients end no process.

As in `test_hostile_crowds.py`, what is checked doesn't depend on the machine's
speed: the process lives, its memory and open sockets stay within its settings,
an ordinary request is answered, and the process ends by itself at a stop.
"""

import re
import signal
from pathlib import Path

import pytest
import trio

from kingcupvane.platform.names import NAMES
from kingcupvane.standin.fleet import Fleet
from kingcupvane.tests.hostile_crowd import (
    BODY_MAX_BYTES,
    MEGABYTE,
    send_ordinary,
)
from kingcupvane.tests.large_crowd import (
    CROWDS_BY_NAME,
    LargeCrowd,
    LargeCrowdRun,
    large_response,
    of_many_kinds,
    response_body_to,
    small_responses_in_series,
)
from kingcupvane.tests.lone_gateway import Limits
from kingcupvane.tests.test_endless_clients import peak_bytes
from kingcupvane.tests.test_hostile_crowds import (
    ENTRY_GROWTH_MAX_BYTES,
    FILE_DESCRIPTORS,
    OK,
    ORDINARY_BODY,
    open_sockets,
    record,
    start_fleet,
    start_gateway,
    wait_until_served,
)
from kingcupvane.tests.test_target_connection import ScriptedTarget

# Hundreds of connections are open at once.
LARGE_LIMITS = Limits(
    memory_mb=128,
    descriptors=1000,
    body_max_bytes=BODY_MAX_BYTES,
    timeout_s=60.0,
)
# There are fewer descriptors than clients.
FEW_LIMITS = Limits(
    memory_mb=128,
    descriptors=300,
    body_max_bytes=BODY_MAX_BYTES,
    timeout_s=60.0,
)
LIMITS_BY_NAME = {"more-than-the-descriptors": FEW_LIMITS}
# Longest wait for clients that the process neither reads from nor refuses, and
# then while the crowd only stays.
CROWD_MAX_S = 4.0
STAY_S = 1.0
# Timeout of requests at the entry that is stopped: it waits for them.
ENTRY_STOP_TIMEOUT_S = 5.0
# A process that has not ended by then hangs: many times the longest stop.
HANG_S = 100.0
ENTRY_CROWDS = ("of-many-kinds", "heads-and-trailers-without-end")
# An entry sends a new target few requests at once and refuses the others.
UNREAD_SERIES_CROWD = LargeCrowd(
    pieces=small_responses_in_series, count=300, takes_responses=False
)
STATE_ESTABLISHED = "01"


async def serve_by_path(stream):
    """Handles a target's connection; a path decides on the response."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some(65536)
            if not part:
                return
            data += part
        head, _, data = data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        found = re.search(NAMES.attempt + rb": (\S+)", head)
        attempt = found[1] if found else b"-"
        remaining = (int(length[1]) if length else 0) - len(data)
        while remaining > 0:
            part = await stream.receive_some(min(65536, remaining))
            if not part:
                return
            remaining -= len(part)
        data = b""
        body = response_body_to(head)
        if body is None:
            await trio.sleep_forever()
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\ncontent-length: %d\r\n\r\n"
            % (NAMES.attempt, attempt, NAMES.stamp, len(body))
            + body
        )


def kernel_bytes(address):
    """Returns the bytes unread and not yet taken in a server's connections.

    They count towards the memory of a process on the users' machines.
    """
    port = int(address.rpartition(":")[2])
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != STATE_ESTABLISHED:
            continue
        if int(fields[1].partition(":")[2], 16) == port:
            unsent, _, unread = fields[4].partition(":")
            total += int(unsent, 16) + int(unread, 16)
    return total


async def watch(process, address, sockets, kernel):
    while True:
        sockets.append(open_sockets(process))
        kernel.append(kernel_bytes(address))
        await trio.sleep(0.05)


async def send_until_answered(address):
    """Sends ordinary requests until one is answered; returns its status."""
    while True:
        try:
            answer = await send_ordinary(address, body=ORDINARY_BODY)
        except OSError:
            answer = b""
        except trio.BrokenResourceError:
            answer = b""
        if answer.startswith(OK):
            return answer
        await trio.sleep(0.2)


def run_beside_large_gateway(limits, check):
    """Runs `check(process, address)` beside a gateway process."""

    async def main():
        server = ScriptedTarget(serve_by_path)
        with trio.fail_after(HANG_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                process = await trio.to_thread.run_sync(
                    start_gateway, server.address, limits
                )
                try:
                    line = await trio.to_thread.run_sync(
                        process.stdout.readline
                    )
                    await check(process, line.decode().strip())
                finally:
                    process.kill()
                    process.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)


async def play(process, address, crowd, seen, sockets, kernel):
    """Lets a crowd act and stay, then sends ordinary requests."""
    run = LargeCrowdRun(address=address, crowd=crowd)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, process, address, sockets, kernel)
        async with trio.open_nursery() as crowd_nursery:
            crowd_nursery.start_soon(run.run)
            with trio.move_on_after(CROWD_MAX_S):
                await run.all_sent.wait()
            await trio.sleep(STAY_S)
            if process.poll() is None:
                with trio.move_on_after(CROWD_MAX_S):
                    seen["meanwhile"] = await send_ordinary(
                        address, body=ORDINARY_BODY
                    )
            crowd_nursery.cancel_scope.cancel()
        seen["alive"] = process.poll() is None
        if seen["alive"]:
            seen["answer"] = await send_until_answered(address)
            seen["peak"] = peak_bytes(process)
        nursery.cancel_scope.cancel()


# Chunk extensions, trailers and responses that nobody takes had no bound.
@pytest.mark.parametrize("name", sorted(CROWDS_BY_NAME))
def test_gateway_outlives_hundreds_of_clients(name, record_property):
    seen = {}
    sockets, kernel = [], []
    limits = LIMITS_BY_NAME.get(name, LARGE_LIMITS)

    async def check(process, address):
        seen["idle"] = peak_bytes(process)
        crowd = CROWDS_BY_NAME[name]
        await play(process, address, crowd, seen, sockets, kernel)

    run_beside_large_gateway(limits, check)
    record(record_property, seen, sockets, kernel)
    assert seen["alive"]
    assert seen["answer"].startswith(OK)
    assert seen["peak"] + max(kernel) < limits.memory_mb * MEGABYTE
    assert max(sockets) < limits.descriptors - FILE_DESCRIPTORS


@pytest.mark.parametrize("name", ENTRY_CROWDS)
def test_entry_outlives_hundreds_of_clients(name, tmp_path, record_property):
    seen = {}
    kernel = []

    async def main(entry):
        with trio.fail_after(HANG_S):
            await wait_until_served(entry.address)
            seen["idle"] = peak_bytes(entry.popen)
            crowd = CROWDS_BY_NAME[name]
            await play(entry.popen, entry.address, crowd, seen, [], kernel)

    with Fleet(folder=tmp_path) as fleet:
        trio.run(main, start_fleet(fleet))
    record(record_property, seen, [], kernel)
    assert seen["alive"]
    assert seen["answer"].startswith(OK)
    growth = seen["peak"] + max(kernel) - seen["idle"]
    assert growth < ENTRY_GROWTH_MAX_BYTES


def test_entry_outlives_hundreds_that_take_no_response(
    tmp_path, record_property
):
    seen = {}
    kernel = []

    async def main(fleet):
        server = ScriptedTarget(serve_by_path)
        with trio.fail_after(HANG_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                entry = await trio.to_thread.run_sync(
                    lambda: start_fleet(fleet, target_address=server.address)
                )
                await wait_until_served(entry.address)
                seen["idle"] = peak_bytes(entry.popen)
                await play(
                    entry.popen,
                    entry.address,
                    UNREAD_SERIES_CROWD,
                    seen,
                    [],
                    kernel,
                )
                nursery.cancel_scope.cancel()

    with Fleet(folder=tmp_path) as fleet:
        trio.run(main, fleet)
    record(record_property, seen, [], kernel)
    assert seen["alive"]
    assert seen["answer"].startswith(OK)
    growth = seen["peak"] + max(kernel) - seen["idle"]
    assert growth < ENTRY_GROWTH_MAX_BYTES


async def stop_beside_crowds(process, address, crowds, seen):
    """Stops a process while crowds are connected; waits for its end."""
    async with trio.open_nursery() as nursery:
        for crowd in crowds:
            run = LargeCrowdRun(address=address, crowd=crowd)
            nursery.start_soon(run.run)
            with trio.move_on_after(CROWD_MAX_S):
                await run.all_sent.wait()
        seen["alive"] = process.poll() is None
        process.send_signal(signal.SIGTERM)
        seen["status"] = await trio.to_thread.run_sync(
            process.wait, abandon_on_cancel=True
        )
        nursery.cancel_scope.cancel()


STOP_CROWDS = (
    LargeCrowd(pieces=of_many_kinds, count=100),
    LargeCrowd(pieces=large_response, count=32, takes_responses=False),
)


def test_gateway_ends_at_a_stop_while_a_crowd_is_connected(record_property):
    seen = {}

    async def check(process, address):
        await stop_beside_crowds(process, address, STOP_CROWDS, seen)

    run_beside_large_gateway(LARGE_LIMITS, check)
    record(record_property, seen, [], [])
    assert seen["alive"]
    assert seen["status"] == 0


def test_entry_ends_at_a_stop_while_a_crowd_is_connected(
    tmp_path, record_property
):
    seen = {}

    async def main(entry):
        with trio.fail_after(HANG_S):
            await wait_until_served(entry.address)
            await stop_beside_crowds(
                entry.popen, entry.address, STOP_CROWDS[:1], seen
            )

    with Fleet(folder=tmp_path) as fleet:
        trio.run(main, start_fleet(fleet, timeout_s=ENTRY_STOP_TIMEOUT_S))
    record(record_property, seen, [], [])
    assert seen["alive"]
    assert seen["status"] == 0
