"""Roles that one daemon at a time holds by a lease in the store.

`RoleTerm` decides without I/O; `Role` makes the store calls. The holder
measures its lease from before the call that granted or renewed it, and stops a
safety margin before the lease expires, so it stops before another daemon can
take over.
"""

import enum
from dataclasses import dataclass

import msgspec
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.errors import StoreError
from kingcupvane.process.store import ABSENT_REVISION, Conflict, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.settings import HeartbeatSettings

RENEWALS_PER_LEASE = 3
ATTEMPTS_PER_LEASE = 2


class RoleState(enum.StrEnum):
    """Whether a candidate holds its role."""

    FOLLOWER = "follower"
    HOLDER = "holder"


class RoleRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a role's key in the store while the role is held."""

    holder: str


@dataclass(kw_only=True, slots=True)
class RoleTerm:
    """Lease state of one candidate; does no I/O.

    Attributes:
        ttl_s: Time to live of the lease, in seconds.
        margin_s: The holder stops this long before expiry, in seconds.
        lease: Id of the lease in the store, 0 without one.
        fence: Fencing token, the store revision of the write that won the
            role; grows with each holder.
        renewed_at: Monotonic time before the call that last granted or renewed
            the lease, in seconds.
    """

    ttl_s: float
    margin_s: float
    lease: int = 0
    fence: int = 0
    renewed_at: float = 0.0

    def win(self, *, lease: int, fence: int, started_at: float) -> None:
        """Starts a term; `started_at` is the time before the grant call."""
        self.lease = lease
        self.fence = fence
        self.renewed_at = started_at

    def renew(self, *, started_at: float) -> None:
        """Extends the term; `started_at` is the time before the call."""
        self.renewed_at = max(self.renewed_at, started_at)

    def lose(self) -> None:
        """Ends the term."""
        self.lease = 0
        self.fence = 0

    def holds(self, now: float) -> bool:
        """Returns whether the candidate may act in the role at `now`."""
        ends_at = self.renewed_at + self.ttl_s - self.margin_s
        return self.lease != 0 and now < ends_at


class Role:
    """Acquires, renews and releases one role for one candidate."""

    def __init__(
        self,
        *,
        key: str,
        name: str,
        store: Store,
        clock: Clock,
        timeline: Timeline,
        settings: HeartbeatSettings,
    ):
        """Creates a candidate that does not hold the role.

        Args:
            key: Key of the role in the store.
            name: Name of this candidate; differs after each restart.
            store: The platform's store.
            clock: Monotonic clock.
            timeline: Records changes of the role.
            settings: Time to live and safety margin of the lease.
        """
        self._key = key
        self._name = name
        self._store = store
        self._clock = clock
        self._timeline = timeline
        self._term = RoleTerm(
            ttl_s=settings.role_ttl_s, margin_s=settings.role_margin_s
        )
        self._was_held = False

    @property
    def fence(self) -> int:
        """Fencing token of the current term, 0 without one."""
        return self._term.fence if self.holds() else 0

    def holds(self) -> bool:
        """Returns whether this daemon may act in the role now."""
        is_held = self._term.holds(self._clock.now())
        if self._was_held and not is_held:
            self._was_held = False
            self._timeline.record("role-lost", role=self._key)
        return is_held

    async def step(self, *, candidate: bool) -> float:
        """Makes one attempt to win or renew the role.

        Args:
            candidate: Whether this daemon should try to win the role.

        Returns:
            Seconds to wait until the next step.
        """
        if self._term.lease:
            await self._renew()
            return self._term.ttl_s / RENEWALS_PER_LEASE
        if candidate:
            await self._try_win()
        if self._term.lease:
            return self._term.ttl_s / RENEWALS_PER_LEASE
        return self._term.ttl_s / ATTEMPTS_PER_LEASE

    async def resign(self) -> None:
        """Releases the role and revokes its lease."""
        lease = self._term.lease
        self._term.lose()
        self._was_held = False
        if lease:
            await self._store.revoke(lease)
            self._timeline.record("role-resigned", role=self._key)

    async def _renew(self) -> None:
        started_at = self._clock.now()
        reply = await self._store.renew(self._term.lease)
        if isinstance(reply, Ok) and reply.ok_value:
            self._term.renew(started_at=started_at)
        elif isinstance(reply, Ok) or not self.holds():
            self.holds()
            self._term.lose()

    async def _try_win(self) -> None:
        current = await self._store.get(self._key)
        if (
            isinstance(current, Err)
            or current.ok_value.revision != ABSENT_REVISION
        ):
            return
        started_at = self._clock.now()
        granted = await self._store.grant(self._term.ttl_s)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        value = msgspec.json.encode(RoleRecord(holder=self._name)).decode()
        written = await self._store.compare_and_swap(
            self._key, value, expected=ABSENT_REVISION, lease=lease
        )
        match written:
            case Ok(item):
                self._win(lease, item.revision, started_at)
            case Err(Conflict()):
                await self._store.revoke(lease)
            case Err(StoreError()):
                await self._resolve_uncertain_write(lease, value, started_at)

    async def _resolve_uncertain_write(
        self, lease: int, value: str, started_at: float
    ) -> None:
        current = await self._store.get(self._key)
        if isinstance(current, Ok) and current.ok_value.value == value:
            self._win(lease, current.ok_value.revision, started_at)
            return
        await self._store.revoke(lease)

    def _win(self, lease: int, fence: int, started_at: float) -> None:
        self._term.win(lease=lease, fence=fence, started_at=started_at)
        self._was_held = True
        self._timeline.record("role-won", role=self._key, fence=fence)
