"""Fakes: an in-memory store, and a clock that follows trio's clock."""

from collections import deque

import trio
from result import Err, Ok, Result

from kingcupvane.errors import StoreError
from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.store import Conflict, Item, Listing, VmRecord
from kingcupvane.process.store_era import StoreEra
from kingcupvane.standin.store import StoreState

# Difference of the monotonic time from that of trio, in seconds.
MONOTONIC_START_S = 500_000.0
WALL_START_S = 1.7e9


class TrioClock:
    """Monotonic and wall clock that follow trio's clock, real or mocked.

    As with the system's clocks, the monotonic time isn't trio's: what mixes
    the two fails.
    """

    def now(self) -> float:
        """Returns the monotonic time, in seconds."""
        return MONOTONIC_START_S + trio.current_time()

    def wall(self) -> float:
        """Returns the Unix time, in seconds."""
        return WALL_START_S + trio.current_time()


class MemoryStore:
    """In-memory store with fault injection.

    Attributes:
        state: Values and leases.
        faults: Faults of the next writes, one each: `ok`, `refuse` (fails,
            known to have no effect), `drop` (fails without effect, unknown to
            the caller) or `lose` (takes effect, the reply is lost).
        down: Whether calls fail without effect; doesn't apply to `scan`,
            `watch` and `list_vms`.
        delay_s: Duration of each call, in seconds.
        writes: Number of attempted writes.
    """

    def __init__(self, *, clock):
        """Creates an empty store."""
        self.state = StoreState(clock=clock)
        self.era = StoreEra()
        self.faults: deque[str] = deque()
        self.down = False
        self.delay_s = 0.0
        self.writes = 0

    async def _start_call(self) -> None:
        await trio.sleep(self.delay_s)
        self.state.expire()

    def _store_error(self, *, may_have_taken_effect: bool) -> Err[StoreError]:
        return Err(
            StoreError(
                step="test",
                peer="store",
                detail="fault",
                may_have_taken_effect=may_have_taken_effect,
            )
        )

    async def get(self, key: str) -> Result[Item, StoreError]:
        await self._start_call()
        if self.down:
            return self._store_error(may_have_taken_effect=False)
        return Ok(self.state.get(key))

    async def scan(
        self, prefix: str, *, at_least: Position = LOWEST
    ) -> Result[Listing, StoreError]:
        await self._start_call()
        items = self.state.list(prefix)
        return Ok(Listing(items=items, revision=self.state.revision))

    async def compare_and_swap(
        self, key: str, value: str, *, expected: int, lease: int = 0
    ) -> Result[Item, Conflict | StoreError]:
        await self._start_call()
        self.writes += 1
        fault = self.faults.popleft() if self.faults else "ok"
        if self.down or fault == "refuse":
            return self._store_error(may_have_taken_effect=False)
        if fault == "drop":
            return self._store_error(may_have_taken_effect=True)
        item = self.state.compare_and_swap(
            key, value, expected=expected, lease=lease
        )
        if fault == "lose":
            return self._store_error(may_have_taken_effect=True)
        if item is None:
            return Err(Conflict(current=self.state.get(key)))
        return Ok(item)

    async def grant(self, ttl_s: float) -> Result[int, StoreError]:
        await self._start_call()
        if self.down:
            return self._store_error(may_have_taken_effect=False)
        return Ok(self.state.grant(ttl_s))

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        await self._start_call()
        if self.down:
            return self._store_error(may_have_taken_effect=False)
        return Ok(self.state.renew(lease))

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        await self._start_call()
        if self.down:
            return self._store_error(may_have_taken_effect=False)
        return Ok(self.state.revoke(lease))

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Listing, StoreError]:
        await self._start_call()
        items = self.state.list(prefix, after=after)
        return Ok(Listing(items=items, revision=self.state.revision))

    async def list_vms(self) -> Result[list[VmRecord], StoreError]:
        return Ok([])
