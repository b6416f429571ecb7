"""Order records: who may dispatch an order, and what its outcome was.

An order is a request on an at-most-once route. A segment is one value in the
store and holds the records of several orders. Only the entry that created an
order's record may dispatch the order, so an order runs at most once even if
messages are lost, daemons are killed or callers repeat it. Orders that arrive
while a segment is being written share the next write of that segment (group
commit).
"""

import uuid
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.hashing import stable_hash
from kingcupvane.settings import OrderSettings

UUID_VERSION = 7
# Bits after the 48-bit Unix time in milliseconds.
UUID_TIME_SHIFT = 80
MILLISECONDS_PER_SECOND = 1000
BAD_REQUEST = 400
CONFLICT = 409
GONE = 410
RUNNING = "running"
DONE = "done"
NOT_RUN = "not-run"
ORDER_PREFIX = "orders"


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one order in the store.

    Attributes:
        token: Random id of the attempt that may dispatch the order.
        state: `running`, `done` or `not-run`.
        status: HTTP status of the response, once done.
        content_type: Media type of the response.
        answer: Body of the response, where it is small and text.
        whole: Whether `answer` is the complete body.
        body_digest: Digest of service, method, path and body; detects the
            reuse of a key for another order.
    """

    token: str
    state: str = RUNNING
    status: int = 0
    content_type: str = ""
    answer: str = ""
    whole: bool = False
    body_digest: str = ""


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Order records that share one store value.

    Attributes:
        records_by_key: Records by account and idempotency key, joined by a
            slash.
    """

    records_by_key: dict[str, OrderRecord] = {}


@dataclass(frozen=True, kw_only=True, slots=True)
class CreateRecord:
    """Creates a record and thereby claims the right to dispatch the order.

    Attributes:
        key: Account and idempotency key, joined by a slash.
        record: The record to create.
    """

    key: str
    record: OrderRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class CompleteRecord:
    """Stores an order's outcome.

    Takes effect on a record with the same token in state `running`. Where there
    is no record, it creates one, so that a late `CreateRecord` has no effect.

    Attributes:
        key: Account and idempotency key, joined by a slash.
        record: The record with the outcome.
    """

    key: str
    record: OrderRecord


RecordOperation = CreateRecord | CompleteRecord


@dataclass(kw_only=True, slots=True)
class OperationResult:
    """Result of one operation on a record.

    Attributes:
        record: The record that is in force afterwards.
        accepted: Whether `record` carries the token of the operation.
    """

    record: OrderRecord
    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyResult:
    """Result of a batch of operations on a segment.

    Attributes:
        segment: The new value.
        results: One result for each operation, in the same order.
        changed: Whether `segment` differs from the previous value.
    """

    segment: Segment
    results: list[OperationResult] = field(default_factory=list)
    changed: bool = False


def apply_operations(
    segment: Segment, operations: list[RecordOperation]
) -> ApplyResult:
    """Applies operations to a segment; idempotent."""
    records = dict(segment.records_by_key)
    results = []
    changed = False
    for operation in operations:
        current = records.get(operation.key)
        if _may_write(current, operation):
            changed = changed or current != operation.record
            current = operation.record
            records[operation.key] = current
        accepted = current.token == operation.record.token
        results.append(OperationResult(record=current, accepted=accepted))
    return ApplyResult(
        segment=Segment(records_by_key=records),
        results=results,
        changed=changed,
    )


def _may_write(current: OrderRecord | None, operation: RecordOperation) -> bool:
    if current is None:
        return True
    same_token = current.token == operation.record.token
    return (
        isinstance(operation, CompleteRecord)
        and same_token
        and current.state == RUNNING
    )


def parse_idempotency_key(
    text: str, *, now_wall_s: float, settings: OrderSettings
) -> Result[uuid.UUID, Refusal]:
    """Parses an idempotency key and checks its age.

    Args:
        text: Value of the Idempotency-Key header.
        now_wall_s: Current Unix time, in seconds.
        settings: Retention of records and tolerated clock skew.

    Returns:
        The key, a UUID of version 7 whose record is still retained; or the
        refusal of a key that is malformed, expired or from the future.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        return Err(_refuse_malformed_key())
    if key.version != UUID_VERSION:
        return Err(_refuse_malformed_key())
    age_s = now_wall_s - created_at_s(key)
    if age_s > settings.retention_s:
        return Err(_refuse_key_time("older than records are kept"))
    if age_s < -settings.skew_s:
        return Err(_refuse_key_time("from the future"))
    return Ok(key)


def created_at_s(key: uuid.UUID) -> float:
    """Returns the Unix time in a UUID of version 7, in seconds."""
    return (key.int >> UUID_TIME_SHIFT) / MILLISECONDS_PER_SECOND


def _refuse_malformed_key() -> Refusal:
    return Refusal(
        status=BAD_REQUEST,
        reason="idempotency-key-malformed",
        detail="This route needs an Idempotency-Key, a UUID of version 7.",
        step=Step.RECORD,
    )


def _refuse_key_time(why: str) -> Refusal:
    return Refusal(
        status=GONE,
        reason="idempotency-key-out-of-time",
        detail=f"The Idempotency-Key is {why}; whether it ran is not known.",
        step=Step.RECORD,
        executed=Executed.UNKNOWN,
    )


def segment_key(
    account: str, key: uuid.UUID, *, settings: OrderSettings
) -> str:
    """Returns the store key of the segment that holds an order's record.

    Segments are split by account: look-ups direct the callers of an account to
    few entries, so few entries contend for the same segment. The rest of the
    store key is the time window and hash bucket of the idempotency key, or the
    idempotency key itself if the number of buckets is 0.
    """
    if settings.buckets == 0:
        return f"{ORDER_PREFIX}/{account}/{key}"
    window = int(created_at_s(key) // settings.window_s)
    bucket = stable_hash(str(key)) % settings.buckets
    return f"{ORDER_PREFIX}/{account}/{window}/{bucket}"


def refuse_repeat(record: OrderRecord) -> Refusal:
    """Returns the refusal of a repeat whose whole response is not recorded."""
    if record.state == NOT_RUN:
        return Refusal(
            status=CONFLICT,
            reason="order-not-run",
            detail="The order with this key was refused and never ran.",
            step=Step.RECORD,
        )
    if record.state == DONE:
        return Refusal(
            status=CONFLICT,
            reason="order-done",
            detail=f"The order ran with status {record.status}.",
            step=Step.RECORD,
            executed=Executed.YES,
        )
    return Refusal(
        status=CONFLICT,
        reason="order-unsettled",
        detail="The order was started; its outcome is not recorded.",
        step=Step.RECORD,
        executed=Executed.UNKNOWN,
        retry_after_s=1.0,
    )
