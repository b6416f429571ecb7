"""Writes order records to the store, many orders in one write."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
import trio
from result import Err, Ok, Result

from kingcupvane.clock import Clock
from kingcupvane.errors import StoreError
from kingcupvane.process.store import Conflict, Item, Store
from kingcupvane.request.order import (
    ApplyResult,
    OperationResult,
    RecordOperation,
    Segment,
    apply_operations,
)
from kingcupvane.settings import OrderSettings

CACHED_SEGMENTS_MAX = 256
# Time for which one lease serves for all new records, in seconds.
LEASE_REUSE_S = 600.0
BATCH_OPERATIONS_MAX = 512


@dataclass(kw_only=True, slots=True)
class _PendingOperation:
    operation: RecordOperation
    done: trio.Event = field(default_factory=trio.Event)
    result: OperationResult | None = None
    failure: StoreError | None = None


@dataclass(kw_only=True, slots=True)
class _SegmentWriter:
    """Queue of one segment's operations, and the cached segment.

    Attributes:
        pending: Operations that are not yet part of a batch.
        is_running: Whether a task is writing batches.
        batch_started_at: Monotonic time at which the last batch started, in
            seconds.
        item: The segment as last read or written, None if unknown.
    """

    pending: list[_PendingOperation] = field(default_factory=list)
    is_running: bool = False
    batch_started_at: float = float("-inf")
    item: Item | None = None


class OrderRecordWriter:
    """Applies operations to segments by group commit.

    A segment is a store value that holds the records of one or more orders.
    Operations that wait for the same segment are written together.

    Attributes:
        writes: Compare-and-swap calls made since the start.
        operations: Operations completed since the start.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        settings: OrderSettings,
        nursery: trio.Nursery,
    ):
        """Creates a writer whose tasks run in `nursery`."""
        self._store = store
        self._clock = clock
        self._settings = settings
        self._nursery = nursery
        self._writers_by_key: OrderedDict[str, _SegmentWriter] = OrderedDict()
        self._lease = 0
        self._lease_granted_at = 0.0
        self.writes = 0
        self.operations = 0

    async def submit(
        self, segment_key: str, operation: RecordOperation
    ) -> Result[OperationResult, StoreError]:
        """Applies an operation and waits until the store has its record.

        After a cancellation or an error the record may still be written
        later, so the order must not be dispatched.
        """
        writer = self._get_writer(segment_key)
        pending = _PendingOperation(operation=operation)
        writer.pending.append(pending)
        if not writer.is_running:
            writer.is_running = True
            self._nursery.start_soon(self._write_all, segment_key, writer)
        try:
            await pending.done.wait()
        finally:
            if not pending.done.is_set() and pending in writer.pending:
                writer.pending.remove(pending)
        if pending.result is None:
            return Err(pending.failure)
        return Ok(pending.result)

    def _get_writer(self, segment_key: str) -> _SegmentWriter:
        writer = self._writers_by_key.setdefault(segment_key, _SegmentWriter())
        self._writers_by_key.move_to_end(segment_key)
        self._evict_idle_writers()
        return writer

    def _evict_idle_writers(self) -> None:
        """Evicts least recently used writers, up to one that is running."""
        while len(self._writers_by_key) > CACHED_SEGMENTS_MAX:
            key, writer = next(iter(self._writers_by_key.items()))
            if writer.is_running:
                return
            del self._writers_by_key[key]

    async def _write_all(self, key: str, writer: _SegmentWriter) -> None:
        try:
            while writer.pending:
                due_at = writer.batch_started_at + self._settings.linger_s
                await trio.sleep(max(0.0, due_at - self._clock.now()))
                writer.batch_started_at = self._clock.now()
                batch = writer.pending[:BATCH_OPERATIONS_MAX]
                del writer.pending[:BATCH_OPERATIONS_MAX]
                await self._write(key, writer, batch)
        finally:
            writer.is_running = False

    async def _write(
        self, key: str, writer: _SegmentWriter, batch: list[_PendingOperation]
    ) -> None:
        lease = await self._segment_lease()
        if isinstance(lease, Err):
            _fail(batch, lease.err_value)
            return
        # Whether a write of this batch may have taken effect. The batch is then
        # applied again to a fresh read; another store error fails it.
        uncertain = False
        is_current = False
        while True:
            if writer.item is None:
                read = await self._store.get(key)
                if isinstance(read, Err):
                    _fail(batch, read.err_value)
                    return
                writer.item = read.ok_value
                is_current = True
            applied = _apply_batch(writer.item, batch)
            if not (applied.changed or is_current):
                # Another entry may have recorded an outcome since the cached
                # segment was read, so operations that change nothing are
                # answered from a fresh read of the store.
                writer.item = None
                continue
            reply = await self._compare_and_swap(
                writer, batch, applied, lease=lease.ok_value
            )
            match reply:
                case Ok():
                    return
                case Err(Conflict(current=current)):
                    if current.revision == writer.item.revision:
                        # The revision matched, so the write was refused because
                        # the lease has expired.
                        self._lease = 0
                        lease = await self._segment_lease()
                        if isinstance(lease, Err):
                            _fail(batch, lease.err_value)
                            return
                    writer.item = current
                    is_current = True
                case Err(StoreError() as error):
                    writer.item = None
                    if uncertain or not error.may_have_taken_effect:
                        _fail(batch, error)
                        return
                    uncertain = True

    async def _compare_and_swap(
        self,
        writer: _SegmentWriter,
        batch: list[_PendingOperation],
        applied: ApplyResult,
        *,
        lease: int,
    ) -> Result[Item, Conflict | StoreError]:
        reply: Result = Ok(writer.item)
        if applied.changed:
            self.writes += 1
            key = writer.item.key
            value = msgspec.json.encode(applied.segment).decode()
            reply = await self._store.compare_and_swap(
                key, value, expected=writer.item.revision, lease=lease
            )
            if isinstance(reply, Ok):
                revision = reply.ok_value.revision
                writer.item = Item(key=key, value=value, revision=revision)
        if isinstance(reply, Ok):
            _complete(batch, applied.results)
            self.operations += len(batch)
        return reply

    async def _segment_lease(self) -> Result[int, StoreError]:
        """Returns a lease that outlives the retention time of new records."""
        now = self._clock.now()
        if self._lease and now - self._lease_granted_at < LEASE_REUSE_S:
            return Ok(self._lease)
        settings = self._settings
        ttl_s = settings.retention_s + 2 * settings.skew_s + LEASE_REUSE_S
        granted = await self._store.grant(ttl_s)
        if isinstance(granted, Ok):
            self._lease = granted.ok_value
            self._lease_granted_at = now
        return granted


def _apply_batch(item: Item, batch: list[_PendingOperation]) -> ApplyResult:
    segment = Segment()
    if item.value:
        segment = msgspec.json.decode(item.value, type=Segment)
    return apply_operations(segment, [pending.operation for pending in batch])


def _complete(
    batch: list[_PendingOperation], results: list[OperationResult]
) -> None:
    for pending, result in zip(batch, results, strict=True):
        pending.result = result
        pending.done.set()


def _fail(batch: list[_PendingOperation], error: StoreError) -> None:
    for pending in batch:
        pending.failure = error
        pending.done.set()
