"""Task that keeps an entry's share of each account's rate up to date."""

import random

import msgspec
import trio
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.store import Conflict, Item, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.admission import Admission
from kingcupvane.settings import ShareSettings
from kingcupvane.version.rate_allocator import (
    RATE_ALLOCATION_KEY,
    RateAllocator,
)
from kingcupvane.version.rate_division import RateAllocationRecord

WRITE_ATTEMPTS_MAX = 4
# Largest deviation from the rebalancing period, as a fraction of it.
JITTER_FRACTION = 0.25


class RateAllocationTask:
    """Reads, plans, writes and confirms the rate allocation."""

    def __init__(
        self,
        *,
        rate_allocator: RateAllocator,
        admission: Admission,
        store: Store,
        replica: ConfigurationReplica,
        clock: Clock,
        timeline: Timeline,
        settings: ShareSettings,
        seed: int,
    ):
        """Creates a task; `run` starts it.

        Args:
            rate_allocator: Plans this entry's share; does no I/O.
            admission: Applies new shares.
            store: Client of the platform's store.
            replica: Provides the configured accounts and entries.
            clock: Monotonic clock.
            timeline: Records when loans end and when they are held again.
            settings: Rebalancing period and time to live of loans.
            seed: Seed of the random jitter of the period.
        """
        self._rate_allocator = rate_allocator
        self._admission = admission
        self._store = store
        self._replica = replica
        self._clock = clock
        self._timeline = timeline
        self._settings = settings
        self._random = random.Random(seed)
        self._loans_expired = True

    async def run(self) -> None:
        """Rebalances until cancelled."""
        while True:
            await self.run_round()
            factor = self._random.uniform(
                1 - JITTER_FRACTION, 1 + JITTER_FRACTION
            )
            await trio.sleep(self._settings.period_s * factor)

    async def run_round(self) -> None:
        """Rebalances once."""
        reply = await self._store.get(RATE_ALLOCATION_KEY)
        if isinstance(reply, Ok):
            await self._write(reply.ok_value)
        self._admission.resize(self._replica.current)
        self._record_loan_expiry()

    async def release(self) -> None:
        """Returns all shares, for a graceful shutdown."""
        self._rate_allocator.release()
        await self.run_round()

    async def _write(self, item: Item) -> None:
        for _ in range(WRITE_ATTEMPTS_MAX):
            configuration = self._replica.current
            record = RateAllocationRecord()
            if item.value:
                record = msgspec.json.decode(
                    item.value, type=RateAllocationRecord
                )
            planned = self._rate_allocator.next_record(
                record,
                configuration.items.accounts,
                configuration.entries_by_name,
                self._clock.now(),
            )
            self._admission.resize(configuration)
            if planned is None:
                return
            started_at = self._clock.now()
            reply = await self._store.compare_and_swap(
                RATE_ALLOCATION_KEY,
                msgspec.json.encode(planned).decode(),
                expected=item.revision,
            )
            match reply:
                case Ok():
                    self._rate_allocator.confirm(planned, started_at=started_at)
                    return
                case Err(Conflict(current=current_item)):
                    item = current_item
                case Err():
                    return

    def _record_loan_expiry(self) -> None:
        expired = self._clock.now() >= self._rate_allocator.loans_expire_at()
        if expired != self._loans_expired:
            self._loans_expired = expired
            kind = "rate-loans-ended" if expired else "rate-loans-held"
            self._timeline.record(kind, life_s=self._settings.loan_ttl_s)
