"""Tests of the settings that the platform renders from its own fields."""

import copy

import pytest

from kingcupvane import settings
from kingcupvane.errors import UsageError
from kingcupvane.platform.__main__ import make_usage_receiver
from kingcupvane.tests.template import SETTINGS_TEMPLATE, render
from kingcupvane.tests.test_platform_gateway import HistoryStore, make_gateway

FIELDS = {
    "nodeName": "edge-r1a-1",
    "region": "r1",
    "zone": "r1-a",
    "ip": "127.0.0.1",
    "bootstrap": False,
    "listen": {
        "frontend": "127.0.0.1:8686",
        "readiness": "127.0.0.1:8680",
        "directory": "127.0.0.1:8684",
    },
    "internalPorts": [7800, 7815],
    "seeds": ["127.0.0.1:8688"],
    "zones": {"r1-a": "r1", "r2.a": "r2"},
    "limits": {"maxFds": 8192, "memoryMb": 552, "linkMbps": 100.0},
    "bounds": {
        "contactS": 4,
        "drainS": 3,
        "graceS": 7,
        "ttl_max_s": 6,
        "budgetRatio": 0.25,
        "budgetExtra": 208,
        "budgetWindowS": 12,
        "coldOver": 2.0,
        "coldSlack": 8,
        "exposeShare": 0.05,
    },
    "platform": {"address": "127.0.0.1:8682", "ttlMinS": 2},
}
NEEDED_KEYS = {
    "nodeName": "name",
    "region": "region",
    "zone": "data_centre",
    "ip": "ip",
    "listen.frontend": "caller_address",
    "listen.readiness": "readiness_address",
    "listen.directory": "lookup_address",
    "platform.address": "store.address",
}
OPTIONAL_KEYS = {
    "bootstrap": "first_start",
    "internalPorts": "peer_port",
    "seeds": "seeds",
    "zones": "data_centres",
    "limits.maxFds": "descriptors",
    "limits.memoryMb": "memory_mb",
    "limits.linkMbps": "link_mbps",
    "bounds.contactS": "contact_s",
    "bounds.drainS": "drain_s",
    "bounds.graceS": "stop_grace_s",
    "bounds.ttl_max_s": "lookup_ttl_max_s",
    "bounds.budgetRatio": "retry_share",
    "bounds.budgetExtra": "retry_extra",
    "bounds.budgetWindowS": "retry_window_s",
    "bounds.coldOver": "cold_excess",
    "bounds.coldSlack": "cold_extra",
    "bounds.exposeShare": "exposure_share",
    "platform.ttlMinS": "store.lease_min_s",
}


def without(fields, *paths):
    """Returns the fields without those at the paths."""
    left = copy.deepcopy(fields)
    for path in paths:
        *tables, name = path.split(".")
        table = left
        for key in tables:
            table = table[key]
        del table[name]
    return left


def load(fields):
    text = render(SETTINGS_TEMPLATE.read_text(), fields)
    return settings.parse(text, settings.GatewaySettings, source="rendered")


def value_of(model, path):
    for name in path.split("."):
        model = getattr(model, name)
    return model


def default_of(path):
    model = settings.GatewaySettings
    *tables, name = path.split(".")
    for table in tables:
        model = model.model_fields[table].annotation
    return model.model_fields[name].get_default(call_default_factory=True)


def test_every_field_of_the_platform_reaches_its_setting():
    loaded = load(FIELDS | {"bootstrap": True})
    assert loaded.first_start
    assert loaded.data_centres == {"r1-a": "r1", "r2.a": "r2"}
    for path, key in OPTIONAL_KEYS.items():
        assert value_of(loaded, key) != default_of(key), path


@pytest.mark.parametrize("path", OPTIONAL_KEYS)
def test_gateway_has_the_default_of_an_absent_optional_field(path):
    loaded = load(without(FIELDS, path))
    key = OPTIONAL_KEYS[path]
    assert value_of(loaded, key) == default_of(key)
    make_gateway(loaded, HistoryStore())


def test_gateway_needs_no_optional_field():
    loaded = load(without(FIELDS, *OPTIONAL_KEYS))
    for key in OPTIONAL_KEYS.values():
        assert value_of(loaded, key) == default_of(key)
    make_gateway(loaded, HistoryStore())


@pytest.mark.parametrize("path", NEEDED_KEYS)
def test_needed_field_that_is_absent_is_named(path):
    with pytest.raises(UsageError, match=f"{NEEDED_KEYS[path]}: missing"):
        load(without(FIELDS, path))


@pytest.mark.parametrize("path", ["bounds.budgetExtra", "bounds.drainS"])
def test_zero_is_a_value(path):
    fields = copy.deepcopy(FIELDS)
    table, name = path.split(".")
    fields[table][name] = 0
    assert value_of(load(fields), OPTIONAL_KEYS[path]) == 0


USAGE_FIELDS = {
    "cloud": {
        "address": "127.0.0.1:8704",
        "ratePerS": 50.0,
        "duties": ["other", "usage_report"],
        "dutyPerS": 20.0,
    },
    "bounds": {"reportWindowS": 6, "usageLateS": 11, "leaseS": 4},
}
USAGE_KEYS = {
    "cloud.duties": "duties",
    "cloud.dutyPerS": "calls_per_s",
    "bounds.reportWindowS": "window_s",
    "bounds.usageLateS": "late_s",
    "bounds.leaseS": "lease_s",
}


def with_usage():
    return FIELDS | {
        "cloud": USAGE_FIELDS["cloud"],
        "bounds": FIELDS["bounds"] | USAGE_FIELDS["bounds"],
    }


def test_every_field_of_usage_reaches_its_setting():
    usage = load(with_usage()).usage
    assert usage == settings.UsageSettings(
        address="127.0.0.1:8704",
        duties=("other", "usage_report"),
        calls_per_s=20.0,
        window_s=6,
        late_s=11,
        lease_s=4,
    )
    assert make_usage_receiver(usage) is not None


@pytest.mark.parametrize("path", USAGE_KEYS)
def test_usage_has_the_default_of_an_absent_optional_field(path):
    key = USAGE_KEYS[path]
    usage = load(without(with_usage(), path)).usage
    assert (
        getattr(usage, key) == settings.UsageSettings.model_fields[key].default
    )
    make_gateway(load(without(with_usage(), path)), HistoryStore())


@pytest.mark.parametrize(
    "cloud", [None, {}, {"address": None, "duties": ["usage_report"]}]
)
def test_deployment_without_an_address_for_usage_reports_none(cloud):
    assert load(with_usage() | {"cloud": cloud}).usage is None


def test_deployment_without_the_duty_has_no_receiver():
    fields = with_usage()
    fields["cloud"] = fields["cloud"] | {"duties": []}
    assert make_usage_receiver(load(fields).usage) is None
