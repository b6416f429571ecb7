"""Tests of whole gateways that report usage to a platform on loopback."""

import json

import trio
from result import Ok

from kingcupvane.platform.names import NAMES
from kingcupvane.platform.records import (
    ROLLOUT_RECORD_PREFIX,
    PlatformItemDecoder,
    encode_rollout_record,
)
from kingcupvane.platform.usage import (
    HOLDER_HEADER,
    TOKEN_HEADER,
    PlatformUsageReceiver,
)
from kingcupvane.process.gateway import GatewayDaemon
from kingcupvane.process.usage_duty import HOLDER_KEY, RECORD_KEY
from kingcupvane.settings import UsageSettings
from kingcupvane.tests.test_platform_gateway import (
    GatewayHarness,
    HistoryStore,
    free_ports,
    settings,
    target_record,
)
from kingcupvane.tests.test_platform_usage import read_all
from kingcupvane.tests.test_target_connection import (
    ScriptedTarget,
    read_request,
)

WINDOW_S = 1.0
LATE_S = 6.0
LEASE_S = 1.5
REQUESTS = 24


class ExpiringStore(HistoryStore):
    """A store whose leases end unless they are renewed."""

    def __init__(self):
        """Makes an empty store."""
        super().__init__()
        self.ttl_by_lease = {}
        self.expiry_by_lease = {}
        self.lease_by_key = {}

    async def grant(self, ttl_s):
        await trio.lowlevel.checkpoint()
        lease = len(self.ttl_by_lease) + 1
        self.ttl_by_lease[lease] = ttl_s
        self.expiry_by_lease[lease] = trio.current_time() + ttl_s
        return Ok(lease)

    async def renew(self, lease):
        await trio.lowlevel.checkpoint()
        if lease not in self.expiry_by_lease:
            return Ok(False)
        ttl_s = self.ttl_by_lease[lease]
        self.expiry_by_lease[lease] = trio.current_time() + ttl_s
        return Ok(True)

    async def revoke(self, lease):
        await trio.lowlevel.checkpoint()
        self._end(lease)
        return Ok(True)

    async def compare_and_swap(self, key, value, *, expected, lease=0):
        reply = await super().compare_and_swap(
            key, value, expected=expected, lease=lease
        )
        if isinstance(reply, Ok):
            self.lease_by_key[key] = lease
        return reply

    async def run(self):
        while True:
            now = trio.current_time()
            for lease, expires_at in list(self.expiry_by_lease.items()):
                if expires_at <= now:
                    self._end(lease)
            await trio.sleep(0.05)

    def _end(self, lease):
        self.expiry_by_lease.pop(lease, None)
        for key, owner in list(self.lease_by_key.items()):
            if owner == lease and key in self.items:
                self.remove(key)
                del self.lease_by_key[key]


class UsageHarness(GatewayHarness):
    """Three gateways in two data centres, and a platform for their reports."""

    def __init__(self):
        """Makes the store, the target and the platform."""
        super().__init__()
        self.store = ExpiringStore()
        self.platform = ScriptedTarget(self._take_report)
        self.target = ScriptedTarget(self._respond)
        self.reports = []
        self.refusing = False
        self.scopes_by_name = {}

    async def _take_report(self, stream):
        head, body = await read_all(stream)
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
        )
        self.reports.append(
            (
                fields[HOLDER_HEADER.lower()].decode(),
                int(fields[TOKEN_HEADER.lower()]),
                json.loads(body),
            )
        )
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def _respond(self, stream):
        while data := await read_request(stream):
            attempt = next(
                line.partition(b": ")[2]
                for line in data.split(b"\r\n")
                if line.startswith(NAMES.attempt)
            )
            if self.refusing:
                await stream.send_all(
                    b"HTTP/1.1 503 Busy\r\n%s: 1\r\ncontent-length: 0\r\n\r\n"
                    % NAMES.not_executed
                )
                continue
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n"
                b"content-length: 0\r\n\r\n"
                % (NAMES.attempt, attempt, NAMES.stamp)
            )

    def run_fleet(self, check, *, with_receiver=True):
        places = {"g1": "n-a", "g2": "n-a", "g3": "n-b"}
        ports = free_ports(5 * len(places))
        self.settings_by_name = {}
        for number, (name, data_centre) in enumerate(places.items()):
            own = ports[5 * number : 5 * number + 5]
            base = settings(name, own, data_centre=data_centre)
            self.settings_by_name[name] = base

        async def main():
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    await nursery.start(self.platform.run)
                    await nursery.start(self.target.run)
                    nursery.start_soon(self.store.run)
                    self.put_plan()
                    self.store.put(
                        "servers/i-1", target_record(self.target.address)
                    )
                    for name in places:
                        self.scopes_by_name[name] = trio.CancelScope()
                        nursery.start_soon(self._run, name, with_receiver)
                    await check(self)
                    await self.http.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def _run(self, name, with_receiver):
        usage = UsageSettings(
            address=self.platform.address,
            calls_per_s=50.0,
            window_s=WINDOW_S,
            late_s=LATE_S,
            lease_s=LEASE_S,
        )
        daemon = GatewayDaemon(
            settings=self.settings_by_name[name].model_copy(
                update={"usage": usage}
            ),
            store=self.store,
            decoder=PlatformItemDecoder(regions={"n-a": "n", "n-b": "n"}),
            names=NAMES,
            encode_rollout_record=encode_rollout_record,
            rollout_record_prefix=ROLLOUT_RECORD_PREFIX,
            usage_receiver=PlatformUsageReceiver(address=usage.address)
            if with_receiver
            else None,
        )
        with self.scopes_by_name[name]:
            await daemon.run()

    async def serve(self, count=REQUESTS):
        """Sends requests to all gateways in turn; returns how many ran."""
        ran = 0
        alive = [
            each
            for name, each in self.settings_by_name.items()
            if not self.scopes_by_name[name].cancel_called
        ]
        for number in range(count):
            self.settings = alive[number % len(alive)]
            status, _ = await self.send_request()
            ran += status == 200
            await trio.sleep(0.05)
        return ran

    async def all_ready(self):
        for name, each in self.settings_by_name.items():
            if self.scopes_by_name[name].cancel_called:
                continue
            self.settings = each
            if not (await self._is_listening() and await self.is_ready()):
                return False
        return True

    def reported(self):
        """Returns the sum of all windows; checks that none has two counts."""
        counts_by_window = {}
        for _, _, body in self.reports:
            counts = counts_by_window.setdefault(
                body["windowId"], body["counts"]
            )
            assert counts == body["counts"]
        return sum(c.get("acme", 0) for c in counts_by_window.values())

    def is_reported(self, count):
        async def check():
            return self.reported() == count

        return check


def test_gateways_report_what_targets_began_and_replace_the_holder():
    async def check(harness):
        await harness.wait_until(harness.all_ready)
        ran = await harness.serve()
        assert ran == REQUESTS
        await harness.wait_until(harness.is_reported(ran))
        first, token, _ = harness.reports[-1]
        # Requests that targets refuse do not count.
        harness.refusing = True
        await harness.serve(6)
        harness.refusing = False
        await trio.sleep(1.5)
        harness.scopes_by_name[first].cancel()
        # What the killed holder had counted is with its peers by now.
        ran += await harness.serve()
        await harness.wait_until(harness.is_reported(ran))
        second, later_token, _ = harness.reports[-1]
        assert second != first
        assert later_token > token

    UsageHarness().run_fleet(check)


def test_fleet_without_the_duty_does_none_of_it():
    async def check(harness):
        await harness.wait_until(harness.all_ready)
        await harness.serve()
        await trio.sleep(3.0)
        assert harness.platform.connections == 0
        assert HOLDER_KEY not in harness.store.items
        assert RECORD_KEY not in harness.store.items

    UsageHarness().run_fleet(check, with_receiver=False)
