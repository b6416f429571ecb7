"""States of the pace of a target, and what gateways tell each other of it."""

import enum
from collections.abc import Iterable, Mapping

import msgspec


class PaceState(enum.StrEnum):
    """What is known of the pace of a target's process.

    Attributes:
        UNKNOWN: Not classified yet.
        RAMPING: Its limit rises.
        BACKING_OFF: Its limit fell or it was ejected; it rises no further
            until a good answer.
        SETTLED: It has no limit.
    """

    UNKNOWN = "unknown"
    RAMPING = "ramping"
    BACKING_OFF = "backing_off"
    SETTLED = "settled"


class PaceEvent(enum.StrEnum):
    """What happens to a target's pace.

    Attributes:
        SEEN_OLD: It registers here, but has been up for long.
        SEEN_NEW: It registers soon after its start.
        TURNED_COLD: It is cold.
        GOOD: It answered well, here or at another gateway.
        BAD: It shed, answered late under load or failed, here or elsewhere.
        EJECTED: This gateway has stopped using it after failures.
        QUIET: No bad answer for some time.
        OPEN: Its limit no longer binds any gateway.
        EXPIRED: Its ramp has lasted too long; if it still answers badly, that
            is no matter of its start.
    """

    SEEN_OLD = "seen_old"
    SEEN_NEW = "seen_new"
    TURNED_COLD = "turned_cold"
    GOOD = "good"
    BAD = "bad"
    EJECTED = "ejected"
    QUIET = "quiet"
    OPEN = "open"
    EXPIRED = "expired"


# The next state by state and event; events that are left out change nothing.
NEXT_STATES: Mapping[PaceState, Mapping[PaceEvent, PaceState]] = {
    PaceState.UNKNOWN: {
        PaceEvent.SEEN_OLD: PaceState.SETTLED,
        PaceEvent.SEEN_NEW: PaceState.RAMPING,
        PaceEvent.TURNED_COLD: PaceState.RAMPING,
        PaceEvent.EJECTED: PaceState.BACKING_OFF,
    },
    PaceState.RAMPING: {
        PaceEvent.BAD: PaceState.BACKING_OFF,
        PaceEvent.EJECTED: PaceState.BACKING_OFF,
        PaceEvent.OPEN: PaceState.SETTLED,
        PaceEvent.EXPIRED: PaceState.SETTLED,
    },
    PaceState.BACKING_OFF: {
        PaceEvent.GOOD: PaceState.RAMPING,
        PaceEvent.QUIET: PaceState.RAMPING,
        PaceEvent.EXPIRED: PaceState.SETTLED,
    },
    PaceState.SETTLED: {
        PaceEvent.TURNED_COLD: PaceState.RAMPING,
        PaceEvent.EJECTED: PaceState.BACKING_OFF,
    },
}


def next_state(state: PaceState, event: PaceEvent) -> PaceState:
    """Returns the state of a target's pace after an event."""
    return NEXT_STATES[state].get(event, state)


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of the pace of an unsettled target.

    Of two reports on the same phase of a process, the one with more falls
    holds, then the one with the higher level. So gateways agree in whatever
    order they hear of each other.

    Attributes:
        target: Name of the target.
        started_ms: Start time of its process, in Unix milliseconds.
        is_cold: Whether it is in its cold phase.
        falls: How often its limit fell in this phase.
        level: Its limit, as a power of two of the one at the phase's start.
    """

    target: str
    started_ms: int
    is_cold: bool
    falls: int
    level: int


def merge_reports(
    reports: Iterable[Iterable[PaceReport]],
) -> list[PaceReport]:
    """Returns the report that holds for each phase of each process."""
    best: dict[tuple[str, int, bool], PaceReport] = {}
    for report in (one for several in reports for one in several):
        key = (report.target, report.started_ms, report.is_cold)
        known = best.get(key)
        if known is None or _rank_of(report) > _rank_of(known):
            best[key] = report
    return list(best.values())


def _rank_of(report: PaceReport) -> tuple[int, int]:
    return (report.falls, report.level)
