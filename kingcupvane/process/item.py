"""An item of the platform's store."""

import msgspec

# Revision of a key that does not exist.
ABSENT_REVISION = 0


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One key of the store with its value.

    Attributes:
        key: The key.
        value: The value as text.
        revision: Store revision of its last write, which grows with each write
            of any key; 0 when the key is absent.
        deleted: The key was removed at this revision.
    """

    key: str
    value: str = ""
    revision: int = ABSENT_REVISION
    deleted: bool = False
