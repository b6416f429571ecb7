"""Traffic plan: the operator's routes, services, accounts and limits.

A plan is one version of the operator's configuration, decoded and indexed for
the look-ups that each request makes. It is immutable; a newer version replaces
it as a whole. The module also defines the decoded specifications and records of
rollouts and the decoded records of targets.
"""

import enum
import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

MILLISECONDS_PER_SECOND = 1000


class RouteKind(enum.StrEnum):
    """Kind of a route's requests.

    Only requests of the kinds `IDEMPOTENT` and `DOWNLOAD`, whose responses are
    large, may be executed more than once.
    """

    IDEMPOTENT = "idempotent"
    DOWNLOAD = "download"
    NON_IDEMPOTENT = "once"
    UPLOAD = "upload"


@dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its weight, relative to the route's other destinations.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutePlan:
    """A route: requests of one host whose path starts with a prefix.

    Attributes:
        name: Name of the route.
        host: Host that requests name.
        prefix: Prefix of the path; it begins and ends with a slash.
        kind: Kind of the requests; tells whether they may be executed again.
        timeout_s: Longest time until the caller has a response, in seconds.
        latency_objective_s: Latency that a request should not exceed, in
            seconds.
        priority: Priority; 0 is the highest.
        destinations: Services that serve the route.
        attempts_max: Largest number of an idempotent request's attempts that
            targets may have executed.
        is_public: Whether requests are served without an account's key.
        sticky: Whether requests with the same affinity key go to the same
            target, which serves recently used objects faster.
        regions: Regions that may serve the route; empty for all.
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
    is_public: bool
    sticky: bool
    regions: frozenset[str]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """A service and the limits of its targets.

    Attributes:
        name: Name of the service.
        health_path: Path of the targets' health check.
        connections_max: Connections that a target accepts from all gateways.
        cold_s: Time for which a target is cold after its start, in seconds.
        cold_rate: Requests per second from all gateways that a cold target
            tolerates.
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
        keys: Keys that authenticate the account.
        priority: Priority that overrides the route's; None for the route's.
        rate: Requests per second over all gateways; 0 for no limit.
        burst: Token bucket size over all gateways, in requests.
        regions: Regions that may serve the account; empty for all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    regions: frozenset[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Attributes:
        header_max_bytes: Largest header section, in bytes.
        body_max_bytes: Largest request body, in bytes.
        header_timeout_s: Longest time to receive the headers, in seconds.
        idle_timeout_s: Longest time that a connection stays idle, in seconds.
    """

    header_max_bytes: int = 16 * 1024
    body_max_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class TrafficPlan:
    """One version of the operator's configuration.

    Attributes:
        number: Number of the version; increases with each change.
        routes: All routes.
        services_by_name: Services by name.
        accounts_by_name: Client accounts by name; if empty, no request needs a
            key.
        limits: Limits on callers' requests and connections.
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
class RolloutSpec:
    """The operator's specification of a rollout of a new version.

    Attributes:
        service: Name of the service.
        version: The new version.
        duration_s: Time within which the rollout must end, in seconds.
        revision: Store revision of the specification, which no other
            specification has.
    """

    service: str
    version: str
    duration_s: float
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutRecord:
    """State of a rollout as recorded in the store.

    Attributes:
        service: Name of the service.
        version: The new version.
        state: The recorded state.
        revision: Store revision of the record.
    """

    service: str
    version: str
    state: "RolloutRecordState"
    revision: int


class RolloutRecordState(enum.StrEnum):
    """State of a rollout, as recorded in the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken-back"


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredTarget:
    """A target's registration in the platform's store.

    Attributes:
        name: Id of the target, which changes with most restarts.
        service: Name of its service.
        version: Version of its software.
        address: Host and port.
        data_centre: Name of its data centre.
        region: Region of that data centre; empty if unknown.
        slots: Largest number of concurrent requests.
        leaving: Whether the target is draining.
        cold_left_s: Remaining cold time when the record was written, in
            seconds.
        started_ms: Start time of its process, in Unix milliseconds.
        sequence: Number of its reports since that start.
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
