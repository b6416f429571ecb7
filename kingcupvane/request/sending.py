"""Sends a request to one target and learns from what comes of it."""

from collections.abc import Callable
from http import HTTPStatus

import trio

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.connection.exchange import (
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
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.request.gateway_request import (
    Attempt,
    GatewayRequest,
    SuspectedCrash,
    WireNames,
)
from kingcupvane.request.placement import (
    AttemptOutcome,
    Candidate,
    ReportedLoad,
    TargetView,
    expected_s,
    learn_work,
    ratio_of,
)
from kingcupvane.request.retry import CrashRegistry
from kingcupvane.request.selection import TargetSelector

# Time for which an answer at the very deadline is still awaited, in seconds.
DEADLINE_SLACK_S = 0.03
# Time left below which no target is asked, in seconds.
USEFUL_MIN_S = 0.02
SERVER_ERROR_MIN = 500
# Latency that an exchange of just the expected time counts as, in seconds.
EVIDENCE_UNIT_S = 0.1


class TargetSender:
    """Sends requests to targets."""

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
    ):
        """Makes a sender.

        Args:
            catalog: Targets and their work.
            pool: Connections to targets.
            selector: Learns the size of answers.
            crashes: Requests that crash targets.
            evidence: Counts what versions do.
            metrics: Counts exchanges.
            names: Names on the wire.
            clock: Monotonic clock.
            log_event: Takes a kind of event and its fields for the log.
            report_suspected_crash: Takes a request whose target broke off, to
                find out whether the target died.
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
        self._suspect = report_suspected_crash

    async def send(
        self, gateway_request: GatewayRequest, candidate: Candidate
    ) -> Attempt:
        """Sends a request to a target and takes in what that shows.

        Args:
            gateway_request: The request.
            candidate: The target and what is expected of it.
        """
        catalog = self._catalog
        view = candidate.view
        target = view.target
        started = self._clock.now()
        gateway_request.sends.append(target.name)
        gateway_request.avoided.add(target.name)
        catalog.cold.count(
            target.name, rate=catalog.cold_rate(target.service), now=started
        )
        view.start(gateway_request.affinity_key, started)
        attempt = Attempt(ending=AttemptOutcome.CANCELLED)
        try:
            attempt = await self._exchange(gateway_request, view)
        finally:
            seconds = self._clock.now() - started
            self._note(gateway_request, candidate, attempt, seconds)
        return attempt

    def _note(
        self,
        gateway_request: GatewayRequest,
        candidate: Candidate,
        attempt: Attempt,
        seconds: float,
    ) -> None:
        """Takes in what an attempt showed of its target."""
        now = self._clock.now()
        view = candidate.view
        self._metrics.exchanges.inc(
            {"service": gateway_request.service, "ending": attempt.ending.value}
        )
        gateway_request.trace.append(_trace(candidate, attempt, seconds))
        answered = attempt.ending is AttemptOutcome.ANSWERED
        reported = None
        if attempt.answer is not None:
            reported = _reported(attempt.answer.header(self._names.load))
            self._selector.note_answer(
                gateway_request.route.name, len(attempt.answer.body)
            )
        ratio = 0.0
        if answered:
            work = self._catalog.service_time(gateway_request.service)
            if candidate.known and work.is_known:
                ratio = ratio_of(candidate, seconds)
            learn_work(work, candidate, reported, seconds)
        if _shed_with_room(attempt, reported):
            # It refuses a part of all requests; the next one may be taken.
            gateway_request.avoided.discard(view.target.name)
        ejected = view.finish(
            attempt.ending, ratio=ratio, reported=reported, now=now
        )
        if ejected:
            self._log_event(
                "target-ejected",
                target=view.target.name,
                service=view.target.service,
                why=attempt.detail,
                request=gateway_request.id,
            )
        if gateway_request.service in self._catalog.orders_by_service:
            self._count_evidence(gateway_request, candidate, attempt, seconds)
        if answered:
            self._crashes.clear(gateway_request.fingerprint)

    def _count_evidence(
        self,
        gateway_request: GatewayRequest,
        candidate: Candidate,
        attempt: Attempt,
        seconds: float,
    ) -> None:
        """Counts what an attempt shows of its target's version.

        Its time is taken against what was expected, so that objects which are
        new to a version do not speak against it.
        """
        target = candidate.view.target
        if attempt.ending in (AttemptOutcome.CANCELLED, AttemptOutcome.SHED):
            return
        if self._catalog.cold.is_cold(target.name, self._clock.now()):
            return
        work = self._catalog.service_time(gateway_request.service)
        expected = expected_s(candidate, work)
        self._evidence.add(
            ExchangeSample(
                service=gateway_request.service,
                version=target.version,
                route=gateway_request.route.prefix,
                failed=attempt.ending is not AttemptOutcome.ANSWERED,
                latency_s=EVIDENCE_UNIT_S * seconds / expected,
            )
        )

    async def _exchange(
        self, gateway_request: GatewayRequest, view: TargetView
    ) -> Attempt:
        target = view.target
        started = self._clock.now()
        try:
            connection = await self._pool.acquire(
                target.name,
                target.address,
                fresh=not gateway_request.route.is_idempotent,
            )
        except ConnectFailedError as error:
            return Attempt(
                ending=AttemptOutcome.UNREACHABLE,
                not_run=True,
                detail=str(error),
            )
        left = gateway_request.deadline - self._clock.now()
        if left < USEFUL_MIN_S:
            await self._pool.release(target.name, connection)
            return Attempt(
                ending=AttemptOutcome.TIMEOUT,
                not_run=True,
                detail="no time is left",
            )
        if gateway_request.request.is_disconnected():
            await self._pool.release(target.name, connection)
            return Attempt(
                ending=AttemptOutcome.CANCELLED,
                not_run=True,
                detail="the caller has left",
            )
        gateway_request.runs += 1
        answer: WireResponse | None = None
        whole = False
        try:
            with trio.move_on_after(max(0.0, left) + DEADLINE_SLACK_S):
                answer = await connection.exchange(
                    self._outbound(gateway_request, view, left)
                )
                whole = self._is_own(gateway_request, answer)
        except ExchangeBrokenError as error:
            self._suspect(
                SuspectedCrash(
                    fingerprint=gateway_request.fingerprint,
                    target=target.name,
                    address=target.address,
                    started_at=started,
                )
            )
            return Attempt(ending=AttemptOutcome.BROKEN, detail=str(error))
        finally:
            if not whole:
                await abort(connection.stream)
        if answer is None:
            return Attempt(
                ending=AttemptOutcome.TIMEOUT, detail="no answer in time"
            )
        if not whole:
            return Attempt(
                ending=AttemptOutcome.BROKEN,
                detail="the answer is another request's",
            )
        await self._pool.release(target.name, connection)
        return self._judge(gateway_request, answer)

    def _is_own(
        self, gateway_request: GatewayRequest, answer: WireResponse
    ) -> bool:
        echoed = answer.header(self._names.attempt)
        return echoed is None or echoed == gateway_request.attempt_id

    def _judge(
        self, gateway_request: GatewayRequest, answer: WireResponse
    ) -> Attempt:
        names = self._names
        refused = answer.header(names.not_executed) is not None
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        if refused or misdirected:
            gateway_request.runs -= 1
            return Attempt(
                ending=AttemptOutcome.UNREACHABLE
                if misdirected
                else AttemptOutcome.SHED,
                answer=answer,
                not_run=True,
                detail=f"the target refused with {answer.status}",
            )
        if answer.header(names.stamp) is None:
            return Attempt(
                ending=AttemptOutcome.BROKEN, detail="the answer has no stamp"
            )
        if answer.status >= SERVER_ERROR_MIN:
            return Attempt(
                ending=AttemptOutcome.FAILED,
                answer=answer,
                detail=f"the target answered {answer.status}",
            )
        return Attempt(ending=AttemptOutcome.ANSWERED, answer=answer)

    def _outbound(
        self, gateway_request: GatewayRequest, view: TargetView, left: float
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
        milliseconds = max(1, int(left * MILLISECONDS_PER_SECOND))
        headers.append((names.deadline, str(milliseconds).encode()))
        headers.append((names.instance, view.target.name.encode()))
        if gateway_request.account is not None:
            headers.append(
                (names.account, gateway_request.account.name.encode())
            )
        return WireRequest(
            method=request.method.encode(),
            path=request.target,
            headers=headers,
            body=gateway_request.body,
        )


def _shed_with_room(attempt: Attempt, reported: ReportedLoad | None) -> bool:
    if attempt.ending is not AttemptOutcome.SHED or reported is None:
        return False
    return not reported.is_full


def _trace(candidate: Candidate, attempt: Attempt, seconds: float) -> str:
    """Returns one word on an attempt, for the request's line."""
    known = "known" if candidate.known else "new"
    return (
        f"{candidate.view.target.name}:{attempt.ending.value}"
        f":{seconds * MILLISECONDS_PER_SECOND:.0f}ms"
        f":expected-{candidate.finish_s * MILLISECONDS_PER_SECOND:.0f}ms"
        f":wait-{candidate.wait_s * MILLISECONDS_PER_SECOND:.0f}ms:{known}"
    )


def _reported(value: bytes | None) -> ReportedLoad | None:
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running=running, waiting=waiting, slots=slots)
