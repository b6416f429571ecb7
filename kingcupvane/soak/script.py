"""Writes a random script of faults in the language of scenarios.

Every fault ends before the script's checks begin. A process has one fault at a
time; faults of different processes overlap.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

# Time in which faults begin, and time for the fleet to recover, in seconds.
FAULTS_S = 12.0
RECOVERY_S = 8.0
# Bounds of how long a fault lasts, in seconds.
FAULT_MIN_S = 0.3
FAULT_MAX_S = 5.0
# Longest time between the beginnings of two faults, in seconds.
PAUSE_MAX_S = 2.0
RATE_MIN = 20
RATE_MAX = 50
# How much longer than usual targets work, so that faults meet running work.
WORK_FACTOR = 20
ANSWER_WITHIN_S = 30

_MAKERS: list[Callable[[random.Random, "Place"], "Fault"]] = []


@dataclass(frozen=True, kw_only=True)
class Place:
    """What a fault may strike.

    Attributes:
        entry: Name of an entry.
        target: Name of a target.
    """

    entry: str
    target: str


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault.

    Attributes:
        process: The process that it holds while it lasts.
        begins: Statement that begins it.
        ends: Statement that ends it.
        last: It ends after all that are not last, since its end waits for
            work that other faults may hold up.
    """

    process: str
    begins: str
    ends: str
    last: bool = False


@dataclass(frozen=True, kw_only=True)
class Size:
    """How large the fleet of a script is."""

    data_centres: int = 2
    entries: int = 2
    targets: int = 2

    def names(self, letter: str, count: int) -> list[str]:
        """Returns the names of all processes of a kind."""
        centres = "abcdef"[: self.data_centres]
        return [f"{letter}-{c}{n + 1}" for c in centres for n in range(count)]


def fault(
    make: Callable[[random.Random, Place], Fault],
) -> Callable[[random.Random, Place], Fault]:
    """Adds a kind of fault."""
    _MAKERS.append(make)
    return make


@fault
def _kill_entry(chance: random.Random, place: Place) -> Fault:
    return _on(place.entry, "kill", "restart")


@fault
def _freeze_entry(chance: random.Random, place: Place) -> Fault:
    return _on(place.entry, "freeze", "thaw")


@fault
def _stop_entry(chance: random.Random, place: Place) -> Fault:
    entry = place.entry
    return Fault(
        process=entry,
        begins=f"leave {entry}",
        ends=f"restart {entry}",
        last=True,
    )


@fault
def _cut_entry(chance: random.Random, place: Place) -> Fault:
    return _on(place.entry, "cut", "heal")


@fault
def _kill_target(chance: random.Random, place: Place) -> Fault:
    return _on(place.target, "kill", "restart")


@fault
def _freeze_target(chance: random.Random, place: Place) -> Fault:
    return _on(place.target, "freeze", "thaw")


@fault
def _slow_target(chance: random.Random, place: Place) -> Fault:
    factor = WORK_FACTOR * chance.choice([3, 10, 30])
    return Fault(
        process=place.target,
        begins=f"fault {place.target} slow_factor {factor}",
        ends=_usual_work(place.target),
    )


@fault
def _failing_target(chance: random.Random, place: Place) -> Fault:
    share = round(chance.uniform(0.2, 1.0), 2)
    return Fault(
        process=place.target,
        begins=f"fault {place.target} error_share {share}",
        ends=_usual_work(place.target),
    )


@fault
def _store_down(chance: random.Random, place: Place) -> Fault:
    return Fault(process="store", begins="store down", ends="store up")


@fault
def _store_loses(chance: random.Random, place: Place) -> Fault:
    share = round(chance.uniform(0.1, 0.5), 2)
    return Fault(
        process="store", begins=f"store loses {share}", ends="store up"
    )


@fault
def _store_slow(chance: random.Random, place: Place) -> Fault:
    delay_s = round(chance.uniform(0.1, 1.0), 2)
    return Fault(
        process="store", begins=f"store slow {delay_s}", ends="store up"
    )


def _usual_work(target: str) -> str:
    return f"fault {target} slow_factor {WORK_FACTOR}"


def _on(process: str, begin: str, end: str) -> Fault:
    return Fault(
        process=process, begins=f"{begin} {process}", ends=f"{end} {process}"
    )


def script(seed: int, *, size: Size) -> str:
    """Returns the scenario of a seed.

    Args:
        seed: Equal seeds give equal scripts.
        size: How many processes it starts.
    """
    chance = random.Random(seed)
    entries = size.names("e", size.entries)
    targets = size.names("t", size.targets)
    lines = [
        f"fleet {size.data_centres} data centres, {size.entries} entries,"
        f" {size.targets} targets",
        *(_usual_work(target) for target in targets),
        f"load {chance.randint(RATE_MIN, RATE_MAX)} /s"
        f" {chance.choice(['mixed', 'orders'])}"
        f" {chance.choice(['at', 'via'])} {', '.join(entries)}",
        *_timed(chance, entries, targets),
        f"wait {RECOVERY_S} s",
        "stop load",
        *_checks(entries),
    ]
    return "\n".join(lines) + "\n"


def _timed(
    chance: random.Random, entries: list[str], targets: list[str]
) -> Iterator[str]:
    """Yields faults and their ends in the order of time, with waits."""
    moments: list[tuple[float, str]] = []
    free_at: dict[str, float] = {}
    now = 0.0
    while now < FAULTS_S:
        now += chance.uniform(0.0, PAUSE_MAX_S)
        place = Place(
            entry=chance.choice(entries), target=chance.choice(targets)
        )
        made = chance.choice(_MAKERS)(chance, place)
        if now < free_at.get(made.process, 0.0):
            continue
        ends_at = now + chance.uniform(FAULT_MIN_S, FAULT_MAX_S)
        if made.last:
            ends_at = FAULTS_S + 2 * FAULT_MAX_S
        free_at[made.process] = ends_at
        moments += [(now, made.begins), (ends_at, made.ends)]
    before = 0.0
    for moment, statement in sorted(moments):
        yield f"wait {max(0.0, moment - before):.2f} s"
        yield statement
        before = moment


def _checks(entries: list[str]) -> Iterator[str]:
    for entry in entries:
        yield (
            f"eventually within {ANSWER_WITHIN_S} s:"
            f" GET /treaty/pos/1 at {entry} expect 200"
        )
    yield "check orders twice = 0"
    yield "check orders lost = 0"
    yield "check orders false-no = 0"
    yield "check leaked keys = 0"
    yield "check load ok >= 1"
    yield "check event task-failed = 0"
