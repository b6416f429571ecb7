"""Which registrations of targets count after a loss or return of the store.

A live target whose record ended while the store was away writes it again soon
after the store's return. A store that came back from an older copy also lists
targets that had left.
"""

from collections import OrderedDict

from kingcupvane.request.announcements import TargetInstance, instance_of
from kingcupvane.version.plan import RegisteredTarget

# Time from the store's return within which a live target has registered again,
# in seconds.
REREGISTRATION_GRACE_S = 2.2
# Time from a change of era after which the store has removed the records of
# targets that don't renew them, in seconds.
RENEWAL_MAX_S = 5.0
# Removed instances that are remembered; the oldest are forgotten first.
REMOVED_INSTANCES_MAX = 1024


class Registrations:
    """Missing targets and those that an older copy brings back; no I/O."""

    def __init__(self):
        """Starts with a store that was never away."""
        self._returned_at = float("-inf")
        self._era_began_at = float("-inf")
        self._missing_names: set[str] = set()
        self._removed: OrderedDict[TargetInstance, None] = OrderedDict()
        self._unproven_by_name: dict[str, RegisteredTarget] = {}

    def mark_store_unreachable(self, now: float) -> None:
        """Notes that the store is not back before now."""
        self._returned_at = now

    def begin_era(self, now: float) -> None:
        """Notes that the store has come back from an older copy."""
        self.mark_store_unreachable(now)
        self._era_began_at = now

    def take(self, target: RegisteredTarget, now: float) -> bool:
        """Notes a registration; returns whether it counts now.

        That of an instance which had been removed before the store came back
        counts once it changes, or after `RENEWAL_MAX_S`.

        Args:
            target: The registration.
            now: Monotonic seconds.
        """
        self._missing_names.discard(target.name)
        is_unproven = self._unproven_by_name.pop(target.name, None) is not None
        instance = instance_of(target)
        may_be_the_copys = (
            now - self._era_began_at < RENEWAL_MAX_S
            and instance in self._removed
            and not target.leaving
        )
        if may_be_the_copys and not is_unproven:
            self._unproven_by_name[target.name] = target
            return False
        self._removed.pop(instance, None)
        return True

    def drop_unproven(self, name: str) -> None:
        """Notes that the store no longer lists a target."""
        self._unproven_by_name.pop(name, None)

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

    def proven_targets(self, now: float) -> list[RegisteredTarget]:
        """Returns those that the store still lists, which count from now on."""
        if now - self._era_began_at < RENEWAL_MAX_S:
            return []
        targets = list(self._unproven_by_name.values())
        self._unproven_by_name.clear()
        for target in targets:
            self._removed.pop(instance_of(target), None)
        return targets

    def note_removed(self, target: RegisteredTarget) -> None:
        """Notes that a target is not used any more."""
        self._missing_names.discard(target.name)
        instance = instance_of(target)
        self._removed[instance] = None
        self._removed.move_to_end(instance)
        if len(self._removed) > REMOVED_INSTANCES_MAX:
            self._removed.popitem(last=False)
