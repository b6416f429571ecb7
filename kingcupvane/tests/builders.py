"""Builders of configuration items and small configurations."""

from kingcupvane.request.authentication import hash_key
from kingcupvane.version.configuration import (
    Configuration,
    Items,
    ReleaseNote,
    apply_note,
)
from kingcupvane.version.items import (
    Account,
    Entry,
    Key,
    Move,
    Route,
    Service,
    Target,
    Version,
)

KEY = "k1_secret"


def entry(name, data_centre="dc-a", region="r1", port=1000):
    return Entry(
        name=name,
        region=region,
        data_centre=data_centre,
        caller_address=f"127.0.0.1:{port}",
        peer_address=f"127.0.0.1:{port + 1}",
    )


def target(name, version="v1", data_centre="dc-a", slots=4, **values):
    return Target(
        name=name,
        service="treaty",
        version=version,
        region="r1",
        data_centre=data_centre,
        address="127.0.0.1:9000",
        slots=slots,
        **values,
    )


def move(**values):
    defaults = {
        "name": "m1",
        "service": "treaty",
        "old": "v1",
        "new": "v2",
        "deadline": 2000.0,
    }
    return Move(**{**defaults, **values})


def items(**values):
    defaults = {
        "entries": (entry("e1"),),
        "services": (
            Service(
                name="treaty",
                routes=(
                    Route(prefix="/book", at_most_once=True),
                    Route(prefix="/open", open=True),
                ),
            ),
        ),
        "versions": (
            Version(name="v1", service="treaty"),
            Version(name="v2", service="treaty", share=0.0),
        ),
        "targets": (target("t1"),),
        "accounts": (Account(name="acme", rate=100, burst=200),),
        "keys": (Key(name="k1", account="acme", sha256=hash_key(KEY)),),
    }
    return Items(**{**defaults, **values})


def configuration(**values):
    note = ReleaseNote(change_id="base", add=items(**values))
    return apply_note(Configuration(), note).ok_value
