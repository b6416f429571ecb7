"""Every setting with its default, and the reading of settings files."""

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

PORT_MAX = 65535


def check_address(value: str) -> str:
    """Returns `value` if it is an IP number and a port, as `10.0.0.1:80`.

    Raises:
        ValueError: The value has another form.
    """
    host, separator, port = value.rpartition(":")
    octets = host.split(".")
    valid_host = len(octets) == 4 and all(
        octet.isdigit() and int(octet) <= 255 for octet in octets
    )
    valid_port = port.isdigit() and 0 < int(port) <= PORT_MAX
    if not (separator and valid_host and valid_port):
        raise ValueError("expected an IP number and a port, as 10.0.0.1:8080")
    return value


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class StrictModel(BaseModel):
    """Base of all models that check what comes from outside."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class StoreSettings(StrictModel):
    """How the platform's store is reached."""

    address: Address = Field(description="Address of the store.")
    timeout_s: float = Field(
        1.0, gt=0, description="Longest wait for one call, in seconds."
    )
    watch_s: float = Field(
        5.0, gt=0, description="Longest wait of one watch call, in seconds."
    )


class TlsSettings(StrictModel):
    """TLS towards callers."""

    certificate: str = Field(
        "", description="PEM file of the certificate chain; empty for none."
    )
    private_key: str = Field("", description="PEM file of the private key.")


class LookupSettings(StrictModel):
    """Answers to the question which entry to use."""

    ttl_s: float = Field(
        5.0,
        gt=0,
        description="Seconds for which a caller may keep a look-up answer.",
    )
    count: int = Field(
        2, ge=1, description="Number of entries that an answer names."
    )


class RequestSettings(StrictModel):
    """Bounds of one request."""

    timeout_s: float = Field(
        10.0,
        gt=0,
        description="Deadline of a request that names none, in seconds.",
    )
    timeout_max_s: float = Field(
        60.0, gt=0, description="Largest deadline taken, in seconds."
    )
    body_max_bytes: int = Field(
        16 * 1024 * 1024, gt=0, description="Largest request body, in bytes."
    )
    buffered_max_bytes: int = Field(
        256 * 1024 * 1024,
        gt=0,
        description="Most bytes of request bodies held at once, in bytes.",
    )
    whole_max_bytes: int = Field(
        256 * 1024,
        ge=0,
        description=(
            "Answers up to this size are read whole before the first byte"
            " goes to the caller, in bytes."
        ),
    )


class QueueSettings(StrictModel):
    """The wait for a free slot at a target."""

    wait_s: float = Field(
        0.5, ge=0, description="Longest wait for a free slot, in seconds."
    )
    depth: int = Field(
        64, ge=1, description="Most waiting requests of one account."
    )


class RetrySettings(StrictModel):
    """Retries of safe requests."""

    share: float = Field(
        0.1,
        ge=0,
        le=1,
        description="Retries allowed as a share of requests, no unit.",
    )
    burst: int = Field(
        5, ge=0, description="Retries saved up at the most, in requests."
    )
    attempts: int = Field(3, ge=1, description="Most attempts of one request.")
    crash_limit: int = Field(
        2,
        ge=1,
        description="Crashed targets after which a request is refused.",
    )
    crash_memory_s: float = Field(
        600.0, gt=0, description="How long a crash is remembered, in seconds."
    )


class OrderSettings(StrictModel):
    """At-most-once requests."""

    window_s: float = Field(
        1.0,
        gt=0,
        description="Records whose keys were made in one window share values.",
    )
    buckets: int = Field(
        1,
        ge=0,
        description=(
            "Values per account and window; 0 keeps one value for each record."
        ),
    )
    linger_s: float = Field(
        0.02,
        ge=0,
        description="Least time between two writes of a value, in seconds.",
    )
    retention_s: float = Field(
        86400.0,
        gt=0,
        description="Age from which an idempotency key is refused, in seconds.",
    )
    skew_s: float = Field(
        5.0,
        ge=0,
        description="Assumed largest error of wall clocks, in seconds.",
    )
    answer_max_bytes: int = Field(
        1024, ge=0, description="Largest answer kept in a record, in bytes."
    )


class ShareSettings(StrictModel):
    """How an account's rate is divided over the fleet."""

    period_s: float = Field(
        2.0, gt=0, description="Time between two rebalancings, in seconds."
    )
    loan_ttl_s: float = Field(
        10.0,
        gt=0,
        description="Life of a loan that is not renewed, in seconds.",
    )
    margin_s: float = Field(
        1.0,
        gt=0,
        description="A borrower stops this long before its loan ends.",
    )


class HeartbeatSettings(StrictModel):
    """Messages between the daemons."""

    period_s: float = Field(
        0.5, gt=0, description="Time between two heartbeats, in seconds."
    )
    timeout_s: float = Field(
        1.0, gt=0, description="Longest wait for a peer's answer, in seconds."
    )
    dead_after_s: float = Field(
        2.5,
        gt=0,
        description="Silence after which a peer counts as dead, in seconds.",
    )
    role_ttl_s: float = Field(
        5.0, gt=0, description="Life of a role's lease, in seconds."
    )
    role_margin_s: float = Field(
        1.0, gt=0, description="A holder stops this long before its lease."
    )


class ConfigurationSettings(StrictModel):
    """What a daemon does with an old configuration."""

    strict_after_s: float = Field(
        0.0,
        ge=0,
        description=(
            "Keyed requests are refused when the configuration was last"
            " confirmed longer ago than this, in seconds; 0 never refuses."
        ),
    )


class TimelineSettings(StrictModel):
    """Events kept in memory."""

    capacity: int = Field(
        4096, ge=16, description="Events kept in a daemon's memory."
    )


class EntrySettings(StrictModel):
    """Settings of one entry daemon."""

    name: Name = Field(description="Name of this entry, unique in the fleet.")
    region: Name = Field(description="Region of this VM.")
    data_centre: Name = Field(description="Data centre of this VM.")
    caller_address: Address = Field(description="Address for callers.")
    peer_address: Address = Field(description="Address for other daemons.")
    metrics_address: Address | None = Field(
        None, description="Address for metrics; without it none are served."
    )
    peer_secret_file: str = Field(
        "",
        description="File with the secret that daemons share; empty for none.",
    )
    seeds: tuple[Address, ...] = Field(
        (), description="Peer addresses asked before any configuration."
    )
    store: StoreSettings = Field(description="The platform's store.")
    tls: TlsSettings = Field(TlsSettings(), description="TLS for callers.")
    lookup: LookupSettings = Field(LookupSettings(), description="Look-ups.")
    request: RequestSettings = Field(
        RequestSettings(), description="Bounds of one request."
    )
    queue: QueueSettings = Field(QueueSettings(), description="Queues.")
    retry: RetrySettings = Field(RetrySettings(), description="Retries.")
    order: OrderSettings = Field(
        OrderSettings(), description="At-most-once requests."
    )
    share: ShareSettings = Field(ShareSettings(), description="Rates.")
    heartbeat: HeartbeatSettings = Field(
        HeartbeatSettings(), description="Messages between the daemons."
    )
    configuration: ConfigurationSettings = Field(
        ConfigurationSettings(), description="Old configurations."
    )
    timeline: TimelineSettings = Field(
        TimelineSettings(), description="Events kept in memory."
    )


class OperatorSettings(StrictModel):
    """Settings of the operator's commands."""

    store: StoreSettings = Field(description="The platform's store.")
    peer_secret_file: str = Field(
        "", description="File with the secret that daemons share."
    )
    seeds: tuple[Address, ...] = Field(
        (), description="Peer addresses asked before any configuration."
    )
    apply_timeout_s: float = Field(
        12.0,
        gt=0,
        description="Longest wait for a note to be in force, in seconds.",
    )


class StoreStandinSettings(StrictModel):
    """Settings of the stand-in for the platform's store."""

    address: Address = Field(description="Address to listen on.")
    writes_per_s: float = Field(
        400.0, gt=0, description="Writes allowed, per second."
    )
    reads_per_s: float = Field(
        2000.0, gt=0, description="Reads allowed, per second."
    )


class TargetStandinSettings(StrictModel):
    """Settings of the stand-in for one target."""

    name: Name = Field(description="Name of the target.")
    address: Address = Field(description="Address to listen on.")
    version: Name = Field("v1", description="Version that it runs.")
    slots: int = Field(4, ge=1, description="Requests served at a time.")
    backlog: int = Field(
        4, ge=0, description="Requests that wait before it sheds load."
    )
    service_s: float = Field(
        0.01, ge=0, description="Time to serve a request, in seconds."
    )
    cold_s: float = Field(
        0.0, ge=0, description="Time during which it is slower, in seconds."
    )
    cold_factor: float = Field(
        5.0, ge=1, description="How many times slower it is when cold."
    )
    run_log: str = Field(
        "", description="File that gets a line for each keyed run."
    )


class TargetGroupStandinSettings(StrictModel):
    """Settings of one process that stands in for several targets."""

    targets: tuple[TargetStandinSettings, ...] = Field(
        description="The targets."
    )


class LinkStandinSettings(StrictModel):
    """Settings of the stand-in for a network link, which can be cut."""

    address: Address = Field(description="Address to listen on.")
    to: Address = Field(description="Address to forward to.")


class PlatformStoreSettings(StrictModel):
    """How a gateway reaches the platform's store."""

    address: Address = Field(description="Address of the store.")
    timeout_s: float = Field(
        1.0, gt=0, description="Longest wait for one call, in seconds."
    )
    watch_s: float = Field(
        2.5, gt=0, description="Longest wait of one watch call, in seconds."
    )
    lease_min_s: float = Field(
        1.0, ge=0, description="Shortest lease that it grants, in seconds."
    )


class GatewaySettings(StrictModel):
    """Settings of a gateway: an entry that the platform's store drives."""

    name: Name = Field(description="Name of this gateway, unique.")
    region: Name = Field(description="Its region.")
    data_centre: Name = Field(description="Its data centre.")
    ip: str = Field(description="IP number that it binds its own ports to.")
    caller_address: Address = Field(
        description="Address for requests of callers."
    )
    readiness_address: Address = Field(
        description="Address of the readiness check."
    )
    lookup_address: Address = Field(
        description="Address for the question which gateway to use."
    )
    peer_port: int = Field(
        7740, gt=0, le=PORT_MAX, description="Port for other gateways."
    )
    metrics_port: int = Field(
        7741, gt=0, le=PORT_MAX, description="Port of the metrics."
    )
    seeds: tuple[Address, ...] = Field(
        (), description="Addresses of some gateways; only their IPs count."
    )
    data_centres: dict[str, str] = Field(
        default_factory=dict, description="Region by data centre."
    )
    first_start: bool = Field(
        False, description="The whole fleet starts for the first time."
    )
    store: PlatformStoreSettings = Field(description="The platform's store.")
    contact_s: float = Field(
        3.0, gt=0, description="Silence after which a peer is lost, in seconds."
    )
    drain_s: float = Field(
        2.5, ge=0, description="Time to end work at a leaving target, seconds."
    )
    stop_grace_s: float = Field(
        6.0, gt=0, description="Time from SIGTERM to SIGKILL, in seconds."
    )
    lookup_ttl_s: float = Field(
        2.0, gt=0, description="Life of a look-up answer, in seconds."
    )
    lookup_ttl_max_s: float = Field(
        5.0, gt=0, description="Longest life that callers honour, in seconds."
    )
    retry_share: float = Field(
        0.2, ge=0, description="Further attempts per request, over the fleet."
    )
    retry_extra: float = Field(
        60.0,
        ge=0,
        description="Further attempts in each window besides, over the fleet.",
    )
    retry_window_s: float = Field(
        10.0, gt=0, description="Length of the retry window, in seconds."
    )
    cold_excess: float = Field(
        1.5, ge=1, description="Factor that a cold target's rate tolerates."
    )
    cold_extra: float = Field(
        5.0, ge=0, description="Requests that it tolerates besides, a second."
    )
    exposure_share: float = Field(
        0.1,
        ge=0,
        le=1,
        description="Largest part of a service's requests for a bad version.",
    )
    descriptors: int = Field(
        4096, gt=0, description="File descriptors of the process."
    )
    memory_mb: int = Field(300, gt=0, description="Memory limit, in MB.")
    link_mbps: float = Field(
        1000.0, gt=0, description="Bandwidth of the VM's link, in Mbit/s."
    )


Model = TypeVar("Model", bound=StrictModel)


def load(path: str, model: type[Model]) -> Model:
    """Reads and checks a TOML file.

    Args:
        path: The file.
        model: What the file must hold.

    Raises:
        UsageError: The file cannot be read or checked; the message names the
            file, the key and what was expected.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: cannot be read: {error}") from error
    return parse(text, model, source=path)


def parse(text: str, model: type[Model], *, source: str) -> Model:
    """Checks TOML text; see `load`."""
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
    """Returns one line that names each faulty key and what was expected."""
    parts = []
    for fault in error.errors(include_url=False):
        key = ".".join(str(part) for part in fault["loc"]) or "(file)"
        parts.append(f"{key}: {_describe_fault(fault['type'], fault['msg'])}")
    return "; ".join(parts)


def _describe_fault(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key, expected one of those in docs/SETTINGS.md"
    if kind == "missing":
        return "missing, expected a value"
    return message.replace("Value error, ", "")


def read_secret(path: str) -> bytes:
    """Returns the shared secret in a file, or none for an empty path.

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
        raise UsageError(f"peer_secret_file: {path} is empty")
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
    GatewaySettings,
)


def reference() -> str:
    """Returns the reference page of all settings, in Markdown."""
    lines = ["# Settings", "", "Made from the models; a test compares them."]
    for model in MODELS:
        lines.extend(["", f"## {model.__name__}", "", model.__doc__ or "", ""])
        lines.extend(["| key | default | meaning |", "| --- | --- | --- |"])
        for name, field in model.model_fields.items():
            lines.append(_reference_row(name, field))
    return "\n".join(lines) + "\n"


def _reference_row(name: str, field: FieldInfo) -> str:
    default = "(needed)" if field.is_required() else repr(field.default)
    if isinstance(field.default, StrictModel):
        default = f"see {type(field.default).__name__}"
    return f"| `{name}` | {default} | {field.description} |"
