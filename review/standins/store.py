"""Stand-in for the platform's metadata store (the `form` named `kv`)."""

import asyncio
import base64
import contextlib
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from review.standins import http1

PAGE_ITEMS = 500
LEASE_CHECK_S = 0.1


@dataclass
class StoredItem:
    """One item, or the tombstone of a removed one."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0
    removed: bool = False

    def to_json(self) -> dict:
        """Returns the item as it is sent."""
        if self.removed:
            return {
                "key": self.key,
                "revision": self.revision,
                "tombstone": True,
            }
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "createRev": self.created,
            "lease": self.lease,
        }


class Store:
    """A store in memory with revisions, watches and leases.

    Attributes:
        address: Host and port.
        items: Live items by key.
        is_down: Whether every call is answered 503, which does nothing.
    """

    def __init__(self, *, address: str):
        """Makes an empty store; `start` opens its port."""
        self.address = address
        self.items: dict[str, StoredItem] = {}
        self.is_down = False
        self._history: list[StoredItem] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._lease_ends: dict[int, float] = {}
        self._lease_ttls: dict[int, float] = {}
        self._next_lease = 7000
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Opens the port and starts the expiry of leases."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._tasks.add(asyncio.create_task(self._expire_leases()))

    async def put(self, key: str, value: object, *, lease: int = 0) -> int:
        """Writes an item, bytes or JSON, and returns its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self._revision += 1
            known = self.items.get(key)
            item = StoredItem(
                key=key,
                value=data,
                revision=self._revision,
                created=known.created if known else self._revision,
                lease=lease,
            )
            self.items[key] = item
            self._history.append(item)
            self._changed.notify_all()
            return self._revision

    async def remove(self, key: str) -> None:
        """Removes an item if it is there."""
        async with self._changed:
            if key not in self.items:
                return
            del self.items[key]
            self._revision += 1
            self._history.append(
                StoredItem(
                    key=key,
                    value=b"",
                    revision=self._revision,
                    created=0,
                    removed=True,
                )
            )
            self._changed.notify_all()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = asyncio.get_running_loop().time()
            for lease, ends_at in list(self._lease_ends.items()):
                if now >= ends_at:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> bool:
        known = self._lease_ends.pop(lease, None) is not None
        for key, item in list(self.items.items()):
            if item.lease == lease:
                await self.remove(key)
        return known

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http1.read_request(reader)) is not None:
                status, reply = await self._answer(request)
                body = json.dumps(reply).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(http1.encode_response(status, headers, body))
                await writer.drain()
        except (ConnectionError, http1.BrokenMessageError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: http1.Request) -> tuple[int, dict]:
        if self.is_down:
            return 503, {"error": "down"}
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"asOf": self._revision}
            return 200, {**item.to_json(), "asOf": self._revision}
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return await self._transact(json.loads(request.body))
        if path == "/kv-lease":
            return 200, self._grant(json.loads(request.body))
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self._lease_ends:
                return 404, {}
            ttl_s = self._lease_ttls[lease]
            now = asyncio.get_running_loop().time()
            self._lease_ends[lease] = now + ttl_s
            return 200, {"ttlS_time": ttl_s}
        if path.startswith("/kv-lease-end/"):
            return (200 if await self._end_lease(lease) else 404), {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self.items[key].to_json() for key in page],
            "morePages": len(keys) > len(page),
            "asOf": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])

        def changes() -> list[StoredItem]:
            return [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait_for(changes),
                    int(query.get("waitMs", "0")) / 1000,
                )
            events = [item.to_json() for item in changes()]
            return {"events": events, "asOf": self._revision}

    async def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                known = [self.items.get(r["key"]) for r in expected]
                return 412, {
                    "items": [k.to_json() if k else None for k in known]
                }
        puts = body.get("puts", [])
        for put in puts:
            if put.get("lease") and put["lease"] not in self._lease_ends:
                return 404, {}
        for put in puts:
            await self.put(
                put["key"],
                base64.b64decode(put["value"]),
                lease=put.get("lease", 0),
            )
        for key in body.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self._revision}

    def _grant(self, body: dict) -> dict:
        self._next_lease += 1
        ttl_s = min(600.0, max(1.0, float(body["ttlS_time"])))
        now = asyncio.get_running_loop().time()
        self._lease_ends[self._next_lease] = now + ttl_s
        self._lease_ttls[self._next_lease] = ttl_s
        return {"lease": self._next_lease, "ttlS_time": ttl_s}
