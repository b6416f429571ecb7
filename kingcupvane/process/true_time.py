"""An estimate of true time that a jump of the VM's clock does not move.

Each gateway notes at its start how far the time of day is ahead of the
monotonic clock, and tells peers the time that follows from it. The estimate is
the median of what it and its peers tell, so a minority of VMs whose clocks were
wrong at their start does not move it.
"""

from dataclasses import dataclass
from statistics import median_low

from kingcupvane.clock import Clock

# A peer's time counts for this long after its last message, in seconds.
PEER_TIME_EXPIRY_S = 10.0
# A changed time of day is trusted once it has stayed unchanged for this long,
# in seconds: a clock that was set wrongly jumps back within minutes.
CLOCK_SETTLING_S = 600.0
# Change of the time of day that counts as a jump, in seconds.
CLOCK_JUMP_MIN_S = 0.05


@dataclass(kw_only=True, slots=True)
class _PeerTime:
    """What a peer told of the time.

    Attributes:
        offset_s: Its time less this VM's monotonic clock, in seconds; of
            several messages that of the fastest one.
        measured_at: Monotonic time of that message, in seconds.
        heard_at: Monotonic time of its last message, in seconds.
    """

    offset_s: float
    measured_at: float
    heard_at: float


class TrueTime:
    """Estimates true time; does no I/O."""

    def __init__(self, *, clock: Clock):
        """Starts from the time of day.

        Args:
            clock: Monotonic clock, and the time of day.
        """
        self._clock = clock
        self._own_offset_s = clock.wall() - clock.now()
        self._jumped_offset_s = self._own_offset_s
        self._jumped_at = clock.now()
        self._offset_s = self._own_offset_s
        self._time_by_peer: dict[tuple[str, int], _PeerTime] = {}

    def now(self) -> float:
        """Returns the estimate, in seconds since the Unix epoch."""
        return self._clock.now() + self._offset_s

    def own(self) -> float:
        """Returns the time to tell peers, in seconds since the Unix epoch.

        It does not depend on what peers told, so that errors do not spread.
        """
        return self._clock.now() + self._own_offset_s

    def receive(self, name: str, incarnation: int, time_s: float) -> None:
        """Takes the time that a peer told.

        The message was on its way for an unknown time, so of several offsets
        the highest is nearest to the truth.

        Args:
            name: Name of the peer.
            incarnation: Start time of its process, in Unix milliseconds.
            time_s: Its time when it sent the message, in seconds.
        """
        now = self._clock.now()
        offset_s = time_s - now
        known = self._time_by_peer.get((name, incarnation))
        if (
            known is None
            or offset_s >= known.offset_s
            or now - known.measured_at > PEER_TIME_EXPIRY_S
        ):
            known = _PeerTime(offset_s=offset_s, measured_at=now, heard_at=now)
            self._time_by_peer[name, incarnation] = known
        known.heard_at = now

    def update(self) -> None:
        """Computes the estimate anew from what is known now."""
        now = self._clock.now()
        self._follow_settled_clock(now)
        for key, peer_time in list(self._time_by_peer.items()):
            if now - peer_time.heard_at > PEER_TIME_EXPIRY_S:
                del self._time_by_peer[key]
        self._offset_s = median_low(
            [
                self._own_offset_s,
                *(peer.offset_s for peer in self._time_by_peer.values()),
            ]
        )

    def _follow_settled_clock(self, now: float) -> None:
        offset_s = self._clock.wall() - now
        if abs(offset_s - self._jumped_offset_s) > CLOCK_JUMP_MIN_S:
            self._jumped_offset_s = offset_s
            self._jumped_at = now
        if now - self._jumped_at > CLOCK_SETTLING_S:
            self._own_offset_s = self._jumped_offset_s
