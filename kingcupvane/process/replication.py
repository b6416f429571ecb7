"""Replication of the store to a gateway's mirror, from the store or peers.

One gateway of each data centre watches the store; the others copy from a peer
with a newer mirror, so calls to the store do not grow with the fleet. A watcher
that cannot reach the store reports it, and the next candidate takes over. A
gateway whose mirror lags all the same watches the store itself for a while.
"""

import enum
from collections.abc import Callable, Iterable

import msgspec
import trio
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    GatewayRecord,
    GatewayReport,
    MirrorReply,
    MirrorRequest,
    MirrorSource,
)
from kingcupvane.process.confirmation import Confirmation, claimed_age_s
from kingcupvane.process.freshness import MirrorFreshness, Staleness
from kingcupvane.process.item import ABSENT_REVISION, LOWEST, Item, Position
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.peering import PeerTable, store_watchers
from kingcupvane.process.read_choice import Read, ReadChoice
from kingcupvane.process.store import (
    Conflict,
    HistoryCompacted,
    Listing,
    Store,
)
from kingcupvane.process.timeline import Timeline
from kingcupvane.settings import PlatformStoreSettings

# Number of gateways that watch the store in each data centre.
WATCHERS_PER_DATA_CENTRE = 1
# Time between two checks of whether this gateway is a watcher, in seconds.
WATCHER_CHECK_PERIOD_S = 0.2
# Delay after a call that returned changes, in seconds, so that changes close
# together take one call.
BATCH_DELAY_S = 0.2
# Delay after a failed call, in seconds; doubles with each failure in a row.
RETRY_DELAY_MIN_S = 0.25
RETRY_DELAY_MAX_S = 1.0
# TTL of a gateway record's lease, as a multiple of the peers' contact timeout.
LEASE_TTL_PER_CONTACT_TIMEOUT = 2.0
# Number of renewals within one TTL.
RENEWALS_PER_LEASE = 3.0
GATEWAY_RECORD_PREFIX = "gateways/"


class FetchOutcome(enum.Enum):
    """What came of reading the store once."""

    FAILED = enum.auto()
    # The store can't tell the changes since the mirror's position.
    GONE = enum.auto()
    UNCHANGED = enum.auto()
    CHANGED = enum.auto()


def answered_moment(
    *, called_at: float, wait_s: float, read_at: float
) -> float:
    """Returns a moment for which an answer of the store holds.

    An answer may have been under way for some time, so it is taken for no newer
    than the end of the wait that the call asked for.

    Args:
        called_at: When the call was made, in monotonic seconds.
        wait_s: Longest wait before the answer, in seconds.
        read_at: When the answer was read, in monotonic seconds.
    """
    return max(called_at, min(called_at + wait_s, read_at))


class StoreReplicator:
    """Keeps the mirror up to date; watches the store if chosen as watcher.

    Attributes:
        mirror_source: Present source of the mirror.
        freshness: How far the mirror is known to lag behind the store.
        confirmed_at: Monotonic time at which the store last answered or a peer
            last sent changes, in seconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        mirror: Mirror,
        peers: PeerTable,
        settings: PlatformStoreSettings,
        apply_items: Callable[[list[Item]], None],
        begin_era: Callable[[], None],
        held_up_s: Callable[[float], float],
        clock: Clock,
        timeline: Timeline,
    ):
        """Creates the replicator; `run` starts it.

        Args:
            store: The platform's store.
            mirror: The mirror to update.
            peers: The known gateways, from which watchers are chosen.
            settings: Settings of calls to the store.
            apply_items: Called with the items that changed.
            begin_era: Called before the first items of a later era of the
                store are applied.
            held_up_s: Returns for how long the process may just have been held
                up at a monotonic time, in seconds.
            clock: Monotonic clock.
            timeline: Log of the store's loss and return.
        """
        self._store = store
        self._mirror = mirror
        self._peers = peers
        self._settings = settings
        self._apply_items = apply_items
        self._begin_era = begin_era
        self._held_up_s = held_up_s
        self._clock = clock
        self._timeline = timeline
        self.mirror_source = MirrorSource.LOST
        own = peers.own
        self.freshness = MirrorFreshness(
            mirror=mirror,
            origin=f"{own.name}/{own.incarnation}",
            now=clock.now(),
        )
        self.confirmed_at = clock.now()
        self._reads = ReadChoice()
        self._failure_detail = ""
        self._retry_delay_s = RETRY_DELAY_MIN_S
        self._logged_staleness = Staleness.NONE

    async def run(self) -> None:
        """Keeps the mirror up to date until cancelled."""
        while True:
            if self._mirror.is_loaded and not self._must_watch():
                if self.mirror_source is MirrorSource.STORE:
                    self.mirror_source = MirrorSource.PEERS
                await trio.sleep(WATCHER_CHECK_PERIOD_S)
                continue
            await self._update_once()

    def _must_watch(self) -> bool:
        """Returns whether this gateway must watch the store now."""
        if self._is_watcher():
            return True
        now = self._clock.now()
        if not self.freshness.must_ask_store(now):
            return False
        if self.mirror_source is MirrorSource.PEERS:
            self._timeline.record(
                "mirror-stale",
                own=_describe(self._mirror.as_of),
                reported=_describe(self.freshness.newest),
                age_s=round(self.freshness.age_s(now), 3),
            )
        return True

    def _is_watcher(self) -> bool:
        # This gateway counts as able to reach the store, so that a watcher that
        # has lost the store keeps trying.
        names = store_watchers(
            self._peers,
            own_mirror_source=MirrorSource.STORE,
            count=WATCHERS_PER_DATA_CENTRE,
            now=self._clock.now(),
        )
        return self._peers.own.name in names

    async def _update_once(self) -> None:
        """Updates the mirror from the store once, then waits.

        After a failure the wait is a backoff; after changes, a listing or a
        call without a wait it lets further changes collect for the next call.
        Otherwise there is none.
        """
        read = self._reads.choose(
            known=self._mirror.as_of,
            is_following=self.mirror_source is MirrorSource.STORE,
            era=self._store.era,
        )
        asked_at = self._clock.now()
        outcome = await self._fetch(read)
        if outcome is FetchOutcome.FAILED:
            self._reads.note_failure(read)
            if read is Read.WATCH:
                self._note_failed_watch(self._clock.now() - asked_at)
                return
            self._mark_lost()
            await trio.sleep(self._retry_delay_s)
            self._retry_delay_s = min(
                RETRY_DELAY_MAX_S, 2 * self._retry_delay_s
            )
            return
        if outcome is FetchOutcome.GONE:
            return
        self._reads.note_success()
        self._retry_delay_s = RETRY_DELAY_MIN_S
        if self.mirror_source is not MirrorSource.STORE:
            self.mirror_source = MirrorSource.STORE
            self._timeline.record(
                "store-regained",
                era=self._mirror.as_of.era,
                as_of=self._mirror.as_of.revision,
            )
        if outcome is FetchOutcome.CHANGED or read is Read.CATCH_UP:
            await trio.sleep(BATCH_DELAY_S)

    def _note_failed_watch(self, duration_s: float) -> None:
        """Logs the failure; one that was silent to the end loses the store."""
        self._timeline.record("store-watch-cut", why=self._failure_detail)
        if duration_s > self._settings.watch_s:
            self._mark_lost()

    async def _fetch(self, read: Read) -> FetchOutcome:
        match read:
            case Read.WATCH:
                return await self._fetch_changes(self._settings.watch_s)
            case Read.CATCH_UP:
                return await self._fetch_changes(0.0)
            case Read.LISTING:
                return await self._fetch_all()

    async def _fetch_changes(self, wait_s: float) -> FetchOutcome:
        """Asks for the changes since the mirror's position.

        Args:
            wait_s: Longest wait for changes at the store, in seconds; 0 asks
                for those that there are.
        """
        asked_at = self._mirror.as_of
        called_at = self._clock.now()
        reply = await self._store.watch(
            self._mirror.prefix, after=asked_at.revision, wait_s=wait_s
        )
        match reply:
            case Ok(listing) if listing.position < asked_at:
                self._timeline.record(
                    "store-went-back",
                    after=asked_at.revision,
                    answered=listing.revision,
                )
            case Ok(listing) if listing.era == asked_at.era:
                outcome = self._apply_watched(listing, asked_at)
                self._confirm(called_at=called_at, wait_s=wait_s)
                return outcome
            case Ok(_):
                pass
            case Err(HistoryCompacted()):
                self._timeline.record(
                    "store-history-gone", after=asked_at.revision
                )
            case Err(error):
                self._failure_detail = error.detail
                return FetchOutcome.FAILED
        self._reads.note_gone(asked_at)
        return FetchOutcome.GONE

    def _apply_watched(
        self, listing: Listing, asked_at: Position
    ) -> FetchOutcome:
        self.freshness.note_answer(listing.position, asked_at=asked_at)
        before = self._mirror.as_of
        changed = self._mirror.merge(listing.items, as_of=listing.position)
        self._apply_items(changed)
        if self._mirror.as_of > before:
            return FetchOutcome.CHANGED
        return FetchOutcome.UNCHANGED

    async def _fetch_all(self) -> FetchOutcome:
        asked_at = self._mirror.as_of
        called_at = self._clock.now()
        reply = await self._store.scan(self._mirror.prefix, at_least=asked_at)
        if isinstance(reply, Err):
            self._failure_detail = reply.err_value.detail
            return FetchOutcome.FAILED
        listing = reply.ok_value
        self.freshness.note_answer(listing.position, asked_at=asked_at)
        if listing.position < asked_at:
            era = self._store.era.begin_next(asked_in=asked_at.era)
            if era is None:
                self._failure_detail = "listing is older than the mirror"
                return FetchOutcome.FAILED
            listing = listing.in_era(era)
            self.freshness.note_answer(listing.position, asked_at=asked_at)
        self._replace(listing.items, as_of=listing.position)
        first_page_at = self._clock.now() - listing.age_s
        self._confirm(called_at=min(called_at, first_page_at), wait_s=0.0)
        return FetchOutcome.CHANGED

    def _confirm(self, *, called_at: float, wait_s: float) -> None:
        """Notes that the store held nothing newer than the mirror.

        Args:
            called_at: When the call was made, in monotonic seconds.
            wait_s: Longest wait before the answer, in seconds.
        """
        self.confirmed_at = self._clock.now()
        moment = answered_moment(
            called_at=called_at, wait_s=wait_s, read_at=self._read_at()
        )
        self.freshness.confirm_own(self._mirror.as_of, moment)

    def _replace(self, items: Iterable[Item], *, as_of: Position) -> None:
        """Replaces the mirror's items, also by those of a later era."""
        before = self._mirror.as_of
        if as_of.era > before.era and self._mirror.is_loaded:
            self._timeline.record(
                "store-restored",
                era_before=before.era,
                era=as_of.era,
                known=before.revision,
                as_of=as_of.revision,
            )
            self._begin_era()
        self._apply_items(self._mirror.replace(items, as_of=as_of))

    def _mark_lost(self) -> None:
        if self.mirror_source is not MirrorSource.LOST:
            self._timeline.record("store-lost", why=self._failure_detail)
        self.mirror_source = MirrorSource.LOST

    def log_staleness(self, now: float) -> None:
        """Logs when the mirror falls behind the store, and when it is back.

        Args:
            now: Monotonic seconds.
        """
        staleness = self.freshness.staleness(now)
        if staleness is self._logged_staleness or not self._mirror.is_loaded:
            return
        self._logged_staleness = staleness
        self._timeline.record(
            "mirror-state",
            state=staleness.value,
            source=self.mirror_source.value,
            own=_describe(self._mirror.as_of),
            heard=_describe(self.freshness.newest),
            answered=_describe(self.freshness.answered),
            age_s=round(self.freshness.age_s(now), 3),
        )

    def _read_at(self) -> float:
        """Returns since when what is read now may have been there, at worst."""
        now = self._clock.now()
        return now - self._held_up_s(now)

    def latest_confirmation(self) -> Confirmation | msgspec.UnsetType:
        """Returns the confirmation that reports pass on; unset if none."""
        confirmation = self.freshness.confirmation(self._clock.now())
        return msgspec.UNSET if confirmation is None else confirmation

    def hear(self, message: GatewayReport | MirrorReply) -> None:
        """Notes what a peer says of the store and of its mirror.

        The age that a peer without `confirmation` claims counts only while it
        watches the store itself, which it does up to its first failed call.
        """
        now = self._clock.now()
        position = Position(message.era, message.as_of)
        self._store.era.hear(position.era)
        self.freshness.note_position(position, now)
        if message.confirmation is not msgspec.UNSET:
            self.freshness.hear(message.confirmation, self._read_at(), now)
        elif (
            isinstance(message, GatewayReport)
            and message.feed is MirrorSource.STORE
        ):
            self.freshness.confirm(
                position, self._read_at(), age_s=message.confirmed_age_s
            )

    def changes_since(self, request: MirrorRequest) -> MirrorReply:
        """Returns the changes that a peer's mirror lacks.

        The reply holds all items if the peer's mirror is empty or tombstones
        that it lacks have been pruned here.
        """
        mirror = self._mirror
        after = Position(request.era, request.after)
        changes = mirror.changes_since(after) if after > LOWEST else None
        whole = changes is None
        confirmation = self.latest_confirmation()
        return MirrorReply(
            items=list(mirror.items()) if whole else changes,
            as_of=mirror.as_of.revision,
            era=mirror.as_of.era,
            whole=whole,
            confirmed_age_s=claimed_age_s(confirmation),
            confirmation=confirmation,
        )

    def apply_changes(self, reply: MirrorReply) -> None:
        """Applies changes from a peer's mirror."""
        now = self._clock.now()
        self.confirmed_at = now
        as_of = Position(reply.era, reply.as_of)
        if reply.whole:
            self._replace(reply.items, as_of=as_of)
        else:
            self._apply_items(self._mirror.merge(reply.items, as_of=as_of))
        self.hear(reply)


def _describe(position: Position) -> str:
    return f"{position.era}:{position.revision}"


class GatewayRegistration:
    """Keeps this gateway's record in the store, under a lease."""

    def __init__(
        self,
        *,
        store: Store,
        mirror: Mirror,
        record: GatewayRecord,
        ttl_s: float,
        clock: Clock,
    ):
        """Creates the registration; `run` writes the record.

        Args:
            store: The platform's store.
            mirror: Mirror that may hold a record of an earlier process.
            record: The record to write.
            ttl_s: TTL of the lease, in seconds.
            clock: Monotonic clock.
        """
        self._clock = clock
        self._listed_until = float("-inf")
        self._store = store
        self._mirror = mirror
        self._record = record
        self._ttl_s = ttl_s
        self._lease = 0
        self._lease_era = 0

    async def run(self) -> None:
        """Writes the record and renews its lease until cancelled."""
        while True:
            if self._lease_era != self._store.era.current:
                # The store may have forgotten the lease, and may have given
                # its number to another gateway since.
                self._lease = 0
                self._listed_until = float("-inf")
            asked_at = self._clock.now()
            if not self._lease:
                self._lease = await self._register()
                if self._lease:
                    self._listed_until = asked_at + self._ttl_s
            else:
                reply = await self._store.renew(self._lease)
                if self._lease_era != self._store.era.current:
                    continue
                if isinstance(reply, Ok) and reply.ok_value:
                    self._listed_until = asked_at + self._ttl_s
                elif isinstance(reply, Ok):
                    self._lease = 0
                    self._listed_until = float("-inf")
                    continue
            await trio.sleep(self._ttl_s / RENEWALS_PER_LEASE)

    def is_listed(self, now: float) -> bool:
        """Returns whether the store is sure to list this gateway."""
        return now < self._listed_until

    async def withdraw(self) -> None:
        """Removes the record by revoking its lease."""
        self._listed_until = float("-inf")
        lease, self._lease = self._lease, 0
        if lease and self._lease_era == self._store.era.current:
            await self._store.revoke(lease)

    async def _register(self) -> int:
        """Writes the record; returns its lease, 0 if that failed.

        After a conflict, such as with a record that the mirror does not have,
        it tries once more with the key's present revision.
        """
        granted = await self._store.grant(self._ttl_s)
        self._lease_era = self._store.era.current
        if isinstance(granted, Err):
            return 0
        lease = granted.ok_value
        key = GATEWAY_RECORD_PREFIX + self._record.name
        value = msgspec.json.encode(self._record).decode()
        known = self._mirror.get(key)
        expected = known.revision if known is not None else ABSENT_REVISION
        for _ in range(2):
            written = await self._store.compare_and_swap(
                key, value, expected=expected, lease=lease
            )
            match written:
                case Ok(_):
                    return lease
                case Err(Conflict(current=current)):
                    expected = current.revision
                case _:
                    return 0
        return 0
