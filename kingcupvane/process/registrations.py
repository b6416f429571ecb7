"""Which registrations of targets count after a loss or return of the store.

A live target whose record ended while the store was away writes it again soon
after the store's return.
"""

# Time from the store's return within which a live target has registered again,
# in seconds.
REREGISTRATION_GRACE_S = 2.2


class Registrations:
    """Targets whose records are missing; does no I/O."""

    def __init__(self):
        """Starts with a store that was never away."""
        self._returned_at = float("-inf")
        self._missing_names: set[str] = set()

    def mark_store_unreachable(self, now: float) -> None:
        """Notes that the store is not back before now."""
        self._returned_at = now

    def discard(self, name: str) -> None:
        """Notes that a target is listed, or not used any more."""
        self._missing_names.discard(name)

    def has_time(self, name: str, now: float) -> bool:
        """Returns whether a target whose record is missing may come back.

        It counts as missing from then on.
        """
        if now - self._returned_at > REREGISTRATION_GRACE_S:
            return False
        self._missing_names.add(name)
        return True

    def expired_names(self, now: float) -> list[str]:
        """Returns the missing targets that have not come back in time."""
        if now - self._returned_at <= REREGISTRATION_GRACE_S:
            return []
        return sorted(self._missing_names)
