"""Decodes and encodes the records in the platform's store."""

from collections.abc import Callable, Mapping
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from kingcupvane.process.catalog import (
    CatalogUpdate,
    EvacuationUpdate,
    GatewayUpdate,
    PlanUpdate,
    RolloutCheckpointUpdate,
    RolloutRecordUpdate,
    RolloutSpecUpdate,
    TargetUpdate,
    UnreadableItem,
)
from kingcupvane.process.item import Item
from kingcupvane.process.replication import GATEWAY_RECORD_PREFIX
from kingcupvane.settings import check_address, describe_validation_error
from kingcupvane.version.plan import (
    AccountPlan,
    CallerLimits,
    Destination,
    RegisteredTarget,
    RolloutRecord,
    RolloutRecordState,
    RolloutSpec,
    RouteKind,
    RoutePlan,
    ServicePlan,
    TrafficPlan,
)
from kingcupvane.version.rollout_checkpoint import (
    CHECKPOINT_PREFIX,
    decode_checkpoint,
)

CONFIGURATION_KEY = "op/config"
ROLLOUT_SPEC_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
ROLLOUT_RECORD_PREFIX = "status/rollout/"
# The configuration's version is a hexadecimal number.
VERSION_RADIX = 16

# A route of any other kind counts as non-idempotent.
ROUTE_KINDS_BY_WIRE_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "upload": RouteKind.UPLOAD,
    "download": RouteKind.DOWNLOAD,
}
ROLLOUT_STATES_BY_WIRE_NAME = {
    "running": RolloutRecordState.RUNNING,
    "succeeded": RolloutRecordState.COMPLETED,
    "rolled_back": RolloutRecordState.TAKEN_BACK,
}
WIRE_NAMES_BY_ROLLOUT_STATE = {
    state: wire_name for wire_name, state in ROLLOUT_STATES_BY_WIRE_NAME.items()
}


class WireModel(BaseModel):
    """Base of the models of the operator's configuration.

    Ignores unknown fields and converts values, such as a number in quotes.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)


class StrictWireModel(BaseModel):
    """Base of the models of all other records.

    Ignores unknown fields and rejects values of the wrong type, since programs
    outside this project may write such records, too.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


FiniteNumber = Annotated[float, Field(allow_inf_nan=False)]


class WireBackend(WireModel):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: FiniteNumber = Field(1.0, ge=0)


class WireRoute(WireModel):
    """`spec` of a route."""

    host: str
    pathPrefix: str  # noqa: N815
    kind: str
    timeoutS: FiniteNumber = 0.0  # noqa: N815
    goalLatencyS: FiniteNumber = 0.0  # noqa: N815
    priority: int = 0
    service: str | None = None
    backends: tuple[WireBackend, ...] = Field(())
    maxAttempts: int = 1  # noqa: N815
    public: bool = False
    sticky: bool = False
    homeRegions: tuple[str, ...] = Field(())  # noqa: N815


class WireService(WireModel):
    """`spec` of a service."""

    healthPath: str = "/"  # noqa: N815
    maxConns: int = 0  # noqa: N815
    coldStartS: FiniteNumber = 0.0  # noqa: N815
    coldPerS: FiniteNumber = 0.0  # noqa: N815


class WireTenant(WireModel):
    """`spec` of a client account."""

    apiKeys: tuple[str, ...] = Field(())  # noqa: N815
    priority: int | None = None
    ratePerS: FiniteNumber = 0.0  # noqa: N815
    burst: FiniteNumber = 0.0
    homeRegions: tuple[str, ...] = Field(())  # noqa: N815


class WireLimits(WireModel):
    """`spec` of the limits on callers' requests and connections."""

    maxHeaderBytes: int = 16 * 1024  # noqa: N815
    maxBodyBytes: int = 64 * 1024 * 1024  # noqa: N815
    headerTimeoutS: FiniteNumber = 3.0  # noqa: N815
    idleTimeoutS: FiniteNumber = 15.0  # noqa: N815


class WireResource(WireModel):
    """One resource; `resourceKind` determines the type of `spec`."""

    resourceKind: str  # noqa: N815
    metadata: dict[str, Any] = {}
    spec: dict[str, Any] = {}


class WireConfig(WireModel):
    """The operator's complete configuration."""

    version: str
    resources: tuple[WireResource, ...]


# Bounds of the numbers in a target's record, which other programs may write,
# too. A target with too many slots would draw all requests to itself, one that
# stays cold for ever would get none, and frames between gateways hold no larger
# integers.
SLOTS_MAX = 1024
COLD_LEFT_MAX_S = 3600.0
INTEGER_MAX = 2**63 - 1


class WireInfo(StrictWireModel):
    """`info` of a target's record: properties that stay the same."""

    service: str
    version: str = ""
    zone: str
    slots: int = Field(1, ge=1, le=SLOTS_MAX)


class WireStatus(StrictWireModel):
    """`status` of a target's record: properties that change."""

    state: str
    sequence: int = Field(0, ge=0, le=INTEGER_MAX)
    coldLeftS: FiniteNumber = Field(  # noqa: N815
        0.0, ge=0.0, le=COLD_LEFT_MAX_S
    )


class WireServer(StrictWireModel):
    """A target's record."""

    address: str
    info: WireInfo
    status: WireStatus
    born: int = Field(0, ge=0, le=INTEGER_MAX)


class WireRolloutSpec(StrictWireModel):
    """The operator's specification of a rollout."""

    service: str
    targetVersion: str  # noqa: N815
    durationS: FiniteNumber  # noqa: N815


class WireRolloutRecord(StrictWireModel):
    """The state of a rollout, as reported to the operator."""

    state: str
    targetVersion: str  # noqa: N815


# Whether a target in this state is leaving.
IS_LEAVING_BY_TARGET_STATE = {"ready": False, "draining": True}
Decoded = TypeVar("Decoded")


def decode_plan(item: Item) -> Result[TrafficPlan, str]:
    """Returns the plan in the operator's configuration, or the error in it."""
    try:
        config = WireConfig.model_validate_json(item.value)
        return Ok(_make_plan(config))
    except ValidationError as error:
        return Err(describe_validation_error(error))
    except ValueError as error:
        return Err(repr(error))


def _make_plan(config: WireConfig) -> TrafficPlan:
    routes = []
    services = {}
    accounts = {}
    limits = CallerLimits()
    for resource in config.resources:
        name = resource.metadata.get("name", "")
        match resource.resourceKind:
            case "routes":
                spec = WireRoute.model_validate(resource.spec)
                routes.append(_make_route(name, spec))
            case "services":
                spec = WireService.model_validate(resource.spec)
                services[name] = _make_service(name, spec)
            case "tenants":
                spec = WireTenant.model_validate(resource.spec)
                accounts[name] = _make_account(name, spec)
            case "limits":
                spec = WireLimits.model_validate(resource.spec)
                limits = _make_limits(spec)
    return TrafficPlan(
        number=int(config.version, VERSION_RADIX),
        routes=tuple(routes),
        services_by_name=services,
        accounts_by_name=accounts,
        limits=limits,
    )


def _make_route(name: str, spec: WireRoute) -> RoutePlan:
    destinations = tuple(
        Destination(service=backend.service, weight=backend.weight)
        for backend in spec.backends
    )
    if spec.service is not None:
        destinations = (Destination(service=spec.service),)
    return RoutePlan(
        name=name,
        host=spec.host,
        prefix=spec.pathPrefix,
        kind=ROUTE_KINDS_BY_WIRE_NAME.get(spec.kind, RouteKind.NON_IDEMPOTENT),
        timeout_s=spec.timeoutS,
        latency_objective_s=spec.goalLatencyS,
        priority=spec.priority,
        destinations=destinations,
        attempts_max=spec.maxAttempts,
        is_public=spec.public,
        sticky=spec.sticky,
        regions=frozenset(spec.homeRegions),
    )


def _make_service(name: str, spec: WireService) -> ServicePlan:
    return ServicePlan(
        name=name,
        health_path=spec.healthPath,
        connections_max=spec.maxConns,
        cold_s=spec.coldStartS,
        cold_rate=spec.coldPerS,
    )


def _make_account(name: str, spec: WireTenant) -> AccountPlan:
    return AccountPlan(
        name=name,
        keys=frozenset(spec.apiKeys),
        priority=spec.priority,
        rate=spec.ratePerS,
        burst=spec.burst,
        regions=frozenset(spec.homeRegions),
    )


def _make_limits(spec: WireLimits) -> CallerLimits:
    return CallerLimits(
        header_max_bytes=spec.maxHeaderBytes,
        body_max_bytes=spec.maxBodyBytes,
        header_timeout_s=spec.headerTimeoutS,
        idle_timeout_s=spec.idleTimeoutS,
    )


def decode_target(
    item: Item, regions: Mapping[str, str]
) -> Result[RegisteredTarget, str]:
    """Returns the target that a record describes, or the error in it.

    Args:
        item: The target's record.
        regions: Region by data centre.
    """
    try:
        server = WireServer.model_validate_json(item.value)
        leaving = IS_LEAVING_BY_TARGET_STATE[server.status.state]
        address = check_address(server.address)
    except ValidationError as error:
        return Err(describe_validation_error(error))
    except KeyError as error:
        return Err(
            f"status.state: unknown value {error}, expected ready or draining"
        )
    except ValueError as error:
        return Err(str(error))
    return Ok(
        RegisteredTarget(
            name=item.key.removeprefix(TARGET_PREFIX),
            service=server.info.service,
            version=server.info.version,
            address=address,
            data_centre=server.info.zone,
            region=regions.get(server.info.zone, ""),
            slots=server.info.slots,
            leaving=leaving,
            cold_left_s=server.status.coldLeftS,
            started_ms=server.born,
            sequence=server.status.sequence,
        )
    )


def decode_rollout_spec(item: Item) -> Result[RolloutSpec, str]:
    """Returns the specification of a rollout, or the error in the record."""
    try:
        spec = WireRolloutSpec.model_validate_json(item.value)
    except ValidationError as error:
        return Err(describe_validation_error(error))
    return Ok(
        RolloutSpec(
            service=spec.service,
            version=spec.targetVersion,
            duration_s=spec.durationS,
            revision=item.revision,
        )
    )


def decode_rollout_record(item: Item) -> Result[RolloutRecord, str]:
    """Returns a rollout record, or the error in it."""
    try:
        record = WireRolloutRecord.model_validate_json(item.value)
        state = ROLLOUT_STATES_BY_WIRE_NAME[record.state]
    except ValidationError as error:
        return Err(describe_validation_error(error))
    except KeyError as error:
        return Err(
            f"state: unknown value {error}, expected"
            f" {', '.join(ROLLOUT_STATES_BY_WIRE_NAME)}"
        )
    return Ok(
        RolloutRecord(
            service=item.key.removeprefix(ROLLOUT_RECORD_PREFIX),
            version=record.targetVersion,
            state=state,
            revision=item.revision,
        )
    )


def encode_rollout_record(version: str, state: RolloutRecordState) -> str:
    """Returns the record that reports a rollout's state to the operator."""
    record = WireRolloutRecord(
        state=WIRE_NAMES_BY_ROLLOUT_STATE[state], targetVersion=version
    )
    return record.model_dump_json()


class PlatformItemDecoder:
    """Decodes the store's items into updates of the catalog."""

    def __init__(self, *, regions: Mapping[str, str]):
        """Makes a decoder.

        Args:
            regions: Region by data centre.
        """
        self._regions = regions

    def decode(self, item: Item) -> CatalogUpdate | None:
        """Returns the update in an item; None for items of other kinds."""
        for prefix, decode in (
            (TARGET_PREFIX, self._decode_target),
            (ROLLOUT_SPEC_PREFIX, self._decode_rollout_spec),
            (ROLLOUT_RECORD_PREFIX, self._decode_rollout_record),
            (EVACUATION_PREFIX, self._decode_evacuation),
            (GATEWAY_RECORD_PREFIX, self._decode_gateway),
            (CHECKPOINT_PREFIX, self._decode_checkpoint),
        ):
            if item.key.startswith(prefix):
                return decode(item, item.key.removeprefix(prefix))
        if item.key == CONFIGURATION_KEY and not item.deleted:
            return _make_update(
                item, decode_plan(item), lambda plan: PlanUpdate(plan=plan)
            )
        return None

    def _decode_target(self, item: Item, name: str) -> CatalogUpdate:
        if item.deleted:
            return TargetUpdate(name=name, target=None)
        return _make_update(
            item,
            decode_target(item, self._regions),
            lambda target: TargetUpdate(name=name, target=target),
        )

    def _decode_rollout_spec(self, item: Item, service: str) -> CatalogUpdate:
        if item.deleted:
            return RolloutSpecUpdate(service=service, spec=None)
        return _make_update(
            item,
            decode_rollout_spec(item),
            lambda spec: RolloutSpecUpdate(service=spec.service, spec=spec),
        )

    def _decode_rollout_record(self, item: Item, service: str) -> CatalogUpdate:
        if item.deleted:
            return RolloutRecordUpdate(service=service, record=None)
        return _make_update(
            item,
            decode_rollout_record(item),
            lambda record: RolloutRecordUpdate(service=service, record=record),
        )

    def _decode_evacuation(self, item: Item, name: str) -> CatalogUpdate:
        return EvacuationUpdate(data_centre=name, evacuated=not item.deleted)

    def _decode_checkpoint(self, item: Item, service: str) -> CatalogUpdate:
        if item.deleted:
            return RolloutCheckpointUpdate(service=service, checkpoint=None)
        return _make_update(
            item,
            decode_checkpoint(item.value),
            lambda checkpoint: RolloutCheckpointUpdate(
                service=service, checkpoint=checkpoint
            ),
        )

    def _decode_gateway(self, item: Item, name: str) -> CatalogUpdate:
        return GatewayUpdate(
            name=name, value="" if item.deleted else item.value
        )


def _make_update(
    item: Item,
    decoded: Result[Decoded, str],
    make: Callable[[Decoded], CatalogUpdate],
) -> CatalogUpdate:
    if isinstance(decoded, Err):
        is_target = item.key.startswith(TARGET_PREFIX)
        return UnreadableItem(
            key=item.key,
            reason=decoded.err_value,
            target=item.key.removeprefix(TARGET_PREFIX) if is_target else "",
        )
    return make(decoded.ok_value)
