"""What is known of one request while it passes through a gateway."""

from dataclasses import dataclass, field
from http import HTTPStatus

from kingcupvane import asgi
from kingcupvane.connection.exchange import WireResponse
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.hashing import stable_hash
from kingcupvane.request.placement import AttemptOutcome
from kingcupvane.request.wait_limit import RETRY_AFTER_MAX_S
from kingcupvane.version.plan import AccountPlan, RoutePlan

# Orders of targets among which requests without an object are spread.
UNKEYED_RANKINGS = 64


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
        affinity_cookie: Cookie that names the object of the request.
        auth_scheme: Word before the key in the Authorization header.
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
    affinity_cookie: str
    auth_scheme: str
    ready_path: str
    lookup_path: str
    lookup_region: str
    lookup_data_centre: str
    lookup_addresses: str
    lookup_ttl: str


@dataclass(kw_only=True, slots=True)
class GatewayRequest:
    """One request while it is served.

    Attributes:
        request: As it came.
        route: Its route.
        account: Its client account; None on open routes.
        arrived_at: Monotonic time of its headers, in seconds.
        deadline: Monotonic time by which the answer is due, in seconds.
        attempt_id: Id of the caller's attempt.
        affinity_key: The object that it concerns; empty for none.
        returning: It was refused before and came back.
        body: The whole body.
        fingerprint: Equal for repeats of the request.
        service: Service that it goes to.
        sends: Targets that it was sent to, in order.
        avoided: Targets that it is not sent to again.
        runs: Targets that may have run it.
        trace: One word for each attempt: target, ending, milliseconds taken
            and expected, expected wait, and whether it knew the object.
    """

    request: asgi.HttpRequest
    route: RoutePlan
    account: AccountPlan | None
    arrived_at: float
    deadline: float
    attempt_id: bytes
    affinity_key: str
    returning: bool = False
    body: bytes = b""
    fingerprint: str = ""
    service: str = ""
    attempted_targets: list[str] = field(default_factory=list)
    avoided: set[str] = field(default_factory=set)
    executions: int = 0
    trace: list[str] = field(default_factory=list)

    @property
    def id(self) -> str:
        """Id of the caller's attempt as text."""
        return self.attempt_id.decode("latin-1")

    @property
    def ranking_key(self) -> str:
        """What the order of targets goes by: the object, or chance."""
        if self.affinity_key:
            return self.affinity_key
        return f"any/{stable_hash(self.id) % UNKEYED_RANKINGS}"

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

    outcome: AttemptOutcome
    response: WireResponse | None = None
    not_executed: bool = False
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectedCrash:
    """A request whose target broke off while it may have run it.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Name of the target.
        address: Its address.
        started_at: Monotonic time at which the run began, in seconds.
    """

    fingerprint: str
    target: str
    address: str
    started_at: float


def make_refusal(
    status: HTTPStatus,
    reason: str,
    step: Step,
    *,
    executed: Executed = Executed.NO,
    retry_after_s: float = 0.0,
    detail: str = "",
) -> Refusal:
    """Returns a refusal; its reason stands for the detail where none is given.

    Args:
        status: HTTP status.
        reason: Stable word for the class of refusal.
        step: Where it arose.
        executed: Whether the work has run.
        retry_after_s: Seconds after which a repeat may succeed, 0 for none.
        detail: One sentence for the caller.
    """
    return Refusal(
        status=status.value,
        reason=reason,
        detail=detail or reason,
        step=step,
        executed=executed,
        retry_after_s=min(RETRY_AFTER_MAX_S, retry_after_s),
    )
