"""Budget of bytes for what a process holds for others; does no I/O.

Each use has a bound of its own, so that none takes the room of another: bodies
of requests, responses of targets, and the connections of callers. Their sum
follows from the memory of the process.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

MEBIBYTE = 1 << 20
# Memory of a gateway without callers, with room for the state of a large fleet.
BASE_BYTES = 88 * MEBIBYTE
# Smallest share of its memory that a process plans for its callers.
BUDGET_SHARE_MIN = 0.25
# Largest share of the memory for responses; small ones are taken beyond it.
RESPONSES_SHARE = 0.125
# Share of the budget for the connections of callers.
CONNECTIONS_SHARE = 0.125
# Share of the bodies' part that only small bodies may use.
SMALL_BODIES_SHARE = 0.05
# Largest body that may use that share.
SMALL_BODY_BYTES = 65536
# Memory of an open connection: its task, parser and kernel structures.
CONNECTION_BYTES = 16384
# Share of the bodies' room from which the kernel may hold little for each.
SHORT_SHARE = 0.25
# Bytes that a body without a known length reserves at a time.
GROWTH_MIN_BYTES = 4096
GROWTH_MAX_BYTES = 65536
# While room is short, a body that stays below this rate loses its place. A body
# of the largest size would take over half an hour at this rate.
LEAST_RATE_BYTES_PER_S = 32 * 1024
# Longest time without a gain that such a body is allowed, in seconds.
STALL_MAX_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetLimits:
    """The bound of each use, in bytes.

    Attributes:
        bodies: All bodies of requests.
        small_bodies: Part of `bodies` that only small bodies may use.
        responses: Incomplete responses, and those on their way to callers.
        connections: Open connections with what they have sent ahead.
    """

    bodies: int
    small_bodies: int
    responses: int
    connections: int

    @property
    def total(self) -> int:
        """All bounds together."""
        return self.bodies + self.responses + self.connections


def limits_for(memory_bytes: int, *, base_bytes: int = BASE_BYTES):
    """Returns the limits of a process.

    Args:
        memory_bytes: Memory that the process may use.
        base_bytes: Memory that it uses without callers.
    """
    total = max(memory_bytes - base_bytes, int(BUDGET_SHARE_MIN * memory_bytes))
    responses = min(int(RESPONSES_SHARE * memory_bytes), total // 3)
    connections = int(CONNECTIONS_SHARE * total)
    bodies = total - responses - connections
    return BudgetLimits(
        bodies=bodies,
        small_bodies=int(SMALL_BODIES_SHARE * bodies),
        responses=responses,
        connections=connections,
    )


@dataclass(kw_only=True, slots=True)
class Account:
    """Bytes of one use.

    Attributes:
        max_bytes: Bound of the use.
        used_bytes: Bytes in use now.
    """

    max_bytes: int
    used_bytes: int = 0

    def is_full(self) -> bool:
        """Returns whether the bound is reached."""
        return self.used_bytes >= self.max_bytes


@dataclass(kw_only=True, slots=True, eq=False)
class BodyLease:
    """The place of one request body in the budget.

    Attributes:
        evict: Called when the body loses its place; frees its memory at once.
        late_from: Time from which the body counts as too slow, in seconds.
        reserved_bytes: Bytes set aside for it.
        is_waiting: Whether the process does not read it, for want of room.
        is_complete: Whether the whole body has arrived.
        is_evicted: Whether it has lost its place.
    """

    evict: Callable[[], None]
    late_from: float
    reserved_bytes: int = 0
    is_waiting: bool = False
    is_complete: bool = False
    is_evicted: bool = False

    def is_late(self, now: float) -> bool:
        """Returns whether the body is too slow to keep its place."""
        may_be_slow = self.is_waiting or self.is_complete
        return not may_be_slow and now >= self.late_from


@dataclass(kw_only=True)
class BodyBudget:
    """Room for the bodies of requests.

    Large bodies leave a part of the room to small ones. A body that is too slow
    loses its place, but only to another body that needs the room.

    Attributes:
        max_bytes: Bound for all bodies together.
        small_bytes: Part of it that only small bodies may use.
        used_bytes: Bytes reserved now.
        evictions: Number of bodies that have lost their place.
    """

    max_bytes: int
    small_bytes: int
    used_bytes: int = 0
    evictions: int = 0
    _leases: dict[BodyLease, None] = field(default_factory=dict)

    def open(
        self, announced_bytes: int, *, now: float, evict: Callable[[], None]
    ) -> BodyLease | None:
        """Returns a place for a body; None if there is no room.

        Args:
            announced_bytes: Length of the body; 0 if it is not known.
            now: Monotonic time in seconds.
            evict: Frees the memory of the body at once.
        """
        lease = BodyLease(evict=evict, late_from=now + STALL_MAX_S)
        self._leases[lease] = None
        if not self._reserve(lease, announced_bytes, now):
            self.close(lease)
            return None
        return lease

    def grow(self, lease: BodyLease, size_bytes: int, now: float) -> bool:
        """Reserves room for a body of this size; returns whether there is."""
        if lease not in self._leases:
            return False
        if size_bytes <= lease.reserved_bytes:
            return True
        step = min(
            max(lease.reserved_bytes, GROWTH_MIN_BYTES), GROWTH_MAX_BYTES
        )
        wanted = max(size_bytes, lease.reserved_bytes + step)
        return self._reserve(lease, wanted, now) or self._reserve(
            lease, size_bytes, now
        )

    def count_gain(self, lease: BodyLease, size_bytes: int, now: float) -> None:
        """Counts received bytes in favour of the body's pace."""
        earned = lease.late_from + size_bytes / LEAST_RATE_BYTES_PER_S
        lease.late_from = min(now + STALL_MAX_S, earned)

    def set_waiting(
        self, lease: BodyLease, is_waiting: bool, now: float
    ) -> None:
        """Notes whether the process reads the body; its pace counts if so."""
        lease.is_waiting = is_waiting
        if not is_waiting:
            lease.late_from = now + STALL_MAX_S

    def close(self, lease: BodyLease) -> None:
        """Ends a lease and frees its room; may be called again."""
        self._leases.pop(lease, None)
        self.used_bytes -= lease.reserved_bytes
        lease.reserved_bytes = 0

    def is_short(self) -> bool:
        """Returns whether so much is used that bodies may soon have to wait."""
        return self.used_bytes > SHORT_SHARE * self.max_bytes

    def evict_latest(self, now: float) -> bool:
        """Evicts the body that has been too slow for longest, if any."""
        late = [lease for lease in self._leases if lease.is_late(now)]
        if not late:
            return False
        self._evict(min(late, key=lambda lease: lease.late_from))
        return True

    def explain(self, wanted_bytes: int) -> str:
        """Returns the figures that decide on a body of this size."""
        return (
            f"wanted {wanted_bytes} used {self.used_bytes}"
            f" of {self.max_bytes} for small {self.small_bytes}"
            f" bodies {len(self._leases)}"
        )

    def _reserve(self, lease: BodyLease, size_bytes: int, now: float) -> bool:
        is_small = size_bytes <= SMALL_BODY_BYTES
        bound = (
            self.max_bytes if is_small else self.max_bytes - self.small_bytes
        )
        missing = self.used_bytes + size_bytes - lease.reserved_bytes - bound
        if missing > 0 and not self._free(missing, lease, now):
            return False
        self.used_bytes += size_bytes - lease.reserved_bytes
        lease.reserved_bytes = size_bytes
        return True

    def _free(self, missing: int, keep: BodyLease, now: float) -> bool:
        """Evicts slow bodies if they hold enough; returns whether they did."""
        late = sorted(
            (
                lease
                for lease in self._leases
                if lease is not keep and lease.is_late(now)
            ),
            key=lambda lease: lease.late_from,
        )
        if sum(lease.reserved_bytes for lease in late) < missing:
            return False
        for lease in late:
            if missing <= 0:
                break
            missing -= lease.reserved_bytes
            self._evict(lease)
        return True

    def _evict(self, lease: BodyLease) -> None:
        self.evictions += 1
        lease.is_evicted = True
        self.close(lease)
        lease.evict()


@dataclass(kw_only=True, slots=True, eq=False)
class SendingLease:
    """The place of one response on its way to its caller.

    Attributes:
        evict: Called when the response loses its place.
        size_bytes: Its size.
        taken_at: Monotonic time at which the caller last took a part of it.
    """

    evict: Callable[[], None]
    size_bytes: int
    taken_at: float


def _is_stalled(lease: SendingLease, now: float) -> bool:
    return now - lease.taken_at >= STALL_MAX_S


class ResponseMemoryBudget:
    """Accounts for the memory that responses use together.

    Attributes:
        buffered_bytes: Bytes of incomplete responses.
        sending_bytes: Bytes of complete responses on their way to callers.
        max_bytes: Limit for all but small responses.
        evictions: Number of responses that their callers did not take and that
            have lost their place.
    """

    # Default limit of the memory for all responses together.
    DEFAULT_MAX_BYTES = 32 * MEBIBYTE

    def __init__(self, *, max_bytes: int = DEFAULT_MAX_BYTES):
        """Starts with nothing buffered."""
        self.buffered_bytes = 0
        self.sending_bytes = 0
        self.max_bytes = max_bytes
        self.evictions = 0
        self._leases: dict[SendingLease, None] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes of all responses."""
        return self.buffered_bytes + self.sending_bytes

    def is_full(self) -> bool:
        """Returns whether only small responses may still grow.

        Callers that take their responses slowly may hold as much again: the
        failure of a response whose request has run costs more than the refusal
        of a body.
        """
        return self.buffered_bytes > self.max_bytes or self._is_exceeded()

    def open_sending(
        self, size_bytes: int, *, now: float, evict: Callable[[], None]
    ) -> SendingLease:
        """Returns a place for a complete response on its way to its caller.

        There is always one. Beyond the bound, the responses of which nothing
        was taken for longest lose theirs.

        Args:
            size_bytes: Size of the response.
            now: Monotonic time in seconds.
            evict: Ends its sending and frees its memory.
        """
        lease = SendingLease(evict=evict, size_bytes=size_bytes, taken_at=now)
        self._leases[lease] = None
        self.sending_bytes += size_bytes
        while self._is_exceeded():
            oldest = next(iter(self._leases))
            if oldest is lease:
                break
            self._evict(oldest)
        return lease

    def count_taken(self, lease: SendingLease, now: float) -> None:
        """Counts a part that the caller has taken in favour of its response."""
        lease.taken_at = now
        if lease in self._leases:
            # The order is that of the last parts.
            del self._leases[lease]
            self._leases[lease] = None

    def close_sending(self, lease: SendingLease) -> None:
        """Ends a response's place; may be called again."""
        if lease in self._leases:
            del self._leases[lease]
            self.sending_bytes -= lease.size_bytes

    def reserve(self, size_bytes: int, now: float, *, force: bool) -> bool:
        """Sets room aside for an incomplete response; returns whether it did.

        Args:
            size_bytes: Size that the response announces.
            now: Monotonic time in seconds.
            force: Whether to take the room of responses that their callers have
                not taken for a short time only, and to go beyond the bound
                where that isn't enough.
        """
        while self.used_bytes + size_bytes > 2 * self.max_bytes:
            oldest = next(iter(self._leases), None)
            if oldest is None or not (force or _is_stalled(oldest, now)):
                break
            self._evict(oldest)
        has_room = self.used_bytes + size_bytes <= 2 * self.max_bytes
        if has_room or force:
            self.buffered_bytes += size_bytes
        return has_room or force

    def evict_stalled(self, now: float) -> bool:
        """Evicts the response that was not taken for longest, if for long."""
        oldest = next(iter(self._leases), None)
        if oldest is None or not _is_stalled(oldest, now):
            return False
        self._evict(oldest)
        return True

    def _is_exceeded(self) -> bool:
        return self.used_bytes > 2 * self.max_bytes

    def _evict(self, lease: SendingLease) -> None:
        self.evictions += 1
        self.close_sending(lease)
        lease.evict()


class MemoryBudget:
    """What a process may hold for others, by use.

    Attributes:
        limits: The bound of each use.
        bodies: Bodies of requests.
        responses: Responses of targets.
        connections: Connections of callers.
    """

    def __init__(self, *, limits: BudgetLimits):
        """Starts with nothing in use."""
        self.limits = limits
        self.bodies = BodyBudget(
            max_bytes=limits.bodies, small_bytes=limits.small_bodies
        )
        self.responses = ResponseMemoryBudget(max_bytes=limits.responses)
        self.connections = Account(max_bytes=limits.connections)

    def used_by_use(self) -> dict[str, int]:
        """Returns the bytes in use, by use."""
        return {
            "bodies": self.bodies.used_bytes,
            "responses": self.responses.used_bytes,
            "connections": self.connections.used_bytes,
        }

    def max_by_use(self) -> dict[str, int]:
        """Returns the bounds in bytes, by use."""
        return {
            "bodies": self.limits.bodies,
            "responses": self.limits.responses,
            "connections": self.limits.connections,
        }
