"""At-most-once records: who may dispatch an order, and how it ended.

A segment is one value of the store with the records of some orders. Only the
entry whose record was created may dispatch, so a second run is impossible
whatever is lost, killed or repeated. Orders that arrive while a segment is
being written share its next write (group commit).
"""

import uuid
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.hashing import stable_hash
from kingcupvane.settings import OrderSettings

UUID_VERSION = 7
UUID_TIME_SHIFT = 80
MILLISECONDS_PER_SECOND = 1000
BAD_REQUEST = 400
CONFLICT = 409
GONE = 410
RUNNING = "running"
DONE = "done"
NOT_RUN = "not-run"
STORE_KEY_PREFIX = "orders"


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One order.

    Attributes:
        token: Random, names the attempt that may dispatch.
        state: `running`, `done` or `not-run`.
        status: HTTP status of the answer, once done.
        content_type: Its media type.
        answer: Its body, when that is small text.
        whole: Whether `answer` is the whole body.
        body_digest: Digest of the order, so that a key is not used twice.
    """

    token: str
    state: str = RUNNING
    status: int = 0
    content_type: str = ""
    answer: str = ""
    whole: bool = False
    body_digest: str = ""


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Records by account and idempotency key, joined by a slash."""

    records_by_key: dict[str, OrderRecord] = {}


@dataclass(frozen=True, kw_only=True, slots=True)
class CreateRecord:
    """Asks for the right to dispatch.

    Attributes:
        key: Account and idempotency key.
        record: The record to create.
    """

    key: str
    record: OrderRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class CompleteRecord:
    """Stores how an order ended; only its creator may."""

    key: str
    record: OrderRecord


RecordOperation = CreateRecord | CompleteRecord


@dataclass(kw_only=True, slots=True)
class OperationResult:
    """What became of an operation.

    Attributes:
        record: The record that holds now.
        accepted: Whether it is this operation's.
    """

    record: OrderRecord
    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyResult:
    """A segment with some operations applied.

    Attributes:
        segment: The next value.
        outcomes: One for each operation, in order.
        changed: Whether `segment` differs from what was there.
    """

    segment: Segment
    outcomes: list[OperationResult] = field(default_factory=list)
    changed: bool = False


def apply(segment: Segment, operations: list[RecordOperation]) -> ApplyResult:
    """Applies operations to a segment; applying twice changes nothing."""
    records = dict(segment.records_by_key)
    outcomes = []
    changed = False
    for operation in operations:
        current = records.get(operation.key)
        if _may_write(current, operation):
            changed = changed or current != operation.record
            current = operation.record
            records[operation.key] = current
        accepted = current.token == operation.record.token
        outcomes.append(OperationResult(record=current, accepted=accepted))
    return ApplyResult(
        segment=Segment(records_by_key=records),
        outcomes=outcomes,
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


def parse_key(
    text: str, *, now_wall_s: float, settings: OrderSettings
) -> Result[uuid.UUID, Refusal]:
    """Checks an idempotency key.

    Args:
        text: The header's value.
        now_wall_s: Unix seconds.
        settings: Retention and assumed skew.

    Returns:
        The key, a UUID of version 7 that is within retention.
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
    """Returns the Unix seconds inside a UUID of version 7."""
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

    Segments are by account, since look-ups keep an account on few entries:
    then few entries write the same segment.
    """
    if settings.buckets == 0:
        return f"{STORE_KEY_PREFIX}/{account}/{key}"
    window = int(created_at_s(key) // settings.window_s)
    bucket = stable_hash(str(key)) % settings.buckets
    return f"{STORE_KEY_PREFIX}/{account}/{window}/{bucket}"


def refuse_repeat(record: OrderRecord) -> Refusal:
    """Returns the refusal of a repeat whose order cannot be answered."""
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
