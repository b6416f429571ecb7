"""Choice of how to read the store next; does no I/O.

A watch from the known position costs one call, a listing one for each page. So
what was missed is asked for by a watch, and all items are listed only where a
watch can't tell what was missed.
"""

import enum

from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.store_era import StoreEra

# Number of watches that fail in a row before a listing is tried, in case that
# the changes since the known position can't be had.
WATCHES_PER_LISTING = 3


class Read(enum.Enum):
    """A way to read the store."""

    # Waits at the store for changes.
    WATCH = enum.auto()
    # Asks for the changes that there are, without a wait.
    CATCH_UP = enum.auto()
    LISTING = enum.auto()


class ReadChoice:
    """Chooses the next read of the store from how the last ones went."""

    def __init__(self):
        """Starts without a read."""
        self._failed_watches = 0
        self._gone_at = LOWEST

    def choose(
        self, *, known: Position, is_following: bool, era: StoreEra
    ) -> Read:
        """Returns how to read the store next.

        Args:
            known: Position up to which all changes are known.
            is_following: Whether they are known from the store itself, without
                a loss since.
            era: Era of the store.
        """
        if known in (LOWEST, self._gone_at) or known.era != era.current:
            return Read.LISTING
        if self._failed_watches >= WATCHES_PER_LISTING:
            return Read.LISTING
        if is_following:
            return Read.CATCH_UP if self._failed_watches else Read.WATCH
        # A store that doesn't name its eras may have come back from a copy
        # meanwhile, which no watch shows once its revision is higher again.
        return Read.CATCH_UP if era.is_named else Read.LISTING

    def note_success(self) -> None:
        """Notes that a read has brought the changes."""
        self._failed_watches = 0
        self._gone_at = LOWEST

    def note_failure(self, read: Read) -> None:
        """Notes that a read had no answer that can be used."""
        if read is Read.LISTING:
            self._failed_watches = 0
        else:
            self._failed_watches += 1

    def note_gone(self, known: Position) -> None:
        """Notes that the store can't tell the changes since a position."""
        self._gone_at = known
