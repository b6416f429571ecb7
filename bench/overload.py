"""Latency under load with degraded targets, in simulated time.

Compares `LoadBalancer` with round robin over the same dispatcher, targets,
arrivals and queue. Time is trio's mock clock, so that runs are reproducible.
"""

import random
import statistics
from dataclasses import dataclass

import trio
import trio.testing

from kingcupvane.connection.target_client import (
    ExchangeFailure,
    ExchangeFailureKind,
    TargetResponse,
)
from kingcupvane.process.timeline import HybridClock, Timeline
from kingcupvane.request.concurrency import ExchangeOutcome
from kingcupvane.request.context import RequestContext
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.dispatch import Dispatcher
from kingcupvane.request.load_balancing import LoadBalancer
from kingcupvane.settings import QueueSettings, RetrySettings
from kingcupvane.version.configuration import Configuration, Items
from kingcupvane.version.items import Route, Service, Target, Version
from kingcupvane.version.move import VersionShare

SEED = 3
DURATION_S = 30.0
WARM_UP_S = 5.0
TARGETS = 8
SLOTS = 4
BACKLOG = 8
SERVICE_S = 0.02
COLD_FACTOR = 5.0
COLD_S = 10.0
SLOW_FACTOR = 4.0
TIMEOUT_S = 2.0
SERVICE = Service(name="s", routes=(Route(prefix="/"),))
SHARES = {"v1": VersionShare(share=1.0, capped=False)}


class SimulatedClock:
    """Monotonic and wall clock that follow trio's mock clock."""

    def now(self) -> float:
        """Returns simulated seconds."""
        return trio.current_time()

    def wall(self) -> float:
        """Returns simulated Unix seconds."""
        return 1.7e9 + trio.current_time()


class SimulatedTargets:
    """Targets: `t0` starts cold, `t1` is slow, `t2` is slow and never sheds.

    All others are healthy. A target starts cold if its service time is
    `COLD_FACTOR` times as long for the first `COLD_S` seconds.
    """

    def __init__(self, *, rng: random.Random):
        """Creates idle targets; `rng` draws their service times."""
        self._rng = rng
        self._active_counts = dict.fromkeys(range(TARGETS), 0)
        self._slots = {n: trio.Semaphore(SLOTS) for n in range(TARGETS)}

    async def exchange(self, target, target_request, sink):
        """Simulates one exchange with a target."""
        del target_request, sink
        number = int(target.name[1:])
        backlog = 10**6 if number == 2 else BACKLOG
        if self._active_counts[number] >= SLOTS + backlog:
            return ExchangeFailure(kind=ExchangeFailureKind.SHED, detail="shed")
        self._active_counts[number] += 1
        try:
            async with self._slots[number]:
                await trio.sleep(self._service_s(number))
        finally:
            self._active_counts[number] -= 1
        return TargetResponse(status=200, headers=[], body=b"")

    async def is_listening(self, target) -> bool:
        """Returns True: no target ever dies."""
        del target
        return True

    def _service_s(self, number: int) -> float:
        seconds = SERVICE_S * self._rng.lognormvariate(0, 0.25)
        if number == 0 and trio.current_time() < COLD_S:
            seconds *= COLD_FACTOR
        if number in (1, 2):
            seconds *= SLOW_FACTOR
        return seconds


class RoundRobinBalancer(LoadBalancer):
    """Round robin that ignores the load and health of targets."""

    turn = 0

    def choose(self, service, configuration, shares, *, exclude, now):
        """Returns the next target that isn't excluded, if there is one.

        If all are excluded, it returns the next of all targets.
        """
        del shares, now
        targets = configuration.targets_by_service[service]
        remaining = [t for t in targets if t.name not in exclude] or targets
        self.turn += 1
        return remaining[self.turn % len(remaining)]

    def record_outcome(
        self, target, outcome: ExchangeOutcome, *, latency_s, now
    ):
        """Counts the end of the request and ignores its outcome."""
        del outcome, latency_s, now
        self.load(target).in_flight -= 1
        return False


@dataclass(kw_only=True)
class SimulationResult:
    """Results of the requests that were sent after the warm-up.

    Attributes:
        latencies: Latencies of the requests that succeeded, in seconds.
        refused: Requests that failed with another status than 504.
        timed_out: Requests that failed with status 504, past their deadline.
    """

    latencies: list[float]
    refused: int = 0
    timed_out: int = 0


def make_configuration() -> Configuration:
    """Returns a configuration with all targets in one data centre."""
    targets = tuple(
        Target(
            name=f"t{number}",
            service="s",
            version="v1",
            region="r",
            data_centre="d",
            address="127.0.0.1:1",
            slots=SLOTS,
        )
        for number in range(TARGETS)
    )
    return Configuration(
        revision=1,
        items=Items(
            services=(SERVICE,),
            versions=(Version(name="v1", service="s"),),
            targets=targets,
        ),
    )


async def simulate(
    balancer_type: type[LoadBalancer], load: float
) -> SimulationResult:
    """Runs one load balancer at `load` times the targets' capacity."""
    rng = random.Random(SEED)
    clock = SimulatedClock()
    configuration = make_configuration()
    load_balancer = balancer_type(name="e", data_centre="d", seed=SEED)
    load_balancer.update(configuration, ["e"], clock.now())
    dispatcher = Dispatcher(
        load_balancer=load_balancer,
        client=SimulatedTargets(rng=rng),
        clock=clock,
        timeline=Timeline(
            process="bench", clock=HybridClock(clock=clock), capacity=64
        ),
        crashes=CrashRegistry(settings=RetrySettings()),
        queue=QueueSettings(),
        retry=RetrySettings(),
        shares=lambda _: SHARES,
        record_sample=lambda _: None,
    )
    healthy = (TARGETS - 2) * SLOTS / SERVICE_S
    degraded = 2 * SLOTS / (SERVICE_S * SLOW_FACTOR)
    rate = load * (healthy + degraded)
    result = SimulationResult(latencies=[])

    async def request(number: int) -> None:
        started_at = clock.now()
        context = RequestContext(
            service=SERVICE,
            route=SERVICE.routes[0],
            method="GET",
            path="/",
            query="",
            account=f"a{number % 4}",
            key_name="k",
            idempotency_key="",
            attempt="1",
            deadline=started_at + TIMEOUT_S,
            fingerprint=str(number),
        )
        response = await dispatcher.run(context, lambda: configuration, None)
        if started_at < WARM_UP_S:
            return
        if response.is_ok():
            result.latencies.append(clock.now() - started_at)
        elif response.err_value.status == 504:
            result.timed_out += 1
        else:
            result.refused += 1

    async with trio.open_nursery() as nursery:
        number = 0
        while clock.now() < DURATION_S:
            await trio.sleep(rng.expovariate(rate))
            number += 1
            nursery.start_soon(request, number)
    return result


def run() -> None:
    """Runs both load balancers at each load and prints their results."""
    print(
        f"seed {SEED}, {DURATION_S} s simulated, {TARGETS} targets of {SLOTS}"
        " slots: one cold, one slow, one slow that never sheds"
    )
    for load in (0.5, 0.9, 1.5):
        for balancer_type in (RoundRobinBalancer, LoadBalancer):
            mock_clock = trio.testing.MockClock(autojump_threshold=0)
            result = trio.run(simulate, balancer_type, load, clock=mock_clock)
            percentiles = statistics.quantiles(result.latencies, n=100)
            total = len(result.latencies) + result.refused + result.timed_out
            print(
                f"  {load:.0%} {balancer_type.__name__}: answered"
                f" {len(result.latencies) / total:.1%}, p50"
                f" {percentiles[49] * 1000:.0f} ms,"
                f" p99 {percentiles[98] * 1000:.0f} ms,"
                f" refused {result.refused}, past deadline {result.timed_out}"
            )
