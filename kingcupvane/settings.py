"""Settings with their defaults, and the loading of settings files."""

import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from pydantic.fields import FieldInfo

from kingcupvane.errors import UsageError

# Descriptors of a process that the platform keeps for files.
FILE_DESCRIPTORS = 200
PORT_MAX = 65535


def check_address(value: str) -> str:
    """Returns `value` if it is an IPv4 address and port, as `10.0.0.1:80`.

    Raises:
        ValueError: The value is not of that form.
    """
    host, separator, port = value.rpartition(":")
    octets = host.split(".")
    valid_host = len(octets) == 4 and all(
        octet.isdigit() and int(octet) <= 255 for octet in octets
    )
    valid_port = port.isdigit() and 0 < int(port) <= PORT_MAX
    if not (separator and valid_host and valid_port):
        raise ValueError("expected an IPv4 address and port, as 10.0.0.1:8080")
    return value


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class StrictModel(BaseModel):
    """Base of models that validate external input; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class StoreSettings(StrictModel):
    """Connection of an entry or operator command to the platform's store."""

    address: Address = Field(description="Address of the store.")
    timeout_s: float = Field(
        1.0, gt=0, description="Timeout of one call, in seconds."
    )
    watch_s: float = Field(
        5.0,
        gt=0,
        description="Longest time that a watch call waits, in seconds.",
    )


class TlsSettings(StrictModel):
    """TLS on the callers' address."""

    certificate: str = Field(
        "", description="PEM file of the certificate chain; empty for no TLS."
    )
    private_key: str = Field("", description="PEM file of the private key.")


class LookupSettings(StrictModel):
    """Look-up answers, which tell callers which entries to use."""

    ttl_s: float = Field(
        5.0,
        gt=0,
        description="Time for which callers may cache an answer, in seconds.",
    )
    count: int = Field(
        2, ge=1, description="Number of entries that an answer names."
    )


class RequestSettings(StrictModel):
    """Limits of requests."""

    timeout_s: float = Field(
        10.0,
        gt=0,
        description="Timeout of requests that set none, in seconds.",
    )
    timeout_max_s: float = Field(
        60.0, gt=0, description="Longest timeout that is granted, in seconds."
    )
    body_max_bytes: int = Field(
        16 * 1024 * 1024, gt=0, description="Largest request body, in bytes."
    )
    buffered_max_bytes: int = Field(
        256 * 1024 * 1024,
        gt=0,
        description="Total size of request bodies in memory, in bytes.",
    )
    whole_max_bytes: int = Field(
        256 * 1024,
        ge=0,
        description=(
            "Answers up to this size are read completely before the first"
            " byte is sent to the caller, in bytes."
        ),
    )


class QueueSettings(StrictModel):
    """Queues for a free slot at a target."""

    wait_s: float = Field(
        0.5, ge=0, description="Longest time in a queue, in seconds."
    )
    depth: int = Field(
        64, ge=1, description="Most queued requests of one account."
    )


class RetrySettings(StrictModel):
    """Retry budget, and limits on requests that crash targets."""

    share: float = Field(
        0.1,
        ge=0,
        le=1,
        description="Retries allowed per request, as a share, 0 to 1.",
    )
    burst: int = Field(
        5, ge=0, description="Most retries that can be saved up, in requests."
    )
    attempts: int = Field(3, ge=1, description="Most attempts of one request.")
    crash_limit: int = Field(
        2,
        ge=1,
        description="Target crashes from which on copies are tried singly.",
    )
    crash_memory_s: float = Field(
        600.0,
        gt=0,
        description="Time for which a crash is remembered, in seconds.",
    )


class OrderSettings(StrictModel):
    """Records of at-most-once requests in the store."""

    window_s: float = Field(
        1.0,
        gt=0,
        description=(
            "Length of a window, in seconds; records of keys made in one"
            " window share store values."
        ),
    )
    buckets: int = Field(
        1,
        ge=0,
        description=(
            "Store values per account and window; 0 stores each record in a"
            " value of its own."
        ),
    )
    linger_s: float = Field(
        0.02,
        ge=0,
        description="Shortest time between two writes of a value, in seconds.",
    )
    retention_s: float = Field(
        86400.0,
        gt=0,
        description=(
            "Age above which an idempotency key is refused, in seconds."
        ),
    )
    skew_s: float = Field(
        5.0,
        ge=0,
        description="Largest assumed error of wall clocks, in seconds.",
    )
    answer_max_bytes: int = Field(
        1024, ge=0, description="Largest answer kept in a record, in bytes."
    )


class ShareSettings(StrictModel):
    """Division of the accounts' rates over the fleet."""

    period_s: float = Field(
        2.0, gt=0, description="Mean time between two rebalancings, in seconds."
    )
    loan_ttl_s: float = Field(
        10.0,
        gt=0,
        description="Lifetime of a loan that is not renewed, in seconds.",
    )
    margin_s: float = Field(
        1.0,
        gt=0,
        description=(
            "A holder stops using a loan this long before it ends, in seconds."
        ),
    )


class HeartbeatSettings(StrictModel):
    """Heartbeats between daemons, and leases of roles."""

    period_s: float = Field(
        0.5, gt=0, description="Time between two heartbeats, in seconds."
    )
    timeout_s: float = Field(
        1.0, gt=0, description="Timeout of a peer's answer, in seconds."
    )
    dead_after_s: float = Field(
        2.5,
        gt=0,
        description="Silence after which a peer counts as dead, in seconds.",
    )
    role_ttl_s: float = Field(
        5.0, gt=0, description="Time to live of a role's lease, in seconds."
    )
    role_margin_s: float = Field(
        1.0,
        gt=0,
        description=(
            "A holder gives up its role this long before the lease ends, in"
            " seconds."
        ),
    )


class ConfigurationSettings(StrictModel):
    """Use of a configuration that may be out of date."""

    strict_after_s: float = Field(
        0.0,
        ge=0,
        description=(
            "Requests with a key are refused if the configuration was last"
            " confirmed longer ago than this, in seconds; 0 for no limit."
        ),
    )


class TimelineSettings(StrictModel):
    """Time line of a daemon's events, kept in memory."""

    capacity: int = Field(
        4096, ge=16, description="Most events kept in a daemon's memory."
    )


class EntrySettings(StrictModel):
    """Settings of one entry daemon."""

    name: Name = Field(description="Name of this entry, unique in the fleet.")
    region: Name = Field(description="Region of this VM.")
    data_centre: Name = Field(description="Data centre of this VM.")
    caller_address: Address = Field(description="Address for callers.")
    peer_address: Address = Field(description="Address for other daemons.")
    metrics_address: Address | None = Field(
        None, description="Address for metrics; if unset, none are served."
    )
    connections_max: int = Field(
        2000, gt=0, description="Most open connections of callers."
    )
    peer_secret_file: str = Field(
        "",
        description="File of the daemons' shared secret; empty for none.",
    )
    seeds: tuple[Address, ...] = Field(
        (), description="Peer addresses to use before a configuration is known."
    )
    store: StoreSettings = Field(description="The platform's store.")
    tls: TlsSettings = Field(TlsSettings(), description="TLS for callers.")
    lookup: LookupSettings = Field(LookupSettings(), description="Look-ups.")
    request: RequestSettings = Field(
        RequestSettings(), description="Limits of requests."
    )
    queue: QueueSettings = Field(QueueSettings(), description="Queues.")
    retry: RetrySettings = Field(RetrySettings(), description="Retries.")
    order: OrderSettings = Field(
        OrderSettings(), description="Records of at-most-once requests."
    )
    share: ShareSettings = Field(
        ShareSettings(), description="Division of rates."
    )
    heartbeat: HeartbeatSettings = Field(
        HeartbeatSettings(), description="Heartbeats and leases of roles."
    )
    configuration: ConfigurationSettings = Field(
        ConfigurationSettings(), description="Out-of-date configurations."
    )
    timeline: TimelineSettings = Field(
        TimelineSettings(), description="Time line of events."
    )


class OperatorSettings(StrictModel):
    """Settings of the operator's commands."""

    store: StoreSettings = Field(description="The platform's store.")
    peer_secret_file: str = Field(
        "", description="File of the daemons' shared secret; empty for none."
    )
    seeds: tuple[Address, ...] = Field(
        (), description="Peer addresses to use before a configuration is known."
    )
    apply_timeout_s: float = Field(
        12.0,
        gt=0,
        description="Longest wait until a note is in force, in seconds.",
    )


class StoreStandinSettings(StrictModel):
    """Settings of the stand-in for the platform's store."""

    address: Address = Field(description="Address to listen on.")
    writes_per_s: float = Field(
        400.0, gt=0, description="Most writes per second."
    )
    reads_per_s: float = Field(
        2000.0, gt=0, description="Most reads per second."
    )


class TargetStandinSettings(StrictModel):
    """Settings of the stand-in for one target."""

    name: Name = Field(description="Name of the target.")
    address: Address = Field(description="Address to listen on.")
    version: Name = Field("v1", description="Version of its software.")
    slots: int = Field(4, ge=1, description="Requests served concurrently.")
    backlog: int = Field(
        4, ge=0, description="Requests that may wait; it sheds load above that."
    )
    service_s: float = Field(
        0.01, ge=0, description="Time to serve a request, in seconds."
    )
    cold_s: float = Field(
        0.0,
        ge=0,
        description="Time for which it is cold after start, in seconds.",
    )
    cold_factor: float = Field(
        5.0, ge=1, description="Factor on the service time while cold."
    )
    run_log: str = Field(
        "", description="Log file that gets one line for each run with a key."
    )


class TargetGroupStandinSettings(StrictModel):
    """Settings of the stand-in for several targets in one process."""

    targets: tuple[TargetStandinSettings, ...] = Field(
        description="The targets."
    )


class LinkStandinSettings(StrictModel):
    """Settings of the stand-in for a network link that can be cut."""

    address: Address = Field(description="Address to listen on.")
    to: Address = Field(description="Address to forward to.")


class PlatformStoreSettings(StrictModel):
    """Connection of a gateway to the platform's store."""

    address: Address = Field(description="Address of the store.")
    timeout_s: float = Field(
        1.0, gt=0, description="Timeout of one call, in seconds."
    )
    watch_s: float = Field(
        1.2,
        gt=0,
        description="Longest time that a watch call waits, in seconds.",
    )
    lease_min_s: float = Field(
        1.0,
        ge=0,
        description="Shortest lease that the store grants, in seconds.",
    )


class UsageSettings(StrictModel):
    """Reports of the fleet's usage to the platform, one for each window."""

    address: Address = Field(description="Address of the platform's receiver.")
    duties: tuple[str, ...] = Field(
        (), description="Duties that the platform asks for, in its own words."
    )
    calls_per_s: float = Field(
        10.0,
        gt=0,
        description="Calls a second that the platform takes from the fleet.",
    )
    window_s: float = Field(
        5.0, gt=0, description="Length of a window, in seconds."
    )
    late_s: float = Field(
        10.0,
        gt=0,
        description="Time after a window's end for its report, in seconds.",
    )
    lease_s: float = Field(
        3.0, gt=0, description="Lease of the reporting gateway, in seconds."
    )


class GatewaySettings(StrictModel):
    """Settings of a gateway, which is configured by the platform's store."""

    name: Name = Field(description="Name of this gateway, unique in the fleet.")
    region: Name = Field(description="Region of this VM.")
    data_centre: Name = Field(description="Data centre of this VM.")
    ip: str = Field(description="IP address for the peer and metrics ports.")
    caller_address: Address = Field(description="Address for callers.")
    readiness_address: Address = Field(
        description="Address of the readiness check."
    )
    lookup_address: Address = Field(
        description="Address for look-ups of gateways."
    )
    peer_port: int = Field(
        7740, gt=0, le=PORT_MAX, description="Port for other gateways."
    )
    metrics_port: int = Field(
        7741, gt=0, le=PORT_MAX, description="Port for metrics."
    )
    seeds: tuple[Address, ...] = Field(
        (), description="Addresses of some gateways; their ports are ignored."
    )
    data_centres: dict[str, str] = Field(
        default_factory=dict, description="Region by data centre."
    )
    first_start: bool = Field(
        False, description="Whether the whole fleet starts for the first time."
    )
    store: PlatformStoreSettings = Field(description="The platform's store.")
    usage: UsageSettings | None = Field(
        None, description="Usage reports; see UsageSettings. None for none."
    )
    contact_s: float = Field(
        3.0, gt=0, description="Silence after which a peer is lost, in seconds."
    )
    drain_s: float = Field(
        2.5,
        ge=0,
        description="Time to finish requests at a leaving target, in seconds.",
    )
    stop_grace_s: float = Field(
        6.0, gt=0, description="Time from SIGTERM to SIGKILL, in seconds."
    )
    lookup_ttl_s: float = Field(
        2.0,
        gt=0,
        description="Time for which callers may cache an answer, in seconds.",
    )
    lookup_ttl_max_s: float = Field(
        5.0,
        gt=0,
        description="Longest time that callers cache an answer, in seconds.",
    )
    retry_share: float = Field(
        0.2, ge=0, description="Retries allowed per request, over the fleet."
    )
    retry_extra: float = Field(
        60.0,
        ge=0,
        description=(
            "Retries allowed in each window beyond `retry_share`, over the"
            " fleet."
        ),
    )
    retry_window_s: float = Field(
        10.0, gt=0, description="Window of the retry budget, in seconds."
    )
    cold_excess: float = Field(
        1.5,
        ge=1,
        description="Factor on its cold rate that a target tolerates.",
    )
    cold_extra: float = Field(
        5.0,
        ge=0,
        description="Requests per second tolerated beyond `cold_excess`.",
    )
    exposure_share: float = Field(
        0.1,
        ge=0,
        le=1,
        description="Largest share of a service's requests for a bad version.",
    )
    descriptors: int = Field(
        4096, gt=0, description="File descriptor limit of the process."
    )
    memory_mb: int = Field(
        300, gt=0, description="Memory limit of the process, in MB."
    )
    base_memory_mb: int = Field(
        88,
        ge=0,
        description=(
            "Memory of the process without callers, in MB; the rest of"
            " `memory_mb` is the budget for what it holds for them."
        ),
    )
    connections_max: int | None = Field(
        None,
        gt=0,
        description=(
            "Most open connections of callers; unset for half of the sockets"
            " that `descriptors` leaves."
        ),
    )
    link_mbps: float = Field(
        1000.0, gt=0, description="Bandwidth of the VM's link, in Mbit/s."
    )

    @property
    def connections_allowed(self) -> int:
        """Most open connections of callers.

        The other sockets are for targets, gateways and the store.
        """
        if self.connections_max is not None:
            return self.connections_max
        return max(1, self._sockets // 2)

    @property
    def lookup_connections_allowed(self) -> int:
        """Most open connections for look-ups, which are short."""
        return max(1, self._sockets // 8)

    @property
    def _sockets(self) -> int:
        """Descriptors that are left for sockets."""
        return self.descriptors - min(FILE_DESCRIPTORS, self.descriptors // 2)


Model = TypeVar("Model", bound=StrictModel)


def load(path: str, model: type[Model]) -> Model:
    """Reads and validates a TOML file.

    Args:
        path: Path of the file.
        model: Model of its content.

    Raises:
        UsageError: The file cannot be read or is not valid; the message names
            the file, the key and what was expected.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: cannot be read: {error}") from error
    return parse(text, model, source=path)


def parse(text: str, model: type[Model], *, source: str) -> Model:
    """Parses and validates TOML text, as `load` does with a file.

    Args:
        text: The TOML text.
        model: Model of its content.
        source: Where the text comes from; for error messages.

    Raises:
        UsageError: The text is not valid; the message names the source, the key
            and what was expected.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise UsageError(f"{source}: not TOML: {error}") from error
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise UsageError(
            f"{source}: {describe_validation_error(error)}"
        ) from error


def describe_validation_error(error: ValidationError) -> str:
    """Returns one line that names each invalid key and what was expected."""
    parts = []
    for fault in error.errors(include_url=False):
        key = ".".join(str(part) for part in fault["loc"]) or "(file)"
        parts.append(f"{key}: {_describe_fault(fault['type'], fault['msg'])}")
    return "; ".join(parts)


def _describe_fault(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key, expected a key listed in docs/SETTINGS.md"
    if kind == "missing":
        return "missing, expected a value"
    return message.replace("Value error, ", "")


def read_secret(path: str) -> bytes:
    """Returns the shared secret in a file; empty for an empty path.

    Raises:
        UsageError: The file cannot be read or is empty.
    """
    if not path:
        return b""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise UsageError(
            f"peer_secret_file: cannot be read: {error}"
        ) from error
    if not secret:
        raise UsageError(
            f"peer_secret_file: {path} is empty, expected a secret"
        )
    return secret


MODELS: tuple[type[StrictModel], ...] = (
    EntrySettings,
    StoreSettings,
    TlsSettings,
    LookupSettings,
    RequestSettings,
    QueueSettings,
    RetrySettings,
    OrderSettings,
    ShareSettings,
    HeartbeatSettings,
    ConfigurationSettings,
    TimelineSettings,
    OperatorSettings,
    StoreStandinSettings,
    TargetStandinSettings,
    TargetGroupStandinSettings,
    LinkStandinSettings,
    PlatformStoreSettings,
    UsageSettings,
    GatewaySettings,
)


def reference() -> str:
    """Returns the reference page of all settings in Markdown."""
    lines = [
        "# Settings",
        "",
        "Generated from the settings models; a test compares the two.",
    ]
    for model in MODELS:
        lines.extend(["", f"## {model.__name__}", "", model.__doc__ or "", ""])
        lines.extend(["| key | default | meaning |", "| --- | --- | --- |"])
        for name, field in model.model_fields.items():
            lines.append(_reference_row(name, field))
    return "\n".join(lines) + "\n"


def _reference_row(name: str, field: FieldInfo) -> str:
    default = "(required)" if field.is_required() else repr(field.default)
    if isinstance(field.default, StrictModel):
        default = f"see {type(field.default).__name__}"
    return f"| `{name}` | {default} | {field.description} |"
