"""Generates random fault scripts in the scenario language.

Every fault ends before the script's checks begin. A process has at most one
fault at a time; faults of different processes may overlap.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

# Phase in which faults begin, and the fleet's time to recover, in seconds.
FAULT_PHASE_S = 12.0
RECOVERY_PHASE_S = 8.0
# Bounds of the duration of a fault, in seconds.
FAULT_DURATION_MIN_S = 0.3
FAULT_DURATION_MAX_S = 5.0
# Longest interval between the starts of two faults, in seconds.
FAULT_INTERVAL_MAX_S = 2.0
LOAD_MIN_PER_S = 20
LOAD_MAX_PER_S = 50
# Factor on the service time of all targets throughout the script, so that
# requests are in flight when a fault begins.
BASE_SLOW_FACTOR = 20
RECOVERY_TIMEOUT_S = 30

_FAULT_FACTORIES: list[
    Callable[[random.Random, "FaultCandidates"], "ScriptedFault"]
] = []


@dataclass(frozen=True, kw_only=True)
class FaultCandidates:
    """Processes that the next fault may affect, drawn at random.

    Attributes:
        entry: Name of the entry.
        target: Name of the target.
    """

    entry: str
    target: str


@dataclass(frozen=True, kw_only=True)
class ScriptedFault:
    """Statements that begin and end one fault.

    Attributes:
        process: Name of the affected process, which has no other fault until
            this one ends.
        begin_statement: Statement that begins the fault.
        end_statement: Statement that ends the fault.
        ends_last: Whether the fault ends after all faults without this flag,
            since its end waits for requests that those may delay.
    """

    process: str
    begin_statement: str
    end_statement: str
    ends_last: bool = False


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """Number of data centres, and of entries and targets in each of them."""

    data_centres: int = 2
    entries: int = 2
    targets: int = 2

    def process_names(self, prefix: str, count: int) -> list[str]:
        """Returns the names of `count` processes in each data centre."""
        centres = "abcdef"[: self.data_centres]
        return [f"{prefix}-{c}{n + 1}" for c in centres for n in range(count)]


def register_fault(
    factory: Callable[[random.Random, FaultCandidates], ScriptedFault],
) -> Callable[[random.Random, FaultCandidates], ScriptedFault]:
    """Registers a function that makes one kind of fault."""
    _FAULT_FACTORIES.append(factory)
    return factory


@register_fault
def _kill_entry(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    return _process_fault(candidates.entry, "kill", "restart")


@register_fault
def _freeze_entry(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    return _process_fault(candidates.entry, "freeze", "thaw")


@register_fault
def _stop_entry(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    entry = candidates.entry
    return ScriptedFault(
        process=entry,
        begin_statement=f"leave {entry}",
        end_statement=f"restart {entry}",
        ends_last=True,
    )


@register_fault
def _cut_entry(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    return _process_fault(candidates.entry, "cut", "heal")


@register_fault
def _kill_target(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    return _process_fault(candidates.target, "kill", "restart")


@register_fault
def _freeze_target(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    return _process_fault(candidates.target, "freeze", "thaw")


@register_fault
def _slow_target(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    factor = BASE_SLOW_FACTOR * rng.choice([3, 10, 30])
    return ScriptedFault(
        process=candidates.target,
        begin_statement=f"fault {candidates.target} slow_factor {factor}",
        end_statement=_base_slowdown_statement(candidates.target),
    )


@register_fault
def _failing_target(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    share = round(rng.uniform(0.2, 1.0), 2)
    return ScriptedFault(
        process=candidates.target,
        begin_statement=f"fault {candidates.target} error_share {share}",
        end_statement=_base_slowdown_statement(candidates.target),
    )


@register_fault
def _store_down(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    return ScriptedFault(
        process="store", begin_statement="store down", end_statement="store up"
    )


@register_fault
def _store_loses(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    share = round(rng.uniform(0.1, 0.5), 2)
    return ScriptedFault(
        process="store",
        begin_statement=f"store loses {share}",
        end_statement="store up",
    )


@register_fault
def _store_slow(
    rng: random.Random, candidates: FaultCandidates
) -> ScriptedFault:
    delay_s = round(rng.uniform(0.1, 1.0), 2)
    return ScriptedFault(
        process="store",
        begin_statement=f"store slow {delay_s}",
        end_statement="store up",
    )


def _base_slowdown_statement(target: str) -> str:
    return f"fault {target} slow_factor {BASE_SLOW_FACTOR}"


def _process_fault(
    process: str, begin_command: str, end_command: str
) -> ScriptedFault:
    return ScriptedFault(
        process=process,
        begin_statement=f"{begin_command} {process}",
        end_statement=f"{end_command} {process}",
    )


def generate_script(seed: int, *, size: FleetSize) -> str:
    """Returns the script of a seed, as the text of a scenario.

    Args:
        seed: Seed of all random choices; equal seeds give equal scripts.
        size: Size of the fleet that the script starts.
    """
    rng = random.Random(seed)
    entries = size.process_names("e", size.entries)
    targets = size.process_names("t", size.targets)
    lines = [
        f"fleet {size.data_centres} data centres, {size.entries} entries,"
        f" {size.targets} targets",
        *(_base_slowdown_statement(target) for target in targets),
        f"load {rng.randint(LOAD_MIN_PER_S, LOAD_MAX_PER_S)} /s"
        f" {rng.choice(['mixed', 'orders'])}"
        f" {rng.choice(['at', 'via'])} {', '.join(entries)}",
        *_schedule_faults(rng, entries, targets),
        f"wait {RECOVERY_PHASE_S} s",
        "stop load",
        *_checks(entries),
    ]
    return "\n".join(lines) + "\n"


def _schedule_faults(
    rng: random.Random, entries: list[str], targets: list[str]
) -> Iterator[str]:
    """Yields the statements of random faults by time, with waits between."""
    timed_statements: list[tuple[float, str]] = []
    free_at_by_process: dict[str, float] = {}
    begins_at = 0.0
    while begins_at < FAULT_PHASE_S:
        begins_at += rng.uniform(0.0, FAULT_INTERVAL_MAX_S)
        candidates = FaultCandidates(
            entry=rng.choice(entries), target=rng.choice(targets)
        )
        fault = rng.choice(_FAULT_FACTORIES)(rng, candidates)
        if begins_at < free_at_by_process.get(fault.process, 0.0):
            continue
        ends_at = begins_at + rng.uniform(
            FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S
        )
        if fault.ends_last:
            ends_at = FAULT_PHASE_S + 2 * FAULT_DURATION_MAX_S
        free_at_by_process[fault.process] = ends_at
        timed_statements += [
            (begins_at, fault.begin_statement),
            (ends_at, fault.end_statement),
        ]
    previous_s = 0.0
    for at_s, statement in sorted(timed_statements):
        yield f"wait {max(0.0, at_s - previous_s):.2f} s"
        yield statement
        previous_s = at_s


def _checks(entries: list[str]) -> Iterator[str]:
    for entry in entries:
        yield (
            f"eventually within {RECOVERY_TIMEOUT_S} s:"
            f" GET /treaty/pos/1 at {entry} expect 200"
        )
    yield "check orders twice = 0"
    yield "check orders lost = 0"
    yield "check orders false-no = 0"
    yield "check leaked keys = 0"
    yield "check load ok >= 1"
    yield "check event task-failed = 0"
