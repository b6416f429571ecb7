"""A simulated fleet that exchanges reports of how fresh mirrors are; no I/O.

Reports are exchanged as `Reporter` does: of two gateways of a data centre the
one with the lower name sends, hubs send to the hubs of data centres of a higher
name, and a reply is a report, too. Watchers of the store watch it as
`StoreReplicator` does. Each gateway has a clock of its own.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count, product

from kingcupvane.clock import ManualClock
from kingcupvane.process.confirmation import Confirmation
from kingcupvane.process.freshness import MirrorFreshness
from kingcupvane.process.item import Position
from kingcupvane.process.lateness import TICK_PERIOD_S, LatenessMeter
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.replication import (
    BATCH_DELAY_S,
    WATCHER_CHECK_PERIOD_S,
    answered_moment,
)
from kingcupvane.process.reporting import (
    REPORT_PERIOD_S,
    REPORTS_PER_FULL_ROUND,
    REPORTS_PER_FULL_ROUND_LARGE,
    REPORTS_PER_REMOTE_REPORT,
    SMALL_DATA_CENTRE_MAX,
)

WATCH_S = 1.2
# Longest wait for the reply to a report, in seconds.
REPLY_TIMEOUT_S = 1.0
# Delay of an answer of the store, from least to largest, in seconds.
STORE_DELAY_S = (0.002, 0.02)


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What a report says of the sender's mirror."""

    position: Position
    confirmation: Confirmation | None


class SimulatedGateway:
    """A gateway that exchanges reports.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        frozen_until: End of its freeze, in seconds of the simulation.
        stale_checks: Number of checks that found that it must ask the store.
        stale_since: When the first such check was, in seconds of the
            simulation; None without one.
    """

    def __init__(self, *, name: str, data_centre: str, offset_s: float):
        """Starts at time 0 of the simulation with a complete mirror.

        Args:
            name: Its name.
            data_centre: Its data centre.
            offset_s: Its clock at time 0, in seconds.
        """
        self.name = name
        self.data_centre = data_centre
        self.mirror = Mirror(prefix="")
        self.mirror.merge([], as_of=Position(0, 10))
        self.frozen_until = 0.0
        self.stale_checks = 0
        self.stale_since: float | None = None
        self.pending: dict[str, int] = {}
        self._clock = ManualClock(now_s=offset_s)
        self._offset_s = offset_s
        self._lateness = LatenessMeter(
            clock=self._clock,
            observe=lambda late_s: None,
            log_event=lambda kind, **fields: None,
        )
        self._make_freshness(offset_s)

    def _make_freshness(self, now: float) -> None:
        self.freshness = MirrorFreshness(
            mirror=self.mirror, origin=self.name, now=now
        )

    def own_time(self, now: float) -> float:
        """Sets its clock to a time of the simulation; returns its own time."""
        self._clock.now_s = self._offset_s + now
        return self._clock.now_s

    def tick(self, now: float) -> None:
        """Measures its lateness."""
        self.own_time(now)
        self._lateness.tick()

    def age_s(self, now: float) -> float:
        """Returns the age of its mirror that it believes in, in seconds."""
        return self.freshness.age_s(self.own_time(now))

    def check(self, now: float) -> None:
        """Counts whether it must ask the store."""
        if self.freshness.must_ask_store(self.own_time(now)):
            self.stale_checks += 1
            if self.stale_since is None:
                self.stale_since = now

    def report(self, now: float) -> Report:
        """Returns its report."""
        own_now = self.own_time(now)
        return Report(
            position=self.mirror.as_of,
            confirmation=self.freshness.confirmation(own_now),
        )

    def receive(self, report: Report, now: float) -> None:
        """Applies the report of a peer."""
        own_now = self.own_time(now)
        received_at = own_now - self._lateness.held_up_s(own_now)
        self.mirror.merge([], as_of=report.position)
        self.freshness.note_position(report.position, own_now)
        if report.confirmation is not None:
            self.freshness.hear(report.confirmation, received_at, own_now)

    def answer(self, revision: int, called_at: float, now: float) -> None:
        """Applies an answer of the store to a watch."""
        own_now = self.own_time(now)
        self.mirror.merge([], as_of=Position(0, revision))
        moment = answered_moment(
            called_at=self._offset_s + called_at,
            wait_s=WATCH_S,
            read_at=own_now - self._lateness.held_up_s(own_now),
        )
        self.freshness.confirm_own(self.mirror.as_of, moment)


class FleetSimulation:
    """The fleet, its network and the store.

    Attributes:
        now: Time of the simulation, in seconds.
        answered_at: When the store last answered a watcher.
        gateways: All gateways, by name.
    """

    def __init__(
        self,
        *,
        sizes: dict[str, int],
        seed: int,
        delay_s: tuple[float, float] = (0.005, 0.15),
        local_delay_s: tuple[float, float] | None = None,
        loss: float = 0.0,
        are_advertised: bool = True,
        gateway_type: type[SimulatedGateway] = SimulatedGateway,
    ):
        """Starts the exchange of reports; nobody watches the store.

        Args:
            sizes: Number of gateways by data centre.
            seed: Seed of all delays and phases.
            delay_s: Least and largest network delay, in seconds.
            local_delay_s: The same within a data centre; None for no other.
            loss: Share of the messages that are lost.
            are_advertised: Whether the gateways report to each other in each
                round, not only in the full ones.
            gateway_type: Type of the gateways.
        """
        self.now = 0.0
        self.answered_at = 0.0
        self.gateways: dict[str, SimulatedGateway] = {}
        self._random = random.Random(seed)
        self._delay_s = delay_s
        self._local_delay_s = local_delay_s or delay_s
        self._loss = loss
        self._are_advertised = are_advertised
        self._sizes = sizes
        self._events: list[tuple[float, int, str, Callable[[], None]]] = []
        self._numbers = count()
        self._revision = 10
        self._written_at = 0.0
        for data_centre, size in sizes.items():
            for number in range(size):
                name = f"{data_centre}-{number}"
                self.gateways[name] = gateway_type(
                    name=name,
                    data_centre=data_centre,
                    offset_s=self._random.uniform(0.0, 1e6),
                )
        for gateway in self.gateways.values():
            self._start(gateway)

    def _start(self, gateway: SimulatedGateway) -> None:
        phases = [self._random.uniform(0.0, 0.2) for _ in range(3)]
        self._repeat(gateway, TICK_PERIOD_S, gateway.tick, phases[0] / 2)
        self._repeat(gateway, WATCHER_CHECK_PERIOD_S, gateway.check, phases[1])
        rounds = count(self._random.randrange(12))
        self._repeat(
            gateway,
            REPORT_PERIOD_S,
            lambda now: self._report_round(gateway, next(rounds)),
            phases[2],
        )

    def run_until(self, end: float) -> None:
        """Runs to a time of the simulation, in seconds."""
        while self._events and self._events[0][0] <= end:
            self.now, _, name, action = heapq.heappop(self._events)
            gateway = self.gateways[name]
            if self.now < gateway.frozen_until:
                self._at(gateway.frozen_until, gateway, action)
                continue
            action()
        self.now = end

    def freeze(self, name: str, *, until: float) -> None:
        """Holds a gateway up from now; messages to it wait meanwhile."""
        self.gateways[name].frozen_until = until

    def watch(self, name: str, *, until: float = float("inf")) -> None:
        """Lets a gateway watch the store, up to calls made before a time."""
        gateway = self.gateways[name]
        self._at(
            self.now,
            gateway,
            lambda: self._call_store(gateway, until),
        )

    def write_every(self, period_s: float, *, until: float) -> None:
        """Lets the store change from time to time, up to a time."""
        first = next(iter(self.gateways.values()))
        if self.now >= until:
            return
        self._revision += 1
        self._written_at = self.now
        pause_s = self._random.uniform(0.0, 2 * period_s)
        self._at(
            self.now + pause_s,
            first,
            lambda: self.write_every(period_s, until=until),
        )

    def _at(
        self, at: float, gateway: SimulatedGateway, action: Callable[[], None]
    ) -> None:
        event = (at, next(self._numbers), gateway.name, action)
        heapq.heappush(self._events, event)

    def _repeat(
        self,
        gateway: SimulatedGateway,
        period_s: float,
        action: Callable[[float], None],
        phase_s: float,
    ) -> None:
        def run() -> None:
            action(self.now)
            self._at(self.now + period_s, gateway, run)

        self._at(phase_s, gateway, run)

    def _report_round(self, gateway: SimulatedGateway, number: int) -> None:
        size = self._sizes[gateway.data_centre]
        is_large = size > SMALL_DATA_CENTRE_MAX
        period = 2 if is_large else 1
        if not self._are_advertised:
            period = (
                REPORTS_PER_FULL_ROUND_LARGE
                if is_large
                else REPORTS_PER_FULL_ROUND
            )
        for peer in self.gateways.values():
            if peer.data_centre == gateway.data_centre:
                is_due = number % period == 0 and gateway.name < peer.name
            else:
                is_due = (
                    number % REPORTS_PER_REMOTE_REPORT == 0
                    and gateway.name.endswith("-0")
                    and peer.name.endswith("-0")
                    and gateway.data_centre < peer.data_centre
                )
            if is_due and peer.name not in gateway.pending:
                self._exchange(gateway, peer)

    def _exchange(
        self, gateway: SimulatedGateway, peer: SimulatedGateway
    ) -> None:
        number = next(self._numbers)
        gateway.pending[peer.name] = number

        def end() -> None:
            if gateway.pending.get(peer.name) == number:
                del gateway.pending[peer.name]

        def receive_reply(reply: Report) -> None:
            if gateway.pending.get(peer.name) == number:
                gateway.receive(reply, self.now)
            end()

        def receive(report: Report) -> None:
            peer.receive(report, self.now)
            reply = peer.report(self.now)
            self._send(peer, gateway, lambda: receive_reply(reply))

        report = gateway.report(self.now)
        self._send(gateway, peer, lambda: receive(report))
        self._at(self.now + REPLY_TIMEOUT_S, gateway, end)

    def _send(
        self,
        sender: SimulatedGateway,
        receiver: SimulatedGateway,
        action: Callable[[], None],
    ) -> None:
        is_local = sender.data_centre == receiver.data_centre
        delay_s = self._local_delay_s if is_local else self._delay_s
        if self._random.random() >= self._loss:
            self._at(
                self.now + self._random.uniform(*delay_s), receiver, action
            )

    def _call_store(self, gateway: SimulatedGateway, until: float) -> None:
        called_at = self.now
        known = gateway.mirror.as_of.revision
        if called_at >= until:
            return
        delays_s = [self._random.uniform(*STORE_DELAY_S) for _ in range(2)]

        def poll() -> None:
            """Answers at a change or at the end of the wait."""
            is_empty = self._revision <= known
            if is_empty and self.now < called_at + delays_s[0] + WATCH_S:
                self._at(self.now + 0.01, gateway, poll)
                return
            revision = self._revision
            self.answered_at = self.now
            self._at(
                self.now + delays_s[1],
                gateway,
                lambda: read(revision, is_empty),
            )

        def read(revision: int, is_empty: bool) -> None:
            gateway.answer(revision, called_at, self.now)
            self._at(
                self.now + (0.0 if is_empty else BATCH_DELAY_S),
                gateway,
                lambda: self._call_store(gateway, until),
            )

        self._at(self.now + delays_s[0], gateway, poll)


def calm_fleets() -> list[tuple[str, dict[str, int], bool]]:
    """Returns fleets: label, sizes and whether all gateways are advertised."""
    sizes = {
        "one of 3": {"a": 3},
        "one of 6": {"a": 6},
        "one of 28": {"a": 28},
        "6 sole gateways": dict.fromkeys("abcdef", 1),
        "3 of 2": dict.fromkeys("abc", 2),
    }
    return [
        (label, by_data_centre, are_advertised)
        for (label, by_data_centre), are_advertised in product(
            sizes.items(), (True, False)
        )
    ]
