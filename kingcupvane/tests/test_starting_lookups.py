"""Tests of look-ups at a gateway that is starting, as after a loss of power."""

import json

import pytest
import trio

from kingcupvane.platform.names import NAMES
from kingcupvane.process.gateway import LOOKUP_WAIT_MAX_S
from kingcupvane.tests.test_platform_gateway import GatewayHarness

# Time that a caller allows for a look-up, in seconds.
CALLER_PATIENCE_S = 1.0
SOON_S = 0.2


@pytest.fixture
def harness():
    return GatewayHarness()


async def look_up(harness):
    query = f"{NAMES.lookup_region}=n&{NAMES.lookup_data_centre}=n-a"
    path = f"{NAMES.lookup_path}?name=h.example&{query}"
    return await harness.get(harness.settings.lookup_address, path)


def test_look_up_at_a_starting_gateway_waits_until_one_is_ready(harness):
    """When all gateways start at once, none knows of a ready one at first."""
    harness.put_plan()

    async def check(harness):
        assert not await harness.is_ready()
        with trio.fail_after(CALLER_PATIENCE_S):
            response = await look_up(harness)
        assert response.status == 200
        assert json.loads(response.content)["addresses"] == [
            harness.settings.caller_address
        ]
        assert await harness.is_ready()

    harness.run_gateway(check)


def test_look_up_without_a_ready_gateway_is_refused_in_time(harness):
    """There is no plan; the caller may ask another gateway."""

    async def check(harness):
        with trio.fail_after(CALLER_PATIENCE_S):
            assert (await look_up(harness)).status == 503
        await trio.sleep(LOOKUP_WAIT_MAX_S)
        with trio.fail_after(SOON_S):
            assert (await look_up(harness)).status == 503

    harness.run_gateway(check)
