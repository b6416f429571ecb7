"""Mirror: a local copy of the platform's store.

The mirror is updated from watches of the store and from other gateways. Each
item carries its position in the store's history, so updates may be late,
duplicated and out of order: the higher position wins. A removed key stays as a
tombstone, so that the removal reaches other mirrors; the oldest tombstones are
pruned.
"""

from collections.abc import Iterable, Iterator

from kingcupvane.process.item import LOWEST, Item, Position

# Largest number of tombstones kept; a peer's mirror that lags behind the oldest
# of them copies all items.
TOMBSTONES_MAX = 4096


class Mirror:
    """Items under one prefix of the store; does no I/O.

    Attributes:
        prefix: Start of all its keys.
        as_of: Position up to which the mirror is complete; the lowest before
            the first listing.
    """

    def __init__(self, *, prefix: str):
        """Makes an empty mirror.

        Args:
            prefix: Start of all keys to mirror.
        """
        self.prefix = prefix
        self.as_of = LOWEST
        self._items_by_key: dict[str, Item] = {}
        self._tombstones_by_key: dict[str, Item] = {}
        self._pruned_up_to = LOWEST

    @property
    def is_loaded(self) -> bool:
        """Whether the mirror has been filled, from the store or a peer."""
        return self.as_of > LOWEST

    def get(self, key: str) -> Item | None:
        """Returns the item of a key; None if absent."""
        return self._items_by_key.get(key)

    def items(self) -> Iterator[Item]:
        """Yields all items, without tombstones."""
        return iter(self._items_by_key.values())

    def replace(self, items: Iterable[Item], *, as_of: Position) -> list[Item]:
        """Applies a complete listing.

        Keys that it lacks are removed, unless the mirror's item is newer than
        the listing. A listing of an earlier era changes nothing.

        Args:
            items: All items under the prefix.
            as_of: Position of the listing.

        Returns:
            The changed items; removed keys as tombstones.
        """
        if as_of.era < self.as_of.era:
            return []
        listed = {item.key: item for item in items}
        changed = []
        for key, known in list(self._items_by_key.items()):
            if key not in listed and known.position <= as_of:
                tombstone = Item(
                    key=key,
                    revision=as_of.revision,
                    era=as_of.era,
                    deleted=True,
                )
                changed.extend(self._apply(tombstone))
        is_late = as_of < self.as_of
        listed_up_to = self._pruned_up_to
        for item in listed.values():
            if not (is_late and self._was_removed(item, listed_up_to)):
                changed.extend(self._apply(item))
        # A listing does not name the keys that were removed before it.
        self._pruned_up_to = max(self._pruned_up_to, as_of)
        self.as_of = max(self.as_of, as_of)
        return changed

    def merge(self, items: Iterable[Item], *, as_of: Position) -> list[Item]:
        """Applies all changes between the mirror's position and `as_of`.

        Changes of another era than the mirror's change nothing: only a
        complete listing leads into a new era.

        Args:
            items: The changes; removed keys as tombstones.
            as_of: Position up to which they are complete.

        Returns:
            The items that differ from the mirror's.
        """
        if as_of.era != self.as_of.era:
            return []
        changed = self.add(items)
        self.as_of = max(self.as_of, as_of)
        return changed

    def add(self, items: Iterable[Item]) -> list[Item]:
        """Applies single changes that say nothing of other keys.

        Returns:
            The items that differ from the mirror's.
        """
        changed = []
        # Read before the items, whose tombstones may raise it.
        listed_up_to = self._pruned_up_to
        for item in items:
            if item.era != self.as_of.era:
                continue
            if not self._was_removed(item, listed_up_to):
                changed.extend(self._apply(item))
        return changed

    def changes_since(self, position: Position) -> list[Item] | None:
        """Returns all changes after a position.

        Returns:
            The changes, or None when the position is of an earlier era or
            tombstones among them may be missing.
        """
        if position < self._pruned_up_to or position.era != self.as_of.era:
            return None
        live = self._items_by_key.values()
        tombstones = self._tombstones_by_key.values()
        return [
            item for item in (*live, *tombstones) if item.position > position
        ]

    def _was_removed(self, item: Item, listed_up_to: Position) -> bool:
        """Returns whether the key must have been removed since the item.

        The mirror is complete up to its last listing and the pruned tombstones,
        but has no tombstone of a key that was removed before.

        Args:
            item: The item.
            listed_up_to: Position up to which tombstones may be missing.
        """
        is_known = (
            item.key in self._items_by_key
            or item.key in self._tombstones_by_key
        )
        return not is_known and item.position <= listed_up_to

    def _apply(self, item: Item) -> Iterator[Item]:
        """Applies a newer item; yields it if it says something else."""
        key = item.key
        known = self._items_by_key.get(key) or self._tombstones_by_key.get(key)
        if known is not None and item.position <= known.position:
            return
        is_changed = known is None or not _is_same_write(item, known)
        if item.deleted:
            self._items_by_key.pop(key, None)
            # The order is that of the removals, for the pruning.
            self._tombstones_by_key.pop(key, None)
            self._tombstones_by_key[key] = item
            self._prune_tombstones()
        else:
            self._tombstones_by_key.pop(key, None)
            self._items_by_key[key] = item
        if is_changed:
            yield item

    def _prune_tombstones(self) -> None:
        while len(self._tombstones_by_key) > TOMBSTONES_MAX:
            key = next(iter(self._tombstones_by_key))
            oldest = self._tombstones_by_key.pop(key)
            self._pruned_up_to = max(self._pruned_up_to, oldest.position)


def _is_same_write(item: Item, known: Item) -> bool:
    """Returns whether an item of a later era is what the copy has kept."""
    return (item.revision, item.value, item.deleted) == (
        known.revision,
        known.value,
        known.deleted,
    )
