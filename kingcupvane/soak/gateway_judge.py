"""Judges what callers, targets and the operator saw of gateways; no I/O."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kingcupvane.soak.gateway_record import (
    STORE,
    Arrival,
    Ask,
    Disruption,
    Leaving,
    Life,
    PlanWrite,
    Record,
)

UNKNOWN_KEY_STATUS = 401
REFUSED_STATUSES = (401, 403, 404)
UNKNOWN_ROUTE_STATUSES = (403, 404)
# Time after which a request is sent surely later than what was seen before, in
# seconds: callers and targets share one clock and one event loop.
ORDER_SLACK_S = 0.3
# Longest time from a signal to the end that it causes, beyond the grace.
END_MARGIN_S = 1.5
KILLED = "gateway_killed"
STOPPED = "gateway_stopped"


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Bounds of the deployment, in seconds.

    Attributes:
        apply_s: From the acknowledgement of a plan until it is in force.
        drain_s: From that of a leaving until nothing more reaches the target.
        contact_s: Calm time before a moment that makes a bound hold there.
        grace_s: From a request to stop until the process is killed.
    """

    apply_s: float
    drain_s: float
    contact_s: float
    grace_s: float


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A rule that was broken.

    Attributes:
        rule: Name of the check.
        at: When, in seconds since the start of the seed.
        gateway: Name of the gateway.
        detail: What was seen.
    """

    rule: str
    at: float
    gateway: str
    detail: str

    def __str__(self) -> str:
        """Returns a line for the log."""
        return f"{self.rule} at={self.at:.2f} {self.gateway} {self.detail}"


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request was handled: run by a service, or refused.

    Attributes:
        ask: The request.
        at: When it was seen.
        service: Service that ran it; empty if it was refused.
    """

    ask: Ask
    at: float
    service: str = ""

    def fits(self, plan: PlanWrite) -> bool:
        """Returns whether a plan allows it."""
        ask = self.ask
        service = plan.service_by_prefix.get(ask.prefix)
        if self.service:
            return service == self.service and ask.key in plan.keys
        is_unknown_key = ask.key not in plan.keys
        if ask.status == UNKNOWN_KEY_STATUS:
            return is_unknown_key
        if ask.status in UNKNOWN_ROUTE_STATUSES:
            return service is None
        return True

    def __str__(self) -> str:
        """Returns what was asked and how it was handled."""
        ask = self.ask
        how = f"run by {self.service}" if self.service else str(ask.status)
        kept = "kept" if ask.is_kept else "new"
        return (
            f"{ask.prefix} key={ask.key[:9]} sent={ask.sent_at:.2f}"
            f" {kept}: {how}"
        )


_CHECKS: list[Callable[["_Case"], Iterator[Fault]]] = []


def _check(function):
    _CHECKS.append(function)
    return function


def judge(record: Record, *, bounds: Bounds) -> list[Fault]:
    """Returns all that broke a rule, in the order of the checks."""
    case = _Case(record, bounds=bounds)
    return [fault for check in _CHECKS for fault in check(case)]


class _Case:
    """A record with indexes for the checks."""

    def __init__(self, record: Record, *, bounds: Bounds):
        self.record = record
        self.bounds = bounds
        self.lives_by_gateway: dict[str, list[Life]] = defaultdict(list)
        for life in sorted(record.lives, key=lambda life: life.start):
            self.lives_by_gateway[life.gateway].append(life)
        self._disruptions: dict[str, list[Disruption]] = defaultdict(list)
        for disruption in record.disruptions:
            self._disruptions[disruption.subject].append(disruption)
        self.ask_by_id = {ask.id: ask for ask in record.asks}
        self.plans_by_version = {plan.version: plan for plan in record.plans}
        self.outcomes = sorted(self._find_outcomes(), key=lambda o: o.at)

    def _find_outcomes(self) -> Iterator[Outcome]:
        for arrival in self.record.arrivals:
            ask = self.ask_by_id.get(arrival.ask_id)
            if ask is not None and arrival.has_run:
                yield Outcome(ask=ask, at=arrival.at, service=arrival.service)
        for ask in self.record.asks:
            if ask.status in REFUSED_STATUSES and not ask.service:
                yield Outcome(ask=ask, at=ask.ended_at)

    def life_at(self, gateway: str, at: float) -> Life | None:
        """Returns the process that was started last before a moment."""
        lives = self.lives_by_gateway[gateway]
        index = bisect_right([life.start for life in lives], at)
        return lives[index - 1] if index else None

    def is_store_calm(self, start: float, end: float) -> bool:
        """Returns whether the store had no disruption in a span."""
        return not any(
            d.start <= end and d.end >= start for d in self._disruptions[STORE]
        )

    def is_gateway_calm(self, gateway: str, start: float, end: float) -> bool:
        """Returns whether one process ran, without a fault, all the span."""
        if any(
            d.start <= end and d.end >= start
            for d in self._disruptions[gateway]
        ):
            return False
        life = self.life_at(gateway, end)
        return life is not None and life.start < start and life.end > end

    def is_in_touch(self, gateway: str, start: float, end: float) -> bool:
        """Returns whether the bounds hold at a gateway during a span."""
        since = start - self.bounds.contact_s
        return self.is_gateway_calm(gateway, since, end) and self.is_store_calm(
            since, end
        )

    def is_lost(self, written_at: float, by: float) -> bool:
        """Returns whether the store had forgotten a write until a moment."""
        return any(
            d.copy_at is not None
            and d.copy_at < written_at <= d.end
            and d.start <= by
            for d in self._disruptions[STORE]
        )

    def required_version(self, at: float) -> int:
        """Returns the lowest version that may be in force at a moment."""
        latest = at - self.bounds.apply_s
        return max(
            (
                plan.version
                for plan in self.record.plans
                if plan.at < latest and not self.is_lost(plan.at, at)
            ),
            default=0,
        )

    def fitting_versions(self, outcome: Outcome) -> list[int]:
        """Returns the versions, written until then, that allow an outcome."""
        return sorted(
            {
                plan.version
                for plan in self.record.plans
                if plan.at <= outcome.at + ORDER_SLACK_S and outcome.fits(plan)
            }
        )


@_check
def _find_old_plans(case: _Case) -> Iterator[Fault]:
    """Finds requests that are handled as only an older version allows."""
    for outcome in case.outcomes:
        ask = outcome.ask
        required = case.required_version(ask.sent_at)
        versions = case.fitting_versions(outcome)
        if versions and versions[-1] >= required:
            continue
        if not versions:
            yield Fault(
                rule="never",
                at=outcome.at,
                gateway=ask.gateway,
                detail=f"{outcome}: no plan allows it",
            )
        elif case.is_in_touch(ask.gateway, ask.sent_at, outcome.at):
            written = case.plans_by_version[required]
            yield Fault(
                rule="CONFIG",
                at=outcome.at,
                gateway=ask.gateway,
                detail=f"{outcome}: plan {versions[-1]}, {required} is due"
                f" (first written {written.at:.2f})",
            )


@_check
def _find_regress(case: _Case) -> Iterator[Fault]:
    """Finds processes that went back to an older version."""
    shown: dict[tuple[str, float], list[tuple[float, int]]] = defaultdict(list)
    for outcome in case.outcomes:
        ask = outcome.ask
        life = case.life_at(ask.gateway, ask.sent_at)
        versions = case.fitting_versions(outcome)
        if life is None or not versions or outcome.at > life.end:
            continue
        known = shown[ask.gateway, life.start]
        before = _highest_before(known, ask.sent_at - ORDER_SLACK_S)
        if versions[-1] < before:
            yield Fault(
                rule="regress",
                at=outcome.at,
                gateway=ask.gateway,
                detail=f"{outcome}: plan {versions[-1]} after {before}",
            )
        if case.life_at(ask.gateway, outcome.at) is life:
            known.append((outcome.at, versions[0]))


def _highest_before(known: list[tuple[float, int]], at: float) -> int:
    """Returns the highest version that was shown before a moment."""
    return max((version for seen, version in known if seen < at), default=0)


@_check
def _find_late_arrivals(case: _Case) -> Iterator[Fault]:
    """Finds requests that reach a target which has announced its leaving."""
    leavings: dict[str, list[Leaving]] = defaultdict(list)
    for leaving in sorted(case.record.leavings, key=lambda entry: entry.at):
        leavings[leaving.target].append(leaving)
    for arrival in case.record.arrivals:
        ask = case.ask_by_id.get(arrival.ask_id)
        if ask is None:
            continue
        for leaving in leavings[arrival.target]:
            if _is_late(case, ask, arrival, leaving):
                yield Fault(
                    rule="DRAIN",
                    at=arrival.at,
                    gateway=ask.gateway,
                    detail=f"{ask.prefix} sent={ask.sent_at:.2f} reached"
                    f" {arrival.target}, leaving since {leaving.at:.2f}",
                )
                break


def _is_late(case: _Case, ask: Ask, arrival: Arrival, leaving: Leaving) -> bool:
    bounds = case.bounds
    due_at = leaving.at + bounds.drain_s
    if arrival.at <= due_at:
        return False
    calm_since = arrival.at - bounds.contact_s
    if not case.is_gateway_calm(ask.gateway, calm_since, arrival.at):
        return False
    if _has_accepted(case, ask.gateway, leaving, arrival.at):
        return True
    return not case.is_lost(leaving.at, arrival.at) and case.is_store_calm(
        calm_since, arrival.at
    )


def _has_accepted(
    case: _Case, gateway: str, leaving: Leaving, at: float
) -> bool:
    """Returns whether the process must have heard of a leaving in time.

    It may then not forget it, whatever happens to the store.
    """
    since = leaving.at - case.bounds.contact_s
    due_at = leaving.at + case.bounds.drain_s
    return (
        case.is_gateway_calm(gateway, since, due_at)
        and case.is_store_calm(since, due_at)
        and case.life_at(gateway, due_at) is case.life_at(gateway, at)
    )


@_check
def _find_own_ends(case: _Case) -> Iterator[Fault]:
    """Finds processes that ended without a signal from outside."""
    for life in case.record.lives:
        if life.end != float("inf") and not _is_ended_from_outside(case, life):
            yield Fault(
                rule="ended",
                at=life.end,
                gateway=life.gateway,
                detail=f"by itself with status {life.status}",
            )


def _is_ended_from_outside(case: _Case, life: Life) -> bool:
    longest_s = {
        KILLED: END_MARGIN_S,
        STOPPED: case.bounds.grace_s + END_MARGIN_S,
    }
    return any(
        d.subject == life.gateway
        and life.start <= d.start <= life.end <= d.start + longest_s[d.kind]
        for d in case.record.disruptions
        if d.kind in longest_s
    )


@_check
def _find_bad_ends(case: _Case) -> Iterator[Fault]:
    """Finds gateways that are not well after the calm time at the end."""
    finals = {final.gateway: final for final in case.record.finals}
    last = max(case.record.plans, key=lambda plan: plan.version, default=None)
    if last is None:
        return
    for gateway in case.record.gateways:
        final = finals.get(gateway)
        if final is None or not final.is_ready:
            yield _bad_end(case, gateway, "not ready at the end")
        elif final.failed_tasks:
            yield _bad_end(case, gateway, f"{final.failed_tasks} tasks failed")
        yield from _find_last_plan_missing(case, gateway, last)


def _find_last_plan_missing(
    case: _Case, gateway: str, last: PlanWrite
) -> Iterator[Fault]:
    """Finds routes of the last plan that a gateway does not serve at the end.

    The caller repeats a question that had no answer of either kind.
    """
    served = {
        outcome.ask.prefix
        for outcome in case.outcomes
        if outcome.ask.gateway == gateway
        and outcome.ask.sent_at >= case.record.calm_at
        and outcome.service
        and outcome.fits(last)
    }
    for prefix in sorted(set(last.service_by_prefix) - served):
        yield _bad_end(case, gateway, f"{prefix} not served by the last plan")


def _bad_end(case: _Case, gateway: str, detail: str) -> Fault:
    return Fault(
        rule="end", at=case.record.calm_at, gateway=gateway, detail=detail
    )
