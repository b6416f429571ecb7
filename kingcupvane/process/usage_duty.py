"""The duty to send usage reports: its record, its term and its schedule.

One gateway at a time holds the duty, by a lease in the platform's store. The
duty's record in the store holds the fencing token and what will be sent for
each window. It has no lease, so it outlives every holder; each write expects
the revision of the one before, so a holder that was superseded cannot write.
Nothing here does I/O.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

# Key of the holder, under its lease, and key of the duty's record.
HOLDER_KEY = "usage/holder"
RECORD_KEY = "usage/record"
# Holders that the record names.
HOLDERS_MAX = 8
# Part of a lease, at its end, in which the holder no longer acts.
LEASE_MARGIN_SHARE = 0.1
# Part of the time for a report after which a window is recorded; the rest is
# left for a change of the holder.
SETTLING_SHARE = 0.4
# Longest settling of a window, in seconds; a hub that is lost is replaced, and
# the counts of its data centre have come, in less.
SETTLING_MAX_S = 4.0
# Time for which a new holder collects counts, in seconds.
COLLECTING_S = 2.0
# Time before a window's report is due at which a new holder stops collecting,
# in seconds.
DUE_RESERVE_S = 1.2
# Reports that were recorded and not accepted are kept for this long past their
# due time, in seconds, and at most this many.
LATE_KEPT_S = 60.0
PENDING_MAX = 24


class WindowRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is sent for a window; it never changes once it is recorded.

    Attributes:
        window: Number of the window.
        counts: Requests that targets began in it, by client account.
    """

    window: int
    counts: dict[str, int]


class HolderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the holder's key.

    Attributes:
        name: Name of the gateway.
        data_centre: Its data centre.
        incarnation: Start time of its process, in Unix milliseconds.
    """

    name: str
    data_centre: str
    incarnation: int


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The duty's record in the store.

    Attributes:
        token: Fencing token of the last holder; each holder raises it first.
        holders: Names of the last holders, the latest last.
        next_window: First window that is not recorded yet; 0 before the first.
        pending: Recorded windows whose report may not have been accepted.
    """

    token: int = 0
    holders: list[str] = []
    next_window: int = 0
    pending: list[WindowRecord] = []

    def taken_over_by(self, name: str, *, first_window: int) -> "DutyRecord":
        """Returns the record with which a gateway becomes the holder.

        Args:
            name: Name of the gateway.
            first_window: Window to begin with if none was ever recorded.
        """
        holders = self.holders
        if not holders or holders[-1] != name:
            holders = [*holders, name][-HOLDERS_MAX:]
        return msgspec.structs.replace(
            self,
            token=self.token + 1,
            holders=holders,
            next_window=self.next_window or first_window,
        )

    def has_returned(self) -> bool:
        """Returns whether the holder held the duty before another one did."""
        return bool(self.holders) and self.holders[-1] in self.holders[:-1]


def encode(record: DutyRecord | HolderRecord) -> str:
    """Returns the value to store."""
    return msgspec.json.encode(record).decode()


def decode_record(value: str) -> Result[DutyRecord, str]:
    """Returns the duty's record, or what is wrong with it."""
    if not value:
        return Ok(DutyRecord())
    try:
        return Ok(msgspec.json.decode(value, type=DutyRecord))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(str(error))


def decode_holder(value: str) -> Result[HolderRecord, str]:
    """Returns the holder's record, or what is wrong with it."""
    try:
        return Ok(msgspec.json.decode(value, type=HolderRecord))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(str(error))


@dataclass(kw_only=True, slots=True)
class DutyTerm:
    """The time for which this process holds the duty, on one token.

    Attributes:
        lease: Id of the lease in the store.
        ttl_s: Its duration, in seconds.
        renewed_at: Monotonic time before the call that last granted or renewed
            it, in seconds.
        won_at: Monotonic time at which the token was confirmed, in seconds.
        acts_from: Monotonic time before which no report is sent, in seconds.
        record: The duty's record as this process last wrote or read it.
        revision: Store revision of that record.
        accepted: Windows whose report the platform accepted in this term.
    """

    lease: int
    ttl_s: float
    renewed_at: float
    won_at: float
    acts_from: float
    record: DutyRecord
    revision: int
    accepted: set[int] = field(default_factory=set)

    @property
    def token(self) -> int:
        """The fencing token of this term."""
        return self.record.token

    def remaining_s(self, now: float) -> float:
        """Returns for how long the holder may act, in seconds.

        The store counts the lease from the arrival of the call, so the holder
        stops before it may expire there.
        """
        usable_s = self.ttl_s * (1.0 - LEASE_MARGIN_SHARE)
        return self.renewed_at + usable_s - now

    def may_act(self, now: float) -> bool:
        """Returns whether a report may be sent now."""
        return self.acts_from <= now and self.remaining_s(now) > 0.0

    def renew(self, started_at: float) -> None:
        """Extends the term; `started_at` is the time before the call."""
        self.renewed_at = max(self.renewed_at, started_at)

    def adopt(self, record: DutyRecord, revision: int) -> None:
        """Takes a record that the store is known to hold."""
        if revision > self.revision:
            self.record = record
            self.revision = revision
            self.accepted &= {each.window for each in record.pending}

    def unsent(self) -> list[WindowRecord]:
        """Returns the recorded windows that were not accepted."""
        return [
            recorded
            for recorded in self.record.pending
            if recorded.window not in self.accepted
        ]


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordStep:
    """The windows that are to be recorded next.

    Attributes:
        next_window: First window that stays open.
        windows: Windows to record.
        given_up: Windows whose time is over; nothing is sent for them.
        dropped: Recorded windows that are no longer sent.
    """

    next_window: int
    windows: Sequence[int]
    given_up: Sequence[int]
    dropped: Sequence[WindowRecord]


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageSchedule:
    """When windows are recorded and sent, in true time.

    Attributes:
        window_s: Length of a window, in seconds.
        late_s: Time after a window's end at which its report is due, in
            seconds.
    """

    window_s: float
    late_s: float

    def due_at(self, window: int) -> float:
        """Returns when a window's report is due, in seconds since the epoch."""
        return (window + 1) * self.window_s + self.late_s

    def settles_at(self, window: int) -> float:
        """Returns when the counts of a window are taken for complete."""
        settling_s = min(SETTLING_MAX_S, SETTLING_SHARE * self.late_s)
        return (window + 1) * self.window_s + settling_s

    def next_step(
        self, record: DutyRecord, *, now: float, held_s: float
    ) -> RecordStep | None:
        """Returns what is to be recorded now; None for nothing.

        Args:
            record: The duty's record.
            now: True time, in seconds.
            held_s: Time since the holder won the duty, in seconds.
        """
        first = record.next_window
        window = max(first, self._first_in_time(now))
        given_up = range(first, window)
        windows = []
        while self._is_settled(window, now=now, held_s=held_s):
            windows.append(window)
            window += 1
        if window == first:
            return None
        kept = [
            recorded
            for recorded in record.pending
            if now < self.due_at(recorded.window) + LATE_KEPT_S
        ]
        kept = kept[max(0, len(kept) + len(windows) - PENDING_MAX) :]
        return RecordStep(
            next_window=window,
            windows=windows,
            given_up=given_up,
            dropped=[each for each in record.pending if each not in kept],
        )

    def _first_in_time(self, now: float) -> int:
        """Returns the first window whose report is not due yet."""
        return int((now - self.late_s) // self.window_s)

    def _is_settled(self, window: int, *, now: float, held_s: float) -> bool:
        if now < self.settles_at(window):
            return False
        is_urgent = self.due_at(window) - now < DUE_RESERVE_S
        return held_s >= COLLECTING_S or is_urgent

    def next_to_send(
        self, unsent: Collection[WindowRecord], now: float
    ) -> WindowRecord | None:
        """Returns the window to send next: the oldest that is still in time.

        Those whose time is over come last.
        """
        return min(
            unsent,
            key=lambda each: (self.due_at(each.window) <= now, each.window),
            default=None,
        )
