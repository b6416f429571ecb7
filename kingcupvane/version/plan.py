"""What the operator has ordered: routes, services, accounts and limits.

A plan is one version of the operator's configuration, decoded and indexed for
the look-ups that each request makes. It is immutable; a newer version replaces
it as a whole.
"""

import enum
import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

MILLISECONDS_PER_SECOND = 1000


class RouteKind(enum.StrEnum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    UPLOAD = "upload"


@dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that gets a part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the route's other destinations.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutePlan:
    """Requests of one host whose path starts with a prefix.

    Attributes:
        name: Name of the route.
        host: Host that the request names.
        prefix: Start of the path; it begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        latency_objective_s: Latency objective, in seconds.
        priority: Rank, 0 is the highest.
        destinations: Services that serve it.
        attempts_max: Most targets that one request is sent to.
        open: No key is needed.
        sticky: Targets serve an object faster that they served lately.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    destinations: tuple[Destination, ...]
    attempts_max: int
    open: bool
    sticky: bool
    regions: frozenset[str]

    @property
    def is_idempotent(self) -> bool:
        """Whether running a request twice does no harm."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """A service and what its targets bear.

    Attributes:
        name: Name of the service.
        health_path: Path of the targets' health check.
        connections_max: Connections that a target takes from all gateways.
        cold_s: Time for which a started target is cold, in seconds.
        cold_rate: Requests a second that a cold target tolerates.
    """

    name: str
    health_path: str
    connections_max: int
    cold_s: float
    cold_rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountPlan:
    """A client account.

    Attributes:
        name: Name of the account.
        keys: Its keys.
        priority: Rank that goes before the route's; None for the route's.
        rate: Requests a second over all gateways; 0 for no limit.
        burst: Requests at once over all gateways.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    regions: frozenset[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send.

    Attributes:
        header_max_bytes: Largest header section, in bytes.
        body_max_bytes: Largest body, in bytes.
        header_timeout_s: Longest time to send the headers, in seconds.
        idle_timeout_s: Longest time that a connection stays idle, in seconds.
    """

    header_max_bytes: int = 16 * 1024
    body_max_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class TrafficPlan:
    """One version of all that the operator has ordered.

    Attributes:
        number: Version; grows with each change.
        routes: All routes.
        services_by_name: Services by name.
        accounts_by_name: Client accounts by name; empty when no keys are used.
        limits: What callers may send.
    """

    number: int = 0
    routes: tuple[RoutePlan, ...] = ()
    services_by_name: Mapping[str, ServicePlan] = field(default_factory=dict)
    accounts_by_name: Mapping[str, AccountPlan] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()

    @functools.cached_property
    def accounts_by_key(self) -> Mapping[str, AccountPlan]:
        """Client accounts by key."""
        return {
            key: account
            for account in self.accounts_by_name.values()
            for key in account.keys
        }

    @functools.cached_property
    def routes_by_host(self) -> Mapping[str, tuple[RoutePlan, ...]]:
        """Routes by host, the longest prefix first."""
        by_host: dict[str, list[RoutePlan]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(
                sorted(group, key=lambda r: len(r.prefix), reverse=True)
            )
            for host, group in by_host.items()
        }

    def find_route(self, host: str, path: str) -> RoutePlan | None:
        """Returns the route with the longest prefix that `path` starts with.

        Args:
            host: Host header of the request, with or without a port.
            path: Path of the request, without its query.
        """
        routes = self.routes_by_host.get(host)
        if routes is None:
            name, _, _ = host.partition(":")
            routes = self.routes_by_host.get(name, ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """The order to move a service's traffic to a new version.

    Attributes:
        service: Name of the service.
        version: The new version.
        duration_s: Time until the move must have ended, in seconds.
        revision: Store revision of the order; a new order has another one.
    """

    service: str
    version: str
    duration_s: float
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOutcome:
    """What the store holds on how a rollout stands.

    Attributes:
        service: Name of the service.
        version: The new version.
        state: One of `RolloutState`.
        revision: Store revision of this record.
    """

    service: str
    version: str
    state: "RolloutState"
    revision: int


class RolloutState(enum.StrEnum):
    """How a rollout stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken-back"


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredTarget:
    """A target as it has registered itself in the platform's store.

    Attributes:
        name: Its id; another one after most restarts.
        service: Name of its service.
        version: Version of its software.
        address: Host and port.
        data_centre: Its data centre.
        region: Region of that data centre; empty when unknown.
        slots: Requests that it serves at a time.
        leaving: It has begun to drain.
        cold_left_s: How much longer it stays cold, from the time of the
            record, in seconds.
        started_ms: When its process started, in Unix milliseconds.
        sequence: Count of its reports since that start.
    """

    name: str
    service: str
    version: str
    address: str
    data_centre: str
    region: str
    slots: int
    leaving: bool
    cold_left_s: float
    started_ms: int
    sequence: int
