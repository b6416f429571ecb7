"""Tests of the decoding of the platform's items."""

import json

import pytest

from kingcupvane.platform.registry import (
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
from kingcupvane.version.plan import Destination, RolloutState, RouteKind

REGISTRY = PlatformItemDecoder(regions={"north-a": "north"})
SERVER = {
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
ROUTE = {
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


def test_configuration_becomes_a_plan():
    config = {
        "version": "0000001c",
        "resources": [
            resource("routes", "r", ROUTE),
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
    news = REGISTRY.decode(item("op/config", config))
    assert isinstance(news, PlanUpdate)
    plan = news.plan
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


def test_server_becomes_a_target():
    news = REGISTRY.decode(item("servers/i-1", SERVER))
    target = news.target
    assert (target.name, target.region, target.slots) == ("i-1", "north", 4)
    assert not target.leaving


def changed(path, value):
    copy = json.loads(json.dumps(SERVER))
    place = copy
    *parents, last = path
    for parent in parents:
        place = place[parent]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return copy


@pytest.mark.parametrize(
    "value",
    [
        "not json",
        "\ufffd\ufffd",
        "[]",
        changed(["address"], "nowhere"),
        changed(["address"], 7),
        changed(["info", "service"], None),
        changed(["info", "slots"], "4"),
        changed(["info", "slots"], 0),
        changed(["status", "state"], "resting"),
        changed(["status"], None),
    ],
)
def test_foreign_record_names_no_target(value):
    assert isinstance(
        REGISTRY.decode(item("servers/i-1", value)), UnreadableItem
    )


def test_removed_keys_are_news():
    gone = Item(key="servers/i-1", revision=8, deleted=True)
    assert REGISTRY.decode(gone) == TargetUpdate(name="i-1", target=None)
    over = Item(key="op/evacuate/north-a", revision=8, deleted=True)
    assert REGISTRY.decode(over) == EvacuationUpdate(
        data_centre="north-a", evacuated=False
    )


def test_rollout_and_its_outcome():
    order = REGISTRY.decode(
        item(
            "op/rollout/s",
            {"service": "s", "targetVersion": "v2", "durationS": 12},
        )
    )
    assert isinstance(order, RolloutSpecUpdate)
    assert (order.spec.version, order.spec.revision) == ("v2", 7)
    for state in RolloutState:
        record = item("status/rollout/s", encode_rollout_record("v2", state))
        assert decode_rollout_record(record).ok_value.state is state
        assert isinstance(REGISTRY.decode(record), RolloutRecordUpdate)


def test_what_concerns_nobody_is_no_news():
    assert REGISTRY.decode(item("elsewhere/x", "1")) is None
