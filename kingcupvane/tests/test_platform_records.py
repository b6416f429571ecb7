"""Tests of decoding items of the platform's store to catalog updates."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

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


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [
        ("safe", True),
        ("download", True),
        ("unsafe", False),
        ("upload", False),
        ("novelty", False),
    ],
)
def test_kind_of_a_route_tells_whether_its_requests_may_be_repeated(
    kind, is_idempotent
):
    spec = ROUTE_SPEC | {"kind": kind}
    config = {"version": "1", "resources": [resource("routes", "r", spec)]}
    plan = DECODER.decode(item("op/config", config)).plan
    route = plan.find_route("h.example", "/r/17")
    assert route.is_idempotent is is_idempotent


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


DEEP = "[" * 100_000 + "]" * 100_000
BIG_INTEGER = "9" * 10_000


def target_text(*, address="10.0.0.9:8080", slots=4, cold=0, **fields):
    record = {
        **TARGET_RECORD,
        "address": address,
        "info": {**TARGET_RECORD["info"], "slots": slots},
        "status": {**TARGET_RECORD["status"], "coldLeftS": cold},
        **fields,
    }
    return json.dumps(record)


@pytest.mark.parametrize(
    "text",
    [
        DEEP,
        f'{{"address":{DEEP}}}',
        f'{{"unknown":{DEEP}}}',
        target_text().replace('"sequence": 4', f'"sequence": {BIG_INTEGER}'),
        target_text().replace('"sequence": 4', '"sequence": ' + "9" * 25),
        target_text().replace('"slots": 4', f'"slots": {BIG_INTEGER}'),
        target_text(slots=10**18),
        target_text(slots=0),
        target_text(cold=-5),
        target_text(cold=1e300),
        target_text(cold=float("nan")),
        target_text(born=-1),
        target_text(born=10**25),
        target_text(address="10.0.0.9:-1"),
        target_text(address="10.0.0.9:0"),
        target_text(address="10.0.0.9:65536"),
        target_text(address="10.0.0.9"),
        target_text(address="x" * 1_000_000),
        target_text(info={"service": ["s"], "zone": "north-a"}),
        "\ufffd\ufffd",
        "",
    ],
)
def test_odd_target_record_is_unreadable_and_its_reason_is_short(text):
    update = DECODER.decode(item("servers/i-9", text))
    assert isinstance(update, UnreadableItem)
    assert len(update.reason) < 1000


NUMBERS = st.one_of(
    st.integers(),
    st.integers(min_value=-(10**30), max_value=10**30),
    st.floats(),
    st.sampled_from([-1, 0, 65535, 65536, 2**31, 2**63, 2**64]),
)
ODD_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.text(max_size=20)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=8,
)
KEYS = st.sampled_from(
    [
        "servers/i-1",
        "op/config",
        "op/rollout/s",
        "status/rollout/s",
        "op/evacuate/north-a",
        "gateways/g",
        "elsewhere",
    ]
)
FIELDS = st.sampled_from(
    [
        *("address", "info", "status", "born"),
        *("service", "version", "zone", "slots"),
        *("state", "sequence", "coldLeftS"),
        *("resources", "resourceKind", "metadata", "spec", "targetVersion"),
    ]
)


@given(
    key=KEYS,
    document=st.one_of(
        ODD_VALUES, st.dictionaries(FIELDS, ODD_VALUES, max_size=6)
    ),
)
def test_any_document_is_decoded_or_unreadable(key, document):
    DECODER.decode(item(key, json.dumps(document)))


@given(key=KEYS, text=st.text(max_size=60))
def test_any_text_is_decoded_or_unreadable(key, text):
    DECODER.decode(item(key, text))


@given(part=st.sampled_from(["info", "status"]), field=FIELDS, value=ODD_VALUES)
def test_one_odd_field_gives_a_usable_target_or_none(part, field, value):
    record = {
        **TARGET_RECORD,
        part: {**TARGET_RECORD[part], field: value},
    }
    update = DECODER.decode(item("servers/i-1", json.dumps(record)))
    if isinstance(update, UnreadableItem):
        return
    target = update.target
    assert 1 <= target.slots <= 1024
    assert 0 <= target.cold_left_s <= 3600
    assert 0 <= target.sequence < 2**63


def test_only_an_unreadable_target_record_names_a_target():
    """Another unreadable item removed the target of the same name."""
    record = DECODER.decode(item("servers/i-1", "{"))
    assert (type(record), record.target) == (UnreadableItem, "i-1")
    other = DECODER.decode(item("op/rollout/i-1", "{"))
    assert (type(other), other.target) == (UnreadableItem, "")
