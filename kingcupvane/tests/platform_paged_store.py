"""A paged store on a loopback socket whose answers can be slow or lost."""

import base64
from urllib.parse import parse_qs

import msgspec
import trio

from kingcupvane import asgi
from kingcupvane.connection import listener
from kingcupvane.platform.store import PlatformStore
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.replication import StoreReplicator
from kingcupvane.process.timeline import HybridClock, Stamp, Timeline
from kingcupvane.settings import PlatformStoreSettings
from kingcupvane.tests.fakes import TrioClock
from kingcupvane.tests.silent_link import SilentLink
from kingcupvane.tests.test_peering import record

PLAN_KEY = "op/config"


class PagedStore:
    """Items with history, served in pages.

    Attributes:
        revision: Revision of the last change.
        compacted: Revision before which the history is gone.
        era: Era that its answers name; None if they name none.
        calls: Path and query of each call, in order.
        is_lost: Called with each call; whether its connection goes silent.
        delay_s: Called with each call; delay of its answer, in seconds.
    """

    def __init__(self, *, item_count=3, page_size=1):
        """Makes a store with `item_count` items besides the plan."""
        self.page_size = page_size
        self.revision = 1
        self.compacted = 0
        self.era = 0
        self.items = {}
        self.history = []
        self.calls = []
        self.is_lost = lambda call: False
        self.delay_s = lambda call: 0.0
        self._changed = trio.Event()
        self.put(PLAN_KEY, "0")
        for number in range(item_count):
            self.put(f"servers/{number:03}", "x")

    def put(self, key, text):
        self.revision += 1
        value = base64.b64encode(text.encode()).decode()
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = item
        self.history.append(item)
        self._changed.set()
        self._changed = trio.Event()

    def count(self, path):
        return sum(call[0] == path for call in self.calls)

    async def handle(self, request, send):
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        call = (request.path, query)
        self.calls.append(call)
        # The connection stays open and returns nothing further.
        if self.is_lost(call):
            await trio.sleep_forever()
        delay_s = self.delay_s(call)
        era = self.era
        if request.path == "/kv-range":
            status, value = 200, self._page(query)
        else:
            status, value = await self._watch(query)
        await trio.sleep(delay_s)
        response = asgi.HttpResponse(
            status=status,
            body=msgspec.json.encode(value),
            headers={} if era is None else {"store-era": str(era)},
        )
        await response.send(send)

    def _page(self, query):
        keys = [
            key for key in sorted(self.items) if key > query.get("after", "")
        ]
        page = keys[: self.page_size]
        return {
            "items": [self.items[key] for key in page],
            "morePages": len(keys) > len(page),
            "asOf": self.revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        if not self.compacted <= after <= self.revision:
            return 410, {}
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while self.revision == after:
                await self._changed.wait()
        events = [item for item in self.history if item["revision"] > after]
        return 200, {"events": events, "asOf": self.revision}


class Follower:
    """A gateway's replicator without peers, and the store that it follows.

    Attributes:
        served: The store behind the link.
        link: The link to it.
        mirror: The mirror.
    """

    def __init__(self, served):
        """Makes a follower of a store."""
        self.served = served
        self.mirror = Mirror(prefix="")
        self.settings = PlatformStoreSettings(address="127.0.0.1:1")

    async def start(self, nursery):
        """Starts the store and the link to it, not yet the replicator."""
        urls = await nursery.start(self._serve)
        self.link = SilentLink(port=int(urls[0].rpartition(":")[2]))
        await nursery.start(self.link.run)
        self.store = PlatformStore(
            address=self.link.address, timeout_s=self.settings.timeout_s
        )
        clock = TrioClock()
        self.timeline = Timeline(
            process="g", clock=HybridClock(clock=clock), capacity=10_000
        )
        self.replicator = StoreReplicator(
            store=self.store,
            mirror=self.mirror,
            peers=PeerTable(own=record("g")),
            settings=self.settings,
            apply_items=lambda items: None,
            begin_era=lambda: None,
            held_up_s=lambda now: 0.0,
            clock=clock,
            timeline=self.timeline,
        )

    async def _serve(self, task_status):
        await listener.serve(
            self.served.handle,
            address="127.0.0.1:0",
            stop=trio.Event(),
            task_status=task_status,
        )

    @property
    def plan(self):
        item = self.mirror.get(PLAN_KEY)
        return item.value if item is not None else None

    def timeline_kinds(self):
        """Returns the kinds of events that were recorded."""
        return {event.kind for event in self.timeline.since(Stamp(0, 0))}

    async def measure_lag(self, text, limit_s):
        """Writes a plan; returns the time until the mirror has it, in seconds.

        Without it after `limit_s`, infinity.
        """
        self.served.put(PLAN_KEY, text)
        written_at = trio.current_time()
        with trio.move_on_after(limit_s):
            while self.plan != text:
                await trio.sleep(0.01)
            return trio.current_time() - written_at
        return float("inf")


def run_follower(check, **store_options):
    """Runs `check(follower, nursery)` with a store and a replicator."""

    async def main():
        with trio.fail_after(50):
            async with trio.open_nursery() as nursery:
                follower = Follower(PagedStore(**store_options))
                await follower.start(nursery)
                await check(follower, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)
