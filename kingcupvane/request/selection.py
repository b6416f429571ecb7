"""Selection of the service and the target for a request to a gateway."""

from collections.abc import Mapping
from functools import partial

from kingcupvane.hashing import stable_hash
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.rollout import (
    NEW_COHORT,
    OLD_COHORT,
    RolloutStates,
    rollout_name,
    rollout_shares,
)
from kingcupvane.request.gateway_request import GatewayRequest
from kingcupvane.request.placement import (
    Candidate,
    TargetView,
    choose_candidate,
)
from kingcupvane.request.wait_limit import allowed_wait_s
from kingcupvane.version.move import VersionShare
from kingcupvane.version.plan import RoutePlan

# Response size assumed before a route's first response, in bytes, and the
# weight of a new sample in the moving average of the size.
INITIAL_RESPONSE_BYTES = 2000
RESPONSE_EWMA_WEIGHT = 0.1
HASH_RANGE = 2.0**64


class DestinationPicker:
    """Distributes a route's requests among services by weight.

    It is a smooth weighted round robin: each request adds to every service's
    credit that service's share of the total weight. The service with the most
    credit is picked and charged one credit.
    """

    def __init__(self):
        """Starts with zero credits."""
        self._credits_by_route: dict[tuple, dict[str, float]] = {}

    def pick(self, route: RoutePlan) -> str:
        """Returns the service with the most credit and charges it."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        credit_by_service = self._credits_by_route.setdefault(
            (route.name, route.destinations), {}
        )
        total = sum(destination.weight for destination in route.destinations)
        for destination in route.destinations:
            fraction = destination.weight / total if total else 0.0
            credit_by_service[destination.service] = (
                credit_by_service.get(destination.service, 0.0) + fraction
            )
        service = max(credit_by_service, key=credit_by_service.__getitem__)
        credit_by_service[service] -= 1.0
        return service


class TargetSelector:
    """Selects the best target that a request may use."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        rollout_states: RolloutStates,
    ):
        """Creates a selector.

        Args:
            catalog: Traffic plan and registered targets.
            rollout_states: Rollout states that this gateway knows.
        """
        self._catalog = catalog
        self._rollout_states = rollout_states
        self._response_bytes_by_route: dict[str, float] = {}

    def record_response_size(self, route: str, size: int) -> None:
        """Adds a response size, in bytes, to the average of its route."""
        average = self._response_bytes_by_route.get(
            route, INITIAL_RESPONSE_BYTES
        )
        change = RESPONSE_EWMA_WEIGHT * (size - average)
        self._response_bytes_by_route[route] = average + change

    def select(
        self, gateway_request: GatewayRequest, now: float
    ) -> Candidate | None:
        """Returns the best usable target, or None if there is none.

        A target that is cold as a whole gets more requests only if this one
        would wait or be refused elsewhere.
        """
        has_cold = self._catalog.pace.has_rate_limited(gateway_request.service)
        candidate = self._choose(gateway_request, now, is_needed=not has_cold)
        if has_cold and (candidate is None or candidate.wait_s > 0.0):
            candidate = self._choose(gateway_request, now, is_needed=True)
        return candidate

    def _choose(
        self, gateway_request: GatewayRequest, now: float, *, is_needed: bool
    ) -> Candidate | None:
        service = gateway_request.service
        shares_by_cohort = self._shares_by_cohort(service)
        size = len(gateway_request.body) + int(
            self._response_bytes_by_route.get(
                gateway_request.route.name, INITIAL_RESPONSE_BYTES
            )
        )
        cohorts = (
            [""]
            if shares_by_cohort is None
            else _cohorts(shares_by_cohort, gateway_request.ranking_key)
        )
        for cohort in cohorts:
            candidate = choose_candidate(
                self._catalog.ranking(
                    service, gateway_request.ranking_key, size=size
                ),
                affinity_key=gateway_request.affinity_key,
                usable=partial(
                    self._may_use,
                    gateway_request,
                    cohort,
                    now,
                    is_needed=is_needed,
                ),
                service_time=self._catalog.service_times.get(
                    service, gateway_request.route.name
                ),
                locality=self._catalog.locality,
                size=size,
                now=now,
                wait_limit_s=partial(_wait_limit_s, gateway_request, now),
            )
            if candidate is not None:
                return candidate
        return None

    def _shares_by_cohort(
        self, service: str
    ) -> Mapping[str, VersionShare] | None:
        spec = self._catalog.rollout_specs_by_service.get(service)
        if spec is None:
            return None
        state = self._rollout_states.states_by_name.get(rollout_name(spec))
        record = self._catalog.rollout_records_by_service.get(service)
        return rollout_shares(spec, record, state)

    def _may_use(
        self,
        gateway_request: GatewayRequest,
        cohort: str,
        now: float,
        view: TargetView,
        *,
        is_needed: bool,
    ) -> bool:
        """Returns whether the request may be sent to a target now.

        `cohort` limits the choice to targets of the new or the old version of
        a rollout; it is empty if the service has no rollout. `is_needed` tells
        whether the request would wait or be refused elsewhere.
        """
        target = view.target
        if view.is_leaving or target.name in gateway_request.excluded_targets:
            return False
        if target.data_centre in self._catalog.evacuated:
            return False
        if not _is_region_allowed(target.region, gateway_request):
            return False
        spec = self._catalog.rollout_specs_by_service.get(
            gateway_request.service
        )
        if spec is not None and cohort:
            is_new = target.version == spec.version
            if is_new != (cohort == NEW_COHORT):
                return False
        if not self._catalog.pace.may_use(view, now, is_needed=is_needed):
            return False
        return self._catalog.target_limits.may_use(target, now)


def _wait_limit_s(
    gateway_request: GatewayRequest, now: float, candidate: Candidate
) -> float:
    return allowed_wait_s(
        candidate,
        latency_objective_s=gateway_request.route.latency_objective_s,
        elapsed_s=now - gateway_request.arrived_at,
        remaining_s=gateway_request.deadline - now,
        is_caller_retry=gateway_request.is_caller_retry,
    )


def _is_region_allowed(region: str, gateway_request: GatewayRequest) -> bool:
    """Returns whether both route and account allow a region."""
    route_regions = gateway_request.route.regions
    if route_regions and region not in route_regions:
        return False
    account = gateway_request.account
    account_regions = account.regions if account is not None else None
    return not account_regions or region in account_regions


def _cohorts(
    shares_by_cohort: Mapping[str, VersionShare], ranking_key: str
) -> list[str]:
    """Returns the rollout cohorts that may serve a key, preferred one first.

    A key hashes to one cohort, so that the new version is compared on keys for
    which its targets are warm, as the old version is. Keys of the new cohort
    fall back to the old one.
    """
    new_share = shares_by_cohort[NEW_COHORT].share
    if new_share <= 0.0:
        return [OLD_COHORT]
    if stable_hash(f"side/{ranking_key}") / HASH_RANGE < new_share:
        return [NEW_COHORT, OLD_COHORT]
    return [OLD_COHORT]
