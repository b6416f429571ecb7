"""Typed errors; each carries the step and the peer at which it arose."""

import enum
from dataclasses import dataclass


class Executed(enum.StrEnum):
    """Whether the work that a refused or failed request asked for has run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """The step of the request pipeline or of a control task."""

    READ = "read"
    ROUTE = "route"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    RECORD = "record"
    QUEUE = "queue"
    CONNECT = "connect"
    EXCHANGE = "exchange"
    LOOK_UP = "look-up"
    STORE = "store"
    PEER = "peer"
    SETTINGS = "settings"
    NOTE = "note"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A request that gets no target's answer.

    Attributes:
        status: HTTP status code.
        reason: Stable word for the class of refusal, used on the time line.
        detail: One sentence for the caller. Never contains a key.
        step: Where in the pipeline the refusal arose.
        peer: Address or name of the other side, empty where there is none.
        executed: Whether the work has run.
        retry_after_s: Seconds after which a repeat may succeed, 0 for none.
    """

    status: int
    reason: str
    detail: str
    step: Step
    peer: str = ""
    executed: Executed = Executed.NO
    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreError:
    """A store call that failed.

    Attributes:
        step: The store operation.
        peer: Address of the store.
        detail: What was seen.
        may_have_taken_effect: True when a write may have taken effect, or may
            still do so.
    """

    step: str
    peer: str
    detail: str
    may_have_taken_effect: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerError:
    """A message to another daemon that got no valid answer."""

    step: str
    peer: str
    detail: str


class UsageError(Exception):
    """Input of the operator's that cannot be taken, with a one-line reason."""
