"""A listing of the store that is read page by page; does no I/O."""

from dataclasses import dataclass, field

from kingcupvane.process.item import Item, Position
from kingcupvane.process.store import Listing

# Largest listing that is accepted, over all its pages.
LISTING_MAX_BYTES = 64 * 1024 * 1024
# Time from its first page for which a listing is continued, in seconds; the
# store must still have the changes made since.
CONTINUE_MAX_S = 15.0


@dataclass(kw_only=True, slots=True)
class PartialListing:
    """The pages of a listing that were read so far.

    Attributes:
        prefix: Prefix of the keys.
        begun_at: Monotonic time at which the first page was asked for, in
            seconds.
        position: Position of the first page, from which a watch repeats what
            changed while later pages were read; None before the first page.
        after: Key after which the next page begins; empty for the first page.
    """

    prefix: str
    begun_at: float
    position: Position | None = None
    after: str = ""
    _items: list[Item] = field(default_factory=list)
    _size_bytes: int = 0

    def add(
        self, items: list[Item], *, as_of: Position, size_bytes: int
    ) -> str:
        """Adds a page.

        Args:
            items: Items of the page.
            as_of: Position of the page.
            size_bytes: Size of the page.

        Returns:
            Why the page can't belong to the listing; empty if it does.
        """
        self._size_bytes += size_bytes
        if self._size_bytes > LISTING_MAX_BYTES:
            return f"over {LISTING_MAX_BYTES} bytes"
        if self.position is None:
            self.position = as_of
        elif as_of.era != self.position.era:
            return "the pages are of two eras"
        if items and items[-1].key <= self.after:
            return "the pages do not advance"
        self._items.extend(items)
        if items:
            self.after = items[-1].key
        return ""

    def can_continue(
        self, prefix: str, *, era: int, at_least: Position, now: float
    ) -> bool:
        """Returns whether its next page may be read, instead of the first.

        Args:
            prefix: Prefix of the keys that are wanted.
            era: The store's present era.
            at_least: Lowest position that is of use.
            now: Monotonic seconds.
        """
        return (
            self.position is not None
            and self.prefix == prefix
            and self.position.era == era
            and self.position >= at_least
            and now - self.begun_at <= CONTINUE_MAX_S
        )

    def complete(self, now: float) -> Listing:
        """Returns the listing, once all pages were added.

        Args:
            now: Monotonic seconds.
        """
        assert self.position is not None
        return Listing(
            items=self._items,
            revision=self.position.revision,
            era=self.position.era,
            age_s=now - self.begun_at,
        )
