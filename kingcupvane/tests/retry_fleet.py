"""A simulated fleet whose gateways retry on one service; does no I/O.

Time goes in steps. In each step every running gateway gets callers' requests,
some of which fail and ask its budget for a retry, and its view of the other
gateways is updated from what they reported some time before.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from kingcupvane.request.rate_limit import DemandEstimator
from kingcupvane.request.retry_budgets import (
    FleetView,
    RetryAllowance,
    RetryBudgets,
)

STEP_S = 0.1
# Steps from one update of the views to the next.
STEPS_PER_UPDATE = 5
SERVICE = "s"
WINDOW_S = 10.0
SHARE = 0.2
# Time from a report to its use at the other gateways, in seconds.
REPORT_DELAY_S = 0.8
REPORT_UPDATES = 1 + round(REPORT_DELAY_S / (STEP_S * STEPS_PER_UPDATE))
DEMAND_TIME_CONSTANT_S = 3.0
# Lifetime of a gateway's record in the store after its last renewal, in
# seconds.
REGISTRATION_TTL_S = 8.0
# Silence after which a gateway no longer counts as live, in seconds.
LIVENESS_S = 3.0
HEARD_UPDATES = round(LIVENESS_S / (STEP_S * STEPS_PER_UPDATE))


class GatewayProcess:
    """One process of a gateway, with the budget of the product.

    Attributes:
        name: Name of the gateway.
        started_at: When the process started, in seconds.
        registered: Gateways that the store lists, as last read.
        heard: Gateways that it heard of at each of the last updates.
        registered_at: When it last renewed its record, in seconds.
        reported_demand: Its demand as other gateways know it.
        has_plan: Whether it has read the store or copied from a gateway that
            has; it serves no caller before.
    """

    def __init__(self, *, name: str, extra: float, now: float, seed: int):
        """Starts without knowing any other gateway."""
        self.name = name
        self.started_at = now
        self.has_plan = False
        self.registered: frozenset[str] = frozenset()
        self.heard: deque[frozenset[str]] = deque(maxlen=HEARD_UPDATES)
        self.registered_at = float("-inf")
        self.reported_demand = 0.0
        self._demand = DemandEstimator(
            now=now, time_constant_s=DEMAND_TIME_CONSTANT_S
        )
        self._demands: deque[float] = deque(maxlen=REPORT_UPDATES)
        self._budgets = RetryBudgets(
            allowance=RetryAllowance(
                share=SHARE, extra=extra, window_s=WINDOW_S
            ),
            now=now,
            draw=random.Random(seed).random,
        )

    def report(self, now: float) -> None:
        """Sets the demand that other gateways hear of from now on."""
        self._demands.append(self._demand.rate(now))
        self.reported_demand = self._demands[0]

    def update(
        self,
        *,
        live: frozenset[str],
        registered: frozenset[str],
        demand: float,
        now: float,
    ) -> None:
        """Applies what this gateway knows of the fleet.

        Args:
            live: Gateways that it hears of, itself included.
            registered: Gateways that the store lists, as last read.
            demand: Demand of the others that it hears of.
            now: Seconds.
        """
        view = FleetView(
            live_count=len(live),
            known_count=len(live | registered),
            is_registered=now - self.registered_at < REGISTRATION_TTL_S,
            demand_by_service={SERVICE: demand},
        )
        self._budgets.update(view, {SERVICE: self._demand.rate(now)}, now)

    def count_request(self, now: float) -> None:
        """Counts a caller's request."""
        self._demand.add(now)
        self._budgets.count_request(SERVICE, now)

    def try_retry(self, now: float) -> bool:
        """Returns whether the budget allows a retry."""
        return self._budgets.try_withdraw(SERVICE, now)


@dataclass(kw_only=True)
class Step:
    """What happened in one step over all gateways."""

    requests: int = 0
    retries: int = 0
    denied: int = 0


def everyone(sender: str, receiver: str) -> bool:
    """Tells that all gateways hear of each other."""
    return True


@dataclass(kw_only=True)
class SimulatedFleet:
    """Gateways that share an allowance of retries.

    Attributes:
        names: Names of all gateways.
        extra: Retries allowed in each window beyond `SHARE` of the requests.
        rate: Mean requests a second at one gateway.
        seed: Seed of all that is random.
        rate_by_name: Rates of gateways that differ from `rate`.
        sees: Returns whether a gateway's reports reach another one now.
        reaches_store: Returns whether a gateway reaches the store now.
        failing: Returns the share of requests that fail at a gateway now.
        processes_by_name: The running processes.
        steps: What happened so far.
    """

    names: list[str]
    extra: float
    rate: float
    seed: int = 0
    rate_by_name: dict[str, float] = field(default_factory=dict)
    sees: Callable[[str, str], bool] = everyone
    reaches_store: Callable[[str], bool] = lambda name: True
    failing: Callable[[str], float] = lambda name: 1.0
    now: float = 0.0
    processes_by_name: dict[str, GatewayProcess] = field(default_factory=dict)
    steps: list[Step] = field(default_factory=list)
    retries_by_name: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        """Starts with no process running and no record in the store."""
        self._random = random.Random(self.seed)
        self._registered_at: dict[str, float] = {}
        self._senders_of: Callable[[str, str], bool] = self.sees
        self._senders_by_name: dict[str, frozenset[str]] = {}
        self._starts = 0
        self._steps_to_update = 0

    def start(self, names: Iterable[str]) -> None:
        """Starts processes that know only themselves."""
        for name in names:
            self._starts += 1
            self.processes_by_name[name] = GatewayProcess(
                name=name,
                extra=self.extra,
                now=self.now,
                seed=self.seed * 100_003 + self._starts,
            )

    def stop(self, names: Iterable[str]) -> None:
        """Ends processes at once."""
        for name in names:
            self.processes_by_name.pop(name, None)

    def restart(self, names: Iterable[str]) -> None:
        """Ends processes and starts them anew."""
        names = list(names)
        self.stop(names)
        self.start(names)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._steps_to_update -= 1
            if self._steps_to_update <= 0:
                self._steps_to_update = STEPS_PER_UPDATE
                self._renew_registrations()
                self._update_views()
            self._serve()

    def _renew_registrations(self) -> None:
        for name, process in self.processes_by_name.items():
            started = self.now - process.started_at >= REPORT_DELAY_S
            if started and self.reaches_store(name):
                self._registered_at[name] = self.now
                process.registered_at = self.now

    def _update_views(self) -> None:
        """Tells each gateway which others it has heard of lately."""
        registered = frozenset(
            name
            for name, renewed_at in self._registered_at.items()
            if self.now - renewed_at < REGISTRATION_TTL_S
        )
        reporting = frozenset(
            name
            for name, process in self.processes_by_name.items()
            if self.now - process.started_at >= REPORT_DELAY_S
        )
        for process in self.processes_by_name.values():
            process.report(self.now)
        demand_by_name = {
            name: process.reported_demand
            for name, process in self.processes_by_name.items()
        }
        demand_of: dict[frozenset[str], float] = {}
        for name, process in self.processes_by_name.items():
            heard = process.heard
            if name in reporting:
                heard.append(reporting & self._senders(name))
            if self.reaches_store(name):
                process.registered = registered
                process.has_plan = True
            live = frozenset().union(*set(heard), {name})
            if live not in demand_of:
                demand_of[live] = sum(
                    demand_by_name.get(peer, 0.0) for peer in live
                )
            self._copy_from_peers(process, live)
            process.update(
                live=live,
                registered=process.registered,
                demand=demand_of[live] - demand_by_name[name],
                now=self.now,
            )

    def _copy_from_peers(
        self, process: GatewayProcess, live: frozenset[str]
    ) -> None:
        """Copies the plan and the registrations from a live gateway."""
        if process.has_plan:
            return
        for name in live:
            peer = self.processes_by_name.get(name)
            if peer is not None and peer.has_plan:
                process.registered = peer.registered
                process.has_plan = True
                return

    def _senders(self, receiver: str) -> frozenset[str]:
        """Returns the gateways whose reports reach one now."""
        if self.sees is not self._senders_of:
            self._senders_of = self.sees
            self._senders_by_name = {}
        if self.sees is everyone:
            return frozenset(self.names)
        senders = self._senders_by_name.get(receiver)
        if senders is None:
            senders = frozenset(
                name for name in self.names if self.sees(name, receiver)
            )
            self._senders_by_name[receiver] = senders
        return senders

    def _serve(self) -> None:
        step = Step()
        for name, process in self.processes_by_name.items():
            if not process.has_plan:
                continue
            rate = self.rate_by_name.get(name, self.rate)
            for _ in range(self._count(rate * STEP_S)):
                step.requests += 1
                process.count_request(self.now)
                if self._random.random() >= self.failing(name):
                    continue
                if process.try_retry(self.now):
                    step.retries += 1
                    total = self.retries_by_name.get(name, 0)
                    self.retries_by_name[name] = total + 1
                else:
                    step.denied += 1
        self.steps.append(step)

    def _count(self, mean: float) -> int:
        """Returns a random whole number with this mean."""
        whole = int(mean)
        return whole + (self._random.random() < mean - whole)

    def worst_excess(self) -> float:
        """Returns by how much the worst window exceeds the allowance.

        Requests are counted in the window, the one before it or the one half a
        window before it, whichever has most.
        """
        length = round(WINDOW_S / STEP_S)
        requests = [0]
        retries = [0]
        for step in self.steps:
            requests.append(requests[-1] + step.requests)
            retries.append(retries[-1] + step.retries)

        def between(sums: list[int], first: int) -> int:
            last = min(len(sums) - 1, max(0, first + length))
            return sums[last] - sums[max(0, first)]

        worst = float("-inf")
        for first in range(1 - length, len(requests) - 1):
            most = max(
                between(requests, first - shift)
                for shift in (0, length // 2, length)
            )
            allowed = SHARE * most + self.extra
            worst = max(worst, between(retries, first) - allowed)
        return worst

    def totals(self, seconds: float) -> Step:
        """Returns the sums over the last seconds."""
        last = self.steps[-round(seconds / STEP_S) :]
        return Step(
            requests=sum(step.requests for step in last),
            retries=sum(step.retries for step in last),
            denied=sum(step.denied for step in last),
        )
