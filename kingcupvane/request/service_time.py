"""Service times of requests, by service and route.

Load pattern: routes whose requests take very different times share the targets
of a service. A request's own time follows from its route, the wait in a
target's queue from the mix of all routes there.
"""

from kingcupvane.request.slowdown import ServiceSlowdown

# Weight of a new sample in a moving average.
EWMA_WEIGHT = 0.15
# Service times assumed before the first sample, in seconds.
INITIAL_WARM_SERVICE_S = 0.15
INITIAL_COLD_SERVICE_S = 0.4
# Samples for warm keys from which the service time counts as known.
WARM_SAMPLES_MIN = 20
# Weight of a new sample in the moving average of the share of first ranks that
# are warm.
WARM_SHARE_EWMA_WEIGHT = 0.05
# Weight of a new sample in the moving average of a route's share, and the share
# below which a route is forgotten.
SHARE_EWMA_WEIGHT = 0.02
SHARE_MIN = 0.001


class RouteMix:
    """The routes that share a service, and the share of each.

    Attributes:
        slowdown: What the service's targets reported of their slowdown.
    """

    def __init__(self):
        """Starts without routes."""
        self.slowdown = ServiceSlowdown()
        self._share_by_route: dict[str, float] = {}
        self._estimates_by_route: dict[str, ServiceTimeEstimate] = {}

    def add_route(self, route: str, estimate: "ServiceTimeEstimate") -> None:
        """Adds a route with its service times."""
        self._estimates_by_route[route] = estimate

    def count(self, route: str) -> None:
        """Counts a request of a route."""
        decayed = {
            known: share * (1.0 - SHARE_EWMA_WEIGHT)
            for known, share in self._share_by_route.items()
            if share >= SHARE_MIN
        }
        decayed[route] = decayed.get(route, 0.0) + SHARE_EWMA_WEIGHT
        self._share_by_route = decayed

    def mean_warm_service_s(self) -> float | None:
        """Returns the mean service time for warm keys; None if unknown."""
        total = sum(self._share_by_route.values())
        if not total:
            return None
        weighted = (
            share * self._estimates_by_route[route].warm_service_s
            for route, share in self._share_by_route.items()
        )
        return sum(weighted) / total


class ServiceTimeEstimate:
    """Moving averages of a service's service time, for warm and cold keys.

    Attributes:
        warm_service_s: Service time for a key that is warm at the target, in
            seconds.
        cold_service_s: Service time for any other key, in seconds.
        first_rank_warm_share: Share of the keys new to this gateway for which
            the first target of their ranking was warm: other gateways had sent
            them there.
    """

    def __init__(self, *, mix: RouteMix | None = None):
        """Starts with the initial service times and no samples.

        Args:
            mix: The routes that share the service; None for this one only.
        """
        self._mix = mix or RouteMix()
        self.warm_service_s = INITIAL_WARM_SERVICE_S
        self.cold_service_s = INITIAL_COLD_SERVICE_S
        self.first_rank_warm_share = 0.0
        self._samples = 0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples for warm keys."""
        return self._samples >= WARM_SAMPLES_MIN

    @property
    def slowdown(self) -> ServiceSlowdown:
        """What the targets of the service reported of their slowdown."""
        return self._mix.slowdown

    @property
    def queue_service_s(self) -> float:
        """Mean service time of the requests in a target's queue."""
        mean_s = self._mix.mean_warm_service_s()
        return self.warm_service_s if mean_s is None else mean_s

    def add(
        self,
        *,
        is_known_warm: bool,
        elapsed_s: float,
        is_first_rank: bool = False,
    ) -> None:
        """Adds the measured service time of one request.

        Args:
            is_known_warm: Whether this gateway knows that the key was warm. If
                not, another gateway may have warmed it: a service time closer
                to the warm than to the cold average is then ignored.
            elapsed_s: Service time, in seconds.
            is_first_rank: Whether all gateways prefer the target for the key.
        """
        if is_known_warm:
            self._samples += 1
            # The first sample replaces the initial value, and the first few
            # have equal weight.
            weight = max(EWMA_WEIGHT, 1.0 / self._samples)
            self.warm_service_s += weight * (elapsed_s - self.warm_service_s)
            return
        was_cold = elapsed_s > 0.5 * (self.warm_service_s + self.cold_service_s)
        if was_cold:
            self.cold_service_s += EWMA_WEIGHT * (
                elapsed_s - self.cold_service_s
            )
        if is_first_rank and self.has_enough_samples:
            change = (0.0 if was_cold else 1.0) - self.first_rank_warm_share
            self.first_rank_warm_share += WARM_SHARE_EWMA_WEIGHT * change


class ServiceTimes:
    """Service time estimates of all services and routes."""

    def __init__(self):
        """Starts without estimates."""
        self._estimates_by_key: dict[tuple[str, str], ServiceTimeEstimate] = {}
        self._mixes_by_service: dict[str, RouteMix] = {}

    def get(self, service: str, route: str) -> ServiceTimeEstimate:
        """Returns the estimate for a route's requests at a service."""
        estimate = self._estimates_by_key.get((service, route))
        if estimate is None:
            mix = self._mixes_by_service.setdefault(service, RouteMix())
            estimate = ServiceTimeEstimate(mix=mix)
            mix.add_route(route, estimate)
            self._estimates_by_key[service, route] = estimate
        return estimate

    def count(self, service: str, route: str) -> None:
        """Counts a request that a target of the service has answered."""
        self.get(service, route)
        self._mixes_by_service[service].count(route)

    def mean_s(self, service: str) -> float:
        """Returns the mean service time for warm keys at a service."""
        mix = self._mixes_by_service.get(service)
        mean_s = mix.mean_warm_service_s() if mix is not None else None
        return INITIAL_WARM_SERVICE_S if mean_s is None else mean_s
