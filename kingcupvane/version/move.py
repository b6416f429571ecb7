"""Guarded moves of traffic from an old version to a new one.

The states of a move are ordered: `running` with an increasing number, then
`completed`, then `taken-back`. A daemon keeps the highest state that it has
received, so states may arrive late, twice or in any order. A daemon that has
received no final state by the deadline uses the old version, even if the move
controller, which decides on the states, has failed.
"""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from kingcupvane.version.items import Move, Version

MOVE_STATE_PREFIX = "live/moves/"
# A move that isn't complete this long before its deadline is taken back.
COMMIT_MARGIN_S = 12.0
# Largest share of the new version until the move is completed.
RUNNING_SHARE_MAX = 0.95


class Phase(enum.IntEnum):
    """Phase of a move; a higher phase supersedes a lower one."""

    RUNNING = 0
    COMPLETED = 1
    TAKEN_BACK = 2


class MoveState(msgspec.Struct, frozen=True, array_like=True, order=True):
    """State of a move, or of a rollout among gateways, after a decision.

    Attributes:
        phase: Phase of the move.
        number: Increases with each decision.
        name: Name of the move or the rollout.
        share: Share of the traffic that the new version gets, 0 to 1.
        fence: Fencing token of the move controller that decided; 0 for a
            rollout.
        reason: Reason for the decision, in one sentence.
    """

    phase: Phase
    number: int
    name: str
    share: float
    fence: int = 0
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionShare:
    """A version's share of a service's traffic.

    Attributes:
        share: The share, 0 to 1.
        capped: Whether the share is a limit that must not be exceeded.
    """

    share: float
    capped: bool


def supersedes(offered: MoveState, known: MoveState | None) -> bool:
    """Returns whether an offered state of a move replaces the known one."""
    if known is None:
        return True
    offered_progress = (offered.phase, offered.number)
    return offered_progress > (known.phase, known.number)


def new_version_share(
    move: Move, state: MoveState | None, wall_s: float
) -> float:
    """Returns the share of the traffic that the new version gets now.

    Args:
        move: The move.
        state: Its latest known state; None before the first decision.
        wall_s: Unix seconds.
    """
    if state is None:
        return 0.0
    match state.phase:
        case Phase.COMPLETED:
            return 1.0
        case Phase.TAKEN_BACK:
            return 0.0
    return state.share if wall_s < move.deadline_s else 0.0


def version_shares(
    service: str,
    versions: Iterable[Version],
    moves: Iterable[Move],
    states_by_name: Mapping[str, MoveState],
    wall_s: float,
) -> dict[str, VersionShare]:
    """Returns the share of each version of a service now, by version.

    Args:
        service: Name of the service.
        versions: The versions of all services.
        moves: The moves of all services.
        states_by_name: Latest known states, by the name of the move.
        wall_s: Unix seconds.
    """
    shares = {
        version.name: VersionShare(
            share=version.share, capped=version.share < 1.0
        )
        for version in versions
        if version.service == service
    }
    for move in moves:
        if move.service != service:
            continue
        share = new_version_share(move, states_by_name.get(move.name), wall_s)
        shares[move.new] = VersionShare(share=share, capped=share < 1.0)
        shares[move.old] = VersionShare(share=1.0 - share, capped=share >= 1.0)
    return shares


class Verdict(enum.StrEnum):
    """Verdict of the canary analysis on the new version."""

    GOOD = "good"
    INSUFFICIENT = "thin"
    BAD = "bad"


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A verdict and the reason for it."""

    verdict: Verdict
    reason: str


def next_move_state(
    move: Move,
    state: MoveState | None,
    finding: Finding,
    *,
    step_elapsed_s: float,
    wall_s: float,
    fence: int,
) -> MoveState | None:
    """Returns the next state of a move, or None to leave it as it is.

    Args:
        move: The move.
        state: Its current state; None before the first decision.
        finding: Result of the canary analysis.
        step_elapsed_s: Time since the current share came into force, in
            seconds.
        wall_s: Unix seconds.
        fence: Fencing token of the move controller.
    """
    if state is None:
        if wall_s >= move.deadline_s - COMMIT_MARGIN_S:
            return _take_back(move, 0, fence, "the deadline left no time")
        return MoveState(
            Phase.RUNNING, 1, move.name, move.cap, fence, "the move began"
        )
    number = state.number + 1
    if state.phase is Phase.TAKEN_BACK:
        return None
    if finding.verdict is Verdict.BAD:
        return _take_back(move, number, fence, finding.reason)
    if state.phase is Phase.COMPLETED:
        return None
    if wall_s >= move.deadline_s - COMMIT_MARGIN_S:
        reason = f"not complete near the deadline: {finding.reason}"
        return _take_back(move, number, fence, reason)
    if finding.verdict is Verdict.INSUFFICIENT or step_elapsed_s < move.hold_s:
        return None
    share = round(state.share + move.step, 6)
    if state.share >= RUNNING_SHARE_MAX:
        return MoveState(
            Phase.COMPLETED, number, move.name, 1.0, fence, finding.reason
        )
    return MoveState(
        Phase.RUNNING,
        number,
        move.name,
        min(RUNNING_SHARE_MAX, share),
        fence,
        finding.reason,
    )


def _take_back(move: Move, number: int, fence: int, reason: str) -> MoveState:
    return MoveState(Phase.TAKEN_BACK, number, move.name, 0.0, fence, reason)
