"""Tests that no crowd of hostile clients ends a gateway process.

What they check doesn't depend on the machine's speed: the process lives, its
memory and open sockets stay within its settings, and an ordinary request is
answered while the crowd is still connected.
"""

import contextlib
import re
import subprocess
import sys
from dataclasses import asdict, replace
from pathlib import Path

import msgspec
import pytest
import trio

from kingcupvane.platform.names import NAMES
from kingcupvane.standin.fleet import EntrySpec, Fleet, TargetSpec
from kingcupvane.tests.hostile_crowd import (
    BODY_MAX_BYTES,
    CROWDS_BY_NAME,
    MEGABYTE,
    CrowdRun,
    send_ordinary,
)
from kingcupvane.tests.lone_gateway import Limits
from kingcupvane.tests.scenario import table, target_table
from kingcupvane.tests.test_endless_clients import peak_bytes
from kingcupvane.tests.test_target_connection import ScriptedTarget

CROWD_LIMITS = Limits(
    memory_mb=128,
    descriptors=300,
    body_max_bytes=BODY_MAX_BYTES,
    timeout_s=60.0,
)
# The platform keeps so many of the descriptors for files.
FILE_DESCRIPTORS = 200
# Longest wait for clients that the gateway neither reads from nor refuses.
CROWD_MAX_S = 30.0
# The smallest VM of the users, and the largest body that their pages allow.
CALM_LIMITS = Limits(memory_mb=200, timeout_s=60.0)
# Limit of an entry for the bodies of requests together, in bytes.
ENTRY_BUFFERED_MAX_BYTES = 32 * MEGABYTE
# Largest growth of an entry: its limit, and as much for copies while bodies are
# passed on.
ENTRY_GROWTH_MAX_BYTES = 2 * ENTRY_BUFFERED_MAX_BYTES
# A crowd that only opens connections is met by a limit that entries lack.
ENTRY_CROWDS = sorted(set(CROWDS_BY_NAME) - {"open-only"})
ORDINARY_BODY = bytes(2000)
OK = b"HTTP/1.1 200 "


async def answer_all(stream):
    """Handles a target's connection; answers each request after its body."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some(65536)
            if not part:
                return
            data += part
        head, _, data = data.partition(b"\r\n\r\n")
        length = int(re.search(rb"content-length: (\d+)", head)[1])
        attempt = re.search(NAMES.attempt + rb": (\S+)", head)[1]
        remaining = length - len(data)
        while remaining:
            part = await stream.receive_some(min(65536, remaining))
            if not part:
                return
            remaining -= len(part)
        data = b""
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\ncontent-length: 2\r\n\r\nok"
            % (NAMES.attempt, attempt, NAMES.stamp)
        )


def open_sockets(process):
    """Returns the number of sockets that a process has open."""
    count = 0
    for link in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            count += str(link.readlink()).startswith("socket:")
    return count


def unread_bytes(address):
    """Returns the bytes that the kernel holds for a server on loopback.

    They count towards the memory of a process on the users' machines.
    """
    port = int(address.rpartition(":")[2])
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        state_established = "01"
        if fields[3] != state_established:
            continue
        if int(fields[1].partition(":")[2], 16) == port:
            total += int(fields[4].partition(":")[2], 16)
    return total


async def watch(process, address, sockets, unread):
    while True:
        sockets.append(open_sockets(process))
        unread.append(unread_bytes(address))
        await trio.sleep(0.05)


def record(record_property, seen, sockets, unread):
    """Puts what was measured into the report of the run (`--junit-xml`)."""
    for name, value in seen.items():
        record_property(name, value)
    record_property("sockets", max(sockets, default=0))
    record_property("unread", max(unread, default=0))


def start_gateway(target_address, limits):
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "kingcupvane.tests.lone_gateway",
            target_address,
            msgspec.json.encode(asdict(limits)).decode(),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )


def run_beside_gateway(limits, check):
    """Runs `check(process, address)` beside a gateway process."""

    async def main():
        server = ScriptedTarget(answer_all)
        with trio.fail_after(120):
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


# Bodies were kept whole without a common bound, connections without any.
@pytest.mark.parametrize("name", sorted(CROWDS_BY_NAME))
def test_gateway_outlives_a_crowd_and_serves_others(name, record_property):
    seen = {}
    sockets, unread = [], []

    async def check(process, address):
        run = CrowdRun(address=address, crowd=CROWDS_BY_NAME[name])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, process, address, sockets, unread)
            nursery.start_soon(run.run)
            with trio.move_on_after(CROWD_MAX_S):
                await run.all_sent.wait()
            seen["alive"] = process.poll() is None
            if seen["alive"]:
                seen["answer"] = await send_ordinary(
                    address, body=ORDINARY_BODY
                )
                seen["peak"] = peak_bytes(process)
            nursery.cancel_scope.cancel()

    run_beside_gateway(CROWD_LIMITS, check)
    record(record_property, seen, sockets, unread)
    assert seen["alive"]
    assert seen["answer"].startswith(OK)
    held_bytes = seen["peak"] + max(unread)
    assert held_bytes < CROWD_LIMITS.memory_mb * MEGABYTE
    assert max(sockets) < CROWD_LIMITS.descriptors - FILE_DESCRIPTORS


def start_fleet(fleet, *, timeout_s=60.0, target_address=""):
    """Starts an entry with a target of a service that is open to all.

    Args:
        fleet: Keeps the processes.
        timeout_s: Timeout of requests, in seconds.
        target_address: Address of a target that runs; empty to start one.
    """
    location = {"region": "r1", "data_centre": "dc-a"}
    fleet.add_store()
    fleet.wait_ready()
    entry = EntrySpec(name="e-a1", **location)
    target = TargetSpec(name="t-a1", service="r", slots=40, **location)
    if target_address:
        target = replace(target, address=target_address, slots=400)
    process = fleet.add_entry(
        entry,
        request={
            "body_max_bytes": BODY_MAX_BYTES,
            "buffered_max_bytes": ENTRY_BUFFERED_MAX_BYTES,
            "timeout_s": timeout_s,
        },
    )
    if not target_address:
        fleet.add_target(target)
    fleet.wait_ready()
    note = "".join(
        (
            'change_id = "c1"\n',
            table(
                "add.entries",
                name=entry.name,
                caller_address=entry.caller_address,
                peer_address=entry.peer_address,
                **location,
            ),
            '[[add.services]]\nname = "r"\n'
            'routes = [{ prefix = "/", open = true }]\n',
            table("add.versions", name="v1", service="r"),
            target_table(target),
        )
    )
    applied = fleet.apply(note)
    assert applied.returncode in (0, 3), applied.stderr
    return process


async def wait_until_served(address):
    while not (await send_ordinary(address, body=b"x")).startswith(OK):
        await trio.sleep(0.1)


# The limit did not count the bodies that were still being read.
@pytest.mark.parametrize("name", ENTRY_CROWDS)
def test_entry_outlives_a_crowd_and_serves_others(
    name, tmp_path, record_property
):
    seen = {}
    unread = []

    async def main(entry):
        run = CrowdRun(address=entry.address, crowd=CROWDS_BY_NAME[name])
        with trio.fail_after(120):
            await wait_until_served(entry.address)
            seen["idle"] = peak_bytes(entry.popen)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    watch, entry.popen, entry.address, [], unread
                )
                nursery.start_soon(run.run)
                with trio.move_on_after(CROWD_MAX_S):
                    await run.all_sent.wait()
                seen["alive"] = entry.popen.poll() is None
                if seen["alive"]:
                    seen["answer"] = await send_ordinary(
                        entry.address, body=ORDINARY_BODY
                    )
                    seen["peak"] = peak_bytes(entry.popen)
                nursery.cancel_scope.cancel()

    with Fleet(folder=tmp_path) as fleet:
        trio.run(main, start_fleet(fleet))
    record(record_property, seen, [], unread)
    assert seen["alive"]
    assert seen["answer"].startswith(OK)
    growth = seen["peak"] + max(unread) - seen["idle"]
    assert growth < ENTRY_GROWTH_MAX_BYTES


# A body of the largest size existed three times in the process.
@pytest.mark.parametrize("size", [0, 1, CALM_LIMITS.body_max_bytes])
def test_single_request_within_the_limits_is_served_in_calm(size):
    seen = {}

    async def check(process, address):
        seen["answer"] = await send_ordinary(address, body=bytes(size))
        seen["peak"] = peak_bytes(process)

    run_beside_gateway(CALM_LIMITS, check)
    assert seen["answer"].startswith(OK)
    assert seen["peak"] < CALM_LIMITS.memory_mb * MEGABYTE
