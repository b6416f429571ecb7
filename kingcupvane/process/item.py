"""An item of the platform's store, and positions in the store's history."""

import msgspec

# Revision of a key that does not exist.
ABSENT_REVISION = 0


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A position in the history of the store; positions grow for ever.

    A store that has come back from an older copy gives out revisions a second
    time, so a revision alone doesn't say what is newer.

    Attributes:
        era: Number of times that the store has come back from an older copy.
        revision: Store revision, which grows within an era.
    """

    era: int = 0
    revision: int = 0


# Position before the first change.
LOWEST = Position()


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One key of the store with its value.

    Attributes:
        key: The key.
        value: The value as text; empty for a removed key.
        revision: Store revision of its last write, which grows with each write
            of any key; 0 when the key is absent.
        deleted: The key was removed at this revision.
        era: Era of the store in which it was read.
    """

    key: str
    value: str = ""
    revision: int = ABSENT_REVISION
    deleted: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of its last write, as far as the era is known.

        What an older copy has kept counts as written in the era of the copy.
        """
        return Position(self.era, self.revision)
