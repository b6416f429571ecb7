"""Replies of an entry to other entries and to the operator's commands."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kingcupvane.clock import Clock
from kingcupvane.connection.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    EvidenceReply,
    EvidenceRequest,
    Heartbeat,
    LoanReply,
    LoanRequest,
    Message,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.gossip import Gossip
from kingcupvane.process.membership import Membership
from kingcupvane.process.move_controller import MoveStates
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.process.role import Role
from kingcupvane.process.timeline import Timeline
from kingcupvane.request.load_balancing import SLOT_LOAN_TTL_S, LoadBalancer
from kingcupvane.request.refusals import RefusalCounter
from kingcupvane.settings import EntrySettings
from kingcupvane.version.rate_allocator import RateAllocator


@dataclass(frozen=True, kw_only=True)
class PeerMessageHandler:
    """Replies to each type of message from the state of the components.

    Attributes:
        settings: This entry's settings.
        incarnation: Start time of this process, in Unix milliseconds.
        clock: Monotonic clock.
        gossip: Receives and makes heartbeats.
        replica: The configuration in force.
        membership: Liveness of entries.
        load_balancer: Load balancer, which lends slots.
        rate_allocator: This entry's shares of rates.
        evidence: Counters of exchanges by version.
        move_states: States of moves.
        refusal_counter: Refusals by reason.
        roles_by_name: The leased roles that this entry is a candidate for.
        timeline: Events of this process.
    """

    settings: EntrySettings
    incarnation: int
    clock: Clock
    gossip: Gossip
    replica: ConfigurationReplica
    membership: Membership
    load_balancer: LoadBalancer
    rate_allocator: RateAllocator
    evidence: EvidenceCounter
    move_states: MoveStates
    refusal_counter: RefusalCounter
    roles_by_name: dict[str, Role]
    timeline: Timeline

    async def reply_to(self, message: Message) -> Message | None:
        """Returns the reply to a message; None for types without one."""
        function = REPLY_FUNCTIONS_BY_TYPE.get(type(message))
        return function(self, message) if function else None

    def conclusions(self) -> Iterator[str]:
        """Yields this entry's state and decisions as sentences."""
        now = self.clock.now()
        live = ", ".join(self.membership.live_names(now))
        yield f"Live entries of this data centre: {live}."
        yield (
            "The configuration was confirmed by the store"
            f" {self.replica.confirmed_age_s():.1f} s ago."
        )
        for name, role in self.roles_by_name.items():
            if role.holds():
                yield f"Holds the role {name}, fence {role.fence}."
        if now >= self.rate_allocator.loans_expire_at():
            yield "Rates: floors only, no loans from the store."
        yield from self._target_conclusions(now)
        for state in self.move_states.states_by_name.values():
            yield (
                f"Move {state.name}: {state.phase.name.lower()}, new version"
                f" at {state.share:.0%}, because {state.reason}."
            )
        for reason, count in sorted(
            self.refusal_counter.count_by_reason.items()
        ):
            yield f"Refused for {reason}: {count}."

    def _target_conclusions(self, now: float) -> Iterator[str]:
        for target in self.replica.current.items.targets:
            load = self.load_balancer.load(target)
            if load.is_ejected(now):
                yield f"Target {target.name} is ejected for failures."
            borrowed = self.load_balancer.borrowed_slots(target.name, now)
            if borrowed:
                yield f"Target {target.name}: {borrowed} slots borrowed."


ReplyFunction = Callable[[PeerMessageHandler, Message], Message]
REPLY_FUNCTIONS_BY_TYPE: dict[type, ReplyFunction] = {}


def replies_to(message_type: type) -> Callable[[ReplyFunction], ReplyFunction]:
    """Registers a function that returns the reply to a type of message."""

    def register(function: ReplyFunction) -> ReplyFunction:
        REPLY_FUNCTIONS_BY_TYPE[message_type] = function
        return function

    return register


@replies_to(Heartbeat)
def reply_to_heartbeat(
    handler: PeerMessageHandler, message: Heartbeat
) -> Heartbeat:
    """Merges a peer's heartbeat and returns this entry's."""
    handler.gossip.receive(message)
    remote = handler.gossip.is_remote(message.sender)
    return handler.gossip.heartbeat(remote=remote)


@replies_to(ConfigurationRequest)
def reply_to_configuration(
    handler: PeerMessageHandler, message: ConfigurationRequest
) -> ConfigurationReply:
    """Returns the configuration; it is empty if not newer than the peer's."""
    current = handler.replica.current
    if current.revision <= message.revision:
        return ConfigurationReply(document="")
    return ConfigurationReply(document=current.model_dump_json())


@replies_to(LoanRequest)
def reply_to_loan(
    handler: PeerMessageHandler, message: LoanRequest
) -> LoanReply:
    """Lends slots of a target that this entry does not need itself.

    Nothing is lent while this entry is leaving, or for an unknown target. The
    lender counts the slots as lent for the default timeout of a request, not
    for the TTL in the reply: a request may use its slot beyond that TTL.
    """
    target = handler.replica.current.targets_by_name.get(message.target)
    if target is None or handler.membership.leaving:
        return LoanReply(slots=0, ttl_s=0.0)
    now = handler.clock.now()
    slots = handler.load_balancer.lender.lend(
        target=message.target,
        borrower=message.sender,
        wanted=message.slots,
        free_slots=handler.load_balancer.free_slots(target),
        now=now,
        ttl_s=handler.settings.request.timeout_s,
        number=message.number,
    )
    live = handler.membership.live_names(now)
    handler.load_balancer.update_target(target, live, now)
    return LoanReply(slots=slots, ttl_s=SLOT_LOAN_TTL_S)


@replies_to(EvidenceRequest)
def reply_to_evidence(
    handler: PeerMessageHandler, message: EvidenceRequest
) -> EvidenceReply:
    """Returns this process's counters of some services."""
    return EvidenceReply(
        incarnation=handler.incarnation,
        tallies=handler.evidence.of_services(message.services),
    )


@replies_to(StatusRequest)
def reply_to_status(
    handler: PeerMessageHandler, message: StatusRequest
) -> StatusReply:
    """Returns this entry's state and decisions."""
    del message
    current = handler.replica.current
    return StatusReply(
        name=handler.settings.name,
        data_centre=handler.settings.data_centre,
        revision=current.revision,
        digest=current.digest,
        leaving=handler.membership.leaving,
        conclusions=list(handler.conclusions()),
    )


@replies_to(TimelineRequest)
def reply_to_timeline(
    handler: PeerMessageHandler, message: TimelineRequest
) -> TimelineReply:
    """Returns the events of this process after the requested stamp."""
    return TimelineReply(
        events=handler.timeline.since(message.after),
        dropped=handler.timeline.dropped,
    )
