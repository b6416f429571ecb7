"""What the coordinator of a rollout has learned, for its successors.

Gateways pass checkpoints on in their reports, and the coordinator writes them
to the platform's store, so that they outlive every process. The coordinator is
the author of the highest checkpoint; each new checkpoint is its heartbeat.
"""

import msgspec
from result import Err, Ok, Result

from kingcupvane.version.canary_analysis import RouteEvidence
from kingcupvane.version.move import MoveState

# Prefix of the keys of checkpoints in the store; the service follows.
CHECKPOINT_PREFIX = "rollouts/"


class EvidenceMark(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one reading of the counters of all gateways; a higher wins.

    Attributes:
        revision: Store revision of the rollout's specification.
        epoch: Increases with each take-over.
        coordinator: Name of the gateway that reads.
        round: Increases with each reading of that coordinator.
    """

    revision: int
    epoch: int = 0
    coordinator: str = ""
    round: int = 0


class RolloutCheckpoint(msgspec.Struct, frozen=True, array_like=True):
    """State of a rollout, and the evidence on its version, after a reading.

    Attributes:
        service: Name of the service.
        mark: The reading after which it was made.
        state: State of the rollout.
        age_s: Time since any gateway is known to have first seen the
            specification, in seconds.
        released: The coordinator is stopping; another is to take over at once.
        step_rounds: Readings since the last change of the share.
        step_samples: Exchanges of the new version since then.
        routes: Evidence by route.
    """

    service: str
    mark: EvidenceMark
    state: MoveState
    age_s: float
    released: bool = False
    step_rounds: int = 0
    step_samples: int = 0
    routes: list[RouteEvidence] = []


def encode_checkpoint(checkpoint: RolloutCheckpoint) -> str:
    """Returns the value to store."""
    return msgspec.json.encode(checkpoint).decode()


def decode_checkpoint(value: str) -> Result[RolloutCheckpoint, str]:
    """Returns a stored checkpoint, or what is wrong with it."""
    try:
        return Ok(msgspec.json.decode(value, type=RolloutCheckpoint))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(str(error))
