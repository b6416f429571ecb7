"""A guarded move of traffic between versions, and how it ends.

States of a move only go up: `running` with a growing number, `completed`,
`taken-back`. So news of a move may come late, twice or in any order. A daemon
that has heard of no end by the deadline uses the old version, whatever has
become of the judge.
"""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from kingcupvane.version.items import Move, Version

STORE_PREFIX = "live/moves/"
COMMIT_MARGIN_S = 12.0
RUNNING_SHARE_MAX = 0.95


class Phase(enum.IntEnum):
    """How far a move is; a higher phase wins over a lower one."""

    RUNNING = 0
    COMPLETED = 1
    TAKEN_BACK = 2


class MoveState(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What is decided about a move.

    Attributes:
        phase: How far it is.
        number: Grows with each decision.
        name: Name of the move.
        share: Part of the traffic that the new version gets.
        fence: Fencing number of the judge that decided.
        reason: Why, in one sentence.
    """

    phase: Phase
    number: int
    name: str
    share: float
    fence: int = 0
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionShare:
    """A version's part of a service's traffic.

    Attributes:
        share: The part, 0 to 1.
        capped: Whether it must never be exceeded.
    """

    share: float
    capped: bool


def supersedes(offered: MoveState, known: MoveState | None) -> bool:
    """Returns whether news of a move replaces what is known."""
    if known is None:
        return True
    offered_progress = (offered.phase, offered.number)
    return offered_progress > (known.phase, known.number)


def new_version_share(
    move: Move, state: MoveState | None, wall_s: float
) -> float:
    """Returns the part of the traffic that the new version gets now.

    Args:
        move: The move.
        state: What is known to be decided.
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
    """Returns the part of each version of a service now.

    Args:
        service: Name of the service.
        versions: All versions.
        moves: All moves.
        states_by_name: What is decided about moves.
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
        part = new_version_share(move, states_by_name.get(move.name), wall_s)
        shares[move.new] = VersionShare(share=part, capped=part < 1.0)
        shares[move.old] = VersionShare(share=1.0 - part, capped=part >= 1.0)
    return shares


class Verdict(enum.StrEnum):
    """What the judge's evidence says of the new version."""

    GOOD = "good"
    INSUFFICIENT = "thin"
    BAD = "bad"


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A verdict and the reason for it."""

    verdict: Verdict
    reason: str


def decide(
    move: Move,
    state: MoveState | None,
    finding: Finding,
    *,
    held_s: float,
    wall_s: float,
    fence: int,
) -> MoveState | None:
    """Returns the next state of a move, or None to leave it as it is.

    Args:
        move: The move.
        state: Its present state; None before the first decision.
        finding: What the evidence says.
        held_s: Seconds since the present share is in force.
        wall_s: Unix seconds.
        fence: Fencing number of the judge.
    """
    if state is None:
        if wall_s >= move.deadline_s - COMMIT_MARGIN_S:
            return _taken_back(move, 0, fence, "the deadline left no time")
        return MoveState(
            Phase.RUNNING, 1, move.name, move.cap, fence, "the move began"
        )
    number = state.number + 1
    if state.phase is Phase.TAKEN_BACK:
        return None
    if finding.verdict is Verdict.BAD:
        return _taken_back(move, number, fence, finding.reason)
    if state.phase is Phase.COMPLETED:
        return None
    if wall_s >= move.deadline_s - COMMIT_MARGIN_S:
        why = f"not complete near the deadline: {finding.reason}"
        return _taken_back(move, number, fence, why)
    if finding.verdict is Verdict.INSUFFICIENT or held_s < move.hold_s:
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


def _taken_back(move: Move, number: int, fence: int, reason: str) -> MoveState:
    return MoveState(Phase.TAKEN_BACK, number, move.name, 0.0, fence, reason)
