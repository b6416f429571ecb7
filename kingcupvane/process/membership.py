"""Liveness of entries, from heartbeats and the platform's VM list.

Heartbeats carry beats, each with the counter of one entry. An entry is alive
while its counter grows, whichever peer forwards it, so clocks of different
entries are never compared.
"""

from collections.abc import Iterable

from kingcupvane.connection.messages import MemberBeat
from kingcupvane.process.process_history import ProcessHistory
from kingcupvane.settings import HeartbeatSettings

# State of a VM that is leaving, in the platform's VM list.
VM_LEAVING_STATE = "leaving"
# Time for which an entry counts as leaving after a peer last reported that the
# VM list shows it as leaving, in seconds.
LISTED_LEAVING_TTL_S = 5.0


BeatHistory = ProcessHistory[MemberBeat]


class Membership:
    """The entries of this data centre, and those leaving in others."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        settings: HeartbeatSettings,
    ):
        """Starts with this entry as the only member.

        Args:
            name: Name of this entry.
            incarnation: Start time of this process, in Unix milliseconds.
            settings: Heartbeat period and timeout.
        """
        self._settings = settings
        self._own = MemberBeat(name, incarnation, 0)
        self._members_by_name: dict[str, BeatHistory] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._local_names: frozenset[str] | None = None
        self._peer_listed_at_by_name: dict[str, float] = {}
        self._remote_members_by_name: dict[str, BeatHistory] = {}

    @property
    def leaving(self) -> bool:
        """Whether this entry has begun its graceful shutdown."""
        return self._own.leaving

    def beat(self) -> None:
        """Advances this entry's own heartbeat counter."""
        own = self._own
        self._own = MemberBeat(
            own.name, own.incarnation, own.beat + 1, own.leaving
        )

    def leave(self) -> None:
        """Marks this entry as leaving in its heartbeats from now on."""
        own = self._own
        self._own = MemberBeat(own.name, own.incarnation, own.beat + 1, True)

    def beats(self) -> list[MemberBeat]:
        """Returns the latest beat of each local entry, the own one first."""
        others = map(_latest_beat, self._members_by_name.values())
        return [self._own, *others]

    def merge(self, beats: Iterable[MemberBeat], now: float) -> None:
        """Merges beats from a peer of this data centre.

        Args:
            beats: The latest beats known to the peer.
            now: Monotonic seconds.
        """
        for beat in beats:
            if beat.name == self._own.name or not self._is_local(beat.name):
                continue
            self._take(beat, self._members_by_name, now)

    def _take(
        self, beat: MemberBeat, members: dict[str, BeatHistory], now: float
    ) -> None:
        """Takes a beat unless it is of an earlier process or known already."""
        history = members.get(beat.name)
        if history is None:
            history = BeatHistory(silence_s=self._settings.dead_after_s)
            members[beat.name] = history
        last = history.last(beat.incarnation)
        if last is not None and not _is_newer(beat, last):
            return
        if history.accepts(beat.incarnation, now):
            history.receive(beat.incarnation, beat, now)

    def _is_local(self, name: str) -> bool:
        return self._local_names is None or name in self._local_names

    def merge_remote(self, beats: Iterable[MemberBeat], now: float) -> None:
        """Merges beats from a peer of another data centre.

        They show which of its entries are leaving or have restarted.

        Args:
            beats: The beats that the peer sent.
            now: Monotonic seconds.
        """
        for beat in beats:
            self._take(beat, self._remote_members_by_name, now)

    def remote_beats(self) -> list[MemberBeat]:
        """Returns the beats to send to peers of other data centres.

        These are the latest beats of this entry and of leaving local ones.
        """
        own, *others = self.beats()
        return [own, *(beat for beat in others if beat.leaving)]

    def set_listed_leaving(self, names: Iterable[str]) -> None:
        """Sets the entries that are leaving in the VM list this entry read."""
        self._listed_leaving = frozenset(names)

    def merge_listed_leaving(self, names: Iterable[str], now: float) -> None:
        """Merges the entries that are leaving in the VM list that a peer read.

        Args:
            names: Names of the entries.
            now: Monotonic seconds.
        """
        for name in names:
            self._peer_listed_at_by_name[name] = now
        oldest = now - LISTED_LEAVING_TTL_S
        for name, received_at in list(self._peer_listed_at_by_name.items()):
            if received_at < oldest:
                del self._peer_listed_at_by_name[name]

    def listed_leaving(self) -> list[str]:
        """Returns the names set by `set_listed_leaving`, sorted."""
        return sorted(self._listed_leaving)

    def retain(self, names: Iterable[str]) -> None:
        """Drops local entries that are not in `names` and ignores their beats.

        Args:
            names: Names of the configured entries of this data centre.
        """
        kept = frozenset(names)
        self._local_names = kept
        for name in list(self._members_by_name):
            if name not in kept:
                del self._members_by_name[name]

    def is_alive(self, name: str, now: float) -> bool:
        """Returns whether an entry's counter has grown within the timeout."""
        if name == self._own.name:
            return True
        member = self._members_by_name.get(name)
        if member is None:
            return False
        return member.is_heard(now)

    def is_leaving(self, name: str) -> bool:
        """Returns whether a beat or the VM list marks an entry as leaving."""
        listed = (
            name in self._listed_leaving or name in self._peer_listed_at_by_name
        )
        remote = self._remote_members_by_name.get(name)
        if listed or (remote is not None and _latest_beat(remote).leaving):
            return True
        if name == self._own.name:
            return self._own.leaving
        member = self._members_by_name.get(name)
        return member is not None and _latest_beat(member).leaving

    def leaving_names(self) -> list[str]:
        """Returns the names of all entries known to be leaving, sorted."""
        names = {
            self._own.name,
            *self._members_by_name,
            *self._listed_leaving,
            *self._peer_listed_at_by_name,
            *self._remote_members_by_name,
        }
        return sorted(name for name in names if self.is_leaving(name))

    def live_names(self, now: float) -> list[str]:
        """Returns the sorted names of local entries that may receive work.

        They are alive and not leaving.
        """
        names = [self._own.name, *self._members_by_name]
        return sorted(
            name
            for name in names
            if self.is_alive(name, now) and not self.is_leaving(name)
        )


def _latest_beat(history: BeatHistory) -> MemberBeat:
    return history.last(history.incarnation)


def _is_newer(beat: MemberBeat, known: MemberBeat) -> bool:
    return (beat.beat, beat.leaving) > (known.beat, known.leaving)
