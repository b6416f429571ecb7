"""Seeded scripts of faults for gateways of the users' platform, as data."""

import json
import random
from dataclasses import asdict, dataclass, field

LENGTH_S = 26.0
GATEWAYS_MIN = 2
GATEWAYS_MAX = 9
# One seed in this many has the largest fleet.
LARGE_EVERY = 10
LARGE_GATEWAYS = 12
CHANGES = (
    "route_added",
    "route_added",
    "route_moved",
    "route_moved",
    "route_removed",
    "key_added",
    "key_revoked",
)


@dataclass(frozen=True, kw_only=True)
class Step:
    """One fault, or one change by the operator.

    Attributes:
        at: When, in seconds after all gateways were ready.
        kind: What happens.
        subject: Index of the gateway or target, modulo their number.
        values: Durations in seconds, shares and choices.
    """

    at: float
    kind: str
    subject: int = 0
    values: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Script:
    """All steps of a seed, in order.

    Attributes:
        seed: The seed.
        gateways: Number of gateways.
        steps: The steps.
    """

    seed: int
    gateways: int
    steps: list[Step]

    def restores(self) -> bool:
        """Returns whether the store comes back from an older copy."""
        return any(step.kind == "store_restored" for step in self.steps)

    def to_json(self) -> str:
        """Returns the script as one line a step."""
        head = json.dumps({"seed": self.seed, "gateways": self.gateways})
        return "\n".join([head, *(json.dumps(asdict(s)) for s in self.steps)])


def generate(
    seed: int, *, length_s: float = LENGTH_S, gateways: int = 0
) -> Script:
    """Returns the script of a seed.

    Args:
        seed: The seed.
        length_s: Time within which steps begin, in seconds.
        gateways: Number of gateways; 0 for one by the seed.
    """
    rng = random.Random(seed)
    drawn = rng.randint(GATEWAYS_MIN, GATEWAYS_MAX)
    if seed % LARGE_EVERY == 0:
        drawn = LARGE_GATEWAYS
    count = gateways or drawn
    # Part of the fleets see few faults of their own, others one after another.
    calm = rng.choice((0.5, 1.0, 2.5))
    steps = [
        *_changes(rng, length_s),
        *_store_faults(rng, length_s, count),
        *(
            s
            for i in range(count)
            for s in _gateway_faults(rng, length_s, i, calm)
        ),
        # The first targets stay, so that each service has some.
        *(s for i in range(2, 10) for s in _target_faults(rng, length_s, i)),
    ]
    steps.sort(key=lambda step: step.at)
    return Script(seed=seed, gateways=count, steps=steps)


def _changes(rng: random.Random, length_s: float):
    at = rng.uniform(0.2, 1.0)
    while at < length_s:
        yield Step(at=at, kind=rng.choice(CHANGES))
        at += rng.uniform(0.5, 2.2)


def _store_faults(rng: random.Random, length_s: float, gateways: int):
    at = rng.uniform(2, 9)
    while at < length_s:
        kind = rng.choice(
            ("restored", "restored", "compacted", "restarted", "late", "lost")
            + ("silent", "busy", "busy_to_some", "silent_to_some")
        )
        step = _store_fault(rng, f"store_{kind}", at, gateways)
        yield step
        at += step.values.get("duration_s", 0.0)
        if kind == "restored" and rng.random() < 0.4:
            at += rng.uniform(0.1, 3)
            again = _store_fault(rng, "store_restored", at, gateways)
            yield again
            at += again.values["duration_s"]
        at += rng.uniform(2, 5) if rng.random() < 0.3 else rng.uniform(6, 10)


def _store_fault(
    rng: random.Random, kind: str, at: float, gateways: int
) -> Step:
    values: dict[str, float] = {}
    if kind == "store_restored":
        values = {
            "age_s": rng.uniform(0.5, 10),
            "duration_s": rng.choice((0.0, rng.uniform(0, 3))),
            "is_silent": rng.randint(0, 1),
            "rewrite_s": rng.uniform(0.05, 0.5),
        }
    elif kind in ("store_compacted", "store_restarted"):
        values = {"drops_history": rng.randint(0, 1)}
    else:
        values = {"duration_s": rng.uniform(0.5, 5)}
    if kind == "store_late":
        values["amount"] = rng.uniform(0.5, 3)
    if kind == "store_lost":
        values["amount"] = rng.uniform(0.1, 0.6)
    if kind.endswith("_to_some"):
        values["gateways"] = rng.randint(1, max(1, gateways // 2))
    return Step(
        at=at, kind=kind, subject=rng.randrange(gateways), values=values
    )


def _gateway_faults(
    rng: random.Random, length_s: float, index: int, calm: float
):
    at = rng.uniform(0.5, 10) * calm
    while at < length_s:
        kind = rng.choice(("killed", "stopped", "frozen", "frozen", "reloaded"))
        values = {}
        # The time that a fault takes, with the start of the next process.
        busy_s = {"killed": 4.0, "stopped": 10.0, "reloaded": 0.5}.get(kind, 0)
        if kind == "frozen":
            busy_s = rng.choice((rng.uniform(0.1, 1), rng.uniform(1, 7)))
            values = {"duration_s": busy_s}
        yield Step(at=at, kind=f"gateway_{kind}", subject=index, values=values)
        at += busy_s + rng.uniform(1, 9) * calm


def _target_faults(rng: random.Random, length_s: float, index: int):
    at = rng.uniform(0.5, 15)
    while at < length_s:
        kind = rng.choice(("drained", "drained", "removed", "crashed"))
        values = {}
        if kind != "crashed":
            values = {
                "serves_on_s": rng.uniform(0.3, 6),
                "back_after_s": rng.uniform(0.5, 3),
            }
        yield Step(at=at, kind=f"target_{kind}", subject=index, values=values)
        at += rng.uniform(8, 16)
