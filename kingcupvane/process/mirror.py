"""Mirror: a local copy of the platform's store.

The mirror is updated from watches of the store and from other gateways. Each
item carries its store revision, so updates may be late, duplicated and out of
order: the higher revision wins. A removed key stays as a tombstone, so that
the removal reaches other mirrors; the oldest tombstones are pruned.
"""

from collections.abc import Iterable, Iterator

from kingcupvane.process.store import Item

# Largest number of tombstones kept; a peer's mirror that lags behind the oldest
# of them copies all items.
TOMBSTONES_MAX = 4096


class Mirror:
    """Items under one prefix of the store; does no I/O.

    Attributes:
        prefix: Start of all its keys.
        as_of: Store revision up to which the mirror is complete; 0 before
            the first listing.
    """

    def __init__(self, *, prefix: str):
        """Makes an empty mirror.

        Args:
            prefix: Start of all keys to mirror.
        """
        self.prefix = prefix
        self.as_of = 0
        self._items_by_key: dict[str, Item] = {}
        self._tombstones_by_key: dict[str, Item] = {}
        self._pruned_revision = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the mirror has been filled, from the store or a peer."""
        return self.as_of > 0

    def get(self, key: str) -> Item | None:
        """Returns the item of a key; None if absent."""
        return self._items_by_key.get(key)

    def items(self) -> Iterator[Item]:
        """Yields all items, without tombstones."""
        return iter(self._items_by_key.values())

    def replace(self, items: Iterable[Item], *, as_of: int) -> list[Item]:
        """Applies a complete listing.

        Keys that it lacks are removed, unless the mirror's item is newer than
        the listing.

        Args:
            items: All items under the prefix.
            as_of: Store revision of the listing.

        Returns:
            The changed items; removed keys as tombstones.
        """
        listed = {item.key: item for item in items}
        changed = []
        for key, known in list(self._items_by_key.items()):
            if key not in listed and known.revision <= as_of:
                tombstone = Item(key=key, revision=as_of, deleted=True)
                changed.extend(self._apply(tombstone))
        for item in listed.values():
            changed.extend(self._apply(item))
        # A listing does not name the keys that were removed before it.
        self._pruned_revision = max(self._pruned_revision, as_of)
        self.as_of = max(self.as_of, as_of)
        return changed

    def merge(self, items: Iterable[Item], *, as_of: int) -> list[Item]:
        """Applies all changes between the mirror's revision and `as_of`.

        Args:
            items: The changes; removed keys as tombstones.
            as_of: Store revision up to which they are complete.

        Returns:
            The items that were newer than the mirror's.
        """
        changed = []
        for item in items:
            changed.extend(self._apply(item))
        self.as_of = max(self.as_of, as_of)
        return changed

    def changes_since(self, revision: int) -> list[Item] | None:
        """Returns all changes after a revision.

        Returns:
            The changes, or None when tombstones among them may be missing.
        """
        if revision < self._pruned_revision:
            return None
        live = self._items_by_key.values()
        tombstones = self._tombstones_by_key.values()
        return [
            item for item in (*live, *tombstones) if item.revision > revision
        ]

    def _apply(self, item: Item) -> Iterator[Item]:
        """Applies an item and yields it if it is newer than the mirror's."""
        key = item.key
        known = self._items_by_key.get(key) or self._tombstones_by_key.get(key)
        if known is not None and item.revision <= known.revision:
            return
        if item.deleted:
            self._items_by_key.pop(key, None)
            self._tombstones_by_key[key] = item
            self._prune_tombstones()
        else:
            self._tombstones_by_key.pop(key, None)
            self._items_by_key[key] = item
        yield item

    def _prune_tombstones(self) -> None:
        while len(self._tombstones_by_key) > TOMBSTONES_MAX:
            key = next(iter(self._tombstones_by_key))
            oldest = self._tombstones_by_key.pop(key)
            self._pruned_revision = max(self._pruned_revision, oldest.revision)
