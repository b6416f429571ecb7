"""State of one request in a gateway, and of its attempts."""

from dataclasses import dataclass, field
from http import HTTPStatus

from kingcupvane import asgi
from kingcupvane.connection.request_body import Body
from kingcupvane.connection.target_connection import WireResponse
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.hashing import stable_hash
from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.request.placement import AttemptOutcome
from kingcupvane.request.wait_limit import RETRY_AFTER_MAX_S
from kingcupvane.version.plan import AccountPlan, RoutePlan

# Number of target rankings among which requests without an affinity key are
# spread.
UNKEYED_RANKINGS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class WireNames:
    """Protocol names that callers, gateways and targets share.

    Values of type `bytes` are header names in lower case.

    Attributes:
        attempt: Id of the caller's attempt; targets echo it.
        deadline: Time that the caller still waits, in milliseconds.
        instance: Name of the target that the request is addressed to.
        account: Name of the client account, set by the gateway.
        load: Running requests, waiting requests and slots of the target, and
            where it says so how long work takes at present in percent of the
            usual time, as integers with commas between them.
        not_executed: Present when the target did not execute the request.
        stamp: Present on each response that the target itself produced.
        leaving: Headers that announce the stop of the responding target, each
            on its own.
        limit: Headers with the requests per second that the responding target
            takes from all gateways together.
        affinity_cookie: Cookie that holds the affinity key.
        auth_scheme: Authentication scheme in the Authorization header.
        ready_path: Path of the readiness check.
        lookup_path: Path at which callers look up gateways.
        lookup_region: Query parameter with the caller's region.
        lookup_data_centre: Query parameter with the caller's data centre.
        lookup_addresses: Response field with the gateways' addresses.
        lookup_ttl: Response field with its time to live, in seconds.
    """

    attempt: bytes
    deadline: bytes
    instance: bytes
    account: bytes
    load: bytes
    not_executed: bytes
    stamp: bytes
    leaving: frozenset[bytes]
    limit: frozenset[bytes]
    affinity_cookie: str
    auth_scheme: str
    ready_path: str
    lookup_path: str
    lookup_region: str
    lookup_data_centre: str
    lookup_addresses: str
    lookup_ttl: str

    @property
    def announcements(self) -> frozenset[bytes]:
        """Headers of targets that are meant for the gateways only."""
        return self.leaving | self.limit


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitDecision:
    """Whether a request may wait for a slot, and why.

    Attributes:
        wait_s: Its expected wait, in seconds.
        limit_s: The longest wait that it is allowed, in seconds.
        cause: Why it may not: `wait` for its latency objective or deadline,
            `share` for its priority alone.
        share: Share of its priority's requests that may wait.
        is_overloaded: Whether the service refuses more than a few requests.
        report_age_s: Age of the oldest report behind that, in seconds.
    """

    wait_s: float
    limit_s: float
    cause: str
    share: float
    is_overloaded: bool
    report_age_s: float

    @property
    def is_admitted(self) -> bool:
        """Whether the request may be sent."""
        return self.wait_s <= self.limit_s

    def explain(self) -> str:
        """Returns why the request is refused, for its caller."""
        return f"wait {self.wait_s:.3f} s allowed {self.limit_s:.3f} s"

    def log_fields(self) -> dict[str, object]:
        """Returns what the log line of a refusal tells."""
        return {
            "share": round(self.share, 2),
            "overload": self.is_overloaded,
            "report_age_s": round(self.report_age_s, 2),
        }


@dataclass(kw_only=True, slots=True)
class GatewayRequest:
    """A caller's request while a gateway serves it.

    Attributes:
        request: The HTTP request as received.
        route: The matching route.
        account: The client account; None without a valid key.
        arrived_at: Monotonic time at which the headers arrived, in seconds.
        deadline: Monotonic time by which the response is due, in seconds.
        caller_deadline: Monotonic time until which the caller waits, its own
            retries included, in seconds; the route's timeout does not bound it.
        caller_attempt_id: Id of the caller's attempt.
        affinity_key: Route and affinity cookie; empty for no affinity.
        is_caller_retry: Whether it repeats a refused request, as judged by a
            timeout that is shorter than that of first attempts.
        body: The whole body.
        fingerprint: Digest that is equal for repeats of the request.
        service: Name of the service that serves it.
        attempted_targets: Names of the targets tried, in order.
        excluded_targets: Names of the targets that get no further attempt.
        executions: Number of attempts that a target may have executed.
        is_crash_trial: Whether it is the only copy of a quarantined request
            that may be sent now.
        wait_decision: Whether it may wait at its last target; None before.
        trace: Summary of each attempt: target, outcome, latency, expected
            latency and wait in milliseconds, and `known` or `new` for the
            affinity key at the target.
    """

    request: asgi.HttpRequest
    route: RoutePlan
    account: AccountPlan | None
    arrived_at: float
    deadline: float
    caller_deadline: float
    caller_attempt_id: bytes
    affinity_key: str
    is_caller_retry: bool = False
    body: Body = b""
    fingerprint: str = ""
    service: str = ""
    attempted_targets: list[str] = field(default_factory=list)
    excluded_targets: set[str] = field(default_factory=set)
    executions: int = 0
    is_crash_trial: bool = False
    wait_decision: WaitDecision | None = None
    trace: list[str] = field(default_factory=list)

    @property
    def id(self) -> str:
        """Id of the caller's attempt, as text for logs and hashing."""
        return self.caller_attempt_id.decode("latin-1")

    @property
    def ranking_key(self) -> str:
        """Key that ranks the targets; pseudo-random without an affinity key."""
        if self.affinity_key:
            return self.affinity_key
        return f"any/{stable_hash(self.id) % UNKEYED_RANKINGS}"

    @property
    def priority(self) -> int:
        """Priority of its account if that has one, else of its route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def refusal_cause(self) -> str:
        """Why there is no slot for it: `wait`, `share`, `shed` or `no-target`.

        The first two are those of `WaitDecision`; `shed` if a target refused
        it, `no-target` if none could be asked.
        """
        decision = self.wait_decision
        if decision is not None and not decision.is_admitted:
            return decision.cause
        return "shed" if self.attempted_targets else "no-target"

    @property
    def account_name(self) -> str:
        """Name of the client account; empty without one."""
        return self.account.name if self.account is not None else ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Result of sending a request to one target.

    Attributes:
        outcome: How the attempt ended.
        response: The target's response; None without one.
        not_executed: Whether the target certainly did not execute it.
        detail: Cause of a failure; reaches the caller and the log.
    """

    outcome: AttemptOutcome
    response: WireResponse | None = None
    not_executed: bool = False
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectedCrash:
    """A request whose exchange broke off after it was sent.

    The target may have executed it.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Name of the target.
        process: Identifies the target's process: it may start again under its
            name.
        address: Host and port of the target.
        started_at: Monotonic time at which the attempt began, in seconds.
    """

    fingerprint: str
    target: str
    process: str
    address: str
    started_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredExchange:
    """A request that got no response in time, at a target of a rollout.

    Attributes:
        target: Name of the target.
        address: Host and port of the target.
        sample: Evidence on the target's version, valid if the target lives.
    """

    target: str
    address: str
    sample: ExchangeSample


def make_refusal(
    status: HTTPStatus,
    reason: str,
    step: Step,
    *,
    executed: Executed = Executed.NO,
    retry_after_s: float = 0.0,
    detail: str = "",
) -> Refusal:
    """Returns a refusal, with Retry-After capped at `RETRY_AFTER_MAX_S`.

    Args:
        status: HTTP status.
        reason: Stable identifier of the class of refusal.
        step: Pipeline step that refused the request.
        executed: Whether the request was executed.
        retry_after_s: Retry-After in seconds; 0 for none.
        detail: Explanation for the caller; the reason where empty.
    """
    return Refusal(
        status=status.value,
        reason=reason,
        detail=detail or reason,
        step=step,
        executed=executed,
        retry_after_s=min(RETRY_AFTER_MAX_S, retry_after_s),
    )
