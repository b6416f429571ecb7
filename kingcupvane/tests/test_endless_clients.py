"""Tests of every client of a faulty server that sends bytes without end."""

import subprocess
import sys
from pathlib import Path

import httpcore
import pytest
import trio

from kingcupvane.connection.messages import FrameCodec, MirrorRequest
from kingcupvane.connection.peer import PeerClient
from kingcupvane.connection.target_client import (
    ExchangeFailure,
    TargetClient,
    TargetRequest,
)
from kingcupvane.connection.target_connection import connect
from kingcupvane.platform.names import NAMES
from kingcupvane.platform.store import PlatformStore
from kingcupvane.process.store import HttpStore
from kingcupvane.process.timeline import HybridClock
from kingcupvane.tests.fakes import TrioClock
from kingcupvane.tests.test_endless_responses import (
    ENDLESS_RESPONSES,
    GROWTH_MAX_BYTES,
    MEGABYTE,
    EndlessTarget,
    measure_process,
)
from kingcupvane.tests.test_target_connection import ScriptedTarget
from kingcupvane.version.items import Target

CALL_TIMEOUT_S = 2.0
# Memory of the smallest VM of the users' sites, in bytes.
VM_BYTES = 300 * MEGABYTE
CONNECTIONS = 100
KINDS = sorted(ENDLESS_RESPONSES)


class RawEndlessTarget(EndlessTarget):
    """An endless target that does not wait for a request."""

    async def handle(self, stream):
        try:
            await stream.send_all(self._beginning)
            while True:
                await stream.send_all(self._repeated)
        except trio.BrokenResourceError:
            self.closed += 1


def call_all(call, *, kind, count, server_type=EndlessTarget):
    """Calls an endless server `count` times at once.

    Returns:
        The outcomes, and the growth of this process, in bytes.
    """
    server_side = server_type(*ENDLESS_RESPONSES[kind])
    outcomes, gaps, sizes = [], [], []

    async def call_once(address):
        outcomes.append(await call(address))

    async def main():
        server = ScriptedTarget(server_side.handle)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                nursery.start_soon(measure_process, gaps, sizes)
                async with trio.open_nursery() as calls:
                    for _ in range(count):
                        calls.start_soon(call_once, server.address)
                nursery.cancel_scope.cancel()

    trio.run(main)
    return outcomes, max(sizes) - sizes[0]


# The store's client kept all that came within the timeout of a call: at the
# speed of a link, more than a VM has.
@pytest.mark.parametrize("make_store", [PlatformStore, HttpStore])
@pytest.mark.parametrize("kind", KINDS)
def test_endless_reply_of_a_store_ends_the_call(kind, make_store):
    stores = []

    async def call(address):
        if not stores:
            stores.append(make_store(address=address, timeout_s=CALL_TIMEOUT_S))
        return await stores[0].scan("")

    outcomes, growth = call_all(call, kind=kind, count=8)
    assert all(outcome.is_err() for outcome in outcomes)
    assert growth < GROWTH_MAX_BYTES


@pytest.mark.parametrize("kind", KINDS)
def test_endless_reply_of_a_target_ends_the_exchange_of_an_entry(kind):
    clients = []

    async def call(address):
        if not clients:
            clients.append(TargetClient(whole_max_bytes=65536))
        target = Target(
            name="t",
            service="s",
            version="v",
            region="r",
            data_centre="d",
            address=address,
            slots=4,
        )
        request = TargetRequest(method="GET", path="/", headers={}, body=b"")
        with trio.move_on_after(CALL_TIMEOUT_S):
            return await clients[0].exchange(target, request, None)
        return "deadline"

    outcomes, growth = call_all(call, kind=kind, count=CONNECTIONS)
    assert all(
        outcome == "deadline" or isinstance(outcome, ExchangeFailure)
        for outcome in outcomes
    )
    assert growth < GROWTH_MAX_BYTES


@pytest.mark.parametrize("kind", KINDS)
def test_endless_bytes_at_a_peers_address_are_not_kept(kind):
    clients = []

    async def call(address):
        if not clients:
            clients.append(
                PeerClient(
                    codec=FrameCodec(secret=b"test"),
                    clock=HybridClock(clock=TrioClock()),
                    timeout_s=CALL_TIMEOUT_S,
                )
            )
        return await clients[0].ask(address, MirrorRequest(after=1))

    outcomes, growth = call_all(
        call, kind=kind, count=20, server_type=RawEndlessTarget
    )
    assert all(outcome.is_err() for outcome in outcomes)
    assert growth < GROWTH_MAX_BYTES


def test_check_of_a_target_that_sends_endless_bytes_keeps_none():
    async def call(address):
        stream = await connect(address)
        await trio.sleep(0.5)
        await trio.aclose_forcefully(stream)

    _, growth = call_all(
        call,
        kind="no-protocol",
        count=CONNECTIONS,
        server_type=RawEndlessTarget,
    )
    assert growth < GROWTH_MAX_BYTES


def peak_bytes(process):
    """Returns the largest resident size of a process so far."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


# A gateway's pool alone was tested, in one process with its targets.
@pytest.mark.parametrize("kind", KINDS)
def test_gateway_process_stays_within_its_vm_beside_endless_targets(kind):
    target_side = EndlessTarget(*ENDLESS_RESPONSES[kind])
    statuses = []

    async def send(address):
        async with httpcore.AsyncConnectionPool() as http:
            response = await http.request(
                "GET",
                f"http://{address}/r/1",
                headers={
                    "host": "h.example",
                    NAMES.attempt: b"id",
                    NAMES.deadline: b"3000",
                    "authorization": "Token k1",
                },
            )
        statuses.append(response.status)

    async def main():
        server = ScriptedTarget(target_side.handle)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                process = await trio.to_thread.run_sync(
                    start_gateway, server.address
                )
                try:
                    line = await trio.to_thread.run_sync(
                        process.stdout.readline
                    )
                    address = line.decode().strip()
                    async with trio.open_nursery() as requests:
                        for _ in range(CONNECTIONS):
                            requests.start_soon(send, address)
                    assert process.poll() is None
                    assert peak_bytes(process) < VM_BYTES
                finally:
                    process.kill()
                    process.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(statuses) == CONNECTIONS
    assert set(statuses) <= {502, 503, 504}


def start_gateway(target_address):
    """Starts a gateway with one target as a process of its own."""
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "kingcupvane.tests.lone_gateway",
            target_address,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
