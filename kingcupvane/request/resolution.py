"""Resolves the route and client account of a request from its headers."""

from http import HTTPStatus

from result import Err, Ok, Result

from kingcupvane import asgi
from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.errors import Refusal, Step
from kingcupvane.process.catalog import Catalog
from kingcupvane.request.gateway_request import (
    GatewayRequest,
    WireNames,
    make_refusal,
)
from kingcupvane.request.wait_limit import CallerRetryDetector
from kingcupvane.version.plan import AccountPlan, RoutePlan

# Timeout where neither the caller nor the route sets one, in seconds.
TIMEOUT_DEFAULT_S = 60.0
# Retry-After of a gateway that has not loaded a plan yet, in seconds.
NO_PLAN_RETRY_AFTER_S = 0.3


class RequestResolver:
    """Builds the gateway request from a caller's HTTP request."""

    def __init__(self, *, catalog: Catalog, names: WireNames, clock: Clock):
        """Makes a resolver.

        Args:
            catalog: Holds the plan in force.
            names: Header, cookie and path names.
            clock: Monotonic clock.
        """
        self._catalog = catalog
        self._names = names
        self._clock = clock
        self._caller_retry_detector = CallerRetryDetector()

    def resolve(
        self, request: asgi.HttpRequest
    ) -> Result[GatewayRequest, Refusal]:
        """Returns the gateway request, or a refusal.

        Requests are refused while there is no plan, when no route matches, and
        when the key is not valid, unless the route is public or the plan has no
        accounts.
        """
        plan = self._catalog.plan
        if plan.number == 0:
            return Err(
                make_refusal(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "no-plan-yet",
                    Step.ROUTE,
                    retry_after_s=NO_PLAN_RETRY_AFTER_S,
                )
            )
        path = request.raw_path_and_query.partition(b"?")[0].decode("latin-1")
        route = plan.find_route(request.headers.get("host", ""), path)
        if route is None:
            return Err(
                make_refusal(HTTPStatus.NOT_FOUND, "no-route", Step.ROUTE)
            )
        account = self._find_account(request)
        if account is None and plan.accounts_by_name and not route.is_public:
            return Err(
                make_refusal(
                    HTTPStatus.UNAUTHORIZED, "unknown-key", Step.AUTHENTICATE
                )
            )
        return Ok(self._make_gateway_request(request, route, account))

    def _find_account(self, request: asgi.HttpRequest) -> AccountPlan | None:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != self._names.auth_scheme.lower():
            return None
        return self._catalog.plan.accounts_by_key.get(key.strip())

    def _make_gateway_request(
        self,
        request: asgi.HttpRequest,
        route: RoutePlan,
        account: AccountPlan | None,
    ) -> GatewayRequest:
        arrived_at = self._clock.now() - request.queued_s
        caller_timeout_s = self._caller_timeout_s(request, route)
        timeout_s = min(caller_timeout_s, route.timeout_s or TIMEOUT_DEFAULT_S)
        cookie = _find_cookie(
            request.headers.get("cookie", ""), self._names.affinity_cookie
        )
        if not route.sticky:
            cookie = ""
        attempt_header = self._names.attempt.decode()
        return GatewayRequest(
            request=request,
            route=route,
            account=account,
            arrived_at=arrived_at,
            deadline=arrived_at + timeout_s,
            caller_deadline=arrived_at + caller_timeout_s,
            caller_attempt_id=request.headers.get(attempt_header, "").encode(
                "latin-1"
            ),
            affinity_key=f"{route.name}/{cookie}" if cookie else "",
            is_caller_retry=self._caller_retry_detector.is_caller_retry(
                route.name, timeout_s
            ),
        )

    def _caller_timeout_s(
        self, request: asgi.HttpRequest, route: RoutePlan
    ) -> float:
        """Returns how long the caller will wait, in seconds.

        That is the route's timeout where the caller doesn't say.
        """
        requested_ms = request.headers.get(self._names.deadline.decode(), "")
        if not requested_ms.isdigit():
            return route.timeout_s or TIMEOUT_DEFAULT_S
        return int(requested_ms) / MILLISECONDS_PER_SECOND


def _find_cookie(header: str, name: str) -> str:
    for part in header.split(";"):
        key, _, value = part.strip().partition("=")
        if key.lower() == name.lower():
            return value
    return ""
