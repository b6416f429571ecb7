"""Load shedding by priority: who may wait at a service that is overloaded.

Load pattern: routes and accounts of different priorities share the targets of
a service, and together they want more slots than there are. The requests of
low priority may have the longer latency objective, so that they accept queues
in which those of high priority miss theirs. Therefore each priority gets a
share: of its requests, only that share may wait for a slot nearly as long as
the higher priorities can bear. All others wait less, or use free slots.

The shares of the lowest priorities fall first, as long as the requests above
them are refused too often; each keeps a least share. Every gateway moves its
shares by what all gateways report, so that they move together without a leader.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from kingcupvane.hashing import stable_hash
from kingcupvane.request.priority_load import (
    LOAD_TIME_CONSTANT_S,
    LoadCounter,
    PriorityLoad,
    ServiceLoads,
    add_loads,
)
from kingcupvane.request.priority_shares import (
    LEAST_SHARE,
    next_shares,
    served_share,
)
from kingcupvane.request.returning_callers import ReturnRoom

# Age from which a peer's report says nothing about the load any more, in
# seconds.
REPORT_EXPIRY_S = 2.0
# Age up to which a silent peer still counts as one that serves callers, in
# seconds: it may be alive behind a cut link.
SILENT_PEER_EXPIRY_S = 10.0
# Time without requests after which a route no longer bounds the waits of lower
# priorities, in seconds.
ROUTE_EXPIRY_S = 10.0
# Refused part of the wanted slots at which an overload begins; it ends when the
# part has been below the lower bound for some time, in seconds.
OVERLOAD_BEGIN = 0.05
OVERLOAD_END = 0.02
OVERLOAD_HOLD_S = 2.0
# Refused slots below which no overload begins: a few requests for a single
# busy target.
OVERLOAD_SLOTS_MIN = 1.0
# Least part of the served slots for callers who come back too late for their
# objective.
LATE_ROOM_MIN = 0.1
# Part of the wait that higher priorities can bear for which requests within the
# share of a lower one may wait, and those beyond it: with no queue at all,
# targets would idle until word of their free slots arrives.
SHARE_WAIT = 0.9
BEYOND_SHARE_WAIT = 0.4
# Weight of the fleet's mean share in a gateway's own: holds them together.
FLEET_WEIGHT = 0.3
# Shortest interval between two computations of the shares, in seconds.
UPDATE_PERIOD_S = 0.2
HASH_RANGE = 2.0**64


@dataclass(frozen=True, kw_only=True, slots=True)
class _TolerableWait:
    """Wait that requests of one route and priority can bear, in seconds."""

    priority: int
    wait_s: float
    counted_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerReport:
    """What a peer reported, and when, in monotonic seconds."""

    loads_by_service: ServiceLoads
    received_at: float


@dataclass(kw_only=True, slots=True)
class ServiceState:
    """What a gateway knows of the load at a service.

    Attributes:
        is_overloaded: Whether more than a few requests are refused for which
            there are no idle slots.
        wanted: Slots that callers of all gateways want.
        served: The part of `wanted` that was not refused.
        returning: The part of `wanted` that had been refused before.
        idle_slots: Slots of the service's targets that are free.
        own_part: This gateway's part of what all gateways serve.
        shares: Share of each priority that may wait for a slot.
        report_age_s: Age of the oldest report that was used, in seconds.
        short_of_slots_at: Monotonic time at which slots were last missing, in
            seconds.
        updated_at: Monotonic time of the last update, in seconds.
    """

    is_overloaded: bool = False
    wanted: float = 0.0
    served: float = 0.0
    returning: float = 0.0
    idle_slots: float = 0.0
    own_part: float = 1.0
    shares: dict[int, float] = field(default_factory=dict)
    report_age_s: float = 0.0
    short_of_slots_at: float = float("-inf")
    updated_at: float = float("-inf")

    @property
    def room_for_returns(self) -> ReturnRoom:
        """What this gateway expects to have for returning callers."""
        capacity = self.served + self.idle_slots
        first_attempts = self.wanted - self.returning
        late = max(capacity - first_attempts, LATE_ROOM_MIN * capacity)
        return ReturnRoom(
            in_time_slots=self.own_part * capacity,
            late_slots=self.own_part * late,
        )

    def update(
        self,
        loads: Iterable[PriorityLoad],
        *,
        idle_slots: float,
        own_part: float,
        now: float,
    ) -> bool:
        """Follows the load; returns whether an overload began or ended.

        Args:
            loads: Load of the whole fleet, by priority.
            idle_slots: Slots of the service's targets that are free.
            own_part: This gateway's part of what all gateways serve.
            now: Monotonic seconds.
        """
        loads = list(loads)
        was_overloaded = self.is_overloaded
        elapsed_s = now - self.updated_at
        self.updated_at = now
        self.own_part = own_part
        weight = 1.0 - math.exp(-elapsed_s / LOAD_TIME_CONSTANT_S)
        self.idle_slots += weight * (idle_slots - self.idle_slots)
        self.wanted = sum(load.wanted for load in loads)
        refused = sum(load.refused for load in loads)
        self.returning = sum(load.returning for load in loads)
        self.served = max(0.0, self.wanted - refused)
        self._update_overload(refused - self.idle_slots, now)
        fleet_shares = {
            load.priority: load.allowed / load.wanted
            for load in loads
            if load.wanted > 0.0
        }
        self.shares = next_shares(
            {
                priority: (1.0 - FLEET_WEIGHT) * self.shares.get(priority, mean)
                + FLEET_WEIGHT * mean
                for priority, mean in fleet_shares.items()
            },
            loads,
            least=LEAST_SHARE * served_share(loads),
            is_overloaded=self.is_overloaded,
            elapsed_s=elapsed_s,
        )
        return self.is_overloaded != was_overloaded

    def _update_overload(self, missing: float, now: float) -> None:
        if missing > max(OVERLOAD_SLOTS_MIN, OVERLOAD_BEGIN * self.wanted):
            self.is_overloaded = True
        if missing > OVERLOAD_END * self.wanted:
            self.short_of_slots_at = now
        elif now - self.short_of_slots_at > OVERLOAD_HOLD_S:
            self.is_overloaded = False


class LoadShedder:
    """One gateway's shares by service and priority; does no I/O."""

    def __init__(
        self,
        *,
        idle_slots: Callable[[str], float],
        log_event: Callable[..., None],
    ):
        """Starts without load.

        Args:
            idle_slots: Returns how many slots of a service's targets are free.
            log_event: Logs an event; takes its kind and fields.
        """
        self._idle_slots = idle_slots
        self._log_event = log_event
        self._counter = LoadCounter()
        self._reports_by_peer: dict[str, _PeerReport] = {}
        self._states_by_service: dict[str, ServiceState] = {}
        self._tolerable_waits: dict[str, dict[str, _TolerableWait]] = {}

    def count_request(
        self,
        service: str,
        *,
        route: str,
        priority: int,
        service_s: float,
        tolerable_wait_s: float,
        is_returning: bool,
        now: float,
    ) -> None:
        """Counts a caller's request for a service.

        Args:
            service: Name of the service.
            route: Name of the request's route.
            priority: Its priority.
            service_s: Its service time, in seconds.
            tolerable_wait_s: Wait with which the route's requests still meet
                their latency objective, in seconds.
            is_returning: Whether it was refused before.
            now: Monotonic seconds.
        """
        self._counter.count_request(
            service,
            priority=priority,
            service_s=service_s,
            is_returning=is_returning,
            now=now,
        )
        waits = self._tolerable_waits.setdefault(service, {})
        waits[f"{priority}/{route}"] = _TolerableWait(
            priority=priority, wait_s=tolerable_wait_s, counted_at=now
        )

    def count_refusal(
        self, service: str, *, priority: int, service_s: float, now: float
    ) -> None:
        """Counts the refusal of a request that was counted before."""
        self._counter.count_refusal(
            service, priority=priority, service_s=service_s, now=now
        )

    def report(self, now: float) -> dict[str, list[PriorityLoad]]:
        """Returns this gateway's load, for its peers."""
        loads_by_service = {
            service: self._counter.loads(service, self._shares(service), now)
            for service in self._counter.services()
        }
        return {s: loads for s, loads in loads_by_service.items() if loads}

    def _shares(self, service: str) -> Mapping[int, float]:
        state = self._states_by_service.get(service)
        return state.shares if state is not None else {}

    def update_peer(
        self, peer: str, loads_by_service: ServiceLoads, now: float
    ) -> None:
        """Replaces what a peer, or a whole data centre, has reported."""
        self._reports_by_peer[peer] = _PeerReport(
            loads_by_service=loads_by_service, received_at=now
        )

    def state(self, service: str, now: float) -> ServiceState:
        """Returns what is known of the load at a service."""
        state = self._states_by_service.setdefault(service, ServiceState())
        if now - state.updated_at >= UPDATE_PERIOD_S:
            self._update(service, state, now)
        return state

    def states(self, now: float) -> dict[str, ServiceState]:
        """Returns the states of all services that callers have asked for."""
        return {
            service: self.state(service, now)
            for service in self._counter.services()
        }

    def _update(self, service: str, state: ServiceState, now: float) -> None:
        self._remove_old_waits(service, now)
        own = {
            service: self._counter.loads(service, self._shares(service), now)
        }
        reports = [own]
        known_wanted = own_wanted = _wanted(own, service)
        state.report_age_s = 0.0
        for peer, report in list(self._reports_by_peer.items()):
            age_s = now - report.received_at
            if age_s > SILENT_PEER_EXPIRY_S:
                del self._reports_by_peer[peer]
                continue
            known_wanted += _wanted(report.loads_by_service, service)
            if age_s <= REPORT_EXPIRY_S:
                state.report_age_s = max(state.report_age_s, age_s)
                reports.append(
                    {service: report.loads_by_service.get(service, [])}
                )
        loads = add_loads(reports).get(service, [])
        own_part = own_wanted / known_wanted if known_wanted > 0.0 else 1.0
        idle_slots = self._idle_slots(service)
        if state.update(
            loads, idle_slots=idle_slots, own_part=own_part, now=now
        ):
            self._log_event(
                "overload-began" if state.is_overloaded else "overload-ended",
                service=service,
                wanted_slots=round(state.wanted, 1),
                served_slots=round(state.served, 1),
                idle_slots=round(state.idle_slots, 1),
                report_age_s=round(state.report_age_s, 2),
            )

    def wait_limit_s(
        self,
        service: str,
        *,
        priority: int,
        request_id: str,
        limit_s: float,
        now: float,
    ) -> float:
        """Returns how long a request may wait, its priority considered.

        Args:
            service: Name of the service.
            priority: Priority of the request.
            request_id: Id of the caller's attempt; decides the draw.
            limit_s: How long it might wait otherwise, in seconds.
            now: Monotonic seconds.

        Returns:
            The time in seconds; `limit_s` for the highest priority and unless
            several priorities compete in an overload.
        """
        state = self.state(service, now)
        if not state.is_overloaded or priority == min(
            state.shares, default=priority
        ):
            return limit_s
        draw = stable_hash(f"share/{request_id}") / HASH_RANGE
        is_within_share = draw < state.shares.get(priority, 1.0)
        part = SHARE_WAIT if is_within_share else BEYOND_SHARE_WAIT
        return min(limit_s, part * self._tolerable_wait_s(service, priority))

    def _remove_old_waits(self, service: str, now: float) -> None:
        waits = self._tolerable_waits.get(service, {})
        for key, wait in list(waits.items()):
            if now - wait.counted_at > ROUTE_EXPIRY_S:
                del waits[key]

    def _tolerable_wait_s(self, service: str, priority: int) -> float:
        """Returns the wait that all higher priorities can bear, in seconds."""
        waits_s = (
            wait.wait_s
            for wait in self._tolerable_waits.get(service, {}).values()
            if wait.priority < priority
        )
        return min(waits_s, default=math.inf)


def _wanted(loads_by_service: ServiceLoads, service: str) -> float:
    return sum(load.wanted for load in loads_by_service.get(service, ()))
