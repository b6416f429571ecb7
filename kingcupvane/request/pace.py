"""Pace of targets that have just started or recovered, found by their answers.

Load pattern: a target that has just started or come back tolerates only a few
requests a second from all gateways together, and crashes well above that. When
its cold phase ends, or a failure is over, many gateways see it idle at the same
moment and would fill its queue. So an unsettled target has a limit of its own:
while it is cold, a rate that a few gateways share, which all gateways determine
alike by rendezvous hashing; later, a number of requests in flight that is
divided among all gateways, and a chance for others to send one beyond it. They
rise with good answers and fall with bad ones.

A settled target has no entry here and no limit. The bound of a cold target
holds without messages: a gateway never sends it more than a share that fits
twice into the bound, as that of one that took its place unknown to it.
Cold and warm refer to the whole target here, but to one affinity key at a
target in `placement`.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from kingcupvane.request.cold_bound import (
    SENDERS_PER_COLD_TARGET,
    ColdBound,
)
from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.request.pace_state import (
    PaceEvent,
    PaceReport,
    PaceState,
    next_state,
)
from kingcupvane.request.placement import (
    AttemptOutcome,
    ReportedLoad,
    TargetView,
)
from kingcupvane.request.target_pace import (
    LEVEL_MAX,
    LEVEL_MIN,
    STEP_S,
    TargetPace,
)
from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.version.plan import RegisteredTarget

# Time for which the bound is kept after the cold phase, in seconds.
COLD_MARGIN_S = 0.3
# Time for which a gateway that has just started sends nothing to cold targets,
# in seconds: the requests of its process before may have just arrived.
RESTART_PAUSE_S = 1.0
# Time for which the senders of a target must have been the same, and heard of,
# for a rate above the one before any answer, in seconds: longer than it takes
# a gateway that is cut off to notice that.
SENDERS_STABLE_S = 3.0
# Requests that may wait at a target that is not settled.
QUEUE_MAX = 1.0
# Free share of the slots from which a target that is no longer cold idles.
IDLE_SHARE = 0.5
# Level at which the limit of a target that is no longer cold ends.
OPEN_LEVEL = 3
# Time between two changes of a limit without answers, in seconds, while the
# target is not cold.
BLIND_STEP_S = 0.5
# Time without bad answers after which a limit that fell may rise, in seconds.
QUIET_S = 0.5
# Longest ramp of a target that is no longer cold, in seconds.
RAMP_MAX_S = 4.0
# Factor on the expected time of an exchange up to which it isn't late even if
# it misses the objective: the service may not be able to meet that.
LATE_FACTOR = 1.5
# Reports of a target since its start up to which it has just started.
NEW_SEQUENCE_MAX = 3
# Time for which a service must be known before further targets are taken for
# new, in seconds; the first listing after a start shows all of them at once.
SERVICE_KNOWN_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PacingGateway:
    """An advertised gateway.

    Attributes:
        name: Its name.
        region: Its region.
        is_heard: Whether its reports reach this gateway.
    """

    name: str
    region: str
    is_heard: bool


class TargetPacer:
    """Limits the requests of one gateway to targets that are not settled.

    It does no I/O. A target has an entry only while it is not settled.
    """

    def __init__(
        self,
        *,
        name: str,
        bound: ColdBound,
        draw: Callable[[], float],
        cold_rate: Callable[[str], float],
        log_event: Callable[..., None],
    ):
        """Starts without targets and without known gateways.

        Args:
            name: Name of this gateway.
            bound: Bound of the requests to a cold target.
            draw: Returns a random number from 0 to 1.
            cold_rate: Returns the requests a second that a cold target of a
                service tolerates.
            log_event: Logs an event; takes its kind and fields.
        """
        self._name = name
        self._bound = bound
        self._draw = draw
        self._cold_rate = cold_rate
        self._log_event = log_event
        self._paces_by_target: dict[str, TargetPace] = {}
        self._service_seen_at: dict[str, float] = {}
        self._fleet: tuple[PacingGateway, ...] = ()
        self._fleet_changed_at = -math.inf
        self._sends_cold_from = math.inf

    def update_fleet(self, fleet: Sequence[PacingGateway], now: float) -> None:
        """Sets the advertised gateways; none is taken for unknown.

        Args:
            fleet: All advertised gateways as this one knows them.
            now: Monotonic seconds.
        """
        fleet = tuple(fleet)
        if fleet != self._fleet:
            if self._sends_cold_from == math.inf:
                self._sends_cold_from = now + RESTART_PAUSE_S
            self._fleet = fleet
            self._fleet_changed_at = now
            for pace in self._paces_by_target.values():
                self._rank(pace, changed_at=now)

    def see(self, target: RegisteredTarget, now: float) -> None:
        """Classifies a process of a target that registers here.

        Args:
            target: Its registration.
            now: Monotonic seconds.
        """
        known = self._paces_by_target.get(target.name)
        if known is not None and known.target.started_ms != target.started_ms:
            del self._paces_by_target[target.name]
        seen_at = self._service_seen_at.setdefault(target.service, now)
        is_new = (
            now - seen_at > SERVICE_KNOWN_S
            and target.sequence <= NEW_SEQUENCE_MAX
        )
        event = PaceEvent.SEEN_NEW if is_new else PaceEvent.SEEN_OLD
        if next_state(PaceState.UNKNOWN, event) is PaceState.SETTLED:
            return
        pace = self._entry(target, state=PaceState.UNKNOWN)
        if pace.state is PaceState.UNKNOWN:
            pace.begin_phase(now)
            self._apply(pace, event)

    def mark_cold(
        self, target: RegisteredTarget, *, left_s: float, now: float
    ) -> None:
        """Marks a target as cold for some time; never shortens that time.

        Args:
            target: Its registration.
            left_s: Remaining time of its cold phase, in seconds.
            now: Monotonic seconds.
        """
        if left_s <= 0.0:
            return
        pace = self._entry(target)
        pace.cold_until = max(pace.cold_until, now + left_s + COLD_MARGIN_S)
        if not pace.is_cold:
            pace.is_cold = True
            pace.is_own = False
            pace.begin_phase(now)
            self._apply(pace, PaceEvent.TURNED_COLD)

    def is_cold(self, target: str, now: float) -> bool:
        """Returns whether a target is cold."""
        pace = self._paces_by_target.get(target)
        return pace is not None and now < pace.cold_until

    def has_rate_limited(self, service: str) -> bool:
        """Returns whether the rate of any target of a service is limited."""
        return any(
            self._is_rate_limited(pace)
            for pace in self._paces_by_target.values()
            if pace.target.service == service
        )

    def may_use(
        self, view: TargetView, now: float, *, is_needed: bool = True
    ) -> bool:
        """Returns whether this gateway may send a request to a target now.

        Args:
            view: The target.
            now: Monotonic seconds.
            is_needed: Whether the request would wait or be refused elsewhere.
                If not, a cold target gets no more than before any answer:
                it is slower than others.
        """
        pace = self._paces_by_target.get(view.target.name)
        if pace is None:
            return True
        self._advance(pace, now)
        if pace.state is PaceState.SETTLED:
            return True
        if pace.is_probed and view.in_flight >= 1:
            return False
        room = view.target.slots - view.load(now)
        if view.in_flight and room <= -QUEUE_MAX:
            return False
        if self._is_rate_limited(pace):
            return self._may_send_cold(pace, now, is_needed=is_needed)
        if view.in_flight < self._concurrency_max(pace):
            return True
        if room < 1.0 or pace.is_own:
            return False
        if room >= IDLE_SHARE * view.target.slots:
            # The limit binds though the target idles: as good as an answer.
            pace.has_good = True
        return self._draw() < 2.0 ** (pace.level - OPEN_LEVEL)

    def record_request(self, target: str, now: float) -> None:
        """Records a request that is sent to a target."""
        pace = self._paces_by_target.get(target)
        if pace is not None and self._is_rate_limited(pace):
            self._bucket(pace, now).try_acquire(now)
            pace.sent_at = now

    def record_outcome(
        self,
        target: RegisteredTarget,
        outcome: AttemptOutcome,
        *,
        elapsed_s: float,
        objective_s: float,
        expected_s: float,
        reported: ReportedLoad | None,
        ejected: bool,
        now: float,
    ) -> None:
        """Learns from the outcome of a request.

        Args:
            target: The target.
            outcome: How the exchange ended.
            elapsed_s: Measured time of the exchange, in seconds.
            objective_s: Time within which the answer is wanted, in seconds.
            expected_s: Time that the exchange was expected to take, in seconds.
            reported: Load that the target reported, if any.
            ejected: Whether this outcome ejected the target.
            now: Monotonic seconds.
        """
        if ejected:
            self._eject(target, now)
            return
        pace = self._paces_by_target.get(target.name)
        if pace is None:
            return
        self._advance(pace, now)
        match outcome:
            case AttemptOutcome.ANSWERED:
                # Slowness without a queue isn't mended by less load.
                has_room = reported is not None and reported.waiting == 0
                wanted_s = max(objective_s, LATE_FACTOR * expected_s)
                if has_room or elapsed_s <= wanted_s:
                    pace.extra += has_room
                    self._hear_good(pace, now)
                else:
                    self._hear_bad(pace, now)
            case AttemptOutcome.SHED | AttemptOutcome.FAILED:
                self._hear_bad(pace, now)
            case AttemptOutcome.BROKEN | AttemptOutcome.TIMEOUT:
                self._hear_bad(pace, now)

    def reports(self) -> list[PaceReport]:
        """Returns what other gateways may use: no ejections, which are own."""
        return [
            PaceReport(
                name,
                pace.target.started_ms,
                pace.is_cold,
                pace.falls,
                pace.level,
            )
            for name, pace in self._paces_by_target.items()
            if not pace.is_own
        ]

    def merge(self, reports: Iterable[PaceReport], now: float) -> None:
        """Learns what other gateways know, if it tells more.

        Reports on targets that are settled here are ignored.
        """
        for report in reports:
            pace = self._paces_by_target.get(report.target)
            if pace is None or pace.is_own:
                continue
            self._advance(pace, now)
            own = (pace.target.started_ms, pace.is_cold)
            if (report.started_ms, report.is_cold) != own:
                continue
            level = min(LEVEL_MAX, max(LEVEL_MIN, report.level))
            if (report.falls, level) <= (pace.falls, pace.level):
                continue
            event = (
                PaceEvent.BAD if report.falls > pace.falls else PaceEvent.GOOD
            )
            if event is PaceEvent.BAD:
                pace.bad_at = now
                pace.extra = 0
            pace.falls = report.falls
            pace.level = level
            pace.stepped_at = now
            self._apply(pace, event)

    def advance(self, now: float) -> None:
        """Moves all targets on to the present time; forgets settled ones."""
        for pace in list(self._paces_by_target.values()):
            self._advance(pace, now)

    def states(self) -> dict[str, PaceState]:
        """Returns the state of each target that is not settled."""
        return {
            name: pace.state for name, pace in self._paces_by_target.items()
        }

    def counts(self, total: int) -> dict[PaceState, int]:
        """Returns the number of targets by state.

        Args:
            total: Number of registered targets.
        """
        counts = Counter(self.states().values())
        unsettled = len(self._paces_by_target)
        return {
            **{state: counts[state] for state in PaceState},
            PaceState.SETTLED: max(0, total - unsettled),
        }

    def remove_target(self, name: str) -> None:
        """Removes a target that is no longer registered."""
        self._paces_by_target.pop(name, None)

    def _entry(
        self,
        target: RegisteredTarget,
        *,
        state: PaceState = PaceState.SETTLED,
    ) -> TargetPace:
        pace = self._paces_by_target.get(target.name)
        if pace is None:
            pace = TargetPace(target=target, state=state)
            self._paces_by_target[target.name] = pace
            self._rank(pace, changed_at=self._fleet_changed_at)
        pace.target = target
        return pace

    def _rank(self, pace: TargetPace, *, changed_at: float) -> None:
        """Ranks the gateways: those of the target's region send to it most.

        Args:
            pace: The target.
            changed_at: Monotonic time of the fleet's last change, in seconds.
        """
        region_by_name = {
            gateway.name: gateway.region for gateway in self._fleet
        }
        ranking = rendezvous_rank(region_by_name, hash_key=pace.target.name)
        ranking.sort(
            key=lambda name: region_by_name[name] != pace.target.region
        )
        senders = ranking[:SENDERS_PER_COLD_TARGET]
        heard = {gateway.name for gateway in self._fleet if gateway.is_heard}
        is_same = senders == pace.ranking[:SENDERS_PER_COLD_TARGET]
        if not heard.issuperset(senders):
            pace.senders_since = math.inf
        elif not is_same or pace.senders_since == math.inf:
            pace.senders_since = changed_at
        pace.ranking = ranking

    def _eject(self, target: RegisteredTarget, now: float) -> None:
        is_settled = target.name not in self._paces_by_target
        pace = self._entry(target)
        pace.is_own = pace.is_own or is_settled
        if pace.is_own:
            pace.level = 0
        pace.is_probed = True
        pace.extra = 0
        pace.bad_at = now
        self._apply(pace, PaceEvent.EJECTED)

    def _hear_good(self, pace: TargetPace, now: float) -> None:
        if pace.is_probed:
            pace.is_probed = False
            pace.stepped_at = now
            pace.began_at = now
        pace.has_good = True
        self._apply(pace, PaceEvent.GOOD)
        self._advance(pace, now)

    def _hear_bad(self, pace: TargetPace, now: float) -> None:
        pace.fall(now)
        self._apply(pace, PaceEvent.BAD)

    def _advance(self, pace: TargetPace, now: float) -> None:
        if pace.is_cold and now >= pace.cold_until:
            was_rate_limited = self._is_rate_limited(pace)
            pace.is_cold = False
            pace.bucket = None
            if was_rate_limited:
                has_done_well = pace.level > 0 and not pace.falls
                pace.begin_phase(now, level=int(has_done_well))
            pace.began_at = now
        if pace.is_probed:
            return
        if not pace.is_cold and now - pace.began_at >= RAMP_MAX_S:
            self._apply(pace, PaceEvent.EXPIRED)
        if pace.state is PaceState.BACKING_OFF:
            if now - pace.bad_at >= QUIET_S:
                self._apply(pace, PaceEvent.QUIET)
            return
        if pace.state is PaceState.RAMPING:
            self._step(pace, now)

    def _step(self, pace: TargetPace, now: float) -> None:
        since_s = now - pace.stepped_at
        if pace.has_good and since_s >= STEP_S:
            if not self._is_at_cold_maximum(pace):
                pace.rise(now)
        elif not pace.is_cold and since_s >= BLIND_STEP_S:
            pace.rise(now)
        if not pace.is_cold and self._is_open(pace):
            self._apply(pace, PaceEvent.OPEN)

    def _is_rate_limited(self, pace: TargetPace) -> bool:
        """Returns whether it is cold and its plan names a rate."""
        return pace.is_cold and self._cold_rate(pace.target.service) > 0.0

    def _is_at_cold_maximum(self, pace: TargetPace) -> bool:
        """Returns whether a higher level would allow no higher rate."""
        if not self._is_rate_limited(pace):
            return False
        rate = self._cold_rate(pace.target.service)
        share = self._bound.first_share(rate) * 2.0**pace.level
        return share >= self._largest_share(pace, rate)

    def _largest_share(self, pace: TargetPace, rate: float) -> float:
        """Returns a sender's highest rate; more if there are few senders."""
        count = len(pace.ranking[:SENDERS_PER_COLD_TARGET])
        factor = SENDERS_PER_COLD_TARGET / max(1, count)
        return factor * self._bound.largest_share(rate)

    def _is_open(self, pace: TargetPace) -> bool:
        """Returns whether any gateway may use all slots at once."""
        if pace.is_own:
            return 2**pace.level >= pace.target.slots
        return pace.level >= OPEN_LEVEL

    def _allowance(self, pace: TargetPace) -> int:
        """Returns the requests in flight there allowed to all gateways."""
        return max(1, int(pace.target.slots * 2.0**pace.level))

    def _concurrency_max(self, pace: TargetPace) -> int:
        """Returns this gateway's part of the allowance."""
        if pace.is_own:
            return max(1, int(2.0**pace.level)) + pace.extra
        count = len(pace.ranking)
        if not count:
            return self._allowance(pace) + pace.extra
        part, rest = divmod(self._allowance(pace), count)
        # A gateway that is not advertised comes last.
        is_among_rest = self._name in pace.ranking[:rest]
        return part + is_among_rest + pace.extra

    def _may_send_cold(
        self, pace: TargetPace, now: float, *, is_needed: bool
    ) -> bool:
        if now < self._sends_cold_from:
            return False
        if self._name not in pace.ranking[:SENDERS_PER_COLD_TARGET]:
            return False
        if pace.bucket is None:
            return True
        rate = self._cold_rate(pace.target.service)
        first = self._bound.first_share(rate)
        if not is_needed and now - pace.sent_at < 1.0 / first:
            return False
        return self._bucket(pace, now).wait_s(now) <= 0.0

    def _bucket(self, pace: TargetPace, now: float) -> TokenBucket:
        if pace.bucket is None:
            pace.bucket = TokenBucket(now=now)
        rate = self._cold_share(pace, now)
        pace.bucket.resize(rate=rate, burst=1.0, now=now)
        return pace.bucket

    def _cold_share(self, pace: TargetPace, now: float) -> float:
        """Returns this gateway's rate at a cold target, in requests a second.

        Above the rate before any answer only while it is sure who sends.
        """
        rate = self._cold_rate(pace.target.service)
        first = self._bound.first_share(rate)
        if pace.level <= 0 or now - pace.senders_since < SENDERS_STABLE_S:
            return first
        largest = self._largest_share(pace, rate)
        return min(largest, first * 2.0**pace.level)

    def _apply(self, pace: TargetPace, event: PaceEvent) -> None:
        state = next_state(pace.state, event)
        if state is PaceState.SETTLED:
            self._paces_by_target.pop(pace.target.name, None)
        if state is pace.state:
            return
        before, pace.state = pace.state, state
        self._log_event(
            "target-pace",
            target=pace.target.name,
            service=pace.target.service,
            state=state.value,
            before=before.value,
            why=event.value,
            cold=pace.is_cold,
            level=pace.level,
            falls=pace.falls,
        )
