"""Execution of orders: requests that run at most once."""

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from result import Err, Ok, Result

from kingcupvane.clock import Clock
from kingcupvane.connection.request_body import blocks_of
from kingcupvane.connection.target_client import (
    ExchangeFailure,
    ExchangeFailureKind,
    TargetResponse,
)
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.process.order_writer import OrderRecordWriter
from kingcupvane.process.timeline import Timeline
from kingcupvane.request import refusals
from kingcupvane.request.context import RequestContext
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.dispatch import Dispatcher
from kingcupvane.request.order import (
    DONE,
    NOT_RUN,
    CompleteRecord,
    CreateRecord,
    OperationResult,
    OrderRecord,
    parse_idempotency_key,
    refuse_repeat,
    segment_key,
)
from kingcupvane.settings import OrderSettings
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.items import Target

CONFLICT = 409
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
TOKEN_BYTES = 8
DIGEST_BYTES = 8
STORE_RETRY_AFTER_S = 2.0
# Time past the caller's deadline for which the exchange goes on, so that its
# outcome can be recorded.
OUTCOME_WAIT_S = 60.0
OUTCOME_WRITE_ATTEMPTS_MAX = 5
CONNECT_ATTEMPTS_MAX = 3
OUTCOME_WRITE_RETRY_S = 1.0
REPLAY_HEADER = (b"idempotency-replayed", b"true")


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderClaim:
    """Claim of an attempt to the right to run an order.

    Attributes:
        segment_key: Store key of the segment that holds the record.
        key: Key of the record within the segment.
        record: The record to create, with this attempt's token.
    """

    segment_key: str
    key: str
    record: OrderRecord


class OrderRunner:
    """Runs an order if and only if this entry created its record.

    Attributes:
        running: Number of orders whose exchange or outcome write goes on.
    """

    def __init__(
        self,
        *,
        order_writer: OrderRecordWriter,
        dispatcher: Dispatcher,
        crashes: CrashRegistry,
        clock: Clock,
        timeline: Timeline,
        settings: OrderSettings,
        nursery: trio.Nursery,
    ):
        """Makes a runner.

        Args:
            order_writer: Writes order records to the store.
            dispatcher: Sends orders to targets.
            crashes: Fingerprints of requests that crash targets.
            clock: Monotonic and wall clock.
            timeline: Records orders whose outcome stays unknown.
            settings: Retention and limits of order records.
            nursery: Runs exchanges and writes of outcomes; outlives callers.
        """
        self._order_writer = order_writer
        self._dispatcher = dispatcher
        self._crashes = crashes
        self._clock = clock
        self._timeline = timeline
        self._settings = settings
        self._nursery = nursery
        self.running = 0

    async def run(
        self,
        context: RequestContext,
        configuration: Callable[[], Configuration],
    ) -> Result[TargetResponse, Refusal]:
        """Runs an order, or answers a repeat of it from its record.

        The slot is acquired before the record is created, so that an order
        is not claimed while no target can take it.

        Args:
            context: The request.
            configuration: Returns the configuration in force.

        Returns:
            The response, possibly the recorded one, or a refusal. When the
            exchange outlasts the deadline, it goes on after the refusal, so
            that its outcome can be recorded.
        """
        parsed = parse_idempotency_key(
            context.idempotency_key,
            now_wall_s=self._clock.wall(),
            settings=self._settings,
        )
        if isinstance(parsed, Err):
            return parsed
        if self._crashes.is_refused(context.fingerprint, self._clock.now()):
            return Err(refusals.crashes_targets())
        key = parsed.ok_value
        acquired = await self._dispatcher.acquire_slot(
            context, configuration, frozenset()
        )
        if isinstance(acquired, Err):
            return acquired
        target = acquired.ok_value
        claim = OrderClaim(
            segment_key=segment_key(
                context.account, key, settings=self._settings
            ),
            key=f"{context.account}/{key}",
            record=_new_record(context),
        )
        try:
            created = await self._create(context, claim)
        except trio.Cancelled:
            self._dispatcher.release_slot(context, target)
            raise
        if isinstance(created, Err):
            self._dispatcher.release_slot(context, target)
            # The failed write may still take effect in the store, so the record
            # must state that the order did not run.
            self._start_outcome_write(
                claim, replace_state(claim.record, NOT_RUN)
            )
            return created
        creation = created.ok_value
        if not creation.accepted:
            self._dispatcher.release_slot(context, target)
            return _answer_repeat(creation.record, claim.record)
        if self._clock.now() >= context.deadline:
            self._dispatcher.release_slot(context, target)
            self._start_outcome_write(
                claim, replace_state(claim.record, NOT_RUN)
            )
            return Err(_refuse_expired(context))
        return await self._dispatch(context, configuration, target, claim)

    async def _create(
        self, context: RequestContext, claim: OrderClaim
    ) -> Result[OperationResult, Refusal]:
        operation = CreateRecord(key=claim.key, record=claim.record)
        reply = None
        with trio.move_on_after(context.deadline - self._clock.now()):
            reply = await self._order_writer.submit(
                claim.segment_key, operation
            )
        if isinstance(reply, Ok):
            return reply
        peer = reply.err_value.peer if reply else ""
        return Err(
            context.make_refusal(
                UNAVAILABLE,
                "record-unavailable",
                "The order could not be recorded, so it was not started.",
                Step.RECORD,
                peer=peer,
                retry_after_s=STORE_RETRY_AFTER_S,
            )
        )

    async def _dispatch(
        self,
        context: RequestContext,
        configuration: Callable[[], Configuration],
        target: Target,
        claim: OrderClaim,
    ) -> Result[TargetResponse, Refusal]:
        """Runs the exchange in a task that outlives the caller's request."""
        result_sender, result_receiver = trio.open_memory_channel[
            TargetResponse | ExchangeFailure
        ](1)
        self._nursery.start_soon(
            self._exchange,
            context,
            configuration,
            target,
            claim,
            result_sender,
        )
        result = None
        with trio.move_on_after(context.deadline - self._clock.now()):
            result = await result_receiver.receive()
        if isinstance(result, TargetResponse):
            return Ok(result)
        if result is None:
            result = ExchangeFailure(
                kind=ExchangeFailureKind.TIMEOUT, detail="deadline"
            )
        return Err(_refuse_failed_exchange(context, target, result))

    async def _exchange(
        self,
        context: RequestContext,
        configuration: Callable[[], Configuration],
        target: Target,
        claim: OrderClaim,
        result_sender: trio.MemorySendChannel,
    ) -> None:
        now = self._clock.now()
        extended_deadline = max(context.deadline, now) + OUTCOME_WAIT_S
        extended_context = replace(context, deadline=extended_deadline)
        self.running += 1
        try:
            result = await self._exchange_until_sent(
                extended_context, target, configuration
            )
            result_sender.send_nowait(result)
            await self._complete(claim, result)
        finally:
            self.running -= 1

    async def _exchange_until_sent(
        self,
        context: RequestContext,
        target: Target,
        configuration: Callable[[], Configuration],
    ) -> TargetResponse | ExchangeFailure:
        """Sends the order to a target; tries another if nothing was sent."""
        tried_targets: frozenset[str] = frozenset()
        while True:
            result = await self._dispatcher.exchange(context, target, None)
            not_sent = (
                isinstance(result, ExchangeFailure)
                and result.kind is ExchangeFailureKind.NOT_SENT
            )
            tried_targets |= {target.name}
            if not not_sent or len(tried_targets) >= CONNECT_ATTEMPTS_MAX:
                return result
            acquired = await self._dispatcher.acquire_slot(
                context, configuration, tried_targets
            )
            if isinstance(acquired, Err):
                return result
            target = acquired.ok_value

    async def _complete(
        self, claim: OrderClaim, result: TargetResponse | ExchangeFailure
    ) -> None:
        if isinstance(result, TargetResponse):
            final_record = _done_record(claim.record, result, self._settings)
        elif result.kind in (
            ExchangeFailureKind.NOT_SENT,
            ExchangeFailureKind.SHED,
        ):
            final_record = replace_state(claim.record, NOT_RUN)
        else:
            self._timeline.record("order-unsettled", why=result.kind.value)
            return
        await self._write_outcome(claim, final_record)

    def _start_outcome_write(
        self, claim: OrderClaim, record: OrderRecord
    ) -> None:
        self._nursery.start_soon(self._write_outcome, claim, record)

    async def _write_outcome(
        self, claim: OrderClaim, record: OrderRecord
    ) -> None:
        operation = CompleteRecord(key=claim.key, record=record)
        for _ in range(OUTCOME_WRITE_ATTEMPTS_MAX):
            reply = await self._order_writer.submit(
                claim.segment_key, operation
            )
            if isinstance(reply, Ok):
                return
            await trio.sleep(OUTCOME_WRITE_RETRY_S)
        self._timeline.record("order-outcome-not-recorded", state=record.state)


def _new_record(context: RequestContext) -> OrderRecord:
    digest = hashlib.blake2b(
        f"{context.service.name} {context.method} {context.path}\0".encode(),
        digest_size=DIGEST_BYTES,
    )
    for block in blocks_of(context.body):
        digest.update(block)
    return OrderRecord(
        token=secrets.token_hex(TOKEN_BYTES), body_digest=digest.hexdigest()
    )


def replace_state(record: OrderRecord, state: str) -> OrderRecord:
    """Returns a copy of the record in another state, without a response."""
    return OrderRecord(
        token=record.token, state=state, body_digest=record.body_digest
    )


def _done_record(
    record: OrderRecord, response: TargetResponse, settings: OrderSettings
) -> OrderRecord:
    text = ""
    whole = False
    if len(response.body) <= settings.answer_max_bytes:
        try:
            text = response.body.decode()
            whole = True
        except UnicodeDecodeError:
            text = ""
    content_type = dict(response.headers).get(b"content-type", b"")
    return OrderRecord(
        token=record.token,
        state=DONE,
        status=response.status,
        content_type=content_type.decode("latin-1"),
        answer=text,
        whole=whole,
        body_digest=record.body_digest,
    )


def _answer_repeat(
    record: OrderRecord, requested: OrderRecord
) -> Result[TargetResponse, Refusal]:
    if record.body_digest != requested.body_digest:
        return Err(
            Refusal(
                status=CONFLICT,
                reason="idempotency-key-reused",
                detail="The key belongs to an order with another content.",
                step=Step.RECORD,
                executed=Executed.UNKNOWN,
            )
        )
    if record.state != DONE or not record.whole:
        return Err(refuse_repeat(record))
    body = record.answer.encode()
    headers = [
        (b"content-type", record.content_type.encode()),
        (b"content-length", str(len(body)).encode()),
        REPLAY_HEADER,
    ]
    return Ok(TargetResponse(status=record.status, headers=headers, body=body))


def _refuse_failed_exchange(
    context: RequestContext, target: Target, failure: ExchangeFailure
) -> Refusal:
    """Returns the refusal for the attempt that created the record.

    No other attempt can have run the order. If it was not sent, it did not
    run, whatever attempt number the caller gives.
    """
    refusal = refusals.exchange_failed(context, target, failure)
    if failure.kind in (ExchangeFailureKind.NOT_SENT, ExchangeFailureKind.SHED):
        return replace(refusal, executed=Executed.NO)
    return refusal


def _refuse_expired(context: RequestContext) -> Refusal:
    return Refusal(
        status=GATEWAY_TIMEOUT,
        reason="deadline-before-dispatch",
        detail="The deadline passed before the order was started.",
        step=Step.RECORD,
    )
