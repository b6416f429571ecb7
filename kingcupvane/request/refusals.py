"""Refusals of requests, and a counter of them."""

from dataclasses import replace

from kingcupvane import asgi
from kingcupvane.connection.target_client import (
    ExchangeFailure,
    ExchangeFailureKind,
)
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.context import FIRST_ATTEMPT, RequestContext
from kingcupvane.version.items import Target

UNAUTHORIZED = 401
BAD_REQUEST = 400
NOT_FOUND = 404
UNPROCESSABLE = 422
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
OVERLOAD_RETRY_AFTER_S = 1.0


class RefusalCounter:
    """Counts refusals by reason and records samples in the time line.

    Attributes:
        count_by_reason: Refusals since the start, by reason.
    """

    def __init__(self, *, timeline: Timeline):
        """Starts without refusals.

        Args:
            timeline: Receives every refusal of a reason whose count is a power
                of two.
        """
        self._timeline = timeline
        self.count_by_reason: dict[str, int] = {}

    def count(self, refusal: Refusal) -> None:
        """Counts a refusal."""
        count = self.count_by_reason.get(refusal.reason, 0) + 1
        self.count_by_reason[refusal.reason] = count
        if count & (count - 1) == 0:
            self._timeline.record(
                "refusals",
                reason=refusal.reason,
                count=count,
                step=refusal.step.value,
                peer=refusal.peer,
                executed=refusal.executed.value,
            )


def mark_unknown_if_repeated(
    request: asgi.HttpRequest, refusal: Refusal
) -> Refusal:
    """Marks execution as unknown if an earlier attempt may have run.

    Args:
        request: The request; a repeated attempt says so in its headers.
        refusal: The refusal of this attempt.
    """
    attempt = request.headers.get("idempotency-attempt", FIRST_ATTEMPT)
    if attempt == FIRST_ATTEMPT:
        return refusal
    return replace(refusal, executed=Executed.UNKNOWN)


def unknown_service(step: Step) -> Refusal:
    """Returns the refusal of a request for a service that does not exist."""
    return Refusal(
        status=NOT_FOUND,
        reason="unknown-service",
        detail="No service has this name.",
        step=step,
    )


def key_in_content() -> Refusal:
    """Returns the refusal of a request with its key outside the header."""
    return Refusal(
        status=BAD_REQUEST,
        reason="key-in-content",
        detail="The key may stand only in the Authorization header.",
        step=Step.AUTHENTICATE,
    )


def configuration_unusable(why: str) -> Refusal:
    """Returns the refusal when the entry has no usable configuration."""
    return Refusal(
        status=UNAVAILABLE,
        reason="configuration-unusable",
        detail=why,
        step=Step.ROUTE,
        executed=Executed.UNKNOWN,
        retry_after_s=1.0,
    )


def key_withdrawn() -> Refusal:
    """Returns the refusal of a request whose key was withdrawn meanwhile."""
    return Refusal(
        status=UNAUTHORIZED,
        reason="key-withdrawn",
        detail="The key was withdrawn while the request ran.",
        step=Step.AUTHENTICATE,
        executed=Executed.UNKNOWN,
    )


def exchange_failed(
    context: RequestContext, target: Target, failure: ExchangeFailure
) -> Refusal:
    """Returns the refusal for an exchange without a complete response."""
    match failure.kind:
        case ExchangeFailureKind.NOT_SENT:
            status, executed = (
                BAD_GATEWAY,
                context.executed_by_earlier_attempt(),
            )
        case ExchangeFailureKind.SHED:
            status, executed = (
                UNAVAILABLE,
                context.executed_by_earlier_attempt(),
            )
        case ExchangeFailureKind.BROKEN:
            status, executed = BAD_GATEWAY, Executed.UNKNOWN
        case ExchangeFailureKind.TIMEOUT:
            status, executed = GATEWAY_TIMEOUT, Executed.UNKNOWN
    step = Step.EXCHANGE
    if failure.kind is ExchangeFailureKind.NOT_SENT:
        step = Step.CONNECT
    shed = failure.kind is ExchangeFailureKind.SHED
    return Refusal(
        status=status,
        reason=f"target-{failure.kind.value}",
        detail=f"The target gave no whole answer: {failure.detail}.",
        step=step,
        peer=target.name,
        executed=executed,
        retry_after_s=OVERLOAD_RETRY_AFTER_S if shed else 0.0,
    )


def crashes_targets() -> Refusal:
    """Returns the refusal of a request that crashed too many targets."""
    return Refusal(
        status=UNPROCESSABLE,
        reason="request-crashes-targets",
        detail="Targets died while they ran this request.",
        step=Step.ROUTE,
        executed=Executed.UNKNOWN,
    )


def no_free_slot(context: RequestContext, reason: str) -> Refusal:
    """Returns the refusal of a request for which no slot is free."""
    return context.make_refusal(
        UNAVAILABLE,
        reason,
        "No healthy target has a free slot.",
        Step.QUEUE,
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )


def caller_gone(context: RequestContext) -> Refusal:
    """Returns the refusal to count when the caller has disconnected."""
    return context.make_refusal(
        BAD_REQUEST,
        "caller-gone",
        "The caller closed its connection.",
        Step.READ,
    )
