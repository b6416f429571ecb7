"""The request pipeline of a gateway.

Stages: routing, authentication, reading of the body, admission, target
selection, exchange, retry, response. A request that cannot be served is
refused at once. The refusal states that the request was not executed only
where that is certain.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import trio
from result import Err, Ok, Result

from kingcupvane import asgi, problem
from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.connection.held_response import HeldResponse, parts_of
from kingcupvane.connection.memory_budget import (
    BodyBudget,
    ResponseMemoryBudget,
)
from kingcupvane.connection.request_body import HeldBody, default_budget
from kingcupvane.connection.target_connection import WireResponse
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.crash_trials import Admission, CrashTrials
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.gateway_request import (
    Attempt,
    GatewayRequest,
    WireNames,
    make_refusal,
)
from kingcupvane.request.placement import AttemptOutcome
from kingcupvane.request.quota import DistributedQuota
from kingcupvane.request.resolution import RequestResolver
from kingcupvane.request.retry import compute_fingerprint
from kingcupvane.request.retry_budgets import RetryBudgets
from kingcupvane.request.selection import DestinationPicker, TargetSelector
from kingcupvane.request.sending import (
    REMAINING_TIME_MIN_S,
    SERVER_ERROR_MIN,
    TargetSender,
)
from kingcupvane.request.slot_admission import SlotAdmission
from kingcupvane.request.wait_limit import retry_after_s

# Includes attempts that targets refuse; a route's `attempts_max` counts only
# those that a target may have executed.
TOTAL_ATTEMPTS_MAX = 4
# Share of its remaining time for which a copy of a quarantined request waits
# for the trial of another copy.
TRIAL_WAIT_SHARE = 0.5
# Smallest Retry-After of a request that crashes targets, in seconds.
TRIAL_RETRY_AFTER_MIN_S = 0.3
# Assumed time until there is room for a body, in seconds.
ROOM_RETRY_AFTER_S = 0.5
# Time past the deadline at which a body that is still arriving is given up; the
# caller has stopped waiting by then.
LATE_BODY_S = 1.0
# Outcomes of attempts that no target has seen.
UNSENT_OUTCOMES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.WITHHELD)
# Callers may take these statuses as a promise that the request did not run.
NOT_EXECUTED_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Shutdown:
    """The times of a graceful stop, in monotonic seconds.

    Attributes:
        late_from: From then on, only requests whose deadline lies before
            `ends_at` are sent to targets.
        ends_at: Requests in progress are cut then.
    """

    late_from: float
    ends_at: float


class RequestPipeline:
    """Serves callers' requests at a gateway.

    Attributes:
        active_request_count: Number of requests in progress.
        last_activity_at: Monotonic time at which a request last began or
            ended, in seconds.
        shutdown: Times of the graceful stop; None before. Responses carry
            `Connection: close` during it.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        selector: TargetSelector,
        sender: TargetSender,
        quota: DistributedQuota,
        crashes: CrashRegistry,
        trials: CrashTrials,
        retry_budgets: RetryBudgets,
        metrics: GatewayMetrics,
        names: WireNames,
        clock: Clock,
        log_event: Callable[..., None],
        count_refusal: Callable[..., None] | None = None,
        bodies: BodyBudget | None = None,
        responses: ResponseMemoryBudget | None = None,
    ):
        """Makes the pipeline.

        Args:
            catalog: Plan in force and registered targets.
            selector: Selects the target of each attempt.
            sender: Sends requests to targets.
            quota: Rate limits of client accounts.
            crashes: Requests that crash targets.
            trials: Admits copies of quarantined requests to targets.
            retry_budgets: Retry budgets by service.
            metrics: Counts requests and refusals, measures latency.
            names: Header, cookie and path names.
            clock: Monotonic clock.
            log_event: Logs an event; takes its kind, `low_priority` for
                routine events, and its fields.
            count_refusal: Counts a refusal of a request that the plan does not
                resolve; takes its reason and the plan's number.
            bodies: Room for request bodies; ample by default.
            responses: Counts the responses on their way to callers.
        """
        self._bodies = bodies or default_budget()
        self._responses = responses or ResponseMemoryBudget()
        self._catalog = catalog
        self._selector = selector
        self._sender = sender
        self._quota = quota
        self._crashes = crashes
        self._trials = trials
        self._retry_budgets = retry_budgets
        self._metrics = metrics
        self._names = names
        self._clock = clock
        self._log_event = log_event
        self._count_refusal = count_refusal
        self._resolver = RequestResolver(
            catalog=catalog, names=names, clock=clock
        )
        self._picker = DestinationPicker()
        self._slot_admission = SlotAdmission(
            catalog=catalog, metrics=metrics, clock=clock
        )
        self.active_request_count = 0
        self.last_activity_at = float("-inf")
        self.shutdown: Shutdown | None = None

    async def handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        """Serves one request and sends its response."""
        self.active_request_count += 1
        self.last_activity_at = self._clock.now()
        try:
            await self._handle(request, send)
        finally:
            self.active_request_count -= 1
            self.last_activity_at = self._clock.now()

    async def _handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        resolved = self._resolver.resolve(request)
        if isinstance(resolved, Err):
            await self._send_refusal(request, None, resolved.err_value, send)
            return
        gateway_request = resolved.ok_value
        result: Result[WireResponse, Refusal] | None = None
        try:
            result = await self._read_and_serve(gateway_request)
        except asgi.CallerDisconnectedError:
            self._record_outcome(gateway_request, "caller-gone", 0)
            return
        match result:
            case Ok(response):
                await self._send_response(gateway_request, response, send)
            case Err(refusal):
                await self._send_refusal(
                    request, gateway_request, refusal, send
                )

    async def _read_and_serve(
        self, gateway_request: GatewayRequest
    ) -> Result[WireResponse, Refusal]:
        """Reads the body, admits the request and gets its response.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        with HeldBody(budget=self._bodies) as held:
            refusal = await self._read_body(gateway_request, held)
            if refusal is not None:
                return Err(refusal)
            try:
                return await self._admit_and_serve(gateway_request)
            finally:
                gateway_request.body = b""

    async def _read_body(
        self, gateway_request: GatewayRequest, held: HeldBody
    ) -> Refusal | None:
        """Reads the body into the request; returns a refusal if it cannot.

        Nothing has been sent to a target, so each of them promises that the
        request was not executed.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        limit = self._catalog.plan.limits.body_max_bytes
        remaining_s = gateway_request.deadline - self._clock.now()
        try:
            gateway_request.body = await held.read(
                gateway_request.request,
                limit=limit,
                give_up_at=trio.current_time()
                + max(0.0, remaining_s)
                + LATE_BODY_S,
            )
        except asgi.BodyTooLargeError as error:
            return make_refusal(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "body-too-large",
                Step.READ,
                detail=f"{error}, allowed {limit}",
            )
        except asgi.NoRoomError as error:
            return make_refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no-memory",
                Step.READ,
                retry_after_s=retry_after_s(
                    ROOM_RETRY_AFTER_S, caller_attempt_id=gateway_request.id
                ),
                detail=str(error),
            )
        except asgi.BodyTooSlowError as error:
            return make_refusal(
                HTTPStatus.REQUEST_TIMEOUT,
                "body-too-slow",
                Step.READ,
                retry_after_s=retry_after_s(
                    ROOM_RETRY_AFTER_S, caller_attempt_id=gateway_request.id
                ),
                detail=str(error),
            )
        return None

    async def _admit_and_serve(
        self, gateway_request: GatewayRequest
    ) -> Result[WireResponse, Refusal]:
        """Admits a request whose body is read, and gets its response.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        if gateway_request.request.is_disconnected():
            raise asgi.CallerDisconnectedError
        admitted = self._admit(gateway_request)
        if isinstance(admitted, Err):
            return admitted
        result: Result[WireResponse, Refusal] | None = None
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(
                gateway_request.request.cancel_when_disconnected, scope
            )
            result = await self._serve(gateway_request)
            scope.cancel()
        if result is None:
            # `cancel_when_disconnected` cancelled the nursery, or `_serve`
            # found the caller disconnected.
            raise asgi.CallerDisconnectedError
        return result

    def _admit(self, gateway_request: GatewayRequest) -> Result[None, Refusal]:
        now = self._clock.now()
        gateway_request.fingerprint = compute_fingerprint(
            account=gateway_request.account_name,
            service=gateway_request.route.name,
            method=gateway_request.request.method,
            path=gateway_request.request.raw_path_and_query.decode("latin-1"),
            body=gateway_request.body,
        )
        if self._crashes.is_refused(gateway_request.fingerprint, now):
            return Err(self._crash_refusal(gateway_request))
        account = gateway_request.account
        if account is not None and not self._quota.admit(account, now):
            retry_in_s = retry_after_s(
                self._quota.wait_s(account, now),
                caller_attempt_id=gateway_request.id,
            )
            return Err(
                make_refusal(
                    HTTPStatus.TOO_MANY_REQUESTS,
                    "over-rate",
                    Step.ADMIT,
                    retry_after_s=retry_in_s,
                    detail=self._quota.explain(account, now),
                )
            )
        gateway_request.service = self._picker.pick(gateway_request.route)
        self._retry_budgets.count_request(gateway_request.service, now)
        self._catalog.count_request(gateway_request.service)
        self._slot_admission.count(gateway_request)
        return Ok(None)

    def _crash_refusal(self, gateway_request: GatewayRequest) -> Refusal:
        """Returns the refusal of a request that crashes targets."""
        wait_s = self._crashes.trial_wait_s(
            gateway_request.fingerprint, self._clock.now()
        )
        return make_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "crashes-targets",
            Step.ADMIT,
            retry_after_s=max(wait_s, TRIAL_RETRY_AFTER_MIN_S),
        )

    async def _may_try(self, gateway_request: GatewayRequest) -> bool:
        """Returns whether a request may be sent, as for crashes of targets.

        A copy of a quarantined request waits for the trial of another one for
        half of the time that it has left.
        """
        self._end_trial(gateway_request)
        fingerprint = gateway_request.fingerprint
        now = self._clock.now()
        if not self._crashes.is_quarantined(fingerprint, now):
            return True
        remaining_s = gateway_request.deadline - now
        admission = await self._trials.admit(
            fingerprint, give_up_at=now + TRIAL_WAIT_SHARE * remaining_s
        )
        gateway_request.is_crash_trial = admission is Admission.TRIAL
        return admission is not Admission.REFUSED

    def _end_trial(self, gateway_request: GatewayRequest) -> None:
        if gateway_request.is_crash_trial:
            gateway_request.is_crash_trial = False
            self._trials.end(gateway_request.fingerprint)

    async def _serve(
        self, gateway_request: GatewayRequest
    ) -> Result[WireResponse, Refusal] | None:
        """Makes attempts until one ends the request.

        Returns:
            The response or a refusal; None when the caller disconnected.
        """
        try:
            return await self._make_attempts(gateway_request)
        finally:
            self._end_trial(gateway_request)

    async def _make_attempts(
        self, gateway_request: GatewayRequest
    ) -> Result[WireResponse, Refusal] | None:
        last: Attempt | None = None
        while True:
            if not await self._may_try(gateway_request):
                if last is None:
                    return Err(self._crash_refusal(gateway_request))
                return Err(
                    self._final_refusal(
                        gateway_request, last, "the request crashes targets"
                    )
                )
            now = self._clock.now()
            remaining_s = gateway_request.deadline - now
            if remaining_s < REMAINING_TIME_MIN_S:
                return Err(
                    self._final_refusal(
                        gateway_request, last, "no time is left"
                    )
                )
            if self._would_be_cut(gateway_request, now):
                return Err(
                    self._final_refusal(
                        gateway_request, last, "the gateway is stopping"
                    )
                )
            candidate = self._selector.select(gateway_request, now)
            if candidate is None:
                return Err(
                    self._final_refusal(
                        gateway_request,
                        last,
                        self._slot_admission.explain_no_target(
                            gateway_request.service
                        ),
                    )
                )
            decision = self._slot_admission.decide(gateway_request, candidate)
            gateway_request.wait_decision = decision
            if not decision.is_admitted:
                return Err(
                    self._final_refusal(
                        gateway_request, last, decision.explain()
                    )
                )
            if last is not None and not self._take_retry(gateway_request, last):
                return self._final_result(gateway_request, last)
            last = await self._sender.send(gateway_request, candidate)
            if last.outcome is AttemptOutcome.CANCELLED:
                return None
            if last.outcome is AttemptOutcome.ANSWERED:
                return self._final_result(gateway_request, last)
            if not self._is_retryable(gateway_request, last):
                return self._final_result(gateway_request, last)

    def _would_be_cut(
        self, gateway_request: GatewayRequest, now: float
    ) -> bool:
        """Returns whether a stop may end before a request sent now does."""
        shutdown = self.shutdown
        return (
            shutdown is not None
            and now >= shutdown.late_from
            and gateway_request.deadline > shutdown.ends_at
        )

    def _is_retryable(
        self, gateway_request: GatewayRequest, last: Attempt
    ) -> bool:
        if (
            last.outcome is AttemptOutcome.TIMEOUT
            or len(gateway_request.attempted_targets) >= TOTAL_ATTEMPTS_MAX
        ):
            return False
        if last.not_executed:
            return True
        return (
            gateway_request.route.is_idempotent
            and gateway_request.executions < gateway_request.route.attempts_max
        )

    def _take_retry(
        self, gateway_request: GatewayRequest, last: Attempt
    ) -> bool:
        """Takes a retry from the budget; returns false if none remains.

        A retry counts only if the target before it received the request.
        """
        service = gateway_request.service
        if last.outcome in UNSENT_OUTCOMES:
            self._retry_budgets.count(service, last.outcome.value)
            return True
        return self._retry_budgets.try_withdraw(service, self._clock.now())

    def _final_result(
        self, gateway_request: GatewayRequest, last: Attempt
    ) -> Result[WireResponse, Refusal]:
        """Returns the last attempt's response, or a refusal without one."""
        if last.response is not None and not last.not_executed:
            return Ok(last.response)
        return Err(self._final_refusal(gateway_request, last, last.detail))

    def _final_refusal(
        self, gateway_request: GatewayRequest, last: Attempt | None, detail: str
    ) -> Refusal:
        may_have_run = gateway_request.executions > 0
        timed_out = last is not None and last.outcome is AttemptOutcome.TIMEOUT
        if timed_out and not last.not_executed:
            return make_refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                "target-timeout",
                Step.EXCHANGE,
                executed=Executed.UNKNOWN,
                detail=detail,
            )
        if may_have_run:
            return make_refusal(
                HTTPStatus.BAD_GATEWAY,
                "target-failed",
                Step.EXCHANGE,
                executed=Executed.UNKNOWN,
                detail=detail,
            )
        return self._slot_admission.refuse(gateway_request, detail=detail)

    async def _send_response(
        self,
        gateway_request: GatewayRequest,
        response: WireResponse,
        send: asgi.Send,
    ) -> None:
        """Sends a target's response to the caller.

        A status that promises "not executed" is replaced on non-idempotent
        routes: the target gave no proof of it.
        """
        status = response.status
        if (
            status in NOT_EXECUTED_STATUSES
            and not gateway_request.route.is_idempotent
        ):
            refusal = make_refusal(
                HTTPStatus.BAD_GATEWAY,
                "target-refused",
                Step.EXCHANGE,
                executed=Executed.UNKNOWN,
            )
            await self._send_refusal(
                gateway_request.request, gateway_request, refusal, send
            )
            return
        headers = [
            (name, value)
            for name, value in response.headers
            if name != b"content-length"
            and name not in self._names.announcements
        ]
        headers.append((b"content-length", str(len(response.body)).encode()))
        self._record_outcome(gateway_request, "answered", status)
        await self._send_held(status, headers, response.body, send)

    async def _send_held(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        send: asgi.Send,
    ) -> None:
        """Sends a target's response while it has its place in the memory.

        A caller that does not take it may lose it, and its connection.
        """
        held = HeldResponse(memory=self._responses, size_bytes=len(body))
        with held:
            await self._send_to_caller(status, headers, body, held.wrap(send))
        if held.is_evicted:
            self._log_event("response-not-taken", size_bytes=len(body))

    async def _send_refusal(
        self,
        request: asgi.HttpRequest,
        gateway_request: GatewayRequest | None,
        refusal: Refusal,
        send: asgi.Send,
    ) -> None:
        """Logs, counts and sends a refusal.

        Args:
            request: The HTTP request as received.
            gateway_request: The same request once it is resolved; None if it
                was refused before.
            refusal: The refusal.
            send: Sends ASGI messages to the caller.
        """
        self._metrics.refusals.inc({"reason": refusal.reason})
        if gateway_request is not None:
            self._record_outcome(
                gateway_request, refusal.reason, refusal.status, refusal
            )
        else:
            self._log_event(
                "request",
                request=request.headers.get(self._names.attempt.decode(), ""),
                outcome=refusal.reason,
                status=refusal.status,
                plan=self._catalog.plan.number,
            )
            if self._count_refusal is not None:
                self._count_refusal(
                    refusal.reason, plan=self._catalog.plan.number
                )
        response = problem.to_response(refusal, whole_seconds=False)
        headers = [
            (b"content-type", response.content_type.encode()),
            (b"content-length", str(len(response.body)).encode()),
            *(
                (key.encode(), value.encode())
                for key, value in response.headers.items()
            ),
        ]
        if refusal.step is Step.READ:
            # The rest of the body may be on its way.
            headers.append((b"connection", b"close"))
        await self._send_to_caller(
            response.status, headers, response.body, send
        )

    def _record_outcome(
        self,
        gateway_request: GatewayRequest,
        outcome: str,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        """Counts a request and logs its outcome with the causes."""
        elapsed_s = self._clock.now() - gateway_request.arrived_at
        route = gateway_request.route
        labels = {"route": route.name, "kind": route.kind.value}
        self._metrics.requests.inc({**labels, "outcome": outcome})
        self._metrics.request_seconds.observe(
            {"kind": route.kind.value}, elapsed_s
        )
        refusal_fields = {}
        if refusal is not None:
            refusal_fields["executed"] = refusal.executed.value
            refusal_fields["retry_after_s"] = round(refusal.retry_after_s, 3)
            refusal_fields["why"] = refusal.detail
            refusal_fields["priority"] = gateway_request.priority
            if refusal.step is Step.QUEUE:
                refusal_fields["cause"] = gateway_request.refusal_cause
            if gateway_request.wait_decision is not None:
                refusal_fields |= gateway_request.wait_decision.log_fields()
        missed_objective = elapsed_s > route.latency_objective_s
        failed = outcome != "answered" or status >= SERVER_ERROR_MIN
        self._log_event(
            "request",
            low_priority=not failed and not missed_objective,
            request=gateway_request.id,
            outcome=outcome,
            status=status,
            ms=round(elapsed_s * MILLISECONDS_PER_SECOND),
            route=route.name,
            account=gateway_request.account_name,
            service=gateway_request.service,
            returning=gateway_request.is_caller_retry,
            plan=self._catalog.plan.number,
            attempts=",".join(gateway_request.trace),
            **refusal_fields,
        )

    async def _send_to_caller(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        send: asgi.Send,
    ) -> None:
        if self.shutdown is not None:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        for part, more in parts_of(body):
            await send(
                {"type": "http.response.body", "body": part, "more_body": more}
            )
