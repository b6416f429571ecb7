"""Sends a gateway's request to one target and records the outcome."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import trio

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.connection.target_connection import (
    ConnectFailedError,
    ConnectionPool,
    ExchangeBrokenError,
    WireRequest,
    WireResponse,
    abort,
    end_to_end_headers,
)
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.usage_ledger import UsageLedger
from kingcupvane.request.announcements import (
    parse_reported_load,
    read_announcement,
)
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.request.gateway_request import (
    Attempt,
    GatewayRequest,
    SuspectedCrash,
    UnansweredExchange,
    WireNames,
)
from kingcupvane.request.placement import (
    AttemptOutcome,
    Candidate,
    ReportedLoad,
    TargetView,
    latency_ratio,
    nominal_latency_s,
    record_service_time,
)
from kingcupvane.request.selection import TargetSelector
from kingcupvane.request.service_time import ServiceTimeEstimate

# Extra wait past the deadline, in seconds, for responses that arrive just then.
DEADLINE_SLACK_S = 0.03
# No attempt is made with less time left before the deadline, in seconds.
REMAINING_TIME_MIN_S = 0.02
SERVER_ERROR_MIN = 500
# Latency that the evidence holds for an exchange that takes exactly its nominal
# latency, in seconds.
REFERENCE_LATENCY_S = 0.1
# Outcomes that tell nothing about the version of the target.
OUTCOMES_WITHOUT_EVIDENCE = (
    AttemptOutcome.CANCELLED,
    AttemptOutcome.SHED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.MISDIRECTED,
    AttemptOutcome.WITHHELD,
)


class TargetSender:
    """Sends requests to targets and updates the statistics about them."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        pool: ConnectionPool,
        selector: TargetSelector,
        crashes: CrashRegistry,
        evidence: EvidenceCounter,
        metrics: GatewayMetrics,
        names: WireNames,
        clock: Clock,
        log_event: Callable[..., None],
        report_suspected_crash: Callable[[SuspectedCrash], None],
        check_suspected_crash: Callable[[SuspectedCrash], Awaitable[None]],
        report_unanswered: Callable[[UnansweredExchange], None],
        usage: UsageLedger | None = None,
    ):
        """Makes a sender.

        Args:
            catalog: Registered targets and service-time estimates.
            pool: Connections to targets.
            selector: Receives the response sizes.
            crashes: Fingerprints of requests that crash targets.
            evidence: Counters per version, for canary analysis.
            metrics: Counts exchanges.
            names: Header, cookie and path names.
            clock: Monotonic clock.
            log_event: Logs an event; takes its kind and fields.
            report_suspected_crash: Takes a request whose exchange broke off,
                to check whether the target died.
            check_suspected_crash: The same, but waits for a first check.
            report_unanswered: Takes an exchange without a response, to count it
                as evidence if the target lives.
            usage: Counts the requests that targets began; None for no counts.
        """
        self._catalog = catalog
        self._pool = pool
        self._selector = selector
        self._crashes = crashes
        self._evidence = evidence
        self._metrics = metrics
        self._names = names
        self._clock = clock
        self._log_event = log_event
        self._report_suspected_crash = report_suspected_crash
        self._check_suspected_crash = check_suspected_crash
        self._report_unanswered = report_unanswered
        self._usage = usage

    async def send(
        self, gateway_request: GatewayRequest, candidate: Candidate
    ) -> Attempt:
        """Makes one attempt and records its outcome.

        Args:
            gateway_request: The request.
            candidate: The target, with its expected latency.
        """
        catalog = self._catalog
        view = candidate.view
        target = view.target
        started_at = self._clock.now()
        gateway_request.attempted_targets.append(target.name)
        gateway_request.excluded_targets.add(target.name)
        catalog.pace.record_request(target.name, started_at)
        catalog.target_limits.record_request(target, started_at)
        view.record_start(gateway_request.affinity_key, started_at)
        attempt = Attempt(outcome=AttemptOutcome.CANCELLED)
        try:
            attempt = await self._exchange(gateway_request, view)
        finally:
            elapsed_s = self._clock.now() - started_at
            self._record_attempt(gateway_request, candidate, attempt, elapsed_s)
        return attempt

    def _record_attempt(
        self,
        gateway_request: GatewayRequest,
        candidate: Candidate,
        attempt: Attempt,
        elapsed_s: float,
    ) -> None:
        """Updates metrics, load, health and estimates after an attempt."""
        now = self._clock.now()
        view = candidate.view
        self._metrics.exchanges.inc(
            {
                "service": gateway_request.service,
                "ending": attempt.outcome.value,
            }
        )
        gateway_request.trace.append(
            _format_attempt(candidate, attempt, elapsed_s)
        )
        answered = attempt.outcome is AttemptOutcome.ANSWERED
        reported = None
        if attempt.response is not None:
            reported = parse_reported_load(
                attempt.response.header(self._names.load)
            )
            self._selector.record_response_size(
                gateway_request.route.name, len(attempt.response.body)
            )
        ratio = 0.0
        service_time = self._service_time(gateway_request)
        if reported is not None and reported.slowdown is not None:
            view.slowdown.add(reported.slowdown, service_time.slowdown, now)
        if answered:
            if candidate.is_known_warm and service_time.has_enough_samples:
                ratio = latency_ratio(candidate, elapsed_s, reported)
            record_service_time(service_time, candidate, reported, elapsed_s)
            self._catalog.service_times.count(
                gateway_request.service, gateway_request.route.name
            )
        if _shed_with_free_slots(attempt, reported):
            # A target that sheds with free slots refuses only a share of its
            # requests, so it may accept this one at the next attempt.
            gateway_request.excluded_targets.discard(view.target.name)
        ejected = view.record_outcome(
            attempt.outcome, latency_ratio=ratio, reported=reported, now=now
        )
        if self._catalog.views_by_name().get(view.target.name) is view:
            # Otherwise another process has its name by now, or none.
            self._catalog.pace.record_outcome(
                view.target,
                attempt.outcome,
                elapsed_s=elapsed_s,
                objective_s=gateway_request.route.latency_objective_s,
                expected_s=candidate.expected_latency_s,
                reported=reported,
                ejected=ejected,
                now=now,
            )
        if ejected:
            self._log_event(
                "target-ejected",
                target=view.target.name,
                service=view.target.service,
                why=attempt.detail,
                request=gateway_request.id,
            )
        if gateway_request.service in self._catalog.rollout_specs_by_service:
            self._count_evidence(gateway_request, candidate, attempt, elapsed_s)
        if attempt.response is not None and not attempt.not_executed:
            self._clear_suspicion(gateway_request, target=view.target.name)

    def _clear_suspicion(
        self, gateway_request: GatewayRequest, *, target: str
    ) -> None:
        """Notes that a target gave a complete response to a request."""
        fingerprint = gateway_request.fingerprint
        if self._crashes.clear_suspicion(fingerprint, self._clock.now()):
            self._log_event(
                "crash-suspicion-cleared",
                fingerprint=fingerprint,
                target=target,
                request=gateway_request.id,
            )

    def _count_evidence(
        self,
        gateway_request: GatewayRequest,
        candidate: Candidate,
        attempt: Attempt,
        elapsed_s: float,
    ) -> None:
        """Adds an attempt to the evidence on its target's version.

        The latency is normalised by the nominal latency of the exchange, so
        that a version is not rated worse for requests whose affinity key is
        new to it. Attempts that the target did not work on, and attempts at a
        target that is cold as a whole, are left out. A timeout counts only if
        the target lives: when a data centre is lost, the version with more of
        its targets there would be judged by that.
        """
        target = candidate.view.target
        if attempt.outcome in OUTCOMES_WITHOUT_EVIDENCE:
            return
        if self._catalog.pace.is_cold(target.name, self._clock.now()):
            return
        service_time = self._service_time(gateway_request)
        nominal_s = nominal_latency_s(candidate, service_time)
        sample = ExchangeSample(
            service=gateway_request.service,
            version=target.version,
            route=gateway_request.route.prefix,
            failed=attempt.outcome is not AttemptOutcome.ANSWERED,
            latency_s=REFERENCE_LATENCY_S * elapsed_s / nominal_s,
        )
        if attempt.outcome is AttemptOutcome.TIMEOUT:
            self._report_unanswered(
                UnansweredExchange(
                    target=target.name, address=target.address, sample=sample
                )
            )
            return
        self._evidence.add(sample)

    def _service_time(
        self, gateway_request: GatewayRequest
    ) -> ServiceTimeEstimate:
        return self._catalog.service_times.get(
            gateway_request.service, gateway_request.route.name
        )

    async def _exchange(
        self, gateway_request: GatewayRequest, view: TargetView
    ) -> Attempt:
        target = view.target
        started_at = self._clock.now()
        try:
            connection = await self._pool.acquire(
                target.name,
                target.address,
                is_idempotent=gateway_request.route.is_idempotent,
            )
        except ConnectFailedError as error:
            return Attempt(
                outcome=AttemptOutcome.UNREACHABLE,
                not_executed=True,
                detail=str(error),
            )
        now = self._clock.now()
        remaining_s = gateway_request.deadline - now
        unsent = _reason_not_to_send(gateway_request, view, now)
        if unsent is not None:
            await self._pool.release(target.name, connection)
            return unsent
        gateway_request.executions += 1
        usage_window = self._count_begun(gateway_request)
        response: WireResponse | None = None
        matches_request = False
        try:
            with trio.move_on_after(max(0.0, remaining_s) + DEADLINE_SLACK_S):
                response = await connection.exchange(
                    self._build_wire_request(gateway_request, view, remaining_s)
                )
                matches_request = self._is_response_to(
                    gateway_request, response
                )
        except ExchangeBrokenError as error:
            suspected = SuspectedCrash(
                fingerprint=gateway_request.fingerprint,
                target=target.name,
                process=f"{target.name}/{target.started_ms}",
                address=target.address,
                started_at=started_at,
            )
            if gateway_request.route.is_idempotent:
                # Another target must not get a request that crashed this one.
                await self._check_suspected_crash(suspected)
            else:
                self._report_suspected_crash(suspected)
            return Attempt(outcome=AttemptOutcome.BROKEN, detail=str(error))
        finally:
            if not matches_request:
                await abort(connection.stream)
        if response is None:
            return Attempt(
                outcome=AttemptOutcome.TIMEOUT, detail="no answer in time"
            )
        if not matches_request:
            return Attempt(
                outcome=AttemptOutcome.BROKEN,
                detail="the answer is another request's",
            )
        attempt = self._classify_response(gateway_request, response)
        if attempt.not_executed:
            connection.has_carried_refusal = True
            self._count_refused(gateway_request, usage_window)
        await self._pool.release(target.name, connection)
        if response.status != HTTPStatus.MISDIRECTED_REQUEST:
            announcement = read_announcement(
                response,
                leaving_headers=self._names.leaving,
                limit_headers=self._names.limit,
            )
            self._catalog.apply_announcement(view, announcement, sent_at=now)
        return attempt

    def _count_begun(self, gateway_request: GatewayRequest) -> int:
        """Counts a request that is passed on; returns the window of usage."""
        if self._usage is None or gateway_request.account is None:
            return 0
        return self._usage.begin(gateway_request.account.name)

    def _count_refused(
        self, gateway_request: GatewayRequest, usage_window: int
    ) -> None:
        """Takes a request out of the count that the target has not run."""
        if self._usage is not None and gateway_request.account is not None:
            self._usage.refuse(gateway_request.account.name, usage_window)

    def _is_response_to(
        self, gateway_request: GatewayRequest, response: WireResponse
    ) -> bool:
        """Returns whether a response belongs to the request.

        Targets echo the attempt's id in all responses but their refusals.
        """
        echoed = response.header(self._names.attempt)
        if echoed is None:
            return (
                self._is_refusal(response)
                or not gateway_request.caller_attempt_id
            )
        return echoed == gateway_request.caller_attempt_id

    def _is_refusal(self, response: WireResponse) -> bool:
        return (
            response.header(self._names.not_executed) is not None
            or response.status == HTTPStatus.MISDIRECTED_REQUEST
        )

    def _classify_response(
        self, gateway_request: GatewayRequest, response: WireResponse
    ) -> Attempt:
        names = self._names
        if self._is_refusal(response):
            misdirected = response.status == HTTPStatus.MISDIRECTED_REQUEST
            gateway_request.executions -= 1
            return Attempt(
                outcome=AttemptOutcome.MISDIRECTED
                if misdirected
                else AttemptOutcome.SHED,
                response=response,
                not_executed=True,
                detail=f"the target refused with {response.status}",
            )
        if response.header(names.stamp) is None:
            return Attempt(
                outcome=AttemptOutcome.BROKEN, detail="the answer has no stamp"
            )
        if response.status >= SERVER_ERROR_MIN:
            return Attempt(
                outcome=AttemptOutcome.FAILED,
                response=response,
                detail=f"the target answered {response.status}",
            )
        return Attempt(outcome=AttemptOutcome.ANSWERED, response=response)

    def _build_wire_request(
        self,
        gateway_request: GatewayRequest,
        view: TargetView,
        remaining_s: float,
    ) -> WireRequest:
        names = self._names
        request = gateway_request.request
        dropped = (
            names.deadline,
            names.instance,
            names.account,
            b"authorization",
            b"content-length",
            b"expect",
        )
        headers = [
            (name, value)
            for name, value in end_to_end_headers(request.header_pairs)
            if name not in dropped
        ]
        milliseconds = max(1, int(remaining_s * MILLISECONDS_PER_SECOND))
        headers.append((names.deadline, str(milliseconds).encode()))
        headers.append((names.instance, view.target.name.encode()))
        if gateway_request.account is not None:
            headers.append(
                (names.account, gateway_request.account.name.encode())
            )
        return WireRequest(
            method=request.method.encode(),
            path=request.raw_path_and_query,
            headers=headers,
            body=gateway_request.body,
        )


def _reason_not_to_send(
    gateway_request: GatewayRequest, view: TargetView, now: float
) -> Attempt | None:
    """Returns why a request is not sent after all; None if it may be sent.

    Opening a connection takes time, in which any of this may have changed.
    """
    if gateway_request.deadline - now < REMAINING_TIME_MIN_S:
        return Attempt(
            outcome=AttemptOutcome.TIMEOUT,
            not_executed=True,
            detail="no time is left",
        )
    if gateway_request.request.is_disconnected():
        return Attempt(
            outcome=AttemptOutcome.CANCELLED,
            not_executed=True,
            detail="the caller has left",
        )
    if not view.accepts_requests(now):
        return Attempt(
            outcome=AttemptOutcome.WITHHELD,
            not_executed=True,
            detail="the target wants no more requests",
        )
    return None


def _shed_with_free_slots(
    attempt: Attempt, reported: ReportedLoad | None
) -> bool:
    if attempt.outcome is not AttemptOutcome.SHED or reported is None:
        return False
    return not reported.is_full


def _format_attempt(
    candidate: Candidate, attempt: Attempt, elapsed_s: float
) -> str:
    """Returns an attempt's summary for the request's log line."""
    known = "known" if candidate.is_known_warm else "new"
    return (
        f"{candidate.view.target.name}:{attempt.outcome.value}"
        f":{elapsed_s * MILLISECONDS_PER_SECOND:.0f}ms"
        ":expected-"
        f"{candidate.expected_latency_s * MILLISECONDS_PER_SECOND:.0f}ms"
        f":wait-{candidate.wait_s * MILLISECONDS_PER_SECOND:.0f}ms:{known}"
    )
