"""Stand-in for the platform's store and VM list, as a separate process.

It counts calls, limits their rates and injects faults on request.
"""

import random
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from kingcupvane import asgi
from kingcupvane.clock import Clock, SystemClock
from kingcupvane.connection import listener
from kingcupvane.process.store import (
    CONFLICT,
    NOT_FOUND,
    TOO_MANY_REQUESTS,
    Item,
    LeaseGrant,
    Listing,
    VmListing,
    VmRecord,
)
from kingcupvane.settings import StoreStandinSettings

BODY_MAX_BYTES = 1024 * 1024
LEASE_EXPIRY_PERIOD_S = 0.1
SERVICE_UNAVAILABLE = 503


class StoreFault(msgspec.Struct, frozen=True, kw_only=True):
    """Fault that the store injects into its calls.

    Attributes:
        down: Whether every call fails with status 503 and has no effect.
        delay_s: Delay before each call is handled, in seconds.
        lose_share: Share of writes that take effect but get no response.
        seed: Seed of the random choice of those writes.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_share: float = 0.0
    seed: int = 1


class CallCounts(msgspec.Struct, kw_only=True):
    """Calls since the start; `refused` ones exceeded the rate limit."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


@dataclass(kw_only=True, slots=True)
class _Lease:
    ttl_s: float
    expires_at: float


class CallLimiter:
    """Token bucket that holds one second's worth of calls."""

    def __init__(self, *, rate: float, now: float):
        """Makes a full bucket with a rate in calls per second."""
        self._rate = rate
        self._tokens = rate
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Takes a token for one call; returns False if none is left."""
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class StoreState:
    """Items, leases and revisions of the store, without I/O.

    Attributes:
        revision: Revision of the last change; 0 before the first one.
        items_by_key: The present items.
    """

    def __init__(self, *, clock: Clock):
        """Makes an empty store."""
        self._clock = clock
        self.revision = 0
        self.items_by_key: dict[str, Item] = {}
        self._lease_id_by_key: dict[str, int] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._next_lease_id = 1

    def get(self, key: str) -> Item:
        """Returns the item of a key; revision 0 if the key doesn't exist."""
        return self.items_by_key.get(key, Item(key=key))

    def list(self, prefix: str, *, after: int = 0) -> list[Item]:
        """Returns items under `prefix` newer than revision `after`, by key."""
        return [
            item
            for key, item in sorted(self.items_by_key.items())
            if key.startswith(prefix) and item.revision > after
        ]

    def compare_and_swap(
        self, key: str, value: str, *, expected: int, lease: int
    ) -> Item | None:
        """Writes an item if the key's revision is `expected`.

        Returns:
            The new item; None if the revision differs or the lease has ended.
        """
        if self.get(key).revision != expected:
            return None
        if lease and lease not in self._leases_by_id:
            return None
        self.revision += 1
        item = Item(key=key, value=value, revision=self.revision)
        self.items_by_key[key] = item
        if lease:
            self._lease_id_by_key[key] = lease
        return item

    def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        lease = self._next_lease_id
        self._next_lease_id += 1
        self._leases_by_id[lease] = _Lease(
            ttl_s=ttl_s, expires_at=self._clock.now() + ttl_s
        )
        return lease

    def renew(self, lease: int) -> bool:
        """Renews a lease for its TTL; returns False if it has ended."""
        found = self._leases_by_id.get(lease)
        if found is None:
            return False
        found.expires_at = self._clock.now() + found.ttl_s
        return True

    def revoke(self, lease: int) -> bool:
        """Ends a lease and deletes its items.

        Returns:
            False if the lease had ended already.
        """
        if self._leases_by_id.pop(lease, None) is None:
            return False
        attached_keys = [
            k for k, v in self._lease_id_by_key.items() if v == lease
        ]
        for key in attached_keys:
            self.revision += 1
            del self._lease_id_by_key[key]
            del self.items_by_key[key]
        return True

    def expire(self) -> bool:
        """Revokes expired leases; returns whether there were any."""
        now = self._clock.now()
        expired = [
            k for k, v in self._leases_by_id.items() if v.expires_at <= now
        ]
        for lease in expired:
            self.revoke(lease)
        return bool(expired)


class StoreServer:
    """Serves a `StoreState` over HTTP."""

    def __init__(self, *, settings: StoreStandinSettings):
        """Makes a server with an empty store."""
        self._settings = settings
        self._clock = SystemClock()
        now = self._clock.now()
        self._state = StoreState(clock=self._clock)
        self._read_limiter = CallLimiter(rate=settings.reads_per_s, now=now)
        self._write_limiter = CallLimiter(rate=settings.writes_per_s, now=now)
        self._counts = CallCounts()
        self._fault = StoreFault()
        self._random = random.Random(self._fault.seed)
        self._changed = trio.Event()
        self._vms_by_name: dict[str, VmRecord] = {}

    async def run(self, stop: trio.Event) -> None:
        """Serves requests and expires leases until `stop` is set."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_leases)
            await listener.serve(
                self.handle, address=self._settings.address, stop=stop
            )
            nursery.cancel_scope.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(LEASE_EXPIRY_PERIOD_S)
            if self._state.expire():
                self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        """Handles one call, under the rate limits and the current fault."""
        body = await request.read_body(limit=BODY_MAX_BYTES)
        if request.path.startswith("/control/"):
            await self._handle_control(request.path, body).send(send)
            return
        if self._fault.delay_s:
            await trio.sleep(self._fault.delay_s)
        if self._fault.down:
            await asgi.HttpResponse(status=SERVICE_UNAVAILABLE).send(send)
            return
        is_write = request.method != "GET"
        if not self._admit(is_write=is_write):
            await asgi.HttpResponse(status=TOO_MANY_REQUESTS).send(send)
            return
        response = await self._dispatch(request, body)
        if is_write and self._random.random() < self._fault.lose_share:
            await trio.sleep_forever()
        await response.send(send)

    def _admit(self, *, is_write: bool) -> bool:
        limiter = self._write_limiter if is_write else self._read_limiter
        if not limiter.try_acquire(self._clock.now()):
            self._counts.refused += 1
            return False
        if is_write:
            self._counts.writes += 1
        else:
            self._counts.reads += 1
        return True

    def _handle_control(self, path: str, body: bytes) -> asgi.HttpResponse:
        if path == "/control/fault":
            self._fault = msgspec.json.decode(body, type=StoreFault)
            self._random = random.Random(self._fault.seed)
        elif path == "/control/vms":
            for vm in msgspec.json.decode(body, type=VmListing).vms:
                self._vms_by_name[vm.name] = vm
        elif path == "/control/counts":
            return asgi.json_response(self._counts)
        return asgi.json_response(self._fault)

    async def _dispatch(
        self, request: asgi.HttpRequest, body: bytes
    ) -> asgi.HttpResponse:
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        path = request.path
        if path.startswith("/v1/kv/"):
            key = unquote(path.removeprefix("/v1/kv/"))
            return self._handle_key(request.method, key, query, body)
        if path.startswith("/v1/leases"):
            return self._handle_lease(request.method, path, query)
        if path == "/v1/list":
            return self._listing(query.get("prefix", ""), after=0)
        if path == "/v1/watch":
            return await self._watch(query)
        if path == "/v1/vms":
            vms = list(self._vms_by_name.values())
            return asgi.json_response(VmListing(vms=vms))
        return asgi.HttpResponse(status=NOT_FOUND)

    def _handle_key(
        self, method: str, key: str, query: dict[str, str], body: bytes
    ) -> asgi.HttpResponse:
        if method == "GET":
            return asgi.json_response(self._state.get(key))
        item = self._state.compare_and_swap(
            key,
            body.decode(),
            expected=int(query["expected"]),
            lease=int(query.get("lease", "0")),
        )
        if item is None:
            return asgi.json_response(self._state.get(key), status=CONFLICT)
        self._notify()
        return asgi.json_response(item)

    def _handle_lease(
        self, method: str, path: str, query: dict[str, str]
    ) -> asgi.HttpResponse:
        if method == "POST":
            lease = self._state.grant(float(query["ttl_s"]))
            return asgi.json_response(LeaseGrant(lease=lease))
        lease = int(path.removeprefix("/v1/leases/"))
        update = self._state.renew if method == "PUT" else self._state.revoke
        found = update(lease)
        if method == "DELETE":
            self._notify()
        return asgi.HttpResponse(status=200 if found else NOT_FOUND)

    def _listing(self, prefix: str, *, after: int) -> asgi.HttpResponse:
        items = self._state.list(prefix, after=after)
        listing = Listing(items=items, revision=self._state.revision)
        return asgi.json_response(listing)

    async def _watch(self, query: dict[str, str]) -> asgi.HttpResponse:
        prefix = query["prefix"]
        after = int(query["after"])
        with trio.move_on_after(float(query["wait_s"])):
            while not self._state.list(prefix, after=after):
                await self._changed.wait()
        return self._listing(prefix, after=after)
