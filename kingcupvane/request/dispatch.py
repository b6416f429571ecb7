"""Dispatch of requests at an entry: target slot, exchange, safe retries."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from kingcupvane.clock import Clock
from kingcupvane.connection.target_client import (
    ExchangeFailure,
    ExchangeFailureKind,
    ResponseSink,
    TargetClient,
    TargetResponse,
)
from kingcupvane.errors import Refusal
from kingcupvane.process.timeline import Timeline
from kingcupvane.request import refusals
from kingcupvane.request.concurrency import ExchangeOutcome
from kingcupvane.request.context import RequestContext
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.load_balancing import LoadBalancer
from kingcupvane.request.queue import FairQueue
from kingcupvane.request.retry import RetryBudget
from kingcupvane.request.target_request import build_target_request
from kingcupvane.settings import QueueSettings, RetrySettings
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.items import Target
from kingcupvane.version.move import VersionShare

SERVER_ERROR_MIN = 500
# A queued request looks for a free slot at this interval even if not woken.
SLOT_RECHECK_S = 0.05
# Delay before each check of whether a target still listens.
LIVENESS_CHECK_DELAYS_S = (0.0, 0.1)

OUTCOME_BY_FAILURE_KIND = {
    ExchangeFailureKind.NOT_SENT: ExchangeOutcome.UNREACHABLE,
    ExchangeFailureKind.SHED: ExchangeOutcome.SHED,
    ExchangeFailureKind.BROKEN: ExchangeOutcome.FAILURE,
    ExchangeFailureKind.TIMEOUT: ExchangeOutcome.FAILURE,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeSample:
    """One exchange, as evidence on the version of its target.

    Attributes:
        service: Name of the service.
        version: Name of the target's version.
        route: Prefix of the route.
        failed: Whether the exchange failed or gave a server error.
        latency_s: Latency in seconds; gateways normalise it by the nominal
            latency of the exchange.
    """

    service: str
    version: str
    route: str
    failed: bool
    latency_s: float


class Dispatcher:
    """Sends requests to targets, with queueing and retries.

    Attributes:
        retries: Number of retries since the start.
    """

    def __init__(
        self,
        *,
        load_balancer: LoadBalancer,
        client: TargetClient,
        clock: Clock,
        timeline: Timeline,
        crashes: CrashRegistry,
        queue: QueueSettings,
        retry: RetrySettings,
        shares: Callable[[str], Mapping[str, VersionShare]],
        record_sample: Callable[[ExchangeSample], None],
    ):
        """Makes a dispatcher.

        Args:
            load_balancer: Chooses targets and tracks their load.
            client: Owns the connections to targets.
            clock: Monotonic clock.
            timeline: Records ejections and crashes.
            crashes: Fingerprints of requests that crash targets.
            queue: Limits of the queue for slots.
            retry: Limits of retries.
            shares: Returns the traffic share of each version of a service.
            record_sample: Receives a sample of each exchange.
        """
        self._load_balancer = load_balancer
        self._client = client
        self._clock = clock
        self._timeline = timeline
        self._crashes = crashes
        self._queue_settings = queue
        self._retry_settings = retry
        self._budget = RetryBudget(settings=retry)
        self._queues_by_service: dict[str, FairQueue] = {}
        self._suspect_lock = trio.Lock()
        self._shares = shares
        self._record_sample = record_sample
        self.retries = 0

    def queue_length(self, service: str) -> int:
        """Returns the number of requests queued for a slot of a service."""
        queue = self._queues_by_service.get(service)
        return len(queue) if queue else 0

    async def run(
        self,
        context: RequestContext,
        configuration: Callable[[], Configuration],
        sink: ResponseSink,
    ) -> Result[TargetResponse, Refusal]:
        """Serves a request that needs no order record.

        Requests suspected of crashing targets run one at a time.

        Args:
            context: The request.
            configuration: Returns the configuration in force.
            sink: Streams responses that are too large to buffer.

        Returns:
            The response, or the refusal after the last attempt.
        """
        if self._crashes.is_refused(context.fingerprint, self._clock.now()):
            return Err(refusals.crashes_targets())
        if self._is_suspect(context):
            async with self._suspect_lock:
                if self._is_suspect(context):
                    return await self._run_with_retries(
                        context, configuration, sink
                    )
        return await self._run_with_retries(context, configuration, sink)

    def _is_suspect(self, context: RequestContext) -> bool:
        return self._crashes.is_suspect(context.fingerprint, self._clock.now())

    async def _run_with_retries(
        self,
        context: RequestContext,
        configuration: Callable[[], Configuration],
        sink: ResponseSink,
    ) -> Result[TargetResponse, Refusal]:
        self._budget.deposit()
        tried_targets: frozenset[str] = frozenset()
        refusal = None
        while True:
            acquired = await self.acquire_slot(
                context, configuration, tried_targets
            )
            if isinstance(acquired, Err):
                return Err(refusal or acquired.err_value)
            target = acquired.ok_value
            if context.is_disconnected():
                self.release_slot(context, target)
                return Err(refusals.caller_gone(context))
            result = await self.exchange(context, target, sink)
            if isinstance(result, TargetResponse):
                return Ok(result)
            refusal = refusals.exchange_failed(context, target, result)
            tried_targets |= {target.name}
            if not self._may_retry(context, result, len(tried_targets)):
                return Err(refusal)
            self.retries += 1

    def _may_retry(
        self, context: RequestContext, failure: ExchangeFailure, attempts: int
    ) -> bool:
        now = self._clock.now()
        if attempts >= self._retry_settings.attempts:
            return False
        if failure.response_started or now >= context.deadline:
            return False
        if self._crashes.is_suspect(context.fingerprint, now):
            return False
        may_have_run = failure.kind in (
            ExchangeFailureKind.BROKEN,
            ExchangeFailureKind.TIMEOUT,
        )
        if may_have_run and not context.is_safe:
            return False
        return self._budget.try_withdraw()

    async def acquire_slot(
        self,
        context: RequestContext,
        configuration: Callable[[], Configuration],
        exclude: frozenset[str],
    ) -> Result[Target, Refusal]:
        """Acquires a slot at a target; queues for one if none is free.

        An acquired slot must be released by `exchange` or `release_slot`.

        Args:
            context: The request.
            configuration: Returns the configuration in force.
            exclude: Names of targets that must not be chosen.

        Returns:
            The target, or a refusal when no slot became free in time.
        """
        service = context.service.name
        queue = self._queues_by_service.setdefault(
            service, FairQueue(depth=self._queue_settings.depth)
        )
        if not len(queue):
            target = self._try_acquire_slot(service, configuration(), exclude)
            if target is not None:
                return Ok(target)
        now = self._clock.now()
        wait_until = min(now + self._queue_settings.wait_s, context.deadline)
        while (now := self._clock.now()) < wait_until:
            turn = queue.join(context.account)
            if turn is None:
                return Err(refusals.no_free_slot(context, "queue-full"))
            try:
                with trio.move_on_after(min(SLOT_RECHECK_S, wait_until - now)):
                    await turn.wait()
            finally:
                queue.leave(context.account, turn)
            target = self._try_acquire_slot(service, configuration(), exclude)
            if target is not None:
                return Ok(target)
        return Err(refusals.no_free_slot(context, "no-capacity"))

    def _try_acquire_slot(
        self, service: str, configuration: Configuration, exclude: frozenset
    ) -> Target | None:
        target = self._load_balancer.choose(
            service,
            configuration,
            self._shares(service),
            exclude=exclude,
            now=self._clock.now(),
        )
        if target is not None:
            self._load_balancer.load(target).record_start()
        return target

    def release_slot(self, context: RequestContext, target: Target) -> None:
        """Releases a slot that was not used."""
        self._load_balancer.record_outcome(
            target,
            ExchangeOutcome.CANCELLED,
            latency_s=0.0,
            now=self._clock.now(),
        )
        self._wake_waiter(context.service.name)

    def _wake_waiter(self, service: str) -> None:
        queue = self._queues_by_service.get(service)
        if queue:
            queue.wake()

    async def exchange(
        self,
        context: RequestContext,
        target: Target,
        sink: ResponseSink | None,
    ) -> TargetResponse | ExchangeFailure:
        """Sends a request to a target whose slot is held; releases the slot.

        Args:
            context: The request.
            target: The target.
            sink: Streams responses that are too large to buffer; None to
                buffer every response.

        Returns:
            The complete response, or how the exchange failed.
        """
        started_at = self._clock.now()
        with self._hold_slot(context, target) as usage:
            remaining_s = context.deadline - started_at
            target_request = build_target_request(context, remaining_s)
            result: TargetResponse | ExchangeFailure = ExchangeFailure(
                kind=ExchangeFailureKind.TIMEOUT, detail="deadline"
            )
            with trio.move_on_after(max(0.0, remaining_s)) as scope:
                result = await self._client.exchange(
                    target, target_request, sink
                )
            if scope.cancelled_caught and sink is not None:
                result = ExchangeFailure(
                    kind=ExchangeFailureKind.TIMEOUT,
                    detail="deadline",
                    response_started=sink.response_started,
                )
            usage.result = result
        await self._record_result(context, target, result, started_at)
        return result

    @contextmanager
    def _hold_slot(
        self, context: RequestContext, target: Target
    ) -> Iterator["_SlotUsage"]:
        """Releases a slot when the block ends; records the exchange's outcome.

        The block sets the result of the exchange in the yielded object. Without
        a result, the exchange counts as cancelled.
        """
        usage = _SlotUsage()
        started_at = self._clock.now()
        try:
            yield usage
        finally:
            now = self._clock.now()
            ejected = self._load_balancer.record_outcome(
                target,
                usage.outcome(),
                latency_s=now - started_at,
                now=now,
            )
            if ejected:
                self._timeline.record(
                    "target-ejected",
                    target=target.name,
                    why=usage.outcome().value,
                )
            self._wake_waiter(context.service.name)

    async def _record_result(
        self,
        context: RequestContext,
        target: Target,
        result: TargetResponse | ExchangeFailure,
        started_at: float,
    ) -> None:
        if isinstance(result, TargetResponse):
            self._crashes.clear_suspicion(
                context.fingerprint, self._clock.now()
            )
        else:
            kind = result.kind
            if kind in (ExchangeFailureKind.NOT_SENT, ExchangeFailureKind.SHED):
                return
            broken = (
                kind is ExchangeFailureKind.BROKEN
                and not result.response_started
            )
            if broken and await self._record_crash(context, target, started_at):
                return
        failed = (
            isinstance(result, ExchangeFailure)
            or result.status >= SERVER_ERROR_MIN
        )
        self._record_sample(
            ExchangeSample(
                service=context.service.name,
                version=target.version,
                route=context.route.prefix,
                failed=failed,
                latency_s=self._clock.now() - started_at,
            )
        )

    async def _has_died(self, target: Target) -> bool:
        """Returns whether a target has stopped listening.

        A dying process may close its connections before its listener, so one
        check is not enough.
        """
        for delay_s in LIVENESS_CHECK_DELAYS_S:
            await trio.sleep(delay_s)
            if not await self._client.is_listening(target):
                return True
        return False

    async def _record_crash(
        self, context: RequestContext, target: Target, started_at: float
    ) -> bool:
        """Records a crash if the target died; returns whether it did."""
        if not await self._has_died(target):
            return False
        now = self._clock.now()
        refused = self._crashes.record_crash(
            context.fingerprint,
            started_at=started_at,
            now=now,
            # Targets of entries keep their name when they start again.
            process=f"{target.name}/{now:.0f}",
        )
        if refused:
            self._timeline.record(
                "request-refused-for-crashes",
                fingerprint=context.fingerprint,
                account=context.account,
                route=context.route.prefix,
            )
        self._timeline.record("target-died", target=target.name)
        return True


@dataclass(kw_only=True, slots=True)
class _SlotUsage:
    result: TargetResponse | ExchangeFailure | None = None

    def outcome(self) -> ExchangeOutcome:
        """Returns the outcome of the exchange, for the target's health."""
        if self.result is None:
            return ExchangeOutcome.CANCELLED
        if isinstance(self.result, ExchangeFailure):
            return OUTCOME_BY_FAILURE_KIND[self.result.kind]
        if self.result.status >= SERVER_ERROR_MIN:
            return ExchangeOutcome.FAILURE
        return ExchangeOutcome.SUCCESS
