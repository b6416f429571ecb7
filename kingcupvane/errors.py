"""Typed errors and refusals, with the step and the peer of the failure."""

import enum
from dataclasses import dataclass


class Executed(enum.StrEnum):
    """Whether a refused or failed request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """Step of the request pipeline or of a control task."""

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
    """A request that is answered without a target's response.

    Attributes:
        status: HTTP status code.
        reason: Stable identifier of the kind of refusal, also used on the time
            line.
        detail: One sentence for the caller. Never contains a key.
        step: Pipeline step at which the request was refused.
        peer: Address or name of the other side; empty if there is none.
        executed: Whether the request was executed.
        retry_after_s: Time after which a retry may succeed, in seconds; 0 for
            no advice.
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
        step: Name of the store operation.
        peer: Address of the store.
        detail: Description of the failure.
        may_have_taken_effect: Whether a write may have taken effect or may
            still take effect.
    """

    step: str
    peer: str
    detail: str
    may_have_taken_effect: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerError:
    """A message to another daemon that got no valid reply.

    Attributes:
        step: Type of the message.
        peer: Address of the other daemon.
        detail: Description of the failure.
    """

    step: str
    peer: str
    detail: str


class UsageError(Exception):
    """Invalid input of the operator, with a one-line reason."""
