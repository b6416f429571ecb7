"""Tests of release notes, the configuration and its replica."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from kingcupvane.errors import UsageError
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.settings import ConfigurationSettings, parse
from kingcupvane.tests.builders import configuration, items, target
from kingcupvane.version.configuration import (
    Configuration,
    Items,
    ReleaseNote,
    Withdrawals,
    apply_note,
)
from kingcupvane.version.items import Account, Key

HASH = "0" * 64


def test_note_increments_the_revision_and_changes_the_items():
    current = configuration()
    assert current.revision == 1
    note = ReleaseNote(
        change_id="c2",
        add=Items(targets=(target("t2"),)),
        change=Items(accounts=(Account(name="acme", rate=5, burst=9),)),
    )
    changed = apply_note(current, note).ok_value
    assert changed.revision == 2
    assert set(changed.targets_by_name) == {"t1", "t2"}
    assert changed.accounts_by_name["acme"].rate == 5


def test_note_with_an_applied_change_id_is_refused():
    note = ReleaseNote(change_id="base")
    assert isinstance(apply_note(configuration(), note), Err)


def test_withdrawn_key_cannot_be_added_again():
    withdrawn = apply_note(
        configuration(),
        ReleaseNote(change_id="c2", withdraw=Withdrawals(keys=("k1",))),
    ).ok_value
    assert not withdrawn.keys_by_name
    note = ReleaseNote(
        change_id="c3",
        add=Items(keys=(Key(name="k1", account="acme", sha256=HASH),)),
    )
    assert "withdrawn" in apply_note(withdrawn, note).err_value[0]


def test_duplicate_name_is_reported_with_file_and_section():
    text = """
change_id = "c"
[[add.accounts]]
name = "a"
rate = 1
burst = 1
[[add.accounts]]
name = "a"
rate = 2
burst = 1
"""
    with pytest.raises(UsageError) as error_info:
        parse(text, ReleaseNote, source="n.toml")
    assert "n.toml: add: accounts: duplicate name a" in str(error_info.value)


def test_note_with_unknown_referenced_or_duplicate_names_is_refused():
    notes = [
        ReleaseNote(change_id="c", withdraw=Withdrawals(accounts=("acme",))),
        ReleaseNote(change_id="c", withdraw=Withdrawals(versions=("v1",))),
        ReleaseNote(change_id="c", withdraw=Withdrawals(services=("treaty",))),
        ReleaseNote(change_id="c", withdraw=Withdrawals(targets=("nope",))),
        ReleaseNote(change_id="c", add=items()),
    ]
    for note in notes:
        assert isinstance(apply_note(configuration(), note), Err)


@given(st.permutations(range(6)), st.integers(0, 5))
def test_replica_keeps_the_highest_revision(order, repeated):
    """Revisions may arrive late, twice and in any order."""
    from kingcupvane.clock import ManualClock
    from kingcupvane.process.timeline import HybridClock, Timeline

    clock = ManualClock()
    timeline = Timeline(
        process="t", clock=HybridClock(clock=clock), capacity=16
    )
    replica = ConfigurationReplica(
        clock=clock, timeline=timeline, settings=ConfigurationSettings()
    )
    highest = 0
    for revision in [*order, repeated]:
        offered = Configuration(revision=revision)
        replica.offer(offered.model_dump_json(), source="test")
        highest = max(highest, revision)
        assert replica.current.revision == highest


def test_strict_mode_refuses_a_missing_or_old_configuration(clock, timeline):
    replica = ConfigurationReplica(
        clock=clock,
        timeline=timeline,
        settings=ConfigurationSettings(strict_after_s=30),
    )
    assert isinstance(replica.check_usable(), Err)
    replica.offer(configuration().model_dump_json(), source="test")
    replica.confirm(1)
    assert not isinstance(replica.check_usable(), Err)
    clock.advance(31)
    assert isinstance(replica.check_usable(), Err)


def test_replica_rejects_a_malformed_document(clock, timeline):
    replica = ConfigurationReplica(
        clock=clock, timeline=timeline, settings=ConfigurationSettings()
    )
    assert not replica.offer('{"revision": 3, "rows": 1}', source="test")
    assert replica.current.revision == 0
