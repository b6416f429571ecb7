"""A copy of what the platform's store holds, ordered by store revision.

The copy is fed by watches of the store and by other gateways. Each item
carries the store's revision, so news may come late, twice and in any order:
the higher revision wins, and a removed key stays as a tombstone until all
copies have it.
"""

from collections.abc import Iterable, Iterator

from kingcupvane.process.store import Item

TOMBSTONES_MAX = 4096


class Mirror:
    """Items under one prefix of the store; does no I/O.

    Attributes:
        prefix: Start of all its keys.
        as_of: Store revision up to which the copy is complete; 0 before the
            first listing.
    """

    def __init__(self, *, prefix: str):
        """Starts empty."""
        self.prefix = prefix
        self.as_of = 0
        self._items_by_key: dict[str, Item] = {}
        self._tombstones_by_key: dict[str, Item] = {}
        self._pruned_revision = 0

    @property
    def is_loaded(self) -> bool:
        """Whether a complete listing was ever taken in."""
        return self.as_of > 0

    def get(self, key: str) -> Item | None:
        """Returns the item of a key, None when there is none."""
        return self._items_by_key.get(key)

    def items(self) -> Iterator[Item]:
        """Yields all items."""
        return iter(self._items_by_key.values())

    def replace(self, items: Iterable[Item], *, as_of: int) -> list[Item]:
        """Takes in a complete listing.

        Args:
            items: All items under the prefix.
            as_of: Store revision of the listing.

        Returns:
            What changed; removed keys as tombstones.
        """
        listed = {item.key: item for item in items}
        changed = []
        for key, known in list(self._items_by_key.items()):
            if key not in listed and known.revision <= as_of:
                tombstone = Item(key=key, revision=as_of, deleted=True)
                changed.extend(self._apply(tombstone))
        for item in listed.values():
            changed.extend(self._apply(item))
        self.as_of = max(self.as_of, as_of)
        return changed

    def merge(self, items: Iterable[Item], *, as_of: int) -> list[Item]:
        """Takes in all changes up to a revision, from where the copy stands.

        Returns:
            What changed.
        """
        changed = []
        for item in items:
            changed.extend(self._apply(item))
        self.as_of = max(self.as_of, as_of)
        return changed

    def changes_since(self, revision: int) -> list[Item] | None:
        """Returns all changes after a revision.

        Returns:
            The changes, or None when tombstones that old were forgotten.
        """
        if revision < self._pruned_revision:
            return None
        live = self._items_by_key.values()
        tombstones = self._tombstones_by_key.values()
        return [
            item for item in (*live, *tombstones) if item.revision > revision
        ]

    def _apply(self, item: Item) -> Iterator[Item]:
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
