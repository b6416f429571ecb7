"""Fakes for tests of the pace: a target and the gateways that send to it.

Time is simulated; no network. Gateways tell each other what they know a
fraction of a second late, or nothing at all if they are cut off.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from kingcupvane.request.cold_bound import ColdBound
from kingcupvane.request.pace import PacingGateway, TargetPacer
from kingcupvane.request.placement import (
    AttemptOutcome,
    ReportedLoad,
    TargetView,
)
from kingcupvane.tests.targets import registered_target

REPORT_PERIOD_S = 0.4
REPORT_DELAY_S = 0.05
HOUSEKEEPING_S = 0.2
NETWORK_S = 0.005
OBJECTIVE_S = 0.6
# Queue that a gateway still sends to, as the wait limit would let it.
QUEUE_ALLOWED = 1
# Regions, and the share of the requests from the target's own: placement
# prefers near targets.
REGIONS = 3
REGIONAL_SHARE = 0.9
COLD_RATE = 4.3
BOUND = ColdBound(excess=1.5, extra=8.0)


class FakeTarget:
    """A target that is slow while cold, queues a few and sheds the rest."""

    def __init__(self, *, slots=4, service_s=0.4, queue=12, cold_until=0.0):
        """Starts idle and up."""
        self.slots = slots
        self.service_s = service_s
        self.queue = queue
        self.cold_until = cold_until
        self.is_down: Callable[[float], bool] = lambda now: False
        self.fails: Callable[[float], bool] = lambda now: False
        self.running = 0
        self.waiting = []
        self.arrivals = []
        self.finished = []
        self.busy = [(0.0, 0)]

    def load(self):
        return ReportedLoad(
            running=self.running, waiting=len(self.waiting), slots=self.slots
        )

    def service_time(self, now):
        return self.service_s * (2.0 if now < self.cold_until else 1.0)

    def busy_share(self, start, end):
        """Returns the share of the slots in use between two times."""
        total, at, running = 0.0, start, 0
        for time, count in self.busy:
            if time >= end:
                break
            if time > at:
                total += running * (time - at)
                at = time
            running = count
        total += running * (end - at)
        return total / ((end - start) * self.slots)


@dataclass(kw_only=True)
class FakeGateway:
    """A gateway: the real pace and the real view of the target."""

    name: str
    pacer: TargetPacer
    view: TargetView
    is_cut: bool = False
    peer_counts: dict = field(default_factory=dict)

    def may_send(self, now):
        return (
            not self.view.is_avoided(now)
            and self.pacer.may_use(self.view, now)
            and self.view.load(now) < self.view.target.slots + QUEUE_ALLOWED
        )


class PaceFleet:
    """Gateways that send to one target, in simulated time."""

    def __init__(self, *, count, target, rate, seed, make_pacer=None):
        """Creates the fleet.

        Args:
            count: Number of gateways.
            target: The fake target.
            rate: Requests a second that callers ask for.
            seed: Seed of the arrivals.
            make_pacer: Makes the limiter of a gateway; takes its name.
        """
        self.rng = random.Random(seed)
        self.target = target
        self.rate = rate
        self.make_pacer = make_pacer or self._make_pacer
        self.registration = registered_target(
            "t", slots=target.slots, region="r0"
        )
        self.now = 0.0
        self.refused = []
        self.outcomes = []
        self._order = itertools.count()
        self._events = []
        self.gateways = [self.start(f"g{i}") for i in range(count)]
        for gateway in self.gateways:
            self._at(
                self.rng.random() * REPORT_PERIOD_S, self._report, gateway.name
            )
        self._at(0.0, self._housekeeping)
        self._at(0.0, self._call)

    def _make_pacer(self, name):
        return TargetPacer(
            name=name,
            bound=BOUND,
            draw=self.rng.random,
            cold_rate=lambda service: COLD_RATE,
            log_event=lambda kind, **fields: None,
        )

    def start(self, name):
        view = TargetView(target=self.registration)
        return FakeGateway(name=name, pacer=self.make_pacer(name), view=view)

    def restart(self, name):
        """Replaces a gateway by a new process; its requests are forgotten."""
        index = [gateway.name for gateway in self.gateways].index(name)
        self.gateways[index] = self.start(name)
        left_s = self.target.cold_until - self.now
        self.gateways[index].pacer.mark_cold(
            self.registration, left_s=left_s, now=self.now
        )

    def mark_cold(self):
        for gateway in self.gateways:
            gateway.pacer.mark_cold(
                self.registration,
                left_s=self.target.cold_until - self.now,
                now=self.now,
            )

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def _at(self, when, action, *arguments):
        heapq.heappush(
            self._events, (when, next(self._order), action, arguments)
        )

    def fleet_seen_by(self, gateway):
        return [
            PacingGateway(
                name=other.name,
                region=f"r{index % REGIONS}",
                is_heard=other is gateway
                or not (other.is_cut or gateway.is_cut),
            )
            for index, other in enumerate(self.gateways)
        ]

    def _housekeeping(self):
        for gateway in self.gateways:
            gateway.pacer.update_fleet(self.fleet_seen_by(gateway), self.now)
            gateway.pacer.advance(self.now)
        self._at(self.now + HOUSEKEEPING_S, self._housekeeping)

    def _report(self, name):
        sender = next(g for g in self.gateways if g.name == name)
        if not sender.is_cut:
            self._at(
                self.now + REPORT_DELAY_S,
                self._hear,
                name,
                sender.pacer.reports(),
                sender.view.in_flight,
            )
        self._at(self.now + REPORT_PERIOD_S, self._report, name)

    def _hear(self, sender, reports, in_flight):
        for gateway in self.gateways:
            if gateway.name == sender or gateway.is_cut:
                continue
            gateway.pacer.merge(reports, self.now)
            gateway.peer_counts[sender] = in_flight
            gateway.view.peer_in_flight = sum(gateway.peer_counts.values())

    def _call(self):
        self._at(self.now + self.rng.expovariate(self.rate), self._call)
        gateway = self._called_gateway()
        if not gateway.may_send(self.now):
            self.refused.append(self.now)
            return
        gateway.pacer.record_request("t", self.now)
        gateway.view.record_start("", self.now)
        self._at(self.now + NETWORK_S, self._arrive, gateway, self.now)

    def _called_gateway(self):
        """Returns a gateway, mostly one of the target's region."""
        regional = self.gateways[::REGIONS]
        is_regional = self.rng.random() < REGIONAL_SHARE
        return self.rng.choice(regional if is_regional else self.gateways)

    def _arrive(self, gateway, sent_at):
        target = self.target
        if target.is_down(self.now):
            self._answer(gateway, sent_at, AttemptOutcome.UNREACHABLE)
            return
        target.arrivals.append(self.now)
        if target.running < target.slots:
            self._begin(gateway, sent_at)
        elif len(target.waiting) < target.queue:
            target.waiting.append((gateway, sent_at))
        else:
            self._answer(gateway, sent_at, AttemptOutcome.SHED)

    def _begin(self, gateway, sent_at):
        self.target.running += 1
        self.target.busy.append((self.now, self.target.running))
        self._at(
            self.now + self.target.service_time(self.now),
            self._finish,
            gateway,
            sent_at,
        )

    def _finish(self, gateway, sent_at):
        target = self.target
        failed = target.fails(self.now)
        self._answer(
            gateway,
            sent_at,
            AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED,
        )
        target.running -= 1
        target.busy.append((self.now, target.running))
        target.finished.append(self.now)
        if target.waiting:
            self._begin(*target.waiting.pop(0))

    def _answer(self, gateway, sent_at, outcome):
        elapsed_s = self.now - sent_at + NETWORK_S
        reachable = outcome is not AttemptOutcome.UNREACHABLE
        reported = self.target.load() if reachable else None
        self.outcomes.append((sent_at, outcome, elapsed_s))
        ejected = gateway.view.record_outcome(
            outcome, latency_ratio=0.0, reported=reported, now=self.now
        )
        gateway.pacer.record_outcome(
            self.registration,
            outcome,
            elapsed_s=elapsed_s,
            objective_s=OBJECTIVE_S,
            expected_s=self.target.service_s,
            reported=reported,
            ejected=ejected,
            now=self.now,
        )


def most_in_a_second(times):
    """Returns the most times within any second."""
    times = sorted(times)
    start = most = 0
    for end, time in enumerate(times):
        while time - times[start] >= 1.0:
            start += 1
        most = max(most, end - start + 1)
    return most
