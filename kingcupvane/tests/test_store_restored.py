"""Tests of gateways whose store comes back from an older copy."""

import pytest
import trio

from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    plan_document,
)

# Longest time from a plan's acknowledgement until it is in force, in seconds.
APPLY_MAX_S = 2.5


@pytest.fixture
def harness():
    return GatewayHarness()


def put_many(store, count):
    for _ in range(count):
        store.put("unrelated", {})


def test_plan_after_a_lost_plan_is_in_force(harness):
    """Routes of a confirmed plan were refused, the store's copy being older."""

    async def check(harness):
        store = harness.store
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        saved = store.copy()
        put_many(store, 50)
        store.put_plan(plan_document(2, prefix="/two/"))

        async def serves(path):
            return (await harness.send_request(path))[0] == 200

        await harness.wait_until(lambda: serves("/two/1"))
        store.restore(saved)
        store.put_plan(plan_document(2, prefix="/two/"))
        store.put_plan(plan_document(3, prefix="/three/"))
        with trio.fail_after(APPLY_MAX_S):
            await harness.wait_until(lambda: serves("/three/1"))

    harness.run_gateway(check)
