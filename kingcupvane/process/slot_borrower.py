"""Borrows slots of targets from the entries that own them.

An entry whose own slots are used up requests loans from other entries: first
in its own data centre, then in its region, then in other regions. A lender
lends only slots that it does not need itself, so spillover cannot overload a
data centre or a region.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio
from result import Ok

from kingcupvane.clock import MILLISECONDS_PER_SECOND, Clock
from kingcupvane.connection.messages import LoanReply, LoanRequest
from kingcupvane.connection.peer import PeerClient
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.dispatch import Dispatcher
from kingcupvane.request.load_balancing import SLOT_LOAN_MARGIN_S, LoadBalancer
from kingcupvane.settings import EntrySettings
from kingcupvane.version.items import TARGET_READY, Entry, Target

PERIOD_S = 0.25
# Loan requests for additional slots of a service in each round.
LOAN_REQUESTS_PER_SERVICE_MAX = 6
# Share of the usable slots in use above which further slots are borrowed.
BUSY_UTILISATION_MIN = 0.75
# Slots that a loan request asks for beyond those in use.
ADDED_SLOTS_PER_LOAN_REQUEST = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanCandidate:
    """A target and an entry that may lend slots of it."""

    target: Target
    lender: Entry


class SlotBorrower:
    """Adapts this entry's loans of slots to its demand."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        load_balancer: LoadBalancer,
        dispatcher: Dispatcher,
        client: PeerClient,
        replica: ConfigurationReplica,
        clock: Clock,
        timeline: Timeline,
        on_loans_changed: Callable[[], None],
    ):
        """Creates a borrower; `run` starts it.

        Args:
            settings: Name, data centre and region of this entry.
            load_balancer: Holds the slots and loans of targets.
            dispatcher: Provides the number of waiting requests.
            client: Sends loan requests to lenders.
            replica: Provides the configured targets and entries.
            clock: Monotonic clock.
            timeline: Records the first loan for a service from each remote data
                centre.
            on_loans_changed: Called after loans have changed.
        """
        self._settings = settings
        self._load_balancer = load_balancer
        self._dispatcher = dispatcher
        self._client = client
        self._replica = replica
        self._clock = clock
        self._timeline = timeline
        self._on_loans_changed = on_loans_changed
        self._reported_spillover: set[str] = set()
        self._last_number = 0

    async def run(self) -> None:
        """Borrows and returns slots until cancelled."""
        while True:
            await trio.sleep(PERIOD_S)
            await self.run_round()

    async def run_round(self) -> None:
        """Requests, renews or reduces the loans of each service."""
        targets_by_service = self._replica.current.targets_by_service
        loan_requests = [
            request
            for service, targets in targets_by_service.items()
            for request in self._loan_requests(service, targets)
        ]
        self._reduce_loans(loan_requests)
        async with trio.open_nursery() as nursery:
            for candidate, slots in loan_requests:
                nursery.start_soon(self._request_loan, candidate, slots)
        self._on_loans_changed()

    def _reduce_loans(
        self, loan_requests: list[tuple[LoanCandidate, int]]
    ) -> None:
        """Stops using slots before the lender learns that it may use them."""
        now = self._clock.now()
        for candidate, slots in loan_requests:
            self._load_balancer.reduce_loan(
                candidate.target.name, candidate.lender.name, slots, now
            )
        self._on_loans_changed()

    def _loan_requests(
        self, service: str, targets: tuple[Target, ...]
    ) -> Iterator[tuple[LoanCandidate, int]]:
        now = self._clock.now()
        needed = self.shortage(service, targets)
        loan_requests_made = 0
        for candidate in self.loan_candidates(targets):
            held = self._load_balancer.borrowed_slots_from(
                candidate.target.name, candidate.lender.name, now
            )
            load = self._load_balancer.load(candidate.target)
            used = min(held, load.in_flight)
            if (
                needed > 0
                and loan_requests_made < LOAN_REQUESTS_PER_SERVICE_MAX
            ):
                additional = min(ADDED_SLOTS_PER_LOAN_REQUEST, needed)
                needed -= additional
                loan_requests_made += 1
                yield candidate, used + additional
            elif held:
                yield candidate, used

    def shortage(self, service: str, targets: tuple[Target, ...]) -> int:
        """Returns how many additional slots this entry needs.

        One for each waiting request; if none waits but the slots are nearly
        used up, a quarter of the requests in flight.
        """
        waiting = self._dispatcher.queue_length(service)
        now = self._clock.now()
        loads = [self._load_balancer.load(target) for target in targets]
        free = sum(1 for load in loads if load.has_capacity(now))
        in_flight = sum(load.in_flight for load in loads)
        usable = sum(load.usable_slots for load in loads)
        if waiting:
            return waiting
        if not free or in_flight > BUSY_UTILISATION_MIN * usable:
            return math.ceil(max(1, in_flight) / 4)
        return 0

    def loan_candidates(
        self, targets: tuple[Target, ...]
    ) -> list[LoanCandidate]:
        """Returns the possible loans, nearest targets first."""
        now = self._clock.now()
        entries = self._replica.current.entries_by_data_centre
        candidates = [
            LoanCandidate(target=target, lender=entry)
            for target in targets
            if target.state == TARGET_READY
            and self._load_balancer.load(target).is_healthy(now)
            for entry in entries.get(target.data_centre, ())
            if entry.name != self._settings.name
        ]
        return sorted(candidates, key=self._distance)

    def _distance(self, candidate: LoanCandidate) -> tuple[int, int, str, str]:
        target = candidate.target
        if target.data_centre == self._settings.data_centre:
            distance = 0
        elif target.region == self._settings.region:
            distance = 1
        else:
            distance = 2
        load = self._load_balancer.load(target)
        return (distance, load.in_flight, target.name, candidate.lender.name)

    async def _request_loan(self, candidate: LoanCandidate, slots: int) -> None:
        name = self._settings.name
        started_at = self._clock.now()
        request = LoanRequest(
            sender=name,
            target=candidate.target.name,
            slots=slots,
            number=self._next_number(),
        )
        reply = await self._client.ask(candidate.lender.peer_address, request)
        if not isinstance(reply, Ok):
            return
        message = reply.ok_value
        if not isinstance(message, LoanReply):
            return
        until = started_at + message.ttl_s - SLOT_LOAN_MARGIN_S
        self._load_balancer.record_loan(
            candidate.target.name, candidate.lender.name, message.slots, until
        )
        self._record_spillover(candidate, message.slots)

    def _next_number(self) -> int:
        """Returns a number above those of this process and of earlier ones."""
        wall_ms = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        self._last_number = max(self._last_number + 1, wall_ms)
        return self._last_number

    def _record_spillover(self, candidate: LoanCandidate, slots: int) -> None:
        data_centre = candidate.target.data_centre
        if data_centre == self._settings.data_centre:
            return
        key = f"{candidate.target.service} {data_centre}"
        if slots and key not in self._reported_spillover:
            self._reported_spillover.add(key)
            self._timeline.record(
                "spill-granted",
                service=candidate.target.service,
                data_centre=data_centre,
            )
