"""Retry-After of refused requests: when their callers should come back.

Load pattern: a burst is refused within a second or two. With a short delay, all
its callers come back together and are refused again, for good. Each gateway
therefore promises its callers one return after the other, at the pace of its
part of the room that the service is expected to have, so that the promises of
all gateways for a moment add up to that room. Callers who can still be served
within their latency objective compete with first attempts on equal terms, so
that all slots are open to them; the others get what is left. Those for whom
there is no room come back as late as they may: the overload may be over then.
"""

import math
from dataclasses import dataclass, field

from kingcupvane.hashing import stable_hash
from kingcupvane.request.wait_limit import RETRY_AFTER_MAX_S

# Part of the time left to its deadline for which a caller is asked to wait at
# most; callers honour up to a third, and the response takes time to arrive.
RETURN_DELAY_SHARE = 0.32
# Callers without room come back in the last part of that time, spread over it.
NO_ROOM_SPREAD = 0.33
HASH_RANGE = 2.0**64


@dataclass(frozen=True, kw_only=True, slots=True)
class ReturnRoom:
    """Slots that a gateway expects to have for returning callers.

    Attributes:
        in_time_slots: For those who can still meet their latency objective.
        late_slots: For the others.
    """

    in_time_slots: float
    late_slots: float


@dataclass(kw_only=True, slots=True)
class _Timetable:
    """Next times of return at a service, in monotonic seconds, by priority.

    A return of some priority delays all lower ones.
    """

    free_at_by_priority: dict[int, float] = field(default_factory=dict)

    def free_at(self, priority: int) -> float:
        return max(
            (
                free_at
                for other, free_at in self.free_at_by_priority.items()
                if other <= priority
            ),
            default=-math.inf,
        )

    def take(self, priority: int, at: float, interval_s: float) -> None:
        for other in self.free_at_by_priority:
            if other > priority:
                self.free_at_by_priority[other] += interval_s
        self.free_at_by_priority[priority] = at + interval_s


class ReturnSchedule:
    """Promises of one gateway to refused callers, by service."""

    def __init__(self):
        """Starts without promises."""
        self._in_time_by_service: dict[str, _Timetable] = {}
        self._late_by_service: dict[str, _Timetable] = {}

    def delay_s(
        self,
        service: str,
        *,
        priority: int,
        request_id: str,
        service_s: float,
        room: ReturnRoom,
        shortest_s: float,
        in_time_s: float,
        time_left_s: float,
        now: float,
    ) -> float:
        """Returns after how long a refused caller should come back, in seconds.

        Args:
            service: Name of the service.
            priority: Priority of the request.
            request_id: Id of the caller's attempt; seeds the spread.
            service_s: Service time of the request, in seconds.
            room: What this gateway expects to have for returning callers.
            shortest_s: Expected wait for a slot, in seconds.
            in_time_s: Time within which it must return to meet its objective,
                in seconds; not positive if it can't.
            time_left_s: Time left to the caller's deadline, in seconds.
            now: Monotonic seconds.
        """
        longest_s = min(
            RETRY_AFTER_MAX_S, RETURN_DELAY_SHARE * max(0.0, time_left_s)
        )
        shortest_s = min(shortest_s, longest_s)
        spread = stable_hash(f"return/{request_id}") / HASH_RANGE
        for timetables, slots, until_s in (
            (
                self._in_time_by_service,
                room.in_time_slots,
                min(in_time_s, longest_s),
            ),
            (self._late_by_service, room.late_slots, longest_s),
        ):
            timetable = timetables.setdefault(service, _Timetable())
            interval_s = service_s / slots if slots > 0.0 else math.inf
            at = timetable.free_at(priority)
            earliest = now + shortest_s
            if at < earliest:
                # Gateways whose first promises coincide must not start in step.
                at = earliest + spread * interval_s
            if at <= now + until_s:
                timetable.take(priority, at, interval_s)
                return at - now
        return longest_s * (1.0 - NO_ROOM_SPREAD * spread)
