"""Tests of whole gateways on loopback, with adapter and a store in memory."""

import json
import signal
import socket

import httpcore
import pytest
import trio
from result import Err, Ok

from kingcupvane.errors import StoreError
from kingcupvane.platform.names import NAMES
from kingcupvane.platform.registry import (
    ROLLOUT_RECORD_PREFIX,
    PlatformItemDecoder,
    encode_rollout_record,
)
from kingcupvane.process.gateway import GatewayDaemon
from kingcupvane.process.item import Item
from kingcupvane.process.store import Conflict, HistoryCompacted, Listing
from kingcupvane.settings import GatewaySettings, PlatformStoreSettings
from kingcupvane.tests.test_exchange import Script, read_request

WAIT_S = 0.05


class EventStore:
    """A store in memory with a history, leases that never end, and outages."""

    def __init__(self):
        """Starts empty."""
        self.calls = {}
        self.history = []
        self.items = {}
        self.revision = 1
        self.first = 0
        self.down = False

    def put(self, key, value):
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        item = Item(key=key, value=text, revision=self.revision)
        self.items[key] = item
        self.history.append(item)
        return item

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history.append(Item(key=key, revision=self.revision, deleted=True))

    def compact(self):
        self.first = self.revision
        self.history.clear()

    def _error(self):
        return Err(StoreError(step="test", peer="store", detail="down"))

    async def _enter(self, kind):
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await trio.lowlevel.checkpoint()
        return self.down

    async def scan(self, prefix):
        if await self._enter("scan"):
            return self._error()
        return Ok(
            Listing(items=list(self.items.values()), revision=self.revision)
        )

    async def watch(self, prefix, *, after, wait_s):
        if await self._enter("watch"):
            return self._error()
        for _ in range(10):
            if after < self.first:
                return Err(HistoryCompacted(after=after))
            news = [i for i in self.history if i.revision > after]
            if news or self.down:
                break
            await trio.sleep(WAIT_S / 10)
        if self.down:
            return self._error()
        return Ok(Listing(items=news, revision=self.revision))

    async def compare_and_swap(self, key, value, *, expected, lease=0):
        if await self._enter("swap"):
            return self._error()
        current = self.items.get(key) or Item(key=key)
        if current.revision != expected:
            return Err(Conflict(current=current))
        return Ok(self.put(key, value))

    async def grant(self, ttl_s):
        return self._error() if await self._enter("grant") else Ok(7)

    async def renew(self, lease):
        return self._error() if await self._enter("renew") else Ok(True)

    async def revoke(self, lease):
        return self._error() if await self._enter("revoke") else Ok(True)


def config(number, *, keys=("k1",), prefix="/r/"):
    route = {
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutS": 2,
        "goalLatencyS": 0.25,
        "service": "s",
        "maxAttempts": 2,
        "sticky": True,
    }
    return {
        "version": f"{number:08x}",
        "resources": [
            {
                "resourceKind": "routes",
                "metadata": {"name": "r"},
                "spec": route,
            },
            {
                "resourceKind": "services",
                "metadata": {"name": "s"},
                "spec": {"coldStartS": 0, "coldPerS": 9},
            },
            {
                "resourceKind": "tenants",
                "metadata": {"name": "acme"},
                "spec": {"apiKeys": list(keys)},
            },
        ],
    }


def server(address, **status):
    return {
        "address": address,
        "info": {"service": "s", "version": "v1", "zone": "n-a", "slots": 4},
        "status": {"state": "ready", "sequence": 1, **status},
        "born": 1,
    }


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def settings(name, ports, seeds=(), ip="127.0.0.1", data_centre="n-a"):
    caller, ready, lookup, peer, metrics = ports
    return GatewaySettings(
        name=name,
        region="n",
        data_centre=data_centre,
        ip=ip,
        caller_address=f"{ip}:{caller}",
        readiness_address=f"{ip}:{ready}",
        lookup_address=f"{ip}:{lookup}",
        peer_port=peer,
        metrics_port=metrics,
        seeds=seeds,
        store=PlatformStoreSettings(address="127.0.0.1:1", watch_s=WAIT_S),
    )


async def answer_echo(stream):
    """A target that says who asked."""
    while True:
        data = await read_request(stream)
        if not data:
            return
        fields = dict(
            line.split(b": ", 1)
            for line in data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        )
        body = fields.get(NAMES.account, b"")
        attempt = fields[NAMES.attempt]
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\ncontent-length: %d\r\n\r\n"
            % (NAMES.attempt, attempt, NAMES.stamp, len(body))
            + body
        )


def gateway(settings, store):
    return GatewayDaemon(
        settings=settings,
        store=store,
        decoder=PlatformItemDecoder(regions={"n-a": "n", "n-b": "n"}),
        names=NAMES,
        encode_rollout_record=encode_rollout_record,
        rollout_record_prefix=ROLLOUT_RECORD_PREFIX,
    )


class World:
    """A store, one target and one gateway."""

    def __init__(self):
        """Plans the ports; `run` starts it."""
        self.store = EventStore()
        self.settings = settings("g1", free_ports(5))
        self.target = Script(answer_echo)
        self.http = httpcore.AsyncConnectionPool()
        self.ended = trio.Event()

    def put_plan(self):
        """Puts the first configuration into the store."""
        self.store.put("op/config", config(1))

    async def ask(self, path="/r/1", key="k1"):
        answer = await self.http.request(
            "GET",
            f"http://{self.settings.caller_address}{path}",
            headers={
                "host": "h.example",
                NAMES.attempt: b"id",
                "authorization": f"Token {key}",
            },
        )
        return answer.status, answer.content

    async def get(self, address, path):
        return await self.http.request("GET", f"http://{address}{path}")

    async def until(self, check):
        """Waits until `check()` is true; the test's own limit ends it."""
        while not await check():
            await trio.sleep(0.02)

    async def _run_gateway(self):
        await gateway(self.settings, self.store).run()
        self.ended.set()

    def play(self, use):
        async def main():
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    await nursery.start(self.target.run)
                    self.store.put("servers/i-1", server(self.target.address))
                    nursery.start_soon(self._run_gateway)
                    await self.until(self._is_listening)
                    await use(self)
                    await self.http.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def _is_listening(self):
        try:
            await self.get(self.settings.readiness_address, NAMES.ready_path)
            await self.get(self.settings.caller_address, "/")
            await self.get(self.settings.lookup_address, "/")
        except httpcore.ConnectError:
            return False
        return True

    async def is_ready(self):
        answer = await self.get(
            self.settings.readiness_address, NAMES.ready_path
        )
        return answer.status == 200


@pytest.fixture
def world():
    return World()


def test_request_is_served_from_one_end_to_the_other(world):
    async def use(world):
        assert not await world.is_ready()
        assert (await world.ask())[0] == 503
        world.store.put("op/config", config(1))
        await world.until(world.is_ready)
        assert await world.ask() == (200, b"acme")
        assert (await world.ask(key="k2"))[0] == 401
        assert (await world.ask(path="/x/1"))[0] == 404
        path = f"{NAMES.lookup_path}?name=h.example&region=n&zone=n-a"
        found = await world.get(world.settings.lookup_address, path)
        assert json.loads(found.content) == {
            "addresses": [world.settings.caller_address],
            "ttlS": 2.0,
        }
        metrics = await world.get(
            f"127.0.0.1:{world.settings.metrics_port}", "/metrics"
        )
        assert b'outcome="answered"' in metrics.content

    world.play(use)


def test_changes_follow_and_outlive_the_store(world):
    async def use(world):
        world.store.put("op/config", config(1))
        await world.until(world.is_ready)
        world.store.put("op/config", config(2, keys=("k2",)))

        async def is_new():
            return (await world.ask(key="k2"))[0] == 200

        await world.until(is_new)
        assert (await world.ask(key="k1"))[0] == 401
        world.store.down = True
        await trio.sleep(0.3)
        assert await is_new()
        world.store.put("op/config", config(3, keys=("k2",), prefix="/q/"))
        world.store.compact()
        world.store.down = False

        async def is_newest():
            return (await world.ask(path="/q/1", key="k2"))[0] == 200

        await world.until(is_newest)
        assert (await world.ask(path="/r/1", key="k2"))[0] == 404

    world.play(use)


def test_target_that_leaves_gets_nothing(world):
    async def use(world):
        world.store.put("op/config", config(1))
        await world.until(world.is_ready)
        assert (await world.ask())[0] == 200
        world.store.put(
            "servers/i-1", server(world.target.address, state="draining")
        )

        async def is_refused():
            return (await world.ask())[0] == 503

        await world.until(is_refused)

    world.play(use)


def test_gateway_presents_itself_in_the_store(world):
    async def use(world):
        async def is_there():
            return "gateways/g1" in world.store.items

        await world.until(is_there)

    world.play(use)


def test_sigterm_ends_it_gracefully(world):
    async def use(world):
        world.store.put("op/config", config(1))
        await world.until(world.is_ready)
        assert (await world.ask())[0] == 200
        signal.raise_signal(signal.SIGTERM)

        async def is_leaving():
            return not await world.is_ready()

        await world.until(is_leaving)
        assert (await world.ask())[0] == 200
        await world.ended.wait()

    world.play(use)


def test_data_centre_without_the_store_follows_another(world):
    """Gateways 2 and 3 never reach a store; 3 knows only the seed."""
    ports = free_ports(5)
    dead = EventStore()
    dead.down = True
    others = [
        settings(
            f"g{number}",
            ports,
            seeds=(f"127.0.0.{seed}:1",),
            ip=f"127.0.0.{number}",
            data_centre="n-b",
        )
        for number, seed in ((2, 1), (3, 2))
    ]
    world.settings = settings("g1", ports)

    async def use(world):
        async with trio.open_nursery() as nursery:
            for other in others:
                nursery.start_soon(gateway(other, dead).run)
            world.store.put("op/config", config(1))
            await world.until(world.is_ready)

            async def all_named():
                path = f"{NAMES.lookup_path}?name=h&region=n&zone=n-b"
                answers = [
                    await world.get(s.lookup_address, path)
                    for s in (world.settings, *others)
                ]
                if any(answer.status != 200 for answer in answers):
                    return False
                named = [json.loads(a.content)["addresses"] for a in answers]
                return all(
                    n == [o.caller_address for o in others] for n in named
                )

            async def is_served():
                world.settings = others[1]
                return await world.ask() == (200, b"acme")

            await world.until(all_named)
            await world.until(is_served)
            nursery.cancel_scope.cancel()

    world.play(use)
