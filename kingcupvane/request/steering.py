"""The way of one request through a gateway.

Read, route, authenticate, admit, place, exchange, retry, answer. A request
that cannot be served is refused at once; a refusal says that it has not run
only where that is certain.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus

import trio
from result import Err, Ok, Result

from kingcupvane import asgi, problem
from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.connection.exchange import (
    ConnectFailedError,
    ConnectionPool,
    ExchangeBrokenError,
    WireAnswer,
    WireRequest,
    end_to_end,
)
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.hashing import spread
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.rollout import (
    NEW,
    RolloutRegister,
    move_name,
    shares_of,
)
from kingcupvane.request.dispatch import Sample
from kingcupvane.request.placement import (
    Candidate,
    Ending,
    ReportedLoad,
    TargetView,
    choose,
    learn_work,
    ratio_of,
)
from kingcupvane.request.quota import QuotaDivision
from kingcupvane.request.retry import CrashRegistry, RetryBudget, fingerprint
from kingcupvane.request.routing import ShareCounter
from kingcupvane.request.waiting import (
    RETRY_AFTER_MAX_S,
    DeadlineMemory,
    allowed_wait_s,
    retry_after_s,
)
from kingcupvane.version.move import VersionShare
from kingcupvane.version.plan import AccountPlan, RoutePlan

# Time for which an answer at the very deadline is still awaited, in seconds.
DEADLINE_SLACK_S = 0.03
# Time left below which no target is asked, in seconds.
USEFUL_MIN_S = 0.02
# Scheduler rounds that pass before a request is sent on.
DEPARTURE_CHECKPOINTS = 2
# Targets that one request may be sent to at most, refusals included.
SENDS_MAX = 4
# Orders of targets among which requests without an object are spread.
SPREADS = 64
# Bytes of an answer before any was seen.
ANSWER_BYTES = 2000
SERVER_ERROR_MIN = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class WireNames:
    """Names that callers, gateways and targets exchange.

    Attributes:
        attempt: Id of the caller's attempt; targets echo it.
        deadline: Milliseconds that the caller will wait.
        instance: Id of the target that a request is meant for.
        account: Name of the client account, set by the gateway.
        load: A target's running and waiting requests and its slots.
        not_executed: A target has not run the request.
        stamp: A target's mark on its own answers.
        subject_cookie: Cookie that names the object of the request.
        key_scheme: Word before the key in the Authorization header.
        ready_path: Path of the readiness check.
        lookup_path: Path of the question which gateway to use.
        lookup_region: Its query field with the caller's region.
        lookup_data_centre: Its query field with the caller's data centre.
        lookup_addresses: Field of the answer with the gateways' addresses.
        lookup_ttl: Field of the answer with its life in seconds.
    """

    attempt: bytes
    deadline: bytes
    instance: bytes
    account: bytes
    load: bytes
    not_executed: bytes
    stamp: bytes
    subject_cookie: str
    key_scheme: str
    ready_path: str
    lookup_path: str
    lookup_region: str
    lookup_data_centre: str
    lookup_addresses: str
    lookup_ttl: str


@dataclass(kw_only=True, slots=True)
class Passage:
    """One request while it is served.

    Attributes:
        request: As it came.
        route: Its route.
        account: Its client account; None on open routes.
        arrived_at: Monotonic time of its headers, in seconds.
        deadline: Monotonic time by which the answer is due, in seconds.
        attempt_id: Id of the caller's attempt.
        subject: The object that it concerns; empty for none.
        returning: It was refused before and came back.
        body: The whole body.
        print_: Equal for repeats of the request.
        service: Service that it goes to.
        sends: Targets that it was sent to.
        runs: Targets that may have run it.
    """

    request: asgi.HttpRequest
    route: RoutePlan
    account: AccountPlan | None
    arrived_at: float
    deadline: float
    attempt_id: bytes
    subject: str
    returning: bool = False
    body: bytes = b""
    print_: str = ""
    service: str = ""
    sends: list[str] = field(default_factory=list)
    runs: int = 0

    @property
    def ranked_by(self) -> str:
        """What the order of targets goes by: the object, or chance."""
        if self.subject:
            return self.subject
        return f"any/{spread(self.attempt_id.decode('latin-1')) % SPREADS}"

    @property
    def account_name(self) -> str:
        """Name of the client account; empty on open routes."""
        return self.account.name if self.account is not None else ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """What became of sending a request to one target.

    Attributes:
        ending: How it ended.
        answer: The target's answer, where there is one.
        not_run: Whether it is certain that the target did not run it.
        detail: What was seen.
    """

    ending: Ending
    answer: WireAnswer | None = None
    not_run: bool = False
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """A request whose target broke off while it may have run it.

    Attributes:
        print_: Fingerprint of the request.
        target: Name of the target.
        address: Its address.
        started_at: Monotonic time at which the run began, in seconds.
    """

    print_: str
    target: str
    address: str
    started_at: float


class DestinationPicker:
    """Splits the requests of routes among services by their weights."""

    def __init__(self):
        """Starts without requests."""
        self._debts_by_route: dict[tuple, dict[str, float]] = {}

    def pick(self, route: RoutePlan) -> str:
        """Returns the service that has most to catch up on."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        debts = self._debts_by_route.setdefault(
            (route.name, route.destinations), {}
        )
        total = sum(part.weight for part in route.destinations)
        for part in route.destinations:
            gained = part.weight / total if total else 0.0
            debts[part.service] = debts.get(part.service, 0.0) + gained
        service = max(debts, key=debts.__getitem__)
        debts[service] -= 1.0
        return service


class RetryBudgets:
    """Further attempts that this gateway may make, by service."""

    def __init__(self, *, make: Callable[[], RetryBudget]):
        """Makes budgets when they are first needed."""
        self._make = make
        self._budget_by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._make()
            self._budget_by_service[service] = budget
        return budget


class Steering:
    """Serves requests of callers.

    Attributes:
        active: Requests that run now.
        last_at: Monotonic time at which a request last began or ended.
        leaving: Callers are asked to send nothing more on their connections.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        pool: ConnectionPool,
        quota: QuotaDivision,
        crashes: CrashRegistry,
        rollouts: RolloutRegister,
        evidence: EvidenceCounter,
        budgets: RetryBudgets,
        gateways: Callable[[], list[str]],
        names: WireNames,
        clock: Clock,
        tell: Callable[..., None],
        suspect: Callable[["Suspicion"], None],
    ):
        """Makes the pipeline.

        Args:
            catalog: Plan and targets.
            pool: Connections to targets.
            quota: Limits of client accounts.
            crashes: Requests that crash targets.
            rollouts: What gateways decided on rollouts.
            evidence: Counts what versions do.
            budgets: Further attempts by service.
            gateways: Returns the names of the live gateways.
            names: Names on the wire.
            clock: Monotonic clock.
            tell: Takes a kind of event and its fields for the log.
            suspect: Takes a request whose target broke off, to find out
                whether the target died.
        """
        self._catalog = catalog
        self._pool = pool
        self._quota = quota
        self._crashes = crashes
        self._rollouts = rollouts
        self._evidence = evidence
        self._budgets = budgets
        self._gateways = gateways
        self._names = names
        self._clock = clock
        self._tell = tell
        self._suspect = suspect
        self._picker = DestinationPicker()
        self._deadlines = DeadlineMemory()
        self._shares_by_service: dict[str, ShareCounter] = {}
        self._answer_bytes_by_route: dict[str, float] = {}
        self.active = 0
        self.last_at = float("-inf")
        self.leaving = False

    async def handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        """Serves one request."""
        self.active += 1
        self.last_at = self._clock.now()
        try:
            await self._handle(request, send)
        finally:
            self.active -= 1
            self.last_at = self._clock.now()

    async def _handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        found = self._open(request)
        if isinstance(found, Err):
            await self._refuse(request, found.err_value, send)
            return
        passage = found.ok_value
        try:
            limits = self._catalog.plan.limits
            passage.body = await request.read_body(limit=limits.body_max_bytes)
        except asgi.CallerGoneError:
            self._tell("caller-gone", request=passage.attempt_id.decode())
            return
        except asgi.BodyTooLargeError:
            refusal = _refusal(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "body-too-large",
                Step.READ,
            )
            await self._refuse(request, refusal, send)
            return
        admitted = self._admit(passage)
        if isinstance(admitted, Err):
            await self._refuse(request, admitted.err_value, send)
            return
        outcome: Result[WireAnswer, Refusal] | None = None
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(request.cancel_when_closed, scope)
            outcome = await self._serve(passage)
            scope.cancel()
        match outcome:
            case Ok(answer):
                await self._answer(passage, answer, send)
            case Err(refusal):
                await self._refuse(request, refusal, send)
            case None:
                self._tell("caller-gone", request=passage.attempt_id.decode())

    def _open(self, request: asgi.HttpRequest) -> Result[Passage, Refusal]:
        """Finds route and account; reads no body."""
        now = self._clock.now()
        plan = self._catalog.plan
        if plan.number == 0:
            return Err(
                _refusal(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "no-plan-yet",
                    Step.ROUTE,
                    retry_after_s=0.3,
                )
            )
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = plan.find_route(request.headers.get("host", ""), path)
        if route is None:
            return Err(_refusal(HTTPStatus.NOT_FOUND, "no-route", Step.ROUTE))
        account = self._find_account(request)
        if account is None and plan.accounts_by_name and not route.open:
            return Err(
                _refusal(
                    HTTPStatus.UNAUTHORIZED, "unknown-key", Step.AUTHENTICATE
                )
            )
        names = self._names
        waits = route.timeout_s or 60.0
        given = request.headers.get(names.deadline.decode(), "")
        if given.isdigit():
            waits = min(waits, int(given) / MILLISECONDS_PER_SECOND)
        returning = self._deadlines.is_returning(route.name, waits)
        subject = _cookie(
            request.headers.get("cookie", ""), names.subject_cookie
        )
        return Ok(
            Passage(
                request=request,
                route=route,
                account=account,
                arrived_at=now,
                deadline=now + waits,
                returning=returning,
                attempt_id=request.headers.get(
                    names.attempt.decode(), ""
                ).encode(),
                subject=f"{route.name}/{subject}"
                if subject and route.sticky
                else "",
            )
        )

    def _find_account(self, request: asgi.HttpRequest) -> AccountPlan | None:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != self._names.key_scheme.lower():
            return None
        return self._catalog.plan.accounts_by_key.get(key.strip())

    def _admit(self, passage: Passage) -> Result[None, Refusal]:
        now = self._clock.now()
        passage.print_ = fingerprint(
            account=passage.account_name,
            service=passage.route.name,
            method=passage.request.method,
            path=passage.request.target.decode("latin-1"),
            body=passage.body,
        )
        if self._crashes.is_refused(passage.print_, now):
            return Err(
                _refusal(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "crashes-targets",
                    Step.ADMIT,
                )
            )
        account = passage.account
        if account is not None and not self._quota.admit(account, now):
            wait = retry_after_s(
                self._quota.wait_s(account, now),
                attempt_id=passage.attempt_id.decode("latin-1"),
            )
            return Err(
                _refusal(
                    HTTPStatus.TOO_MANY_REQUESTS,
                    "over-rate",
                    Step.ADMIT,
                    retry_after_s=wait,
                    detail=self._quota.explain(account, now),
                )
            )
        passage.service = self._picker.pick(passage.route)
        self._budgets.of(passage.service).earn()
        self._catalog.count_request(passage.service)
        return Ok(None)

    async def _serve(self, passage: Passage) -> Result[WireAnswer, Refusal]:
        """Sends the request until it has a final answer."""
        last: Attempt | None = None
        while True:
            now = self._clock.now()
            left = passage.deadline - now
            if left < USEFUL_MIN_S:
                return Err(self._give_up(passage, last, "no time is left"))
            candidate, side = self._place(passage, now)
            if candidate is None:
                return Err(self._give_up(passage, last, "no target is free"))
            allowed = allowed_wait_s(
                candidate,
                objective_s=passage.route.objective_s,
                elapsed_s=now - passage.arrived_at,
                left_s=left,
                returning=passage.returning,
            )
            if candidate.wait_s > allowed:
                why = f"wait {candidate.wait_s:.3f} s allowed {allowed:.3f} s"
                return Err(self._give_up(passage, last, why))
            if last is not None and not self._may_repeat(passage, last):
                return self._settle(passage, last)
            last = await self._attempt(passage, candidate, side)
            if last.ending is Ending.ANSWERED:
                return self._settle(passage, last)
            if not self._is_worth_repeating(passage, last):
                return self._settle(passage, last)

    def _is_worth_repeating(self, passage: Passage, last: Attempt) -> bool:
        if last.ending is Ending.TIMEOUT or len(passage.sends) >= SENDS_MAX:
            return False
        if last.not_run:
            return True
        return (
            passage.route.repeatable
            and passage.runs < passage.route.attempts_max
        )

    def _may_repeat(self, passage: Passage, last: Attempt) -> bool:
        if last.ending is Ending.UNREACHABLE:
            return True
        return self._budgets.of(passage.service).spend()

    def _settle(
        self, passage: Passage, last: Attempt
    ) -> Result[WireAnswer, Refusal]:
        """Returns what the caller gets after the last attempt."""
        if last.answer is not None and not last.not_run:
            return Ok(last.answer)
        return Err(self._give_up(passage, last, last.detail))

    def _give_up(
        self, passage: Passage, last: Attempt | None, why: str
    ) -> Refusal:
        ran = passage.runs > 0
        timed_out = last is not None and last.ending is Ending.TIMEOUT
        if timed_out and not last.not_run:
            return _refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                "target-timeout",
                Step.EXCHANGE,
                executed=Executed.UNKNOWN,
                detail=why,
            )
        if ran:
            return _refusal(
                HTTPStatus.BAD_GATEWAY,
                "target-failed",
                Step.EXCHANGE,
                executed=Executed.UNKNOWN,
                detail=why,
            )
        return _refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no-room",
            Step.QUEUE,
            retry_after_s=self._room_after_s(passage),
            detail=why,
        )

    def _room_after_s(self, passage: Passage) -> float:
        """Returns when a target of the service is expected to have room."""
        now = self._clock.now()
        work = self._catalog.work(passage.service)
        waits = []
        for view in self._catalog.views(passage.service):
            ahead = max(0.0, view.load(now) + 1.0 - view.target.slots)
            waits.append(ahead * work.warm_s / view.target.slots)
        return retry_after_s(
            min(waits, default=0.3),
            attempt_id=passage.attempt_id.decode("latin-1"),
        )

    def _place(
        self, passage: Passage, now: float
    ) -> tuple[Candidate | None, str]:
        """Returns the best target, and which side of a rollout it is on."""
        service = passage.service
        shares = self._shares(service)
        size = len(passage.body) + int(
            self._answer_bytes_by_route.get(passage.route.name, ANSWER_BYTES)
        )
        sides = [""]
        if shares is not None:
            counter = self._shares_by_service.setdefault(
                service, ShareCounter()
            )
            sides = counter.choose(shares)
        for side in sides:
            usable = {
                view.target.name: True
                for view in self._usable(passage, side, now)
            }
            if not usable:
                continue
            candidate = choose(
                self._catalog.ranking(service, passage.ranked_by, size=size),
                subject=passage.subject,
                usable=usable,
                work=self._catalog.work(service),
                place=self._catalog.place,
                size=size,
                now=now,
            )
            if candidate is not None:
                return candidate, side
        return None, ""

    def _shares(self, service: str) -> dict[str, VersionShare] | None:
        order = self._catalog.orders_by_service.get(service)
        if order is None:
            return None
        state = self._rollouts.states_by_name.get(move_name(order))
        outcome = self._catalog.outcomes_by_service.get(service)
        return shares_of(order, outcome, state)

    def _usable(
        self, passage: Passage, side: str, now: float
    ) -> Iterator[TargetView]:
        catalog = self._catalog
        order = catalog.orders_by_service.get(passage.service)
        homes = passage.route.regions
        account = passage.account
        gateways = self._gateways()
        for view in catalog.views(passage.service):
            target = view.target
            if target.leaving or target.name in passage.sends:
                continue
            if target.data_centre in catalog.evacuated:
                continue
            if homes and target.region not in homes:
                continue
            bound = account.regions if account is not None else None
            if bound and target.region not in bound:
                continue
            if order is not None and side:
                is_new = target.version == order.version
                if is_new != (side == NEW):
                    continue
            if not catalog.cold.may_use(target.name, gateways, now):
                continue
            yield view

    async def _attempt(
        self, passage: Passage, candidate: Candidate, side: str
    ) -> Attempt:
        catalog = self._catalog
        view = candidate.view
        target = view.target
        started = self._clock.now()
        passage.sends.append(target.name)
        if side:
            self._shares_by_service[passage.service].count(side)
        catalog.cold.count(
            target.name, rate=catalog.cold_rate(target.service), now=started
        )
        view.start(passage.subject, started)
        attempt = Attempt(ending=Ending.CANCELLED)
        try:
            attempt = await self._exchange(passage, view)
        finally:
            seconds = self._clock.now() - started
            self._note(passage, candidate, attempt, seconds)
        return attempt

    def _note(
        self,
        passage: Passage,
        candidate: Candidate,
        attempt: Attempt,
        seconds: float,
    ) -> None:
        """Takes in what an attempt showed of its target."""
        now = self._clock.now()
        view = candidate.view
        answered = attempt.ending is Ending.ANSWERED
        reported = None
        if attempt.answer is not None:
            reported = _reported(attempt.answer.header(self._names.load))
            size = len(attempt.answer.body)
            name = passage.route.name
            before = self._answer_bytes_by_route.get(name, ANSWER_BYTES)
            self._answer_bytes_by_route[name] = before + 0.1 * (size - before)
        ratio = 0.0
        if answered:
            work = self._catalog.work(passage.service)
            if candidate.known and work.is_known:
                ratio = ratio_of(candidate, seconds)
            learn_work(work, candidate, reported, seconds)
        ejected = view.finish(
            attempt.ending, ratio=ratio, reported=reported, now=now
        )
        if ejected:
            self._tell(
                "target-ejected",
                target=view.target.name,
                service=view.target.service,
                why=attempt.detail,
                request=passage.attempt_id.decode("latin-1"),
            )
        if passage.service in self._catalog.orders_by_service:
            self._count_evidence(passage, view, attempt, seconds)
        if answered:
            self._crashes.clear(passage.print_)

    def _count_evidence(
        self,
        passage: Passage,
        view: TargetView,
        attempt: Attempt,
        seconds: float,
    ) -> None:
        if attempt.ending in (Ending.CANCELLED, Ending.SHED):
            return
        self._evidence.add(
            Sample(
                service=passage.service,
                version=view.target.version,
                route=passage.route.prefix,
                failed=attempt.ending is not Ending.ANSWERED,
                latency_s=seconds,
            )
        )

    async def _exchange(self, passage: Passage, view: TargetView) -> Attempt:
        target = view.target
        started = self._clock.now()
        try:
            connection = await self._pool.acquire(
                target.name, target.address, fresh=not passage.route.repeatable
            )
        except ConnectFailedError as error:
            return Attempt(
                ending=Ending.UNREACHABLE, not_run=True, detail=str(error)
            )
        await _notice_departure()
        left = passage.deadline - self._clock.now()
        if left < USEFUL_MIN_S:
            await self._pool.release(target.name, connection)
            return Attempt(
                ending=Ending.TIMEOUT, not_run=True, detail="no time is left"
            )
        passage.runs += 1
        answer: WireAnswer | None = None
        whole = False
        try:
            with trio.move_on_after(max(0.0, left) + DEADLINE_SLACK_S):
                answer = await connection.exchange(
                    self._outbound(passage, view, left)
                )
                whole = self._is_own(passage, answer)
        except ExchangeBrokenError as error:
            self._suspect(
                Suspicion(
                    print_=passage.print_,
                    target=target.name,
                    address=target.address,
                    started_at=started,
                )
            )
            return Attempt(ending=Ending.BROKEN, detail=str(error))
        finally:
            if not whole:
                await trio.aclose_forcefully(connection.stream)
        if answer is None:
            return Attempt(ending=Ending.TIMEOUT, detail="no answer in time")
        if not whole:
            return Attempt(
                ending=Ending.BROKEN, detail="the answer is another request's"
            )
        await self._pool.release(target.name, connection)
        return self._judge(passage, answer)

    def _is_own(self, passage: Passage, answer: WireAnswer) -> bool:
        echoed = answer.header(self._names.attempt)
        return echoed is None or echoed == passage.attempt_id

    def _judge(self, passage: Passage, answer: WireAnswer) -> Attempt:
        names = self._names
        refused = answer.header(names.not_executed) is not None
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        if refused or misdirected:
            passage.runs -= 1
            return Attempt(
                ending=Ending.UNREACHABLE if misdirected else Ending.SHED,
                answer=answer,
                not_run=True,
                detail=f"the target refused with {answer.status}",
            )
        if answer.header(names.stamp) is None:
            return Attempt(
                ending=Ending.BROKEN, detail="the answer has no stamp"
            )
        if answer.status >= SERVER_ERROR_MIN:
            return Attempt(
                ending=Ending.FAILED,
                answer=answer,
                detail=f"the target answered {answer.status}",
            )
        return Attempt(ending=Ending.ANSWERED, answer=answer)

    def _outbound(
        self, passage: Passage, view: TargetView, left: float
    ) -> WireRequest:
        names = self._names
        request = passage.request
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
            for name, value in end_to_end(request.header_pairs)
            if name not in dropped
        ]
        milliseconds = max(1, int(left * MILLISECONDS_PER_SECOND))
        headers.append((names.deadline, str(milliseconds).encode()))
        headers.append((names.instance, view.target.name.encode()))
        if passage.account is not None:
            headers.append((names.account, passage.account.name.encode()))
        return WireRequest(
            method=request.method.encode(),
            path=request.target,
            headers=headers,
            body=passage.body,
        )

    async def _answer(
        self, passage: Passage, answer: WireAnswer, send: asgi.Send
    ) -> None:
        """Passes a target's answer on to the caller."""
        status = answer.status
        promises = (408, 421, 429, 503)
        if status in promises and not passage.route.repeatable:
            refusal = _refusal(
                HTTPStatus.BAD_GATEWAY,
                "target-refused",
                Step.EXCHANGE,
                executed=Executed.UNKNOWN,
            )
            await self._refuse(passage.request, refusal, send)
            return
        headers = [(n, v) for n, v in answer.headers if n != b"content-length"]
        headers.append((b"content-length", str(len(answer.body)).encode()))
        await self._send(status, headers, answer.body, send)

    async def _refuse(
        self, request: asgi.HttpRequest, refusal: Refusal, send: asgi.Send
    ) -> None:
        name = self._names.attempt.decode()
        self._tell(
            "request-refused",
            request=request.headers.get(name, ""),
            status=refusal.status,
            reason=refusal.reason,
            detail=refusal.detail,
            executed=refusal.executed.value,
            retry_after_s=round(refusal.retry_after_s, 3),
        )
        answer = problem.to_response(refusal, whole_seconds=False)
        headers = [
            (b"content-type", answer.content_type.encode()),
            (b"content-length", str(len(answer.body)).encode()),
            *(
                (key.encode(), value.encode())
                for key, value in answer.headers.items()
            ),
        ]
        await self._send(answer.status, headers, answer.body, send)

    async def _send(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        send: asgi.Send,
    ) -> None:
        if self.leaving:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})


async def _notice_departure() -> None:
    """Lets a closed connection of the caller be seen before work is sent on.

    After a process was suspended, requests and the ends of their connections
    are read in the same moment.
    """
    for _ in range(DEPARTURE_CHECKPOINTS):
        await trio.lowlevel.checkpoint()


def _refusal(
    status: HTTPStatus,
    reason: str,
    step: Step,
    *,
    executed: Executed = Executed.NO,
    retry_after_s: float = 0.0,
    detail: str = "",
) -> Refusal:
    return Refusal(
        status=status.value,
        reason=reason,
        detail=detail or reason,
        step=step,
        executed=executed,
        retry_after_s=min(RETRY_AFTER_MAX_S, retry_after_s),
    )


def _cookie(header: str, name: str) -> str:
    for part in header.split(";"):
        key, _, value = part.strip().partition("=")
        if key.lower() == name.lower():
            return value
    return ""


def _reported(value: bytes | None) -> ReportedLoad | None:
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running=running, waiting=waiting, slots=slots)
