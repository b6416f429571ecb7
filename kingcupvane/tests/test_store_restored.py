"""Tests of gateways whose store comes back from an older copy."""

import pytest
import trio
from result import Err

from kingcupvane.errors import StoreError
from kingcupvane.process.store_era import StoreEra
from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    free_ports,
    make_gateway,
    plan_document,
    settings,
    target_record,
)

# Longest time from a plan's acknowledgement until it is in force, in seconds.
APPLY_MAX_S = 2.5


class Client:
    """One gateway's client of a store that it may share with others.

    Attributes:
        era: Highest era that this gateway knows.
        is_cut_off: Whether calls of this gateway fail.
    """

    def __init__(self, store, *, names_era):
        """Makes a client; `names_era`: the store's answers name their era."""
        self._store = store
        self._names_era = names_era
        self.calls = {}
        self.era = StoreEra()
        self.is_cut_off = False

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def scan(self, prefix, *, at_least):
        return await self._read(self._store.scan(prefix, at_least=at_least))

    async def watch(self, prefix, *, after, wait_s):
        return await self._read(
            self._store.watch(prefix, after=after, wait_s=wait_s)
        )

    async def _read(self, call):
        asked_in = self.era.current
        reply = await call
        if self.is_cut_off:
            return Err(StoreError(step="test", peer="store", detail="cut off"))
        named = str(self._store.restored) if self._names_era else None
        era = self.era.resolve(named, asked_in=asked_in)
        return reply.map(lambda listing: listing.in_era(era))


@pytest.fixture
def harness():
    return GatewayHarness()


def put_many(store, count):
    for _ in range(count):
        store.put("unrelated", {})


def serves(harness, path, expected=200, **request):
    async def answered_as_expected():
        status, _ = await harness.send_request(path, **request)
        return status == expected

    return answered_as_expected


@pytest.mark.parametrize("names_era", [True, False])
def test_plan_after_a_lost_plan_is_in_force(harness, names_era):
    """Routes of a confirmed plan were refused, the store's copy being older."""
    store = harness.store
    harness.client = Client(store, names_era=names_era)

    async def check(harness):
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        saved = store.copy()
        put_many(store, 50)
        store.put_plan(plan_document(2, prefix="/two/"))
        await harness.wait_until(serves(harness, "/two/1"))
        store.restore(saved)
        store.put_plan(plan_document(2, prefix="/two/"))
        store.put_plan(plan_document(3, prefix="/three/"))
        with trio.fail_after(APPLY_MAX_S):
            await harness.wait_until(serves(harness, "/three/1"))

    harness.run_gateway(check)


def test_no_older_plan_returns_and_a_leaving_target_stays_leaving(harness):
    """The copy knows an older plan, a revoked key, a target not yet leaving."""
    store = harness.store
    harness.client = Client(store, names_era=True)

    async def check(harness):
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        await harness.wait_until(serves(harness, "/r/1"))
        saved = store.copy()
        store.put_plan(plan_document(2, keys=("k2",)))
        store.put(
            "servers/i-1",
            target_record(harness.target.address, state="draining", sequence=2),
        )
        await harness.wait_until(serves(harness, "/r/1", 401))
        await harness.wait_until(serves(harness, "/r/1", 503, key="k2"))
        store.restore(saved)
        while harness.client.era.current == 0:
            await trio.sleep(0.01)
        with trio.move_on_after(1.0):
            while True:
                assert (await harness.send_request("/r/1"))[0] == 401
                assert (await harness.send_request("/r/1", key="k2"))[0] == 503

    harness.run_gateway(check)


@pytest.mark.parametrize("names_era", [True, False])
def test_gateway_cut_off_from_the_store_follows_its_peers_into_a_new_era(
    harness, names_era
):
    store = harness.store
    ports = free_ports(5)
    harness.settings = settings("g1", ports)
    harness.client = Client(store, names_era=names_era)
    cut_off = settings(
        "g2", ports, seeds=("127.0.0.1:1",), ip="127.0.0.2", data_centre="n-b"
    )
    client = Client(store, names_era=names_era)

    async def check(harness):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_gateway(cut_off, client).run)
            harness.put_plan()
            await harness.wait_until(harness.is_ready)
            harness.settings = cut_off
            await harness.wait_until(harness.is_ready)
            saved = store.copy()
            put_many(store, 50)
            store.put_plan(plan_document(2, prefix="/two/"))
            await harness.wait_until(serves(harness, "/two/1"))
            client.is_cut_off = True
            store.restore(saved)
            store.put_plan(plan_document(2, prefix="/two/"))
            store.put_plan(plan_document(3, prefix="/three/"))
            with trio.fail_after(APPLY_MAX_S):
                await harness.wait_until(serves(harness, "/three/1"))
            nursery.cancel_scope.cancel()

    harness.run_gateway(check)
