"""Which gateway coordinates a rollout; does no I/O.

The coordinator is the author of the highest checkpoint, for as long as it goes
on making them. When it is silent, the ready gateways take over in the order in
which they rank for the service, each a little later than the one before. Two
coordinators at once do no harm: the one with the lower checkpoint steps down
once it hears of the other, and the store keeps the first final record.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from kingcupvane.request.load_balancing import rendezvous_rank
from kingcupvane.version.rollout_checkpoint import (
    EvidenceMark,
    RolloutCheckpoint,
)

# Silence of a live coordinator after which the first-ranked gateway takes over,
# in seconds; longer than a round and the reports that pass its checkpoint on.
SILENCE_MAX_S = 1.2
# The same for a coordinator that is no longer ready or live, in seconds.
LOST_SILENCE_MAX_S = 0.5
# Time by which each further gateway takes over later, in seconds.
STAGGER_S = 0.4
# Time between two rounds after which a gateway was paused, so that it has to
# listen to the others before it decides anything, in seconds.
PAUSE_MIN_S = 1.0


@dataclass(kw_only=True, slots=True)
class Coordination:
    """What one gateway knows of the coordinator of one rollout.

    Attributes:
        heard_at: Monotonic time from which the coordinator counts as silent,
            in seconds.
        has_begun: Whether some gateway is known to have begun the rollout.
        checkpoint: Highest known checkpoint, None before the first.
        is_coordinator: Whether this gateway coordinates.
        asked_at: Monotonic time of the latest round, in seconds.
    """

    heard_at: float = float("-inf")
    has_begun: bool = False
    checkpoint: RolloutCheckpoint | None = None
    is_coordinator: bool = False
    asked_at: float = float("-inf")

    def merge(self, checkpoint: RolloutCheckpoint, now: float) -> bool:
        """Stores a checkpoint; returns false unless it is the highest one.

        A coordinator steps down when another one's is higher.

        Args:
            checkpoint: A checkpoint of another gateway or process.
            now: Monotonic seconds.
        """
        known = self.checkpoint
        if known is not None and checkpoint.mark <= known.mark:
            return False
        self.is_coordinator = False
        self.advance(checkpoint, now)
        return True

    def advance(self, checkpoint: RolloutCheckpoint, now: float) -> None:
        """Stores a checkpoint that this gateway made as the coordinator."""
        self.checkpoint = checkpoint
        self.heard_at = now

    def must_coordinate(
        self, *, own: str, ready: Sequence[str], service: str, now: float
    ) -> bool:
        """Returns whether this gateway is to coordinate in this round.

        Args:
            own: Name of this gateway.
            ready: Names of the gateways that may coordinate.
            service: Name of the service.
            now: Monotonic seconds.
        """
        if now - self.asked_at > PAUSE_MIN_S:
            self.heard_at = max(self.heard_at, now)
            self.is_coordinator = False
        self.asked_at = now
        if own not in ready:
            return False
        if self.is_coordinator:
            return True
        overdue_s = now - self.heard_at - self._silence_max_s(own, ready)
        if overdue_s < 0.0:
            return False
        rank = rendezvous_rank(ready, hash_key=service).index(own)
        return overdue_s >= STAGGER_S * rank

    def _silence_max_s(self, own: str, ready: Sequence[str]) -> float:
        checkpoint = self.checkpoint
        if checkpoint is None:
            return LOST_SILENCE_MAX_S if self.has_begun else 0.0
        if checkpoint.released:
            return 0.0
        coordinator = checkpoint.mark.coordinator
        if coordinator == own or coordinator not in ready:
            return LOST_SILENCE_MAX_S
        return SILENCE_MAX_S

    def next_epoch(self, revision: int, own: str) -> EvidenceMark:
        """Returns the mark before the first reading after a take-over.

        Args:
            revision: Store revision of the rollout's specification.
            own: Name of this gateway, which takes over.
        """
        epoch = self.checkpoint.mark.epoch if self.checkpoint is not None else 0
        return EvidenceMark(revision=revision, epoch=epoch + 1, coordinator=own)
