"""How far a gateway's mirror is known to lag behind the store; does no I/O.

A gateway learns from its own calls and from the reports of peers up to which
position, and how long ago, a mirror was complete. From that it decides whether
copying from peers is enough, or whether it must ask the store itself.
"""

import enum
import math

from kingcupvane.process.confirmation import Confirmation, Confirmations
from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.mirror import Mirror

# Time for which peers may know a newer position that cannot be copied from
# them, in seconds.
BEHIND_MAX_S = 0.5
# Age of the last confirmation from which the gateways that watch the store
# count as stuck, in seconds: the delay after changes, a watch without changes,
# a full round of reports in a large data centre, and 0.2 s for the messages.
AGE_MAX_S = 2.4
# Time for which a gateway that lagged behind keeps watching the store itself,
# in seconds.
FALLBACK_S = 5.0


class Staleness(enum.StrEnum):
    """Why a mirror counts as behind the store."""

    NONE = "current"
    # Peers know something newer that has not arrived.
    MISSING = "missing"
    # Nobody has said for too long that there is nothing newer.
    UNCONFIRMED = "unconfirmed"
    # The store answered at a position below that of the mirror.
    AHEAD = "ahead"


class MirrorFreshness:
    """Knows when the mirror was last complete, and what it lacks since when.

    Attributes:
        confirmed_at: Latest monotonic time at which the store is known to have
            held nothing newer than the mirror, in seconds.
        newest: Highest position that was heard of.
        answered: Position of the store's last answer to this gateway; the
            lowest before the first.
    """

    def __init__(self, *, mirror: Mirror, origin: str, now: float):
        """Starts as if the mirror were complete.

        Args:
            mirror: The mirror.
            origin: Identifies this process among those of all gateways.
            now: Monotonic seconds.
        """
        self._mirror = mirror
        self._confirmations = Confirmations(origin=origin)
        self._missing = LOWEST
        self._missing_since = math.inf
        self._fallback_until = -math.inf
        self.confirmed_at = now
        self.newest = LOWEST
        self.answered = LOWEST
        self._is_ahead = False

    def note_answer(self, answered: Position, *, asked_at: Position) -> None:
        """Notes at which position the store has answered.

        Args:
            answered: The position of the answer.
            asked_at: The mirror's position when the call was made.
        """
        self.answered = answered
        self._is_ahead = answered < asked_at

    def note_position(self, position: Position, now: float) -> None:
        """Notes that the store has reached a position.

        Args:
            position: The position; of an earlier era than the mirror's, it is
                nothing that the mirror lacks.
            now: Monotonic seconds.
        """
        self.newest = max(self.newest, position)
        as_of = self._mirror.as_of
        if position > as_of and self._missing <= as_of:
            self._missing = position
            self._missing_since = now

    def confirm(
        self, position: Position, now: float, *, age_s: float = 0.0
    ) -> None:
        """Notes that the store held nothing newer than a position.

        It counts for this gateway alone: peers are not told.

        Args:
            position: The position; ignored in an earlier era than the mirror's.
            now: Monotonic seconds.
            age_s: How long ago that was the case, in seconds; infinite when
                only the position is known.
        """
        self.note_position(position, now)
        if self._is_reached(position):
            self.confirmed_at = max(self.confirmed_at, now - max(0.0, age_s))

    def confirm_own(self, position: Position, at: float) -> None:
        """Notes what this gateway has heard from the store itself.

        Args:
            position: The store held nothing newer.
            at: When that was the case, in monotonic seconds.
        """
        self.newest = max(self.newest, position)
        self._confirmations.add_own(position, at)
        self._count_reached()

    def hear(
        self, confirmation: Confirmation, sent_at: float, now: float
    ) -> None:
        """Notes the confirmation that a peer passed on.

        Args:
            confirmation: The confirmation.
            sent_at: When it was sent, as far as is known, in monotonic seconds.
            now: Monotonic seconds.
        """
        self._confirmations.hear(confirmation, sent_at, now)
        self._count_reached()

    def confirmation(self, now: float) -> Confirmation | None:
        """Returns the latest confirmation, to be passed on to peers.

        Args:
            now: Monotonic seconds.

        Returns:
            The confirmation; None if there is none that is of use to a peer.
        """
        self._count_reached()
        return self._confirmations.latest(
            self._mirror.as_of, now, age_max_s=AGE_MAX_S
        )

    def _count_reached(self) -> None:
        """Counts the confirmations of positions that the mirror has reached."""
        self.confirmed_at = max(
            self.confirmed_at,
            self._confirmations.latest_at(self._mirror.as_of),
        )

    def _is_reached(self, position: Position) -> bool:
        as_of = self._mirror.as_of
        return position.era == as_of.era and position <= as_of

    def age_s(self, now: float) -> float:
        """Returns the time since the last confirmation, in seconds."""
        return max(0.0, now - self.confirmed_at)

    def must_ask_store(self, now: float) -> bool:
        """Returns whether this gateway must watch the store itself.

        Once it must, it does so for `FALLBACK_S`.
        """
        if now >= self._fallback_until and self._is_stale(now):
            self._fallback_until = now + FALLBACK_S
        return now < self._fallback_until

    def staleness(self, now: float) -> Staleness:
        """Returns whether the mirror is behind the store, and by what sign."""
        if self._is_ahead:
            return Staleness.AHEAD
        return self._staleness_by_peers(now)

    def _staleness_by_peers(self, now: float) -> Staleness:
        if (
            self._missing > self._mirror.as_of
            and now - self._missing_since > BEHIND_MAX_S
        ):
            return Staleness.MISSING
        self._count_reached()
        if self.age_s(now) > AGE_MAX_S:
            return Staleness.UNCONFIRMED
        return Staleness.NONE

    def _is_stale(self, now: float) -> bool:
        return self._staleness_by_peers(now) is not Staleness.NONE
