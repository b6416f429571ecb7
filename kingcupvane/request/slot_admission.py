"""Admission of a gateway's requests to the slots of targets.

A request that was given a target is sent, refused because it would wait too
long there, or refused because its priority has no share of the queue. A refused
caller is told when to come back.
"""

from http import HTTPStatus

from kingcupvane.clock import Clock
from kingcupvane.errors import Refusal, Step
from kingcupvane.process.catalog import Catalog
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.request.gateway_request import (
    GatewayRequest,
    WaitDecision,
    make_refusal,
)
from kingcupvane.request.placement import Candidate
from kingcupvane.request.returning_callers import ReturnSchedule
from kingcupvane.request.wait_limit import (
    CALLER_ROUND_TRIP_S,
    RETRY_AFTER_MIN_S,
    WAIT_MIN_S,
    allowed_wait_s,
    retry_after_s,
)

# Assumed wait for a slot while a service has no registered target, in seconds.
NO_TARGET_WAIT_S = 0.3


class SlotAdmission:
    """Decides which requests wait for slots, and when refused ones return."""

    def __init__(
        self, *, catalog: Catalog, metrics: GatewayMetrics, clock: Clock
    ):
        """Makes an admission.

        Args:
            catalog: Targets, service times and the load by priority.
            metrics: Counts refusals by cause and priority.
            clock: Monotonic clock.
        """
        self._catalog = catalog
        self._metrics = metrics
        self._clock = clock
        self._returns = ReturnSchedule()

    def count(self, gateway_request: GatewayRequest) -> None:
        """Counts a request towards the load of its service."""
        route = gateway_request.route
        service_s = self._service_s(gateway_request)
        self._catalog.load_shedder.count_request(
            gateway_request.service,
            route=route.name,
            priority=gateway_request.priority,
            service_s=service_s,
            tolerable_wait_s=max(
                WAIT_MIN_S,
                route.latency_objective_s - service_s - CALLER_ROUND_TRIP_S,
            ),
            is_returning=gateway_request.is_caller_retry,
            now=self._clock.now(),
        )

    def decide(
        self, gateway_request: GatewayRequest, candidate: Candidate
    ) -> WaitDecision:
        """Returns whether a request may be sent to a target."""
        now = self._clock.now()
        service = gateway_request.service
        priority = gateway_request.priority
        shedder = self._catalog.load_shedder
        state = shedder.state(service, now)
        limit_s = allowed_wait_s(
            candidate,
            latency_objective_s=gateway_request.route.latency_objective_s,
            elapsed_s=now - gateway_request.arrived_at,
            remaining_s=gateway_request.deadline - now,
            is_caller_retry=gateway_request.is_caller_retry,
            is_overloaded=state.is_overloaded,
        )
        limit_for_priority_s = shedder.wait_limit_s(
            service,
            priority=priority,
            request_id=gateway_request.id,
            limit_s=limit_s,
            now=now,
        )
        return WaitDecision(
            wait_s=candidate.wait_s,
            limit_s=limit_for_priority_s,
            cause="share" if candidate.wait_s <= limit_s else "wait",
            share=state.shares.get(priority, 1.0),
            is_overloaded=state.is_overloaded,
            report_age_s=state.report_age_s,
        )

    def refuse(
        self, gateway_request: GatewayRequest, *, detail: str
    ) -> Refusal:
        """Returns the refusal of a request for which there is no slot."""
        now = self._clock.now()
        service = gateway_request.service
        priority = gateway_request.priority
        service_s = self._service_s(gateway_request)
        decision = gateway_request.wait_decision
        if decision is not None and not decision.is_admitted:
            self._catalog.load_shedder.count_refusal(
                service, priority=priority, service_s=service_s, now=now
            )
        self._metrics.refusals_by_priority.inc(
            {
                "service": service,
                "cause": gateway_request.refusal_cause,
                "priority": str(priority),
            }
        )
        return make_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no-room",
            Step.QUEUE,
            retry_after_s=self._retry_after_s(gateway_request, service_s, now),
            detail=detail,
        )

    def _service_s(self, gateway_request: GatewayRequest) -> float:
        return self._catalog.service_times.get(
            gateway_request.service, gateway_request.route.name
        ).warm_service_s

    def _retry_after_s(
        self, gateway_request: GatewayRequest, service_s: float, now: float
    ) -> float:
        service = gateway_request.service
        state = self._catalog.load_shedder.state(service, now)
        slot_wait_s = self._slot_wait_s(service, now)
        if not state.is_overloaded:
            return retry_after_s(
                slot_wait_s, caller_attempt_id=gateway_request.id
            )
        return self._returns.delay_s(
            service,
            priority=gateway_request.priority,
            request_id=gateway_request.id,
            service_s=service_s,
            room=state.room_for_returns,
            shortest_s=max(RETRY_AFTER_MIN_S, slot_wait_s),
            in_time_s=self._in_time_s(gateway_request, service_s, now),
            time_left_s=gateway_request.caller_deadline - now,
            now=now,
        )

    def _in_time_s(
        self, gateway_request: GatewayRequest, service_s: float, now: float
    ) -> float:
        """Returns after how long a caller can still return in time, in seconds.

        Callers who have returned already have spent an unknown time before.
        """
        if gateway_request.is_caller_retry:
            return 0.0
        due_at = (
            gateway_request.arrived_at
            + gateway_request.route.latency_objective_s
        )
        return due_at - service_s - CALLER_ROUND_TRIP_S - now

    def _slot_wait_s(self, service: str, now: float) -> float:
        """Returns the time until a target should have a free slot."""
        queue_service_s = self._catalog.service_times.mean_s(service)
        waits_s = []
        for view in self._catalog.views(service):
            if view.is_leaving:
                continue
            queued = max(0.0, view.load(now) + 1.0 - view.target.slots)
            queue_wait_s = queued * queue_service_s / view.target.slots
            limit_wait_s = self._catalog.target_limits.wait_s(view.target, now)
            waits_s.append(
                max(queue_wait_s, view.deferred_until - now, limit_wait_s)
            )
        return min(waits_s, default=NO_TARGET_WAIT_S)

    def explain_no_target(self, service: str) -> str:
        """Returns why no target of a service may be used."""
        limits = self._catalog.target_limits
        views = self._catalog.views(service)
        limited = sum(limits.is_limited(view.target) for view in views)
        if not limited:
            return "no target is free"
        return (
            "no target is free,"
            f" {limited} of {len(views)} have a limit of their own"
        )
