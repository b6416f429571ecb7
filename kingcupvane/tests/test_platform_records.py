"""Tests of decoding items of the platform's store to catalog updates."""

import json

import pytest

from kingcupvane.platform.records import (
    PlatformItemDecoder,
    decode_rollout_record,
    encode_rollout_record,
)
from kingcupvane.process.catalog import (
    EvacuationUpdate,
    PlanUpdate,
    RolloutRecordUpdate,
    RolloutSpecUpdate,
    TargetUpdate,
    UnreadableItem,
)
from kingcupvane.process.item import Item
from kingcupvane.version.plan import Destination, RolloutRecordState, RouteKind

DECODER = PlatformItemDecoder(regions={"north-a": "north"})
TARGET_RECORD = {
    "address": "10.0.0.9:8080",
    "info": {
        "service": "s",
        "version": "v1",
        "zone": "north-a",
        "slots": 4,
    },
    "status": {"state": "ready", "sequence": 4, "coldLeftS": 0},
    "born": 1700000000000,
    "unknown": True,
}
ROUTE_SPEC = {
    "host": "h.example",
    "pathPrefix": "/r/",
    "kind": "upload",
    "timeoutS": 2,
    "goalLatencyS": 0.25,
    "priority": 1,
    "backends": [
        {"service": "s", "weight": 90},
        {"service": "t", "weight": 10},
    ],
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "homeRegions": ["north"],
}


def item(key, value):
    text = value if isinstance(value, str) else json.dumps(value)
    return Item(key=key, value=text, revision=7)


def resource(kind, name, spec):
    return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}


def test_configuration_is_decoded_to_a_plan():
    config = {
        "version": "0000001c",
        "resources": [
            resource("routes", "r", ROUTE_SPEC),
            resource("services", "s", {"coldStartS": 3.0, "coldPerS": 9.3}),
            resource(
                "tenants",
                "acme",
                {"apiKeys": ["k1", "k2"], "ratePerS": 5, "burst": 6},
            ),
            resource("limits", "", {"idleTimeoutS": 9}),
            resource("novelties", "x", {}),
        ],
    }
    update = DECODER.decode(item("op/config", config))
    assert isinstance(update, PlanUpdate)
    plan = update.plan
    assert plan.number == 0x1C
    route = plan.find_route("h.example", "/r/17")
    assert route.kind is RouteKind.UPLOAD
    assert not route.is_idempotent
    assert route.destinations == (
        Destination(service="s", weight=90),
        Destination(service="t", weight=10),
    )
    assert plan.accounts_by_key["k2"].rate == 5
    assert plan.services_by_name["s"].cold_rate == 9.3
    assert plan.limits.idle_timeout_s == 9


def test_target_record_is_decoded_to_a_registered_target():
    update = DECODER.decode(item("servers/i-1", TARGET_RECORD))
    target = update.target
    assert (target.name, target.region, target.slots) == ("i-1", "north", 4)
    assert not target.leaving


def target_record_with(path, value):
    """Returns the target record with a field replaced; None removes it."""
    record_copy = json.loads(json.dumps(TARGET_RECORD))
    parent = record_copy
    *parent_keys, key = path
    for parent_key in parent_keys:
        parent = parent[parent_key]
    if value is None:
        del parent[key]
    else:
        parent[key] = value
    return record_copy


@pytest.mark.parametrize(
    "value",
    [
        "not json",
        "\ufffd\ufffd",
        "[]",
        target_record_with(["address"], "nowhere"),
        target_record_with(["address"], 7),
        target_record_with(["info", "service"], None),
        target_record_with(["info", "slots"], "4"),
        target_record_with(["info", "slots"], 0),
        target_record_with(["status", "state"], "resting"),
        target_record_with(["status"], None),
    ],
)
def test_invalid_target_record_is_unreadable(value):
    assert isinstance(
        DECODER.decode(item("servers/i-1", value)), UnreadableItem
    )


def test_tombstone_is_decoded_to_a_removal_update():
    target_tombstone = Item(key="servers/i-1", revision=8, deleted=True)
    assert DECODER.decode(target_tombstone) == TargetUpdate(
        name="i-1", target=None
    )
    evacuation_tombstone = Item(
        key="op/evacuate/north-a", revision=8, deleted=True
    )
    assert DECODER.decode(evacuation_tombstone) == EvacuationUpdate(
        data_centre="north-a", evacuated=False
    )


def test_rollout_spec_and_record_are_decoded():
    spec_update = DECODER.decode(
        item(
            "op/rollout/s",
            {"service": "s", "targetVersion": "v2", "durationS": 12},
        )
    )
    assert isinstance(spec_update, RolloutSpecUpdate)
    assert (spec_update.spec.version, spec_update.spec.revision) == (
        "v2",
        7,
    )
    for state in RolloutRecordState:
        record = item("status/rollout/s", encode_rollout_record("v2", state))
        assert decode_rollout_record(record).ok_value.state is state
        assert isinstance(DECODER.decode(record), RolloutRecordUpdate)


def test_item_under_an_unknown_prefix_gives_no_update():
    assert DECODER.decode(item("elsewhere/x", "1")) is None
