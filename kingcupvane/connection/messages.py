"""Messages between daemons, and between the operator's commands and daemons.

Each is a tagged structure, so that what arrives is checked when decoded.
"""

import enum
import hashlib
import hmac

import msgspec

from kingcupvane.process.item import Item
from kingcupvane.request.quota import AccountUsage
from kingcupvane.version.canary_analysis import Tally
from kingcupvane.version.move import MoveState

MAC_BYTES = 16


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical time: wall milliseconds and a counter."""

    wall_ms: int = 0
    counter: int = 0


class MemberBeat(msgspec.Struct, frozen=True, array_like=True):
    """The latest that is known of one daemon.

    Attributes:
        name: Name of the entry.
        incarnation: Start time of its process, in Unix milliseconds.
        beat: Heartbeats since its start.
        leaving: It has begun its graceful shutdown.
    """

    name: str
    incarnation: int
    beat: int
    leaving: bool = False


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", kw_only=True):
    """Periodic push of what a daemon knows; the reply is one, too.

    Attributes:
        sender: Name of the sending entry.
        address: Its address for peers.
        revision: Configuration revision that it has in force.
        digest: Digest of that configuration.
        beats: Daemons of its data centre.
        crashes: Requests in whose presence targets died.
        moves: What is decided about moves.
        leaving_vms: Names that the platform's VM list calls leaving.
        confirmed_age_s: Seconds since the sender's revision was known to be
            the store's.
    """

    sender: str
    address: str
    revision: int
    digest: str
    beats: list[MemberBeat] = []
    crashes: list[str] = []
    moves: list[MoveState] = []
    leaving_vms: list[str] = []
    confirmed_age_s: float = float("inf")


class ConfigurationRequest(
    msgspec.Struct, frozen=True, tag="configuration-request", kw_only=True
):
    """Asks a peer for its configuration if that is newer."""

    revision: int


class ConfigurationReply(
    msgspec.Struct, frozen=True, tag="configuration-reply", kw_only=True
):
    """A whole configuration as JSON, empty when it is not newer."""

    document: str


class LoanRequest(
    msgspec.Struct, frozen=True, tag="loan-request", kw_only=True
):
    """Asks another entry to lend slots of a target for a short time."""

    sender: str
    target: str
    slots: int


class LoanReply(msgspec.Struct, frozen=True, tag="loan-reply", kw_only=True):
    """Slots that were lent, for `ttl_s` seconds from the request on."""

    slots: int
    ttl_s: float


class EvidenceRequest(
    msgspec.Struct, frozen=True, tag="evidence-request", kw_only=True
):
    """Asks an entry for its counters of some services."""

    services: list[str]


class EvidenceReply(
    msgspec.Struct, frozen=True, tag="evidence-reply", kw_only=True
):
    """Counters of one process since its start.

    Attributes:
        incarnation: Start time of the process, in Unix milliseconds.
        tallies: One for each service, version and route.
    """

    incarnation: int
    tallies: list[Tally]


class GatherRequest(
    msgspec.Struct, frozen=True, tag="gather-request", kw_only=True
):
    """Asks a gateway for the counters of all gateways of its data centre."""

    services: list[str]


class SourceEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Counters of one gateway since its start.

    Attributes:
        name: Its name.
        incarnation: Start time of its process, in Unix milliseconds.
        tallies: One for each service, version and route.
    """

    name: str
    incarnation: int
    tallies: list[Tally]


class GatherReply(
    msgspec.Struct, frozen=True, tag="gather-reply", kw_only=True
):
    """Counters of the gateways of one data centre that answered."""

    sources: list[SourceEvidence]


class StatusRequest(
    msgspec.Struct, frozen=True, tag="status-request", kw_only=True
):
    """Asks a daemon what it does."""


class StatusReply(
    msgspec.Struct, frozen=True, tag="status-reply", kw_only=True
):
    """What a daemon does and has concluded.

    Attributes:
        name: Name of the entry.
        data_centre: Its data centre.
        revision: Configuration revision in force.
        digest: Digest of that configuration.
        leaving: It has begun its graceful shutdown.
        conclusions: One plain sentence for each thing that it has concluded.
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
    """Asks a daemon for its events after a stamp."""

    after: Stamp = Stamp()


class EventRecord(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One event of the time line.

    Attributes:
        stamp: When it happened.
        process: Name of the process.
        kind: Stable word for the kind of event.
        fields: Further facts, as alternating names and values.
    """

    stamp: Stamp
    process: str
    kind: str
    fields: list[str] = []


class TimelineReply(
    msgspec.Struct, frozen=True, tag="timeline-reply", kw_only=True
):
    """Events of one process, oldest first."""

    events: list[EventRecord]
    dropped: int


class GatewayRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A running gateway, as it presents itself.

    Attributes:
        name: Its name.
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
    """What a gateway knows of a rollout that runs.

    Attributes:
        service: Name of the service.
        revision: Store revision of the order.
        age_s: Seconds since the order, as far as is known.
    """

    service: str
    revision: int
    age_s: float


class StoreSource(enum.StrEnum):
    """Where a gateway's copy of the store comes from.

    `LOST` is a gateway that would watch the store and cannot reach it.
    """

    STORE = "store"
    PEERS = "peers"
    LOST = "lost"


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """A live gateway in the summary of its data centre.

    Attributes:
        name: Its name.
        incarnation: Start time of its process, in Unix milliseconds.
        caller_address: Address for requests of callers.
        peer_address: Address for other gateways.
        link_mbps: Bandwidth of its VM's link, in Mbit/s.
        ready: Whether callers may be sent to it.
        feed: Where its copy of the store comes from.
    """

    name: str
    incarnation: int
    caller_address: str
    peer_address: str
    link_mbps: float
    ready: bool
    feed: StoreSource


class DataCentreSummary(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway tells other data centres of its own.

    Attributes:
        data_centre: The data centre.
        region: Its region.
        source: Name of the gateway that summed it up.
        incarnation: Start time of that gateway, in Unix milliseconds.
        stamp: When it did; a later summary replaces an earlier one.
        members: The live gateways.
        use: What callers there ask for and get, by client account; requests
            are counted since the source has started.
        demand: Requests a second that callers there send, by service.
    """

    data_centre: str
    region: str
    source: str
    incarnation: int
    stamp: Stamp
    members: list[MemberStatus]
    use: dict[str, AccountUsage]
    demand: dict[str, float]


class GatewayReport(
    msgspec.Struct, frozen=True, tag="gateway-report", kw_only=True
):
    """Periodic news of one gateway to another; the answer is one, too.

    Attributes:
        record: Who sends it.
        ready: Whether callers may be sent to it.
        as_of: Store revision of its copy of the store.
        feed: Where its copy of the store comes from.
        use: What its callers ask for and get, by client account; only told
            within the data centre, like `demand`.
        demand: Requests a second that its callers send, by service.
        crashes: Requests in whose presence targets died.
        states: What is decided about rollouts.
        rollouts: How long rollouts run.
        known: Gateways of its data centre that it has heard of lately.
        summaries: Data centres that the receiver is to hear of from here.
        alone: The sender knows nobody of its data centre yet, and asks for
            the summaries of all.
    """

    record: GatewayRecord
    ready: bool
    as_of: int
    feed: StoreSource = StoreSource.PEERS
    use: dict[str, AccountUsage] = {}
    demand: dict[str, float] = {}
    crashes: list[str] = []
    states: list[MoveState] = []
    rollouts: list[RolloutProgress] = []
    known: list[GatewayRecord] = []
    summaries: list[DataCentreSummary] = []
    alone: bool = False


class MirrorRequest(
    msgspec.Struct, frozen=True, tag="mirror-request", kw_only=True
):
    """Asks a peer for the changes of the store after a revision."""

    after: int


class MirrorReply(
    msgspec.Struct, frozen=True, tag="mirror-reply", kw_only=True
):
    """Changes of the store.

    Attributes:
        items: The changes, or all items when `whole`.
        as_of: Store revision up to which they are complete.
        whole: Whether this is a complete listing.
    """

    items: list[Item]
    as_of: int
    whole: bool


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
    | StatusRequest
    | StatusReply
    | TimelineRequest
    | TimelineReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the sender's hybrid logical time."""

    stamp: Stamp
    message: Message


class FrameError(Exception):
    """Bytes that are no message, or whose authentication code is wrong."""


class FrameCodec:
    """Turns envelopes into authenticated frames and back."""

    def __init__(self, *, secret: bytes):
        """Makes a codec.

        Args:
            secret: The secret that all daemons share; empty for none.
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
            FrameError: The frame is not authentic or holds no message.
        """
        mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise FrameError("wrong authentication code")
        try:
            return self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise FrameError(str(error)) from error

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, digest_size=MAC_BYTES, key=self._secret
        ).digest()
