"""Messages between daemons, and between the operator's commands and daemons.

Each message is a tagged structure, so its type and fields are validated when
it is decoded.
"""

import enum
import hashlib
import hmac

import msgspec

from kingcupvane.process.confirmation import Confirmation
from kingcupvane.process.item import Item
from kingcupvane.request.announcements import TargetInstance
from kingcupvane.request.crashes import SuspicionNotice
from kingcupvane.request.pace_state import PaceReport
from kingcupvane.request.priority_load import PriorityLoad
from kingcupvane.request.rate_limit import AccountUsage
from kingcupvane.version.canary_analysis import Tally
from kingcupvane.version.move import MoveState
from kingcupvane.version.rollout_checkpoint import (
    EvidenceMark,
    RolloutCheckpoint,
)

# Length of the BLAKE2b authentication code in front of each payload, in bytes.
MAC_BYTES = 16


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A timestamp of the hybrid logical clock.

    Attributes:
        wall_ms: Wall time, in Unix milliseconds.
        counter: Orders timestamps of the same millisecond.
    """

    wall_ms: int = 0
    counter: int = 0


class MemberBeat(msgspec.Struct, frozen=True, array_like=True):
    """The latest known beat of one entry.

    Attributes:
        name: Name of the entry.
        incarnation: Start time of its process, in Unix milliseconds.
        beat: Number of heartbeats since its start.
        leaving: Whether it has begun its graceful shutdown.
    """

    name: str
    incarnation: int
    beat: int
    leaving: bool = False


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", kw_only=True):
    """Periodic gossip of an entry's state; the reply is a heartbeat, too.

    Attributes:
        sender: Name of the sending entry.
        address: Address at which the sender listens for peers.
        revision: Configuration revision in force at the sender.
        digest: Digest of that configuration.
        beats: Latest beats of the entries of the sender's data centre;
            to another data centre, only those of the sender and of leaving
            entries.
        crashes: Requests that crash targets or are cleared of it.
        moves: States of the known moves.
        leaving_vms: VMs that the platform's VM list shows as leaving.
        confirmed_age_s: Time since the sender's revision was confirmed to be
            that of the store, in seconds.
    """

    sender: str
    address: str
    revision: int
    digest: str
    beats: list[MemberBeat] = []
    crashes: list[SuspicionNotice] = []
    moves: list[MoveState] = []
    leaving_vms: list[str] = []
    confirmed_age_s: float = float("inf")


class ConfigurationRequest(
    msgspec.Struct, frozen=True, tag="configuration-request", kw_only=True
):
    """Asks an entry for its configuration if it is newer than `revision`."""

    revision: int


class ConfigurationReply(
    msgspec.Struct, frozen=True, tag="configuration-reply", kw_only=True
):
    """The replying entry's configuration.

    Attributes:
        document: The complete configuration as JSON; empty if it is not newer
            than the requested revision.
    """

    document: str


class LoanRequest(
    msgspec.Struct, frozen=True, tag="loan-request", kw_only=True
):
    """Asks another entry for a short loan of a target's slots.

    Attributes:
        sender: Name of the borrowing entry.
        target: Name of the target.
        slots: Slots that it wants in total.
        number: Grows with each request of the sender; 0 if it numbers none.
    """

    sender: str
    target: str
    slots: int
    number: int = 0


class LoanReply(msgspec.Struct, frozen=True, tag="loan-reply", kw_only=True):
    """The loan of slots that was granted; it may be zero.

    Attributes:
        slots: Number of slots lent.
        ttl_s: Duration of the loan, from the sending of the request, in
            seconds.
    """

    slots: int
    ttl_s: float


class EvidenceReading(msgspec.Struct, frozen=True, array_like=True):
    """A marked reading of counters.

    Attributes:
        mark: The daemon keeps its counters as those of this reading.
        since: The reply also holds the counters at this earlier reading; None
            for no such counters.
    """

    mark: EvidenceMark
    since: EvidenceMark | None = None


class EvidenceRequest(
    msgspec.Struct, frozen=True, tag="evidence-request", kw_only=True
):
    """Asks a daemon for its canary-analysis counters of some services.

    Attributes:
        services: Names of the services.
        reading: Marks of the reading; None for one that no other refers to.
    """

    services: list[str]
    reading: EvidenceReading | None = None


class EvidenceReply(
    msgspec.Struct, frozen=True, tag="evidence-reply", kw_only=True
):
    """Canary-analysis counters of one process since its start.

    Attributes:
        incarnation: Start time of the process, in Unix milliseconds.
        tallies: One for each service, version and route.
        earlier: The same at the earlier reading that was asked for.
    """

    incarnation: int
    tallies: list[Tally]
    earlier: list[Tally] = []


class GatherRequest(
    msgspec.Struct, frozen=True, tag="gather-request", kw_only=True
):
    """Asks a gateway for the counters of all gateways of its data centre.

    Attributes:
        services: Names of the services.
        reading: Marks of the reading; None for one that no other refers to.
    """

    services: list[str]
    reading: EvidenceReading | None = None


class SourceEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Canary-analysis counters of one gateway since its start.

    Attributes:
        name: Name of the gateway.
        incarnation: Start time of its process, in Unix milliseconds.
        tallies: One for each service, version and route.
        earlier: The same at the earlier reading that was asked for.
    """

    name: str
    incarnation: int
    tallies: list[Tally]
    earlier: list[Tally] = []


class GatherReply(
    msgspec.Struct, frozen=True, tag="gather-reply", kw_only=True
):
    """Counters of those gateways of a data centre that replied in time."""

    sources: list[SourceEvidence]


class TrialRequest(
    msgspec.Struct, frozen=True, tag="trial-request", kw_only=True
):
    """Asks a gateway to grant the trial of a quarantined request.

    Attributes:
        sender: Name of the asking gateway.
        notice: What it knows of the request.
    """

    sender: str
    notice: SuspicionNotice


class TrialEnded(msgspec.Struct, frozen=True, tag="trial-ended", kw_only=True):
    """Tells the gateway that granted a trial that it has ended.

    Attributes:
        sender: Name of the gateway that made the trial.
        notice: What it knows of the request now.
    """

    sender: str
    notice: SuspicionNotice


class TrialReply(msgspec.Struct, frozen=True, tag="trial-reply", kw_only=True):
    """Reply to both messages about a trial.

    Attributes:
        granted: Whether the asking gateway may send the request to a target.
        notice: What the replying gateway knows of the request.
    """

    granted: bool
    notice: SuspicionNotice


class StatusRequest(
    msgspec.Struct, frozen=True, tag="status-request", kw_only=True
):
    """Asks an entry for its status."""


class StatusReply(
    msgspec.Struct, frozen=True, tag="status-reply", kw_only=True
):
    """Status of an entry.

    Attributes:
        name: Name of the entry.
        data_centre: Its data centre.
        revision: Configuration revision in force.
        digest: Digest of that configuration.
        leaving: Whether it has begun its graceful shutdown.
        conclusions: Its current state and decisions, one sentence each.
    """

    name: str
    data_centre: str
    revision: int
    digest: str
    leaving: bool
    conclusions: list[str]


class TimelineRequest(
    msgspec.Struct, frozen=True, tag="timeline-request", kw_only=True
):
    """Asks an entry for its events after a timestamp."""

    after: Stamp = Stamp()


class EventRecord(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One event of the time line.

    Attributes:
        stamp: When it happened.
        process: Name of the process.
        kind: Stable name of the kind of event.
        fields: Details, as alternating names and values.
    """

    stamp: Stamp
    process: str
    kind: str
    fields: list[str] = []


class TimelineReply(
    msgspec.Struct, frozen=True, tag="timeline-reply", kw_only=True
):
    """Events of one process.

    Attributes:
        events: The events, oldest first.
        dropped: Number of events that no longer fitted in memory.
    """

    events: list[EventRecord]
    dropped: int


class GatewayRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and addresses that a running gateway announces.

    Attributes:
        name: Name of the gateway.
        incarnation: Start time of its process, in Unix milliseconds.
        region: Its region.
        data_centre: Its data centre.
        caller_address: Address for requests of callers.
        peer_address: Address for other gateways.
        link_mbps: Bandwidth of its VM's link, in Mbit/s.
    """

    name: str
    incarnation: int
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    link_mbps: float = 0.0


class RolloutProgress(msgspec.Struct, frozen=True, array_like=True):
    """Age of a rollout, ended or not, as one gateway knows it.

    Attributes:
        service: Name of the service.
        revision: Store revision of the operator's rollout specification.
        age_s: Time since any gateway is known to have first seen the
            specification, in seconds.
    """

    service: str
    revision: int
    age_s: float


class MirrorSource(enum.StrEnum):
    """Where a gateway's mirror is updated from.

    `STORE`: it watches the store itself. `PEERS`: it copies from a peer.
    `LOST`: it has not reached the store yet, or its last read failed.
    """

    STORE = "store"
    PEERS = "peers"
    LOST = "lost"


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """A live gateway in the summary of its data centre.

    Attributes:
        name: Name of the gateway.
        incarnation: Start time of its process, in Unix milliseconds.
        caller_address: Address for requests of callers.
        peer_address: Address for other gateways.
        link_mbps: Bandwidth of its VM's link, in Mbit/s.
        ready: Whether callers may be sent to it.
        feed: Where its mirror is updated from.
    """

    name: str
    incarnation: int
    caller_address: str
    peer_address: str
    link_mbps: float
    ready: bool
    feed: MirrorSource


class DataCentreSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a data centre, sent to other data centres by one gateway.

    Attributes:
        data_centre: Name of the data centre.
        region: Its region.
        source: Name of the gateway that made the summary.
        incarnation: Start time of that gateway, in Unix milliseconds.
        stamp: When it was made; a later summary replaces an earlier one.
        members: The live gateways of the data centre.
        use: Demand and admitted requests of its callers, by client account;
            requests are counted since the source's start.
        demand: Requests a second from its callers, by service.
        in_flight: Requests of its gateways in flight, by target.
        paces: What they know of the pace of targets that are not settled.
        loads: Wanted and refused slots by service and priority.
    """

    data_centre: str
    region: str
    source: str
    incarnation: int
    stamp: Stamp
    members: list[MemberStatus]
    use: dict[str, AccountUsage]
    demand: dict[str, float]
    in_flight: dict[str, int] = {}
    paces: list[PaceReport] = []
    loads: dict[str, list[PriorityLoad]] = {}


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one source that targets began in one window.

    Attributes:
        source: Name of a gateway, or of a data centre for its sum.
        incarnation: Start time of the gateway, in Unix milliseconds; 0 for a
            data centre.
        window: Number of the window.
        begun: Requests passed on to targets, by client account.
        refused: Those among them that have not run after all.
    """

    source: str
    incarnation: int
    window: int
    begun: dict[str, int]
    refused: dict[str, int] = {}


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells another one about usage.

    Attributes:
        time_s: The sender's own time, in seconds since the Unix epoch.
        gateways: Counts of gateways; sent only within the data centre.
        data_centres: Sums of data centres.
    """

    time_s: float
    gateways: list[UsageRow] = []
    data_centres: list[UsageRow] = []


class GatewayReport(
    msgspec.Struct, frozen=True, tag="gateway-report", kw_only=True
):
    """Periodic report of a gateway to another; the reply is a report, too.

    Attributes:
        record: The sending gateway.
        ready: Whether callers may be sent to it.
        as_of: Store revision of its mirror.
        era: Era of the store to which that revision belongs.
        confirmed_age_s: Time since the store is known to have held nothing
            newer than that revision, in seconds; for gateways that don't know
            `confirmation`.
        confirmation: Latest confirmation that the sender's mirror was complete;
            left out if it knows none.
        feed: Where its mirror is updated from.
        use: Demand and admitted requests of its callers, by client account;
            like `demand`, `in_flight` and `loads`, it is sent only within the
            data centre.
        demand: Requests a second from its callers, by service.
        in_flight: Its requests in flight, by target.
        paces: What it knows of the pace of targets that are not settled; sent
            only within the data centre.
        loads: Wanted and refused slots by service and priority.
        crashes: Requests that crash targets or are cleared of it.
        leaving: Registered targets that have announced their stop.
        states: States of the known rollouts.
        rollouts: Ages of the rollouts of all specifications in the store,
            ended ones included.
        checkpoints: Latest known checkpoints of the running rollouts.
        known: Other live gateways of its data centre; sent only within it.
        summaries: Summaries of data centres for the receiver.
        alone: Whether the sender knows no live gateway yet; the reply then
            contains the summaries of all data centres.
        usage: Counts for usage reports; left out where none are sent.
    """

    record: GatewayRecord
    ready: bool
    as_of: int
    era: int = 0
    confirmed_age_s: float = float("inf")
    confirmation: Confirmation | msgspec.UnsetType = msgspec.UNSET
    feed: MirrorSource = MirrorSource.PEERS
    use: dict[str, AccountUsage] = {}
    demand: dict[str, float] = {}
    in_flight: dict[str, int] = {}
    paces: list[PaceReport] = []
    loads: dict[str, list[PriorityLoad]] = {}
    crashes: list[SuspicionNotice] = []
    leaving: list[TargetInstance] = []
    states: list[MoveState] = []
    rollouts: list[RolloutProgress] = []
    checkpoints: list[RolloutCheckpoint] = []
    known: list[GatewayRecord] = []
    summaries: list[DataCentreSummary] = []
    alone: bool = False
    usage: UsageReport | msgspec.UnsetType = msgspec.UNSET


class MirrorRequest(
    msgspec.Struct, frozen=True, tag="mirror-request", kw_only=True
):
    """Asks a peer for the changes of the store after a revision of an era."""

    after: int
    era: int = 0


class MirrorReply(
    msgspec.Struct, frozen=True, tag="mirror-reply", kw_only=True
):
    """Changes of the store, or a complete listing.

    Attributes:
        items: The changed items; all items if `whole`.
        as_of: Store revision up to which the items are complete.
        era: Era of the store to which that revision belongs.
        whole: Whether `items` is a complete listing.
        confirmed_age_s: Time since the store is known to have held nothing
            newer than `as_of`, in seconds; for gateways that don't know
            `confirmation`.
        confirmation: Latest confirmation that the sender's mirror was complete;
            left out if it knows none.
    """

    items: list[Item]
    as_of: int
    whole: bool
    era: int = 0
    confirmed_age_s: float = float("inf")
    confirmation: Confirmation | msgspec.UnsetType = msgspec.UNSET


Message = (
    Heartbeat
    | GatewayReport
    | MirrorRequest
    | MirrorReply
    | ConfigurationRequest
    | ConfigurationReply
    | LoanRequest
    | LoanReply
    | EvidenceRequest
    | EvidenceReply
    | GatherRequest
    | GatherReply
    | TrialRequest
    | TrialEnded
    | TrialReply
    | StatusRequest
    | StatusReply
    | TimelineRequest
    | TimelineReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the timestamp of the sender's hybrid logical clock."""

    stamp: Stamp
    message: Message


class FrameError(Exception):
    """A frame holds no valid message or its authentication code is wrong."""


class FrameCodec:
    """Encodes envelopes as authenticated frames and decodes them."""

    def __init__(self, *, secret: bytes):
        """Makes a codec.

        Args:
            secret: Secret shared by all daemons; empty for no authentication.
        """
        self._secret = hashlib.sha256(secret).digest() if secret else b""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, envelope: Envelope) -> bytes:
        """Returns the frame of an envelope."""
        payload = self._encoder.encode(envelope)
        return self._mac(payload) + payload

    def decode(self, frame: bytes) -> Envelope:
        """Returns the envelope in a frame.

        Raises:
            FrameError: The authentication code is wrong, or the payload is not
                a valid message.
        """
        mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise FrameError("wrong authentication code")
        try:
            return self._decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise FrameError(str(error)) from error

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, digest_size=MAC_BYTES, key=self._secret
        ).digest()
