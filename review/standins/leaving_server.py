"""Stand-in for a server that leaves, crashes and comes again."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

from review.standins.drill_store import DrillStore
from review.standins.server import HEARTBEAT_S, Server

# Longest time from the store's return to a server's next write.
REWRITE_MAX_S = 5.0
RETRY_S = 0.05


class LeavingServer(Server):
    """A server that announces its leaving in the store.

    Attributes:
        leavings: Id and time of each acknowledged write that it leaves.
        is_leaving: Whether the present incarnation leaves.
    """

    def __init__(
        self,
        *,
        store: DrillStore,
        now: Callable[[], float],
        rng: random.Random,
        **options,
    ):
        """Makes a server; `start` opens its port and registers it."""
        super().__init__(store=store, now=now, **options)
        self.leavings: list[tuple[str, float]] = []
        self.is_leaving = False
        self._rng = rng
        self._drill_store = store
        self._write_soon = asyncio.Event()
        self._acknowledged = asyncio.Event()
        self._rewrite_delay_by_era: dict[int, float] = {store.era: 0.0}

    async def start(self) -> None:
        """Opens the port and registers the server under a new id."""
        self.is_leaving = False
        self._acknowledged = asyncio.Event()
        await super().start()

    async def drain_and_return(
        self, *, serves_s: float, back_after_s: float
    ) -> None:
        """Announces that it leaves, serves on, leaves and comes again.

        Args:
            serves_s: Time that it serves after the acknowledgement, in seconds.
            back_after_s: Time from its leaving to its next start, in seconds.
        """
        if not self.is_up or self.is_leaving:
            return
        self.is_leaving = True
        self._write_soon.set()
        await self._acknowledged.wait()
        await asyncio.sleep(serves_s)
        server_id = self.id
        self.crash()
        await self._wait_for_store()
        await self._store.remove(f"servers/{server_id}")
        await asyncio.sleep(back_after_s)
        await self.start()

    async def leave_unannounced(
        self, *, serves_s: float, back_after_s: float
    ) -> None:
        """Removes its entry, serves on, leaves and comes again.

        A store that comes back from an older copy has the entry; the server
        removes it again.

        Args:
            serves_s: Time that it serves after the acknowledgement, in seconds.
            back_after_s: Time from its leaving to its next start, in seconds.
        """
        if not self.is_up or self.is_leaving:
            return
        self.is_leaving = True
        self._beats.cancel()
        era = await self._remove_entry()
        deadline = asyncio.get_running_loop().time() + serves_s
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(RETRY_S)
            if self._drill_store.era != era:
                era = await self._remove_entry()
        self.crash()
        await asyncio.sleep(back_after_s)
        await self.start()

    async def _remove_entry(self) -> int:
        """Removes its entry and returns the store's era."""
        await self._wait_for_store()
        await self._store.remove(f"servers/{self.id}")
        self.leavings.append((self.id, self._now()))
        return self._drill_store.era

    async def _send_heartbeats(self, server_id: str) -> None:
        born = int(time.time() * 1000)
        for sequence in itertools.count(1):
            await self._wait_for_store()
            state = "draining" if self.is_leaving else "ready"
            await self._store.put(
                f"servers/{server_id}", self._entry(state, sequence, born)
            )
            if state == "draining":
                self.leavings.append((server_id, self._now()))
                self._acknowledged.set()
            await self._pause()

    def _entry(self, state: str, sequence: int, born: int) -> dict:
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self._slots,
            },
            "status": {"state": state, "sequence": sequence, "coldLeftS": 0},
            "born": born,
        }

    async def _wait_for_store(self) -> None:
        """Waits for the store, and after its return some seconds more."""
        while not self._may_write():
            await asyncio.sleep(RETRY_S)

    def _may_write(self) -> bool:
        store = self._drill_store
        if store.is_away:
            return False
        if store.era not in self._rewrite_delay_by_era:
            delay_s = self._rng.uniform(0, REWRITE_MAX_S)
            self._rewrite_delay_by_era[store.era] = delay_s
        now = asyncio.get_running_loop().time()
        return now >= store.returned_at + self._rewrite_delay_by_era[store.era]

    async def _pause(self) -> None:
        """Waits until the next heartbeat is due, or the state changes."""
        deadline = asyncio.get_running_loop().time() + HEARTBEAT_S
        era = self._drill_store.era
        while asyncio.get_running_loop().time() < deadline:
            if self._write_soon.is_set() or self._drill_store.era != era:
                break
            await asyncio.sleep(RETRY_S)
        self._write_soon.clear()

    async def _lapse(self, server_id: str) -> None:
        """Does nothing: the store lets silent entries lapse itself."""
