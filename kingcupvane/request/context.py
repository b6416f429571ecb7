"""State of one request in an entry, once its route is known."""

from collections.abc import Callable
from dataclasses import dataclass

from kingcupvane.asgi import never_disconnected
from kingcupvane.connection.request_body import Body
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.request.retry import SAFE_METHODS
from kingcupvane.version.items import Route, Service

# Assumed where the caller does not number its attempt.
FIRST_ATTEMPT = "1"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestContext:
    """A request whose route and client account are known.

    Attributes:
        service: The requested service.
        route: The matching route; one with default values if none matches.
        method: HTTP method.
        path: Path within the service.
        query: Raw query string.
        account: Name of the client account; empty on open routes.
        key_name: Name of the key; empty on open routes.
        idempotency_key: Value of the Idempotency-Key header, unchecked.
        attempt: Value of the Idempotency-Attempt header: the caller's number of
            this attempt with the idempotency key.
        deadline: Monotonic time by which the response is due, in seconds.
        body: The whole body.
        fingerprint: Digest that is equal for repeats of the request.
        content_type: Value of the Content-Type header.
        accept: Value of the Accept header.
        is_disconnected: Returns whether the caller has closed its connection.
    """

    service: Service
    route: Route
    method: str
    path: str
    query: str
    account: str
    key_name: str
    idempotency_key: str
    attempt: str
    deadline: float
    body: Body = b""
    fingerprint: str = ""
    content_type: str = ""
    accept: str = ""
    is_disconnected: Callable[[], bool] = never_disconnected

    @property
    def is_safe(self) -> bool:
        """Whether the request may safely be executed more than once."""
        return self.method in SAFE_METHODS and not self.route.at_most_once

    def executed_by_earlier_attempt(self) -> Executed:
        """Returns whether an earlier attempt executed this request.

        For a repeated order this is unknown: an earlier attempt may have run.
        A refusal of an attempt that was not dispatched has this value in its
        field `executed`.
        """
        repeated = self.attempt != FIRST_ATTEMPT
        if self.route.at_most_once and repeated:
            return Executed.UNKNOWN
        return Executed.NO

    def make_refusal(
        self,
        status: int,
        reason: str,
        detail: str,
        step: Step,
        *,
        retry_after_s: float = 0.0,
        peer: str = "",
    ) -> Refusal:
        """Returns a refusal of this request, which was not dispatched."""
        return Refusal(
            status=status,
            reason=reason,
            detail=detail,
            step=step,
            peer=peer,
            executed=self.executed_by_earlier_attempt(),
            retry_after_s=retry_after_s,
        )


def find_route(service: Service, path: str) -> Route:
    """Returns the route with the longest prefix that matches a path.

    If none matches, it is a route with default values and the prefix `/`.
    """
    best = Route(prefix="/")
    for route in service.routes:
        matches = path.startswith(route.prefix)
        if matches and len(route.prefix) >= len(best.prefix):
            best = route
    return best
