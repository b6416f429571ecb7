"""Pace of one target: its state, and a limit that rises and falls."""

import math
from dataclasses import dataclass, field

from kingcupvane.request.pace_state import PaceState
from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.version.plan import RegisteredTarget

# Shortest time between two changes of a limit, in seconds: a report between
# gateways takes about as long.
STEP_S = 0.25
# Bounds of the level of a limit; one level halves or doubles it. A cold target
# gets no less than the rate before any answer: its plan calls that bearable.
LEVEL_MIN = -2
LEVEL_MIN_COLD = 0
LEVEL_MAX = 16


@dataclass(kw_only=True, slots=True)
class TargetPace:
    """Pace of one process of a target that is not settled.

    Attributes:
        target: Its registration.
        state: State of its pace.
        is_cold: Whether it was cold at the last look.
        cold_until: Monotonic end of its cold phase, in seconds.
        is_own: Whether only this gateway limits it, after an ejection.
        is_probed: Whether it gets single requests until a good answer.
        falls: How often the limit fell in this phase.
        level: The limit, as a power of two of the one at the phase's start.
        extra: Requests beyond this gateway's part, earned by own good answers.
        has_good: Whether a good answer came since the last change of the limit.
        began_at: Monotonic start of the phase, in seconds.
        stepped_at: Monotonic time of the last change of the limit.
        bad_at: Monotonic time of the last bad answer.
        ranking: Names of the advertised gateways, first senders first.
        senders_since: Monotonic time from which the senders are the same.
        bucket: Limits this gateway's rate while the target is cold.
        sent_at: Monotonic time of its last request while the target is cold.
    """

    target: RegisteredTarget
    state: PaceState = PaceState.UNKNOWN
    is_cold: bool = False
    cold_until: float = -math.inf
    is_own: bool = False
    is_probed: bool = False
    falls: int = 0
    level: int = 0
    extra: int = 0
    has_good: bool = False
    began_at: float = -math.inf
    stepped_at: float = -math.inf
    bad_at: float = -math.inf
    ranking: list[str] = field(default_factory=list)
    senders_since: float = -math.inf
    bucket: TokenBucket | None = None
    sent_at: float = -math.inf

    def begin_phase(self, now: float, *, level: int = 0) -> None:
        """Starts a phase with its first limit."""
        self.falls = 0
        self.level = level
        self.extra = 0
        self.has_good = False
        self.began_at = now
        self.stepped_at = now

    def rise(self, now: float) -> None:
        """Doubles the limit."""
        self.level = min(LEVEL_MAX, self.level + 1)
        self.has_good = False
        self.stepped_at = now

    def fall(self, now: float) -> None:
        """Halves the limit, but not again before the effect can be seen."""
        self.bad_at = now
        self.extra = 0
        self.has_good = False
        if now - self.stepped_at < STEP_S and self.falls:
            return
        self.falls += 1
        floor = LEVEL_MIN_COLD if self.is_cold else LEVEL_MIN
        self.level = max(floor, self.level - 1)
        self.stepped_at = now
