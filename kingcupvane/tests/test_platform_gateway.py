"""Tests of whole gateways with the platform adapter and a store in memory."""

import json
import re
import signal
import socket
import time

import httpcore
import pytest
import trio
from loguru import logger
from result import Err, Ok

from kingcupvane.errors import StoreError
from kingcupvane.platform.names import NAMES
from kingcupvane.platform.records import (
    ROLLOUT_RECORD_PREFIX,
    PlatformItemDecoder,
    encode_rollout_record,
)
from kingcupvane.process.gateway import (
    LATE_REQUEST_S,
    STOP_IDLE_S,
    GatewayDaemon,
)
from kingcupvane.process.item import LOWEST, Item
from kingcupvane.process.store import Conflict, HistoryCompacted, Listing
from kingcupvane.process.store_era import StoreEra
from kingcupvane.settings import GatewaySettings, PlatformStoreSettings
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
)

# Longest wait of a watch call at the store, in seconds.
WATCH_WAIT_S = 0.05


class HistoryStore:
    """A store in memory with history, outages and leases that never expire."""

    def __init__(self):
        """Makes an empty store."""
        self.calls = {}
        self.era = StoreEra()
        self.history = []
        self.items = {}
        self.revision = 1
        self.compacted_revision = 0
        self.restored = 0
        self.down = False

    def put(self, key, value):
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        item = Item(key=key, value=text, revision=self.revision)
        self.items[key] = item
        self.history.append(item)
        return item

    def put_plan(self, document):
        return self.put("op/config", document)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history.append(Item(key=key, revision=self.revision, deleted=True))

    def compact(self):
        self.compacted_revision = self.revision
        self.history.clear()

    def copy(self):
        """Returns a copy of the contents, for `restore`."""
        return dict(self.items), list(self.history), self.revision

    def restore(self, saved):
        """Puts the store back to a copy; what came later is gone."""
        self.restored += 1
        items, history, self.revision = saved
        self.items, self.history = dict(items), list(history)

    def _error(self):
        return Err(StoreError(step="test", peer="store", detail="down"))

    async def _call_fails(self, operation):
        """Counts a call; returns whether the store is down."""
        self.calls[operation] = self.calls.get(operation, 0) + 1
        await trio.lowlevel.checkpoint()
        return self.down

    async def scan(self, prefix, *, at_least=LOWEST):
        if await self._call_fails("scan"):
            return self._error()
        return Ok(
            Listing(items=list(self.items.values()), revision=self.revision)
        )

    async def watch(self, prefix, *, after, wait_s):
        if await self._call_fails("watch"):
            return self._error()
        for _ in range(10):
            if not self.compacted_revision <= after <= self.revision:
                return Err(HistoryCompacted(after=after))
            changes = [i for i in self.history if i.revision > after]
            if changes or self.down:
                break
            await trio.sleep(WATCH_WAIT_S / 10)
        if self.down:
            return self._error()
        # Read again, since a change may have come with the last pause: the
        # revision must not be later than the changes.
        changes = [i for i in self.history if i.revision > after]
        return Ok(Listing(items=changes, revision=self.revision))

    async def compare_and_swap(self, key, value, *, expected, lease=0):
        if await self._call_fails("compare_and_swap"):
            return self._error()
        current = self.items.get(key) or Item(key=key)
        if current.revision != expected:
            return Err(Conflict(current=current))
        return Ok(self.put(key, value))

    async def grant(self, ttl_s):
        return self._error() if await self._call_fails("grant") else Ok(7)

    async def renew(self, lease):
        return self._error() if await self._call_fails("renew") else Ok(True)

    async def revoke(self, lease):
        return self._error() if await self._call_fails("revoke") else Ok(True)


def plan_document(number, *, keys=("k1",), prefix="/r/", limited_accounts=0):
    """Returns a plan with one account, and `limited_accounts` with a limit."""
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
            *(
                {
                    "resourceKind": "tenants",
                    "metadata": {"name": f"a{n}"},
                    "spec": {"apiKeys": [f"a{n}"], "ratePerS": 20, "burst": 40},
                }
                for n in range(limited_accounts)
            ),
        ],
    }


def target_record(address, **status):
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
        store=PlatformStoreSettings(
            address="127.0.0.1:1", watch_s=WATCH_WAIT_S
        ),
    )


async def respond_with_account(stream):
    """Handles a target's connection; each body is the caller's account."""
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


def make_gateway(settings, store):
    return GatewayDaemon(
        settings=settings,
        store=store,
        decoder=PlatformItemDecoder(regions={"n-a": "n", "n-b": "n"}),
        names=NAMES,
        encode_rollout_record=encode_rollout_record,
        rollout_record_prefix=ROLLOUT_RECORD_PREFIX,
    )


class GatewayHarness:
    """A store, a target and a gateway; `run_gateway` starts them."""

    def __init__(self):
        """Makes the store and the target, and chooses the gateway's ports."""
        self.store = HistoryStore()
        self.client = self.store
        self.settings = settings("g1", free_ports(5))
        self.target = ScriptedTarget(respond_with_account)
        self.http = httpcore.AsyncConnectionPool()
        self.ended = trio.Event()

    def put_plan(self):
        """Writes the first plan to the store."""
        self.store.put("op/config", plan_document(1))

    async def send_request(self, path="/r/1", key="k1"):
        response = await self.http.request(
            "GET",
            f"http://{self.settings.caller_address}{path}",
            headers={
                "host": "h.example",
                NAMES.attempt: b"id",
                "authorization": f"Token {key}",
            },
        )
        return response.status, response.content

    async def get(self, address, path):
        return await self.http.request("GET", f"http://{address}{path}")

    async def wait_until(self, condition):
        """Polls until `condition()` is true; the test's timeout bounds it."""
        while not await condition():
            await trio.sleep(0.02)

    async def _run_gateway(self):
        await make_gateway(self.settings, self.client).run()
        self.ended.set()

    def run_gateway(self, check):
        async def main():
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    await nursery.start(self.target.run)
                    self.store.put(
                        "servers/i-1", target_record(self.target.address)
                    )
                    nursery.start_soon(self._run_gateway)
                    await self.wait_until(self._is_listening)
                    await check(self)
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
        response = await self.get(
            self.settings.readiness_address, NAMES.ready_path
        )
        return response.status == 200


@pytest.fixture
def harness():
    return GatewayHarness()


def test_gateway_with_a_plan_serves_requests_lookups_and_metrics(harness):
    async def check(harness):
        assert not await harness.is_ready()
        assert (await harness.send_request())[0] == 503
        harness.store.put("op/config", plan_document(1))
        await harness.wait_until(harness.is_ready)
        assert await harness.send_request() == (200, b"acme")
        assert (await harness.send_request(key="k2"))[0] == 401
        assert (await harness.send_request(path="/x/1"))[0] == 404
        path = f"{NAMES.lookup_path}?name=h.example&region=n&zone=n-a"
        lookup_response = await harness.get(
            harness.settings.lookup_address, path
        )
        assert json.loads(lookup_response.content) == {
            "addresses": [harness.settings.caller_address],
            "ttlS": 2.0,
        }
        metrics = await harness.get(
            f"127.0.0.1:{harness.settings.metrics_port}", "/metrics"
        )
        assert b'outcome="answered"' in metrics.content

    harness.run_gateway(check)


def test_gateway_applies_new_plans_and_keeps_them_in_a_store_outage(harness):
    async def check(harness):
        harness.store.put("op/config", plan_document(1))
        await harness.wait_until(harness.is_ready)
        harness.store.put("op/config", plan_document(2, keys=("k2",)))

        async def accepts_new_key():
            return (await harness.send_request(key="k2"))[0] == 200

        await harness.wait_until(accepts_new_key)
        assert (await harness.send_request(key="k1"))[0] == 401
        harness.store.down = True
        await trio.sleep(0.3)
        assert await accepts_new_key()
        harness.store.put(
            "op/config", plan_document(3, keys=("k2",), prefix="/q/")
        )
        harness.store.compact()
        harness.store.down = False

        async def accepts_new_prefix():
            return (await harness.send_request(path="/q/1", key="k2"))[0] == 200

        await harness.wait_until(accepts_new_prefix)
        assert (await harness.send_request(path="/r/1", key="k2"))[0] == 404

    harness.run_gateway(check)


def test_draining_target_gets_no_requests(harness):
    async def check(harness):
        harness.store.put("op/config", plan_document(1))
        await harness.wait_until(harness.is_ready)
        assert (await harness.send_request())[0] == 200
        harness.store.put(
            "servers/i-1",
            target_record(harness.target.address, state="draining"),
        )

        async def is_refused():
            return (await harness.send_request())[0] == 503

        await harness.wait_until(is_refused)

    harness.run_gateway(check)


def test_gateway_writes_its_record_to_the_store(harness):
    async def check(harness):
        async def has_record():
            return "gateways/g1" in harness.store.items

        await harness.wait_until(has_record)

    harness.run_gateway(check)


def test_sigterm_stops_the_gateway_gracefully(harness):
    async def check(harness):
        harness.store.put("op/config", plan_document(1))
        await harness.wait_until(harness.is_ready)
        assert (await harness.send_request())[0] == 200
        signal.raise_signal(signal.SIGTERM)

        async def is_leaving():
            return not await harness.is_ready()

        await harness.wait_until(is_leaving)
        assert (await harness.send_request())[0] == 200
        await harness.ended.wait()

    harness.run_gateway(check)


def test_data_centre_without_the_store_gets_the_plan_from_peers(harness):
    """Gateways 2 and 3 never reach the store; 3 has only 2 as its seed."""
    ports = free_ports(5)
    unreachable_store = HistoryStore()
    unreachable_store.down = True
    peer_settings = [
        settings(
            f"g{number}",
            ports,
            seeds=(f"127.0.0.{seed}:1",),
            ip=f"127.0.0.{number}",
            data_centre="n-b",
        )
        for number, seed in ((2, 1), (3, 2))
    ]
    harness.settings = settings("g1", ports)

    async def check(harness):
        async with trio.open_nursery() as nursery:
            for gateway_settings in peer_settings:
                nursery.start_soon(
                    make_gateway(gateway_settings, unreachable_store).run
                )
            harness.store.put("op/config", plan_document(1))
            await harness.wait_until(harness.is_ready)

            async def all_advertise_peers():
                path = f"{NAMES.lookup_path}?name=h&region=n&zone=n-b"
                responses = [
                    await harness.get(s.lookup_address, path)
                    for s in (harness.settings, *peer_settings)
                ]
                if any(response.status != 200 for response in responses):
                    return False
                address_lists = [
                    json.loads(response.content)["addresses"]
                    for response in responses
                ]
                return all(
                    addresses == [s.caller_address for s in peer_settings]
                    for addresses in address_lists
                )

            async def is_served():
                harness.settings = peer_settings[1]
                return await harness.send_request() == (200, b"acme")

            await harness.wait_until(all_advertise_peers)
            await harness.wait_until(is_served)
            nursery.cancel_scope.cancel()

    harness.run_gateway(check)


def test_stop_serves_requests_that_the_kernel_has_accepted(harness):
    """They arrive while the process is busy, just before it would exit."""

    async def check(harness):
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        assert (await harness.send_request())[0] == 200
        signal.raise_signal(signal.SIGTERM)

        async def is_leaving():
            return not await harness.is_ready()

        await harness.wait_until(is_leaving)
        host, _, port = harness.settings.caller_address.partition(":")
        head = (
            b"GET /r/1 HTTP/1.1\r\nhost: h.example\r\n%s: id-%d\r\n"
            b"authorization: Token k1\r\n\r\n"
        )
        callers = []
        for number in range(3):
            caller = socket.create_connection((host, int(port)), timeout=5)
            caller.sendall(head % (NAMES.attempt, number))
            callers.append(caller)
        time.sleep(STOP_IDLE_S + 0.1)
        for caller in callers:
            data = await trio.to_thread.run_sync(read_to_end, caller)
            assert data.startswith(b"HTTP/1.1 200 ")
            assert data.endswith(b"acme")
        await harness.ended.wait()

    harness.run_gateway(check)


def read_to_end(caller):
    with caller:
        data = b""
        while part := caller.recv(65536):
            data += part
        return data


@pytest.mark.parametrize(
    "key", ["gateways/odd", "servers/odd", "op/rollout/odd", "status/rollout/s"]
)
def test_odd_item_does_not_stop_the_gateway_from_following_the_store(
    harness, key
):
    async def check(harness):
        harness.store.put("op/config", plan_document(1))
        await harness.wait_until(harness.is_ready)
        nested = "[" * 50_000 + "]" * 50_000
        harness.store.put(key, f'{{"unknown":{nested}}}')
        harness.store.put("op/config", plan_document(2, prefix="/q/"))

        async def serves_new_plan():
            return (await harness.send_request(path="/q/1"))[0] == 200

        with trio.fail_after(2):
            await harness.wait_until(serves_new_plan)

    harness.run_gateway(check)


def test_target_with_the_leaving_header_gets_no_further_request(harness):
    """The registry still lists it as ready.

    A gateway that starts later learns of it from the other one.
    """
    leaving_header = next(iter(NAMES.leaving))
    served = []

    async def respond(stream):
        while data := await read_request(stream):
            served.append(data)
            attempt = data.split(NAMES.attempt + b": ")[1].split(b"\r\n")[0]
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: 1\r\n"
                b"content-length: 0\r\n\r\n"
                % (NAMES.attempt, attempt, NAMES.stamp, leaving_header)
            )

    harness.target = ScriptedTarget(respond)
    harness.settings = settings("g1", free_ports(5), ip="127.0.0.1")
    restarted = settings(
        "g2", free_ports(5), ip="127.0.0.2", seeds=("127.0.0.1:1",)
    ).model_copy(update={"peer_port": harness.settings.peer_port})

    async def check(harness):
        harness.store.put("op/config", plan_document(1))
        await harness.wait_until(harness.is_ready)
        assert (await harness.send_request())[0] == 200
        assert (await harness.send_request())[0] == 503
        harness.store.put(
            "servers/i-1", target_record(harness.target.address, sequence=2)
        )
        await trio.sleep(0.5)
        assert (await harness.send_request())[0] == 503
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_gateway(restarted, harness.store).run)
            harness.settings = restarted
            await harness.wait_until(harness._is_listening)
            await harness.wait_until(harness.is_ready)
            assert (await harness.send_request())[0] == 503
            nursery.cancel_scope.cancel()
        assert len(served) == 1

    harness.run_gateway(check)


def test_target_that_names_a_limit_gets_no_more_than_that(harness):
    """Targets in need got all requests that they did not shed."""
    served_at = []

    async def respond(stream):
        while data := await read_request(stream):
            served_at.append(trio.current_time())
            attempt = re.search(rb"(?i)%s: (\S+)" % NAMES.attempt, data)[1]
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nserver-limit: 2.5"
                b"\r\ncontent-length: 0\r\n\r\n"
                % (NAMES.attempt, attempt, NAMES.stamp)
            )

    harness.target = ScriptedTarget(respond)

    async def check(harness):
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        assert (await harness.send_request())[0] == 200
        started_at = trio.current_time()
        refused = 0
        while trio.current_time() - started_at < 4.0:
            sent_at = trio.current_time()
            status, body = await harness.send_request()
            if status == 503:
                refused += 1
                assert trio.current_time() - sent_at < 0.5
                assert b"limit" in body
            await trio.sleep(0.02)
        assert len(served_at) <= 1.5 * 2.5 * 4.0 + 5
        assert len(served_at) >= 0.7 * 2.5 * 4.0
        assert refused > 50
        metrics = await harness.get(
            f"127.0.0.1:{harness.settings.metrics_port}", "/metrics"
        )
        assert b'kingcupvane_limited_requests{service="s"} 2.5' in (
            metrics.content
        )

    harness.run_gateway(check)


def test_stopping_gateway_refuses_what_it_could_not_finish(harness):
    """Its body is complete late in the grace; the end would cut the request."""
    ended_at_target = []

    async def respond_slowly(stream):
        if await read_request(stream):
            ended_at_target.append(True)
            await trio.sleep_forever()

    harness.target = ScriptedTarget(respond_slowly)

    async def check(harness):
        document = plan_document(1)
        document["resources"][0]["spec"]["timeoutS"] = 20
        harness.store.put_plan(document)
        await harness.wait_until(harness.is_ready)
        host, _, port = harness.settings.caller_address.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(
            b"POST /r/1 HTTP/1.1\r\nhost: h.example\r\n%s: id\r\n"
            b"authorization: Token k1\r\ncontent-length: 4\r\n\r\nab"
            % NAMES.attempt
        )
        await trio.sleep(0.1)
        signal.raise_signal(signal.SIGTERM)
        await trio.sleep(LATE_REQUEST_S + 0.3)
        await stream.send_all(b"cd")
        with trio.fail_after(1.0):
            response = await stream.receive_some(4096)
        assert b"503" in response.partition(b"\r\n")[0]
        assert b"retry-after" in response.lower()
        assert b"connection: close" in response.lower()
        assert not ended_at_target
        await harness.ended.wait()

    harness.run_gateway(check)


def test_refusals_by_the_plan_are_not_told_by_the_gateway(harness):
    """A record held no line of the gateway that refused an added route."""
    lines = []
    handler = logger.add(lines.append, format="{message}")

    async def check(harness):
        harness.put_plan()
        await harness.wait_until(harness.is_ready)
        for _ in range(3):
            assert (await harness.send_request(key="k2"))[0] == 401
        assert (await harness.send_request(path="/x/1"))[0] == 404
        told = []

        async def all_are_told():
            told[:] = [
                line
                for line in lines
                if "event=refusals" in line and " plan=1 " in line
            ]
            counts = [int(line.split("count=")[1].split()[0]) for line in told]
            return sum(counts) == 4

        await harness.wait_until(all_are_told)
        assert any("reason=unknown-key" in line for line in told)
        assert any("reason=no-route" in line for line in told)
        for line in told:
            assert re.search(
                r"plan=\d+ plan_age_s=\S+ era=\S+ revision=\d", line
            )

    harness.run_gateway(check)
    logger.remove(handler)
