"""What is known of one request while it is served."""

from collections.abc import Callable
from dataclasses import dataclass

from kingcupvane.asgi import never_disconnected
from kingcupvane.errors import Executed, Refusal, Step
from kingcupvane.request.retry import SAFE_METHODS
from kingcupvane.version.items import Route, Service

FIRST_ATTEMPT = "1"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestContext:
    """One request after its route is known.

    Attributes:
        service: The service asked for.
        route: The route that matches; a plain one when none does.
        method: HTTP method.
        path: Path within the service.
        query: Raw query string.
        account: Client account, empty on open routes.
        key_name: Public part of the key, empty on open routes.
        idempotency_key: As the caller sent it.
        attempt: The caller's count of its attempts with this key.
        deadline: Monotonic seconds by which the answer is due.
        body: The whole body.
        fingerprint: Equal for repeats of this request.
        content_type: Media type of the body.
        accept: Media types that the caller takes.
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
    body: bytes = b""
    fingerprint: str = ""
    content_type: str = ""
    accept: str = ""
    is_disconnected: Callable[[], bool] = never_disconnected

    @property
    def is_safe(self) -> bool:
        """Whether running it twice does no harm."""
        return self.method in SAFE_METHODS and not self.route.at_most_once

    def not_run(self) -> Executed:
        """Returns what a refusal before the record was read may say.

        An order whose key was used before may have run already.
        """
        repeated = self.attempt != FIRST_ATTEMPT
        if self.route.at_most_once and repeated:
            return Executed.UNKNOWN
        return Executed.NO

    def refuse(
        self,
        status: int,
        reason: str,
        detail: str,
        step: Step,
        *,
        retry_after_s: float = 0.0,
        peer: str = "",
    ) -> Refusal:
        """Returns the refusal of this request, which was not dispatched."""
        return Refusal(
            status=status,
            reason=reason,
            detail=detail,
            step=step,
            peer=peer,
            executed=self.not_run(),
            retry_after_s=retry_after_s,
        )


def find_route(service: Service, path: str) -> Route:
    """Returns the route with the longest prefix that `path` starts with."""
    best = Route(prefix="/")
    for route in service.routes:
        matches = path.startswith(route.prefix)
        if matches and len(route.prefix) >= len(best.prefix):
            best = route
    return best
