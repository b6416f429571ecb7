"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.standins2.wire import read_request, write_response

PAGE_ITEMS_MAX = 500


class Store:
    """Keys with revisions, leases, watches and, in a drill, an older copy."""

    def __init__(self):
        """Starts empty, in era 0."""
        self.era = 0
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.first_event = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1000
        self.is_away = False
        self.system_writes: list[tuple[float, str, str]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        """Stops listening."""
        self._expiry.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: object, *, lease: int = 0) -> int:
        """Writes a key, as the operator or a server does."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(text.encode()).decode(),
            "revision": self.revision,
            "createRev": known["createRev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def value(self, key: str) -> dict | None:
        """Returns the decoded JSON value of a key."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def copy(self) -> tuple:
        """Returns a copy of the content, for `restore`."""
        return copy.deepcopy((self.revision, self.items, self.leases))

    async def restore(self, saved: tuple, *, away_s: float) -> None:
        """Is away for a moment and comes back from a copy."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.revision, self.items, self.leases = copy.deepcopy(saved)
        self.events = []
        self.first_event = self.revision
        self.era += 1
        self.is_away = False

    def _add_event(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now > ends_at:
                    self._end(lease)

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                if self.is_away:
                    writer.transport.abort()
                    return
                status, body = await self._answer(request)
                if self.is_away:
                    writer.transport.abort()
                    return
                headers = [("Store-Era", str(self.era))]
                data = json.dumps(body).encode()
                await write_response(writer, status, headers, data)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request) -> tuple[int, dict]:
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/kv-lease":
            ttl_s = json.loads(request.body)["ttlS_time"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.next_lease, "ttlS_time": ttl_s}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttlS_time": ttl_s}
        self._end(lease)
        return 200, {}

    def _range(self, query) -> tuple[int, dict]:
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = [self.items[k] for k in keys[:PAGE_ITEMS_MAX]]
        more = len(keys) > PAGE_ITEMS_MAX
        return 200, {"items": page, "morePages": more, "asOf": self.revision}

    async def _watch(self, query) -> tuple[int, dict]:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        era = self.era
        while True:
            if after < self.first_event or after > self.revision:
                return 410, {}
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0 or self.is_away or self.era != era:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body) -> tuple[int, dict]:
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items.get(r["key"]) for r in body["expected"]]
                return 412, {"items": rows}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in body.get("puts", []):
            text = base64.b64decode(put["value"]).decode()
            self.put(put["key"], text, lease=put.get("lease", 0))
            self.system_writes.append((time.monotonic(), put["key"], text))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
