"""A role that one daemon at a time holds, by a lease in the store.

The core decides; the task that drives it makes the store calls. The holder
counts its lease from before the call that renewed it, and stops a margin
before its end, so that it stops before the store lets another take over.
"""

import enum
from dataclasses import dataclass

import msgspec
from result import Err, Ok

from kingcupvane.clock import Clock
from kingcupvane.errors import StoreError
from kingcupvane.process.store import ABSENT, Conflict, Store
from kingcupvane.process.timeline import Timeline
from kingcupvane.settings import HeartbeatSettings

RENEWALS_PER_LEASE = 3
ATTEMPTS_PER_LEASE = 2


class RoleState(enum.StrEnum):
    """What a candidate is to its role."""

    FOLLOWER = "follower"
    HOLDER = "holder"


class RoleRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a role's key while somebody holds it."""

    holder: str


@dataclass(kw_only=True, slots=True)
class RoleTerm:
    """Pure state of one candidate.

    Attributes:
        ttl_s: Life of the lease, in seconds.
        margin_s: The holder stops this long before, in seconds.
        lease: Id of the store's lease, 0 when there is none.
        fence: Store revision of the winning write; grows with each holder.
        renewed_at: Monotonic time before the last successful renewal.
    """

    ttl_s: float
    margin_s: float
    lease: int = 0
    fence: int = 0
    renewed_at: float = 0.0

    def win(self, *, lease: int, fence: int, started_at: float) -> None:
        """Becomes holder; `started_at` is from before the grant."""
        self.lease = lease
        self.fence = fence
        self.renewed_at = started_at

    def renew(self, *, started_at: float) -> None:
        """Prolongs the term."""
        self.renewed_at = max(self.renewed_at, started_at)

    def lose(self) -> None:
        """Ends the term."""
        self.lease = 0
        self.fence = 0

    def holds(self, now: float) -> bool:
        """Returns whether effects of the role are allowed at `now`."""
        ends_at = self.renewed_at + self.ttl_s - self.margin_s
        return self.lease != 0 and now < ends_at


class Role:
    """Drives one candidate for one role."""

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
        """Makes a follower.

        Args:
            key: Store key of the role.
            name: Name of this candidate, another one after each restart.
            store: The platform's store.
            clock: Monotonic clock.
            timeline: Gets changes of the role.
            settings: Life and margin of the lease.
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
        """Fencing number of the present term, 0 without one."""
        return self._term.fence if self.holds() else 0

    def holds(self) -> bool:
        """Returns whether this daemon may act in the role now."""
        is_held = self._term.holds(self._clock.now())
        if self._was_held and not is_held:
            self._was_held = False
            self._timeline.record("role-lost", role=self._key)
        return is_held

    async def step(self, *, candidate: bool) -> float:
        """Makes one attempt to win or renew.

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
        """Gives the role up."""
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
        if isinstance(current, Err) or current.ok_value.revision != ABSENT:
            return
        started_at = self._clock.now()
        granted = await self._store.grant(self._term.ttl_s)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        value = msgspec.json.encode(RoleRecord(holder=self._name)).decode()
        written = await self._store.compare_and_swap(
            self._key, value, expected=ABSENT, lease=lease
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
