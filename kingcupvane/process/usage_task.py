"""Holds the duty to send usage reports, records the windows and sends them.

Two loops share the term: one wins, renews and gives up the lease, the other
records and sends. Only what the store is known to hold in the duty's record is
ever sent.
"""

from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import GatewayRecord
from kingcupvane.process.item import ABSENT_REVISION, Item
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.store import Conflict, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.process.true_time import TrueTime
from kingcupvane.process.usage_duty import (
    HOLDER_KEY,
    RECORD_KEY,
    DutyRecord,
    DutyTerm,
    HolderRecord,
    RecordStep,
    UsageSchedule,
    WindowRecord,
    decode_record,
    encode,
)
from kingcupvane.process.usage_ledger import UsageLedger
from kingcupvane.process.usage_receiver import UsageReceiver, UsageReply

# Period of both loops, in seconds.
STEP_PERIOD_S = 0.2
RENEWALS_PER_LEASE = 3.0
# Attempts to take over the duty's record within one lease.
TAKE_OVER_ATTEMPTS_MAX = 3
# Time after its start in which a gateway does not contend for the duty, in
# seconds; it learns the time and the counts from peers meanwhile.
CONTEND_AFTER_START_S = 2.0
# Timeout of a call to the platform, in seconds.
CALL_TIMEOUT_S = 1.0
# Pause after an attempt to win the duty that failed, in seconds.
CONTENTION_PAUSE_S = 1.0
# Pause after a term, as a multiple of the lease, for others to win the duty.
PAUSE_PER_LEASE = 1.0
# Less time left of the lease than this is not used for a call, in seconds.
CALL_TIME_MIN_S = 0.2
# Part of the platform's rate of calls that is used.
CALL_RATE_SHARE = 0.5
# Delay after a failed call, in seconds; doubles with each failure in a row.
RETRY_DELAY_MIN_S = 0.25
RETRY_DELAY_MAX_S = 2.0


class UsageTask:
    """Sends usage reports while this gateway holds the duty."""

    def __init__(
        self,
        *,
        own: GatewayRecord,
        store: Store,
        mirror: Mirror,
        receiver: UsageReceiver,
        ledger: UsageLedger,
        schedule: UsageSchedule,
        true_time: TrueTime,
        lease_s: float,
        calls_per_s: float,
        is_eligible: Callable[[], bool],
        contention_delay_s: Callable[[], float],
        metrics: GatewayMetrics,
        clock: Clock,
        timeline: Timeline,
    ):
        """Makes a task; `run` starts it.

        Args:
            own: Record of this gateway.
            store: The platform's store.
            mirror: The mirror of the store.
            receiver: The platform's receiver of usage reports.
            ledger: The known counts.
            schedule: When windows are recorded and sent.
            true_time: Tells which windows have ended.
            lease_s: Duration of the holder's lease, in seconds.
            calls_per_s: Calls a second that the platform takes.
            is_eligible: Returns whether this gateway may hold the duty.
            contention_delay_s: Returns for how long the duty must be free
                before this gateway tries to win it, in seconds.
            metrics: Counts windows and calls.
            clock: Monotonic clock.
            timeline: Log of holders and windows.
        """
        self._own = own
        self._store = store
        self._mirror = mirror
        self._receiver = receiver
        self._ledger = ledger
        self._schedule = schedule
        self._true_time = true_time
        self._lease_s = lease_s
        self._call_interval_s = 1.0 / (CALL_RATE_SHARE * calls_per_s)
        self._is_eligible = is_eligible
        self._contention_delay_s = contention_delay_s
        self._metrics = metrics
        self._clock = clock
        self._timeline = timeline
        self._term: DutyTerm | None = None
        self._sending = trio.Lock()
        self._contend_from = clock.now() + CONTEND_AFTER_START_S
        self._free_since: float | None = None
        self._retry_delay_s = RETRY_DELAY_MIN_S
        # No earlier process of this VM has acted after this one's start.
        self._last_acted_at = clock.now()

    @property
    def token(self) -> int:
        """The fencing token; 0 while this gateway does not hold the duty."""
        return self._term.token if self._term is not None else 0

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_lease)
            nursery.start_soon(self._run_windows)

    async def resign(self) -> None:
        """Gives the duty up, so that another gateway may win it at once."""
        term = self._term
        if term is None:
            return
        # A report that is under way must have arrived before the next holder's.
        async with self._sending:
            await self._end(term, "resigned")

    async def _run_lease(self) -> None:
        while True:
            if self._term is not None:
                await self._keep(self._term)
            elif self._should_contend():
                await self._win()
            await trio.sleep(STEP_PERIOD_S)

    async def _keep(self, term: DutyTerm) -> None:
        if not self._is_eligible():
            await self.resign()
            return
        started_at = self._clock.now()
        if started_at - term.renewed_at < self._lease_s / RENEWALS_PER_LEASE:
            return
        reply = await self._store.renew(term.lease)
        if isinstance(reply, Ok) and reply.ok_value:
            term.renew(started_at)
        elif isinstance(reply, Ok):
            await self._end(term, "the lease has ended")

    def _should_contend(self) -> bool:
        """Returns whether the duty has been free for long enough."""
        now = self._clock.now()
        is_free = (
            self._mirror.is_loaded and self._mirror.get(HOLDER_KEY) is None
        )
        if not is_free or not self._is_eligible() or now < self._contend_from:
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        return now - self._free_since >= self._contention_delay_s()

    async def _win(self) -> None:
        """Tries to become the holder: first the lease, then the token."""
        started_at = self._clock.now()
        self._free_since = None
        self._contend_from = started_at + CONTENTION_PAUSE_S
        granted = await self._store.grant(self._lease_s)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        holder = HolderRecord(
            name=self._own.name,
            data_centre=self._own.data_centre,
            incarnation=self._own.incarnation,
        )
        written = await self._store.compare_and_swap(
            HOLDER_KEY, encode(holder), expected=ABSENT_REVISION, lease=lease
        )
        term = None
        if isinstance(written, Ok):
            term = await self._take_over(lease, started_at)
        if term is None:
            # Also after an unknown outcome: the write then finds no lease.
            await self._store.revoke(lease)
            return
        self._term = term
        self._timeline.record(
            "usage-duty-won",
            token=term.token,
            next_window=term.record.next_window,
            pending=len(term.record.pending),
            acts_in_s=round(max(0.0, term.acts_from - term.won_at), 3),
        )

    async def _take_over(
        self, lease: int, started_at: float
    ) -> DutyTerm | None:
        """Raises the token in the duty's record; None if that failed.

        A token counts only if the store confirms this very write, while the
        lease still runs: a write whose outcome is unknown uses up a token.
        """
        item = self._mirror.get(RECORD_KEY) or Item(key=RECORD_KEY)
        for _ in range(TAKE_OVER_ATTEMPTS_MAX):
            decoded = decode_record(item.value)
            if isinstance(decoded, Err):
                self._timeline.record(
                    "usage-record-unreadable", why=decoded.err_value
                )
                return None
            record = decoded.ok_value.taken_over_by(
                self._own.name, first_window=self._ledger.first_window()
            )
            term = DutyTerm(
                lease=lease,
                ttl_s=self._lease_s,
                renewed_at=started_at,
                won_at=started_at,
                acts_from=started_at,
                record=record,
                revision=item.revision,
            )
            if not term.may_act(self._clock.now()):
                return None
            written = await self._store.compare_and_swap(
                RECORD_KEY, encode(record), expected=item.revision
            )
            match written:
                case Ok(confirmed):
                    return self._start(term, confirmed.revision)
                case Err(Conflict(current=current)):
                    item = current
                case _:
                    return None
        return None

    def _start(self, term: DutyTerm, revision: int) -> DutyTerm:
        term.revision = revision
        term.won_at = self._clock.now()
        term.acts_from = term.won_at
        if term.record.has_returned():
            # This VM held the duty before another one; that turn must lie a
            # whole lease back.
            returns_at = self._last_acted_at + self._lease_s
            term.acts_from = max(term.won_at, returns_at)
        return term

    async def _end(self, term: DutyTerm, reason: str) -> None:
        if self._term is not term:
            return
        self._term = None
        self._contend_from = self._clock.now() + PAUSE_PER_LEASE * self._lease_s
        self._timeline.record("usage-duty-lost", token=term.token, why=reason)
        await self._store.revoke(term.lease)

    async def _run_windows(self) -> None:
        while True:
            pause_s = STEP_PERIOD_S
            term = self._term
            if term is not None and term.may_act(self._clock.now()):
                pause_s = await self._work(term)
            await trio.sleep(pause_s)

    async def _work(self, term: DutyTerm) -> float:
        """Records and sends what is due; returns the pause, in seconds."""
        now = self._true_time.now()
        held_s = self._clock.now() - term.won_at
        step = self._schedule.next_step(term.record, now=now, held_s=held_s)
        if step is not None and not await self._record(term, step):
            return self._back_off()
        window = self._schedule.next_to_send(term.unsent(), now)
        if window is None or self._term is not term:
            return STEP_PERIOD_S
        reply = await self._send(term, window)
        if reply is UsageReply.ACCEPTED:
            self._retry_delay_s = RETRY_DELAY_MIN_S
            return self._call_interval_s
        if reply is UsageReply.SUPERSEDED:
            await self._end(term, "the platform has seen a higher token")
        return max(self._call_interval_s, self._back_off())

    def _back_off(self) -> float:
        delay_s = self._retry_delay_s
        self._retry_delay_s = min(RETRY_DELAY_MAX_S, 2.0 * delay_s)
        return delay_s

    async def _record(self, term: DutyTerm, step: RecordStep) -> bool:
        """Writes what will be sent to the store; returns whether it did."""
        dropped = {each.window for each in step.dropped}
        kept = [each for each in term.unsent() if each.window not in dropped]
        added = [
            WindowRecord(window, self._ledger.counts(window))
            for window in step.windows
        ]
        record = msgspec.structs.replace(
            term.record, next_window=step.next_window, pending=[*kept, *added]
        )
        written = await self._store.compare_and_swap(
            RECORD_KEY, encode(record), expected=term.revision
        )
        match written:
            case Ok(item):
                self._adopt(term, record, item.revision)
                self._log_recorded(term, step, added)
                return True
            case Err(Conflict(current=current)):
                await self._resolve(term, current)
            case Err(error):
                if error.may_have_taken_effect:
                    await self._read_record(term)
        return False

    async def _read_record(self, term: DutyTerm) -> None:
        """Reads the record after a write whose outcome is unknown.

        A write that takes effect later still makes the next one conflict.
        """
        reply = await self._store.get(RECORD_KEY)
        if isinstance(reply, Ok):
            await self._resolve(term, reply.ok_value)

    async def _resolve(self, term: DutyTerm, current: Item) -> None:
        """Adopts the record in the store, or ends a superseded term."""
        decoded = decode_record(current.value)
        record = decoded.unwrap_or(DutyRecord())
        if record.token == term.token:
            self._adopt(term, record, current.revision)
        else:
            await self._end(term, "another gateway has the duty")

    def _adopt(self, term: DutyTerm, record: DutyRecord, revision: int) -> None:
        term.adopt(record, revision)
        self._ledger.close_before(term.record.next_window)

    def _log_recorded(
        self, term: DutyTerm, step: RecordStep, added: list[WindowRecord]
    ) -> None:
        for recorded in added:
            self._log_window("kept", term, recorded)
        for recorded in step.dropped:
            if recorded.window not in term.accepted:
                self._log_window("given-up", term, recorded)
        if step.given_up:
            self._metrics.usage_windows.add(
                {"outcome": "given-up"}, len(step.given_up)
            )
            self._timeline.record(
                "usage-window-given-up",
                window=step.given_up[0],
                until=step.given_up[-1],
                holder=self._own.name,
                token=term.token,
                why="never recorded",
            )

    def _log_window(
        self, outcome: str, term: DutyTerm, recorded: WindowRecord
    ) -> None:
        self._metrics.usage_windows.inc({"outcome": outcome})
        end_s = (recorded.window + 1) * self._schedule.window_s
        self._timeline.record(
            f"usage-window-{outcome}",
            window=recorded.window,
            requests=sum(recorded.counts.values()),
            accounts=len(recorded.counts),
            holder=self._own.name,
            token=term.token,
            age_s=round(self._true_time.now() - end_s, 3),
        )

    async def _send(self, term: DutyTerm, recorded: WindowRecord) -> UsageReply:
        async with self._sending:
            remaining_s = term.remaining_s(self._clock.now())
            if self._term is not term or remaining_s < CALL_TIME_MIN_S:
                return UsageReply.NOT_SENT
            reply = await self._receiver.send(
                window=recorded.window,
                counts=recorded.counts,
                holder=self._own.name,
                token=term.token,
                may_send=lambda: self._may_send(term),
                timeout_s=min(CALL_TIMEOUT_S, remaining_s),
            )
            self._last_acted_at = self._clock.now()
        self._metrics.usage_calls.inc({"reply": reply.value})
        if reply is UsageReply.ACCEPTED:
            term.accepted.add(recorded.window)
            self._log_window("sent", term, recorded)
        else:
            self._timeline.record(
                "usage-call-failed",
                window=recorded.window,
                token=term.token,
                reply=reply.value,
            )
        return reply

    def _may_send(self, term: DutyTerm) -> bool:
        return self._term is term and term.may_act(self._clock.now())
