"""What callers, targets and the operator saw of gateways in a soak.

All times are seconds since the start of the seed.
"""

import dataclasses
import json
from dataclasses import dataclass, field
from pathlib import Path

# Subject of a disruption of the store for all gateways.
STORE = "store"


@dataclass(frozen=True, kw_only=True)
class PlanWrite:
    """An acknowledged write of the operator's plan.

    Attributes:
        at: Time of the acknowledgement.
        version: Its version.
        service_by_prefix: Routes.
        keys: Keys of callers.
    """

    at: float
    version: int
    service_by_prefix: dict[str, str]
    keys: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class Ask:
    """A caller's request at one gateway.

    Attributes:
        id: Its id, which targets see.
        gateway: Name of the gateway.
        prefix: Prefix of its route.
        key: Key of the caller.
        sent_at: When it was sent.
        ended_at: When it was answered, or the caller gave up.
        status: Status of the answer; 0 without one.
        service: Service that ran it, as the answer says; empty if none.
        is_kept: Whether it was sent on a connection that the caller keeps.
    """

    id: str
    gateway: str
    prefix: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    service: str = ""
    is_kept: bool = False


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a target.

    Attributes:
        at: When.
        ask_id: Id of the request.
        target: Id of the target's incarnation.
        service: Its service.
        has_run: Whether the target ran it.
    """

    at: float
    ask_id: str
    target: str
    service: str
    has_run: bool = True


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """An acknowledged write of a target that it leaves.

    Attributes:
        at: Time of the acknowledgement.
        target: Id of the target's incarnation.
    """

    at: float
    target: str


@dataclass(frozen=True, kw_only=True)
class Disruption:
    """A fault from outside.

    Attributes:
        subject: `STORE`, or the name of a gateway.
        kind: Kind of the step of the script.
        start: When it began.
        end: When it was over.
        copy_at: When the copy was taken from which the store came back; None
            if it lost nothing.
    """

    subject: str
    kind: str
    start: float
    end: float
    copy_at: float | None = None


@dataclass(frozen=True, kw_only=True)
class Life:
    """One process of a gateway.

    Attributes:
        gateway: Name of the gateway.
        start: When it was started.
        end: When it ended; infinite if it was running at the end.
        status: Its exit status.
    """

    gateway: str
    start: float
    end: float = float("inf")
    status: int = 0


@dataclass(frozen=True, kw_only=True)
class FinalState:
    """A gateway at the end, after a calm time.

    Attributes:
        gateway: Name of the gateway.
        is_ready: Whether its readiness check was answered with 200.
        failed_tasks: Lines of its log that tell of a task that failed.
    """

    gateway: str
    is_ready: bool
    failed_tasks: int = 0


@dataclass(kw_only=True)
class Record:
    """All that was seen in a seed.

    Attributes:
        calm_at: When the calm time at the end began that is judged: the last
            plan has to be in force at all gateways.
    """

    gateways: list[str] = field(default_factory=list)
    plans: list[PlanWrite] = field(default_factory=list)
    asks: list[Ask] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    finals: list[FinalState] = field(default_factory=list)
    calm_at: float = float("inf")

    def write(self, path: Path) -> None:
        """Writes one line of JSON for each entry."""
        with path.open("w", encoding="utf-8") as file:
            for name in (f.name for f in dataclasses.fields(self)):
                entries = getattr(self, name)
                for entry in (
                    entries if isinstance(entries, list) else [entries]
                ):
                    file.write(f"{name} {json.dumps(entry, default=_plain)}\n")


def _plain(value: object) -> object:
    if dataclasses.is_dataclass(value):
        return {
            f.name: getattr(value, f.name) for f in dataclasses.fields(value)
        }
    return sorted(value)
