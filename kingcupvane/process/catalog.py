"""Catalog of the plan, targets and rollouts, built from the store's items.

The adapter to a platform decodes items into updates; the catalog applies
them. A plan is never replaced by an older one.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from kingcupvane.clock import Clock
from kingcupvane.process.registrations import Registrations
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.announcements import (
    Announcement,
    LeavingInstances,
    TargetInstance,
    instance_of,
)
from kingcupvane.request.cold_bound import ColdBound
from kingcupvane.request.load_shedding import LoadShedder
from kingcupvane.request.pace import TargetPacer
from kingcupvane.request.peer_requests import PeerRequests
from kingcupvane.request.placement import (
    BULK_BYTES,
    Locality,
    RankingCache,
    TargetView,
)
from kingcupvane.request.quota import DemandEstimator, DistributedQuota
from kingcupvane.request.service_time import ServiceTimes
from kingcupvane.request.spillover import (
    RegionLoad,
    SpilloverController,
    usable_slots,
)
from kingcupvane.request.target_limits import TargetLimits
from kingcupvane.version.plan import (
    RegisteredTarget,
    RolloutRecord,
    RolloutSpec,
    TrafficPlan,
)
from kingcupvane.version.rollout_checkpoint import RolloutCheckpoint

# Time constant of the smoothed demand by service, in seconds.
DEMAND_TIME_CONSTANT_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanUpdate:
    """A plan that the operator has written."""

    plan: TrafficPlan


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetUpdate:
    """A target's registration; None when it is removed."""

    name: str
    target: RegisteredTarget | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutSpecUpdate:
    """The specification of a rollout; None when it is withdrawn."""

    service: str
    spec: RolloutSpec | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutRecordUpdate:
    """The stored state of a rollout; None when the record is removed."""

    service: str
    record: RolloutRecord | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutCheckpointUpdate:
    """A stored checkpoint of a rollout; None when it is removed."""

    service: str
    checkpoint: RolloutCheckpoint | None


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationUpdate:
    """The start or end of the evacuation of a data centre."""

    data_centre: str
    evacuated: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayUpdate:
    """A gateway's record in the store.

    The catalog ignores it; the daemon adds the gateway to its known peers.

    Attributes:
        name: Name of the gateway.
        value: The record as JSON; empty when it is removed.
    """

    name: str
    value: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadableItem:
    """An item that cannot be decoded.

    Attributes:
        key: Its key.
        reason: What is wrong with it.
        target: Name of the target that it registers, which the catalog
            removes; empty if it is of another kind.
    """

    key: str
    reason: str
    target: str = ""


CatalogUpdate = (
    PlanUpdate
    | TargetUpdate
    | RolloutSpecUpdate
    | RolloutRecordUpdate
    | RolloutCheckpointUpdate
    | EvacuationUpdate
    | GatewayUpdate
    | UnreadableItem
)


class Catalog:
    """The plan in force, the registered targets and the specified rollouts.

    Attributes:
        locality: Region and data centre of this gateway.
        plan: The plan in force; number 0 before the first.
        evacuated: Data centres whose targets get no requests.
        rollout_specs_by_service: Specifications of rollouts.
        rollout_records_by_service: Rollout records in the store.
        rollout_checkpoints_by_service: Stored checkpoints of rollouts.
        service_times: Estimated service times of requests.
        pace: Limits the requests to targets that have just started or come
            back.
        target_limits: Rate limits that targets have named.
        peer_requests: Requests of other gateways in flight at the targets.
        load_shedder: Load by service and priority, of all gateways.
    """

    def __init__(
        self,
        *,
        name: str,
        locality: Locality,
        quota: DistributedQuota,
        clock: Clock,
        timeline: Timeline,
        cold_bound: ColdBound | None = None,
    ):
        """Makes an empty catalog.

        Args:
            name: Name of this gateway.
            locality: Its region and data centre.
            quota: Divides the targets' rate limits among the gateways.
            clock: Monotonic clock.
            timeline: Log of changes.
            cold_bound: Bound of the requests to a cold target; by default
                that of the settings' defaults.
        """
        self._clock = clock
        self._timeline = timeline
        self.locality = locality
        self.plan = TrafficPlan()
        self.evacuated: set[str] = set()
        self.rollout_specs_by_service: dict[str, RolloutSpec] = {}
        self.rollout_records_by_service: dict[str, RolloutRecord] = {}
        self.rollout_checkpoints_by_service: dict[str, RolloutCheckpoint] = {}
        self.service_times = ServiceTimes()
        self.pace = TargetPacer(
            name=name,
            bound=cold_bound or ColdBound(),
            draw=random.random,
            cold_rate=self.cold_rate,
            log_event=timeline.record,
        )
        self.target_limits = TargetLimits(
            quota=quota, log_event=timeline.record
        )
        self.peer_requests = PeerRequests(apply_count=self._set_peer_in_flight)
        self.load_shedder = LoadShedder(
            idle_slots=self._idle_slots, log_event=timeline.record
        )
        self._views_by_name: dict[str, TargetView] = {}
        self._views_by_service: dict[str, list[TargetView]] = {}
        self._registrations = Registrations()
        self._demand_estimators_by_service: dict[str, DemandEstimator] = {}
        self._spillover_by_service: dict[str, SpilloverController] = {}
        self._ranking_cache = RankingCache(locality=locality)
        self._leaving_instances = LeavingInstances()
        self._deferred_by_name: dict[str, TargetView] = {}

    def apply(self, update: CatalogUpdate) -> None:
        """Applies one update."""
        match update:
            case PlanUpdate(plan=plan):
                self._apply_plan(plan)
            case TargetUpdate(name=name, target=target):
                self._apply_target(name, target)
            case RolloutSpecUpdate(service=service, spec=spec):
                _set_or_remove(self.rollout_specs_by_service, service, spec)
                self._timeline.record(
                    "rollout-ordered",
                    service=service,
                    version=spec.version if spec else "",
                )
            case RolloutRecordUpdate(service=service, record=record):
                _set_or_remove(self.rollout_records_by_service, service, record)
            case RolloutCheckpointUpdate(
                service=service, checkpoint=checkpoint
            ):
                _set_or_remove(
                    self.rollout_checkpoints_by_service, service, checkpoint
                )
            case EvacuationUpdate(data_centre=name, evacuated=evacuated):
                self._apply_evacuation(name, evacuated=evacuated)
            case UnreadableItem(key=key, reason=reason, target=name):
                self._timeline.record("item-unreadable", key=key, why=reason)
                if name:
                    self._registrations.drop_unproven(name)
                    self._remove_target(name)

    def apply_announcement(
        self, view: TargetView, announcement: Announcement, *, sent_at: float
    ) -> None:
        """Applies what a target's response announced.

        Args:
            view: The target.
            announcement: What its response announced.
            sent_at: Monotonic time at which the request was sent, in seconds.
        """
        target = view.target
        if announcement.invalid_retry_after:
            self._timeline.record(
                "retry-after-invalid",
                target=target.name,
                value=announcement.invalid_retry_after,
                used_s=announcement.deferral_s,
            )
        if announcement.invalid_rate_limit:
            self._timeline.record(
                "target-limit-invalid",
                target=target.name,
                value=announcement.invalid_rate_limit,
            )
        if announcement.lifts_rate_limit or announcement.rate_limit is not None:
            self.target_limits.hear(
                target,
                announcement.rate_limit,
                sent_at=sent_at,
                now=self._clock.now(),
            )
        if announcement.is_leaving:
            self.mark_leaving(instance_of(target), source=target.name)
        if announcement.deferral_s > 0.0:
            self._defer(view, announcement.deferral_s)

    def mark_leaving(self, instance: TargetInstance, *, source: str) -> None:
        """Stops using an instance of a target for as long as it lives.

        Args:
            instance: The instance, which need not be registered here yet.
            source: Who announced it: the target itself or a gateway.
        """
        if not self._leaving_instances.add(instance):
            return
        view = self._views_by_name.get(instance.name)
        if view is not None and instance_of(view.target) == instance:
            view.has_announced_leaving = True
        self._timeline.record(
            "target-leaving", target=instance.name, source=source
        )

    def announced_leaving(self) -> list[TargetInstance]:
        """Returns the instances that peers must be told of.

        Those that the store no longer lists, or lists as leaving, are left out.
        """
        return [
            instance_of(view.target)
            for view in self._views_by_name.values()
            if view.has_announced_leaving and not view.target.leaving
        ]

    def _defer(self, view: TargetView, duration_s: float) -> None:
        now = self._clock.now()
        view.defer(duration_s, now)
        if view.target.name not in self._deferred_by_name:
            self._timeline.record(
                "target-deferred",
                target=view.target.name,
                service=view.target.service,
                for_s=round(duration_s, 3),
            )
        self._deferred_by_name[view.target.name] = view

    def end_deferrals(self) -> None:
        """Logs the deferrals that are over."""
        now = self._clock.now()
        for name, view in list(self._deferred_by_name.items()):
            if now >= view.deferred_until:
                del self._deferred_by_name[name]
                self._timeline.record("target-deferral-over", target=name)

    def deferred_counts(self) -> dict[str, int]:
        """Returns the number of deferred targets by service."""
        counts = dict.fromkeys(self._views_by_service, 0)
        for view in self._deferred_by_name.values():
            service = view.target.service
            counts[service] = counts.get(service, 0) + 1
        return counts

    def limited_rates(self) -> dict[str, list[float]]:
        """Returns the rates of the limits that targets name, by service."""
        limits = self.target_limits
        return {
            service: [
                limits.rate(view.target)
                for view in views
                if limits.is_limited(view.target)
            ]
            for service, views in self._views_by_service.items()
        }

    def pace_counts(self) -> dict[str, int]:
        """Returns the number of targets by the state of their pace."""
        counts = self.pace.counts(len(self._views_by_name))
        return {state.value: count for state, count in counts.items()}

    def leaving_counts(self) -> dict[str, int]:
        """Returns the number of leaving targets by service."""
        return {
            service: sum(view.is_leaving for view in views)
            for service, views in self._views_by_service.items()
        }

    def mark_store_unreachable(self) -> None:
        """Records that no live gateway watches the store now."""
        self._registrations.mark_store_unreachable(self._clock.now())

    def begin_store_era(self) -> None:
        """Prepares for what a store that came back from a copy has forgotten.

        Registrations that are missing have the usual time to be written again,
        and a target that had announced its stop or had left is not used, even
        if the copy is older than that.
        """
        self._registrations.begin_era(self._clock.now())
        for view in list(self._views_by_name.values()):
            if view.target.leaving:
                self.mark_leaving(instance_of(view.target), source="store")

    def views(self, service: str) -> list[TargetView]:
        """Returns the registered targets of a service."""
        return self._views_by_service.get(service, [])

    def views_by_name(self) -> Mapping[str, TargetView]:
        """Returns all registered targets by name."""
        return self._views_by_name

    def in_flight(self) -> dict[str, int]:
        """Returns this gateway's requests in flight, by target."""
        return {
            name: view.in_flight
            for name, view in self._views_by_name.items()
            if view.in_flight
        }

    def _set_peer_in_flight(self, target: str, count: int) -> None:
        view = self._views_by_name.get(target)
        if view is not None:
            view.peer_in_flight = count

    def target_counts(self) -> dict[str, int]:
        """Returns the number of registered targets by service."""
        return {
            service: len(views)
            for service, views in self._views_by_service.items()
        }

    def ranking(
        self, service: str, ranking_key: str, *, size: int
    ) -> list[TargetView]:
        """Returns the targets of a service, ranked for a ranking key.

        Args:
            service: Name of the service.
            ranking_key: Ranking key of the request.
            size: Size of the request and the expected response, in bytes.
        """
        return self._ranking_cache.get(
            service, ranking_key, self.views(service), bulk=size >= BULK_BYTES
        )

    def count_request(self, service: str) -> None:
        """Counts a caller's request towards the demand for a service."""
        now = self._clock.now()
        estimator = self._demand_estimators_by_service.get(service)
        if estimator is None:
            estimator = DemandEstimator(
                now=now, time_constant_s=DEMAND_TIME_CONSTANT_S
            )
            self._demand_estimators_by_service[service] = estimator
        estimator.add(now)

    def demand(self) -> dict[str, float]:
        """Returns this gateway's demand by service, in requests a second."""
        now = self._clock.now()
        return {
            service: round(estimator.rate(now), 2)
            for service, estimator in self._demand_estimators_by_service.items()
        }

    def update_spillover(
        self, demand_by_region: Mapping[str, Mapping[str, float]]
    ) -> None:
        """Adjusts the spillover to other regions by one step.

        Args:
            demand_by_region: Demand by region and service, in requests a
                second.
        """
        now = self._clock.now()
        for service, views in self._views_by_service.items():
            service_time_s = self.service_times.mean_s(service)
            slots: dict[str, int] = {}
            used_slots: dict[str, float] = {}
            for view in views:
                if self._is_usable(view, now):
                    target = view.target
                    region = target.region
                    slots[region] = slots.get(region, 0) + target.slots
                    used_slots[region] = used_slots.get(region, 0.0) + (
                        usable_slots(
                            target.slots,
                            rate_limit=self.target_limits.rate(target),
                            service_time_s=service_time_s,
                        )
                    )
            regions = {*slots, *demand_by_region, self.locality.region}
            loads = {
                region: RegionLoad(
                    demand=demand_by_region.get(region, {}).get(service, 0.0),
                    slots=used_slots.get(region, 0.0),
                )
                for region in regions
            }
            controller = self._spillover_by_service.get(service)
            if controller is None:
                controller = SpilloverController(region=self.locality.region)
                self._spillover_by_service[service] = controller
            shares = controller.update(
                loads, service_time_s=service_time_s, now=now
            )
            weights = {
                region: share / max(1, slots.get(region, 0))
                for region, share in shares.by_region.items()
            }
            self._ranking_cache.set_region_weights(service, weights)

    def _is_usable(self, view: TargetView, now: float) -> bool:
        return (
            view.accepts_requests(now)
            and view.target.data_centre not in self.evacuated
        )

    def _idle_slots(self, service: str) -> float:
        """Returns how many slots of a service's usable targets are free."""
        now = self._clock.now()
        return sum(
            max(0.0, view.target.slots - view.load(now))
            for view in self.views(service)
            if self._is_usable(view, now)
        )

    def cold_rate(self, service: str) -> float:
        """Returns how many requests a second a cold target tolerates."""
        service_plan = self.plan.services_by_name.get(service)
        return service_plan.cold_rate if service_plan is not None else 1.0

    def remove_expired_targets(self) -> None:
        """Removes targets that have not registered again in time.

        A target whose record vanished during an outage of the store or shortly
        after one is kept for a grace period: it may be alive, and its lease
        may have expired only because it could not be renewed.
        """
        now = self._clock.now()
        self.peer_requests.remove_expired(now)
        for name in self._registrations.expired_names(now):
            self._remove_target(name)
        for target in self._registrations.proven_targets(now):
            self._add_target(target, now)

    def _apply_plan(self, plan: TrafficPlan) -> None:
        if plan.number < self.plan.number:
            self._timeline.record(
                "plan-older", known=self.plan.number, offered=plan.number
            )
            return
        self.plan = plan
        self._timeline.record(
            "plan-in-force", number=plan.number, routes=len(plan.routes)
        )

    def _apply_target(self, name: str, target: RegisteredTarget | None) -> None:
        if target is None:
            self._apply_target_removal(name)
            return
        now = self._clock.now()
        if self._registrations.take(target, now):
            self._add_target(target, now)
        else:
            self._timeline.record("target-unproven", target=name)

    def _add_target(self, target: RegisteredTarget, now: float) -> None:
        name = target.name
        view = self._views_by_name.get(name)
        is_known = view is not None and _is_same_instance(view.target, target)
        if not is_known:
            self.pace.see(target, now)
        self.pace.mark_cold(target, left_s=target.cold_left_s, now=now)
        if is_known:
            if view.target.leaving != target.leaving:
                self._timeline.record(
                    "target-state", target=name, leaving=target.leaving
                )
            view.target = target
            return
        known_view, view = view, TargetView(target=target)
        view.has_announced_leaving = (
            instance_of(target) in self._leaving_instances
        )
        view.peer_in_flight = self.peer_requests.count(name)
        self._views_by_name[name] = view
        services = {target.service}
        if known_view is not None:
            services.add(known_view.target.service)
        self._reindex(services)
        self._timeline.record(
            "target-registered",
            target=name,
            service=target.service,
            version=target.version,
            address=target.address,
            leaving=target.leaving,
        )

    def _apply_target_removal(self, name: str) -> None:
        self._registrations.drop_unproven(name)
        if name not in self._views_by_name:
            return
        if not self._registrations.has_time(name, self._clock.now()):
            self._remove_target(name)
            return
        self._timeline.record("target-missing", target=name)

    def _remove_target(self, name: str) -> None:
        view = self._views_by_name.pop(name, None)
        if view is not None:
            self._registrations.note_removed(view.target)
            self.pace.remove_target(name)
            self._reindex({view.target.service})
            self._timeline.record("target-gone", target=name)

    def _apply_evacuation(self, name: str, *, evacuated: bool) -> None:
        if evacuated:
            self.evacuated.add(name)
        elif name in self.evacuated:
            self.evacuated.discard(name)
            self._mark_targets_cold(name)
        self._timeline.record(
            "evacuation", data_centre=name, evacuated=evacuated
        )

    def _mark_targets_cold(self, data_centre: str) -> None:
        """Marks the targets of a data centre as cold, since they were idle."""
        now = self._clock.now()
        for view in self._views_by_name.values():
            target = view.target
            service = self.plan.services_by_name.get(target.service)
            if target.data_centre == data_centre and service is not None:
                self.pace.mark_cold(target, left_s=service.cold_s, now=now)

    def _reindex(self, services: set[str]) -> None:
        """Rebuilds the lists of targets of the given services."""
        for service in services:
            views = [
                view
                for view in self._views_by_name.values()
                if view.target.service == service
            ]
            _set_or_remove(self._views_by_service, service, views or None)
            self._ranking_cache.invalidate(service)


def _is_same_instance(
    known: RegisteredTarget, offered: RegisteredTarget
) -> bool:
    left = (known.address, known.service, known.version, known.slots)
    right = (offered.address, offered.service, offered.version, offered.slots)
    return left == right and known.started_ms == offered.started_ms


def _set_or_remove(
    by_service: dict, service: str, value: object | None
) -> None:
    if value is None:
        by_service.pop(service, None)
    else:
        by_service[service] = value
