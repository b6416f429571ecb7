"""Stand-in for the store in trouble: older copies, cut and late answers.

Trouble may concern the calls of some gateways only. The operator and the
servers write past it.
"""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from review.standins import http1
from review.standins.socket_owner import Address
from review.standins.store import Store, StoredItem

COPY_INTERVAL_S = 0.25
COPIES_MAX = 60
# Silence after which the platform removes a server's entry.
LAPSE_S = 4.5
LAPSE_CHECK_S = 0.2


@dataclass(frozen=True, kw_only=True)
class Copy:
    """The store's state at a moment.

    Attributes:
        taken_at: Time of the event loop, in seconds.
    """

    taken_at: float
    items: dict[str, StoredItem]
    history: list[StoredItem]
    compacted: int
    revision: int
    lease_ttls: dict[int, float]
    next_lease: int


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """What happens to calls.

    Attributes:
        kind: `reset`, `silent`, `busy`, `late` or `lost`; empty for none.
        amount: Longest delay of `late` in seconds, share of answers that are
            `lost`.
    """

    kind: str = ""
    amount: float = 0.0


class Calls:
    """The gateways' connections to the store, and the trouble on them.

    Attributes:
        trouble: Present trouble.
        troubled: Names of the gateways that it concerns; None for all.
    """

    def __init__(self, *, store: "DrillStore", rng: random.Random):
        """Makes calls without trouble."""
        self.trouble = Trouble()
        self.troubled: frozenset[str] | None = None
        self._store = store
        self._rng = rng
        self._writers: set[asyncio.StreamWriter] = set()
        self._caller_by_writer: dict[asyncio.StreamWriter, str] = {}

    def cut(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the calls on one connection."""
        self._writers.add(writer)
        try:
            while (request := await http1.read_request(reader)) is not None:
                answer = await self._answer(request, writer)
                if answer is None:
                    # Nothing further is sent; wait until the caller closes.
                    await reader.read()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, http1.BrokenMessageError):
            pass
        finally:
            self._writers.discard(writer)
            self._caller_by_writer.pop(writer, None)
            writer.close()

    async def _answer(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        era = self._store.era
        trouble = self._trouble_of(writer)
        if trouble.kind == "reset":
            writer.transport.abort()
            return None
        if trouble.kind == "silent":
            return None
        if trouble.kind == "busy":
            return self._encode(503, {"error": "busy"})
        await self._delay(trouble)
        status, reply = await self._store.answer(request)
        trouble = self._trouble_of(writer)
        if self._store.era != era or trouble.kind in ("silent", "reset"):
            return None
        if trouble.kind == "lost" and self._rng.random() < trouble.amount:
            return None
        await self._delay(trouble)
        return self._encode(status, reply)

    def _trouble_of(self, writer: asyncio.StreamWriter) -> Trouble:
        if self.troubled is None or not self.trouble.kind:
            return self.trouble
        if writer not in self._caller_by_writer:
            caller = self._store.name_caller(
                writer.get_extra_info("peername"),
                writer.get_extra_info("sockname"),
            )
            self._caller_by_writer[writer] = caller
        is_troubled = self._caller_by_writer[writer] in self.troubled
        return self.trouble if is_troubled else Trouble()

    async def _delay(self, trouble: Trouble) -> None:
        if trouble.kind == "late":
            await asyncio.sleep(self._rng.uniform(0, trouble.amount / 2))

    def _encode(self, status: int, reply: dict) -> bytes:
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self._store.era),
        }
        return http1.encode_response(
            status, headers, json.dumps(reply).encode()
        )


class DrillStore(Store):
    """A store that may come back from an older copy of itself.

    Attributes:
        era: Number of the store's present life; each return raises it.
        is_away: Whether it is between its loss and its return.
        returned_at: Time of the last return, of the event loop.
        calls: The gateways' calls.
    """

    def __init__(
        self,
        *,
        address: str,
        era: int,
        rng: random.Random,
        name_caller: Callable[[Address, Address], str],
    ):
        """Makes an empty store.

        Args:
            address: Host and port.
            era: Number of its first life.
            rng: Draws delays and losses.
            name_caller: Returns the name of the gateway that holds the first
                address of a connection to the second.
        """
        super().__init__(address=address)
        self.era = era
        self.is_away = False
        self.returned_at = 0.0
        self.name_caller = name_caller
        self.calls = Calls(store=self, rng=rng)
        self._copies: list[Copy] = []
        self._compacted = 0
        self._last_beat_by_key: dict[str, float] = {}

    async def start(self) -> None:
        """Opens the port; begins to take copies and to let entries lapse."""
        await super().start()
        self._tasks.add(asyncio.create_task(self._take_copies()))
        self._tasks.add(asyncio.create_task(self._lapse_entries()))

    async def put(self, key: str, value: object, *, lease: int = 0) -> int:
        """Writes an item, bytes or JSON, and returns its revision."""
        if key.startswith("servers/"):
            self._last_beat_by_key[key] = _loop_time()
        return await super().put(key, value, lease=lease)

    def set_trouble(
        self, trouble: Trouble, gateways: Iterable[str] | None = None
    ) -> None:
        """Begins or ends trouble for the named gateways, or for all."""
        self.calls.trouble = trouble
        self.calls.troubled = None if gateways is None else frozenset(gateways)

    def cut_connections(self) -> None:
        """Resets all connections of gateways, as a restart does."""
        self.calls.cut()

    def drop_history(self) -> None:
        """Discards all history: a watch from before now gets 410."""
        self._compacted = self._revision
        self._history = []

    async def restore(
        self, *, age_s: float, away_s: float, is_silent: bool
    ) -> float:
        """Goes away and comes back from an older copy.

        Args:
            age_s: Age of the copy when the store goes away, in seconds.
            away_s: Time until the return, in seconds.
            is_silent: Whether callers wait for an answer, not get a reset.

        Returns:
            Seconds since the copy was taken, at the loss.
        """
        copy = self._find_copy(age_s)
        lost_at = _loop_time()
        self.is_away = True
        self.set_trouble(Trouble(kind="silent" if is_silent else "reset"))
        self.cut_connections()
        await asyncio.sleep(away_s)
        self.cut_connections()
        async with self._changed:
            self._load(copy)
        self.era += 1
        self.returned_at = _loop_time()
        self.is_away = False
        self.set_trouble(Trouble())
        return lost_at - copy.taken_at

    def _find_copy(self, age_s: float) -> Copy:
        newest = _loop_time() - age_s
        old = [copy for copy in self._copies if copy.taken_at <= newest]
        return old[-1] if old else self._copies[0]

    def _load(self, copy: Copy) -> None:
        now = _loop_time()
        self.items = dict(copy.items)
        self._history = list(copy.history)
        self._compacted = copy.compacted
        self._revision = copy.revision
        self._lease_ttls = dict(copy.lease_ttls)
        self._lease_ends = {
            lease: now + ttl_s for lease, ttl_s in copy.lease_ttls.items()
        }
        self._next_lease = copy.next_lease
        self._copies = [
            known for known in self._copies if known.taken_at <= copy.taken_at
        ]

    async def _take_copies(self) -> None:
        while True:
            if not self.is_away:
                self._copies.append(self._copy())
                del self._copies[:-COPIES_MAX]
            await asyncio.sleep(COPY_INTERVAL_S)

    def _copy(self) -> Copy:
        live = {
            lease: self._lease_ttls[lease]
            for lease in self._lease_ends
            if lease in self._lease_ttls
        }
        return Copy(
            taken_at=_loop_time(),
            items=dict(self.items),
            history=list(self._history),
            compacted=self._compacted,
            revision=self._revision,
            lease_ttls=live,
            next_lease=self._next_lease,
        )

    async def _lapse_entries(self) -> None:
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            if self.is_away:
                continue
            for key in [k for k in self.items if k.startswith("servers/")]:
                heard_at = max(
                    self._last_beat_by_key.get(key, 0.0), self.returned_at
                )
                if _loop_time() - heard_at > LAPSE_S:
                    await self.remove(key)

    async def answer(self, request: http1.Request) -> tuple[int, dict]:
        """Returns status and body of the answer to a call."""
        if request.target.startswith("/kv-watch"):
            after = int(http1.parse_query(request.target)["after"])
            if after > self._revision or after < self._compacted:
                return 410, {"asOf": self._revision}
        return await self._answer(request)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.calls.serve(reader, writer)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
