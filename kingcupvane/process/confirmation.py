"""Confirmations that mirrors were complete, as gateways pass them on.

Each has an origin, the process that heard it from the store, and a number that
grows. It counts only when its number is first heard of, so it goes from the
origin to each gateway on a path without circles, and its age is too small by
the delays on that path at most. Clocks are never compared.
"""

import math
from dataclasses import dataclass

import msgspec

from kingcupvane.clock import MILLISECONDS_PER_SECOND
from kingcupvane.hashing import stable_hash
from kingcupvane.process.item import Position

# Time after which an origin that was not heard of is forgotten, in seconds;
# longer than a message may take.
ORIGIN_EXPIRY_S = 60.0


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway has heard from the store itself.

    Attributes:
        origin: Identifies the process of that gateway.
        number: Grows with each confirmation of the origin.
        position: The store held nothing newer than this position.
        age_ms: How long ago that was the case, in milliseconds.
    """

    origin: int
    number: int
    position: Position
    age_ms: int

    @property
    def age_s(self) -> float:
        """How long ago that was the case, in seconds; never negative."""
        return max(0, self.age_ms) / MILLISECONDS_PER_SECOND


def claimed_age_s(confirmation: Confirmation | msgspec.UnsetType) -> float:
    """Returns the age that gateways are told that don't know confirmations.

    It is infinite without a confirmation.
    """
    if confirmation is msgspec.UNSET:
        return math.inf
    return confirmation.age_s


@dataclass(frozen=True, kw_only=True, slots=True)
class _Kept:
    """A confirmation as this gateway keeps it.

    Attributes:
        origin: The process that heard it from the store.
        number: Its number.
        position: The store held nothing newer.
        at: When that was the case, in monotonic seconds.
    """

    origin: int
    number: int
    position: Position
    at: float


@dataclass(kw_only=True, slots=True)
class _Origin:
    """What is known of an origin.

    Attributes:
        number: Its highest number.
        heard_at: When it was last heard of, in monotonic seconds.
        unreached: Its last confirmation while the mirror is not that far.
    """

    number: int
    heard_at: float
    unreached: _Kept | None = None


class Confirmations:
    """Counts each confirmation once, and knows the latest; does no I/O."""

    def __init__(self, *, origin: str):
        """Starts without any.

        Args:
            origin: Identifies this process among those of all gateways.
        """
        self._own_origin = stable_hash(origin)
        self._own_number = 0
        self._origins: dict[int, _Origin] = {}
        self._latest: _Kept | None = None

    @property
    def origin_count(self) -> int:
        """Number of origins that are remembered, without the own one."""
        return len(self._origins)

    def add_own(self, position: Position, at: float) -> None:
        """Adds what this gateway has heard from the store itself.

        Args:
            position: The store held nothing newer; the mirror is that far.
            at: When that was the case, in monotonic seconds.
        """
        self._own_number += 1
        self._count(
            _Kept(
                origin=self._own_origin,
                number=self._own_number,
                position=position,
                at=at,
            )
        )

    def hear(
        self, confirmation: Confirmation, sent_at: float, now: float
    ) -> None:
        """Takes a confirmation that a peer passed on, if its number is new.

        Args:
            confirmation: The confirmation.
            sent_at: When it was sent, as far as is known, in monotonic seconds.
            now: Monotonic seconds.
        """
        self._forget_origins(now)
        if confirmation.origin == self._own_origin:
            return
        origin = self._origins.setdefault(
            confirmation.origin, _Origin(number=-1, heard_at=now)
        )
        origin.heard_at = now
        if confirmation.number <= origin.number:
            return
        origin.number = confirmation.number
        origin.unreached = _Kept(
            origin=confirmation.origin,
            number=confirmation.number,
            position=confirmation.position,
            at=sent_at - confirmation.age_s,
        )

    def latest_at(self, as_of: Position) -> float:
        """Returns when a mirror is last known to have been complete.

        Args:
            as_of: Position of the mirror.

        Returns:
            Monotonic seconds; minus infinity if it isn't known.
        """
        for origin in self._origins.values():
            kept = origin.unreached
            if kept is not None and kept.position <= as_of:
                origin.unreached = None
                self._count(kept)
        latest = self._latest
        if latest is None or latest.position.era < as_of.era:
            return -math.inf
        return latest.at

    def latest(
        self, as_of: Position, now: float, *, age_max_s: float
    ) -> Confirmation | None:
        """Returns the latest confirmation, to be passed on to peers.

        Args:
            as_of: Position of the mirror.
            now: Monotonic seconds.
            age_max_s: Age from which it is of no use to a peer, in seconds.

        Returns:
            The confirmation; None if there is none of use.
        """
        age_s = max(0.0, now - self.latest_at(as_of))
        if self._latest is None or age_s > age_max_s:
            return None
        return Confirmation(
            origin=self._latest.origin,
            number=self._latest.number,
            position=self._latest.position,
            age_ms=math.ceil(age_s * MILLISECONDS_PER_SECOND),
        )

    def _count(self, kept: _Kept) -> None:
        latest = self._latest
        if latest is None or (latest.position.era, latest.at) < (
            kept.position.era,
            kept.at,
        ):
            self._latest = kept

    def _forget_origins(self, now: float) -> None:
        oldest = now - ORIGIN_EXPIRY_S
        if any(known.heard_at < oldest for known in self._origins.values()):
            self._origins = {
                origin: known
                for origin, known in self._origins.items()
                if known.heard_at >= oldest
            }
