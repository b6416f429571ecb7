"""One value of the platform's store."""

import msgspec

ABSENT = 0


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One value of the store.

    Attributes:
        key: Its key.
        value: Its bytes as text.
        revision: Grows with each write of any key; 0 when the key is absent.
        deleted: The key was removed at this revision.
    """

    key: str
    value: str = ""
    revision: int = ABSENT
    deleted: bool = False
