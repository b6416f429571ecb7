"""Tests that a gateway follows the plan whatever its neighbour does."""

import re

import pytest
import trio

from kingcupvane.connection.messages import (
    FrameCodec,
    GatewayRecord,
    GatewayReport,
    MirrorSource,
)
from kingcupvane.connection.peer import PeerServer
from kingcupvane.process.timeline import HybridClock
from kingcupvane.tests.fakes import TrioClock
from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    free_ports,
    plan_document,
    settings,
)

# Longest time from a plan's acknowledgement until it is in force, in seconds.
APPLY_MAX_S = 2.5
CHANGES_PER_S = 8
CHANGE_COUNT = 32


class UnhelpfulNeighbour:
    """A gateway that watches the store, and whose copy cannot be had."""

    def __init__(self, *, harness, address, is_stuck):
        """Makes a neighbour; `is_stuck`: it hears no more from the store."""
        self._store = harness.store
        self._is_stuck = is_stuck
        self._known_revision = 1
        self._record = GatewayRecord(
            name="g9",
            incarnation=1,
            region="n",
            data_centre="n-a",
            caller_address="127.0.0.2:1",
            peer_address=address,
            link_mbps=1e6,
        )

    async def run(self):
        server = PeerServer(
            address=self._record.peer_address,
            codec=FrameCodec(secret=b"127.0.0.1:1"),
            clock=HybridClock(clock=TrioClock()),
            handler=self._reply_to,
        )
        await server.run()

    async def _reply_to(self, message):
        if not isinstance(message, GatewayReport):
            return None
        if not self._is_stuck:
            self._known_revision = self._store.revision
        return GatewayReport(
            record=self._record,
            ready=True,
            as_of=self._known_revision,
            feed=MirrorSource.STORE,
        )


async def read_gauge(harness, name):
    address = f"127.0.0.1:{harness.settings.metrics_port}"
    response = await harness.get(address, "/metrics")
    found = re.search(rf"^{name} (\S+)$", response.content.decode(), re.M)
    return float(found.group(1)) if found else 0.0


@pytest.mark.parametrize("is_stuck", [False, True])
def test_plan_is_in_force_in_time_beside_a_neighbour_that_cannot_be_copied(
    is_stuck,
):
    """A gateway kept a plan for 11 s that its neighbour had replaced."""
    harness = GatewayHarness()
    ports = free_ports(5)
    harness.settings = settings("g1", ports, seeds=("127.0.0.2:1",))
    neighbour = UnhelpfulNeighbour(
        harness=harness, address=f"127.0.0.2:{ports[3]}", is_stuck=is_stuck
    )

    async def check(harness):
        lags = []

        async def measure_lag(number):
            acknowledged_at = trio.current_time()
            while await read_gauge(harness, "kingcupvane_plan_number") < number:
                await trio.sleep(0.05)
            lags.append(trio.current_time() - acknowledged_at)

        harness.store.put_plan(plan_document(1))
        await harness.wait_until(harness.is_ready)
        async with trio.open_nursery() as neighbours:
            neighbours.start_soon(neighbour.run)
            while await read_gauge(harness, "kingcupvane_gateways_live") < 2:
                await trio.sleep(0.05)
            with trio.move_on_after(2 * APPLY_MAX_S + 4.0):
                async with trio.open_nursery() as nursery:
                    for number in range(2, CHANGE_COUNT + 2):
                        harness.store.put_plan(plan_document(number))
                        nursery.start_soon(measure_lag, number)
                        await trio.sleep(1 / CHANGES_PER_S)
            neighbours.cancel_scope.cancel()
        assert len(lags) == CHANGE_COUNT
        assert max(lags) <= APPLY_MAX_S

    harness.run_gateway(check)
