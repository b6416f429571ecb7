"""Tests of registrations after a loss or return of the store."""

import dataclasses

import pytest

from kingcupvane.process.registrations import (
    RENEWAL_MAX_S,
    REREGISTRATION_GRACE_S,
    Registrations,
)
from kingcupvane.tests.targets import registered_target


@pytest.fixture
def registrations():
    return Registrations()


def test_missing_target_has_the_time_from_the_return_not_from_its_removal(
    registrations,
):
    """A target was used for 2.56 s after its removal, 2.5 s being allowed."""
    registrations.mark_store_unreachable(10.0)
    assert registrations.has_time("t", 10.0 + REREGISTRATION_GRACE_S - 0.3)
    assert not registrations.expired_names(10.0 + REREGISTRATION_GRACE_S)
    assert registrations.expired_names(10.1 + REREGISTRATION_GRACE_S) == ["t"]
    assert not registrations.has_time("u", 10.1 + REREGISTRATION_GRACE_S)


def test_target_that_registers_again_in_time_is_not_missing(registrations):
    registrations.mark_store_unreachable(10.0)
    assert registrations.has_time("t", 10.5)
    assert registrations.take(registered_target("t"), 11.0)
    assert not registrations.expired_names(20.0)


def test_target_that_had_left_stays_out_when_an_older_copy_lists_it(
    registrations,
):
    """It comes back if its record changes or is still there in the end."""
    left = registered_target("t")
    registrations.note_removed(left)
    registrations.begin_era(10.0)
    assert not registrations.take(left, 10.1)
    assert not registrations.proven_targets(9.9 + RENEWAL_MAX_S)
    assert registrations.proven_targets(10.0 + RENEWAL_MAX_S) == [left]
    assert not registrations.proven_targets(11.0 + RENEWAL_MAX_S)


def test_target_that_had_left_is_used_once_it_writes_again(registrations):
    left = registered_target("t")
    registrations.note_removed(left)
    registrations.begin_era(10.0)
    assert not registrations.take(left, 10.1)
    renewed = dataclasses.replace(left, sequence=left.sequence + 1)
    assert registrations.take(renewed, 11.0)
    assert not registrations.proven_targets(20.0)


def test_target_that_had_left_is_gone_once_the_copy_removes_it(registrations):
    left = registered_target("t")
    registrations.note_removed(left)
    registrations.begin_era(10.0)
    assert not registrations.take(left, 10.1)
    registrations.drop_unproven("t")
    assert not registrations.proven_targets(20.0)


def test_new_instance_and_calm_store_need_no_proof(registrations):
    left = registered_target("t")
    registrations.note_removed(left)
    assert registrations.take(left, 5.0)
    registrations.note_removed(left)
    registrations.begin_era(10.0)
    started_again = dataclasses.replace(left, started_ms=left.started_ms + 1)
    assert registrations.take(started_again, 10.1)


def test_leaving_of_a_target_that_had_lapsed_counts_in_a_new_era(registrations):
    target = registered_target("t")
    registrations.note_removed(target)
    assert registrations.take(target, 5.0)
    registrations.begin_era(20.0)
    leaving = dataclasses.replace(target, leaving=True, sequence=2)
    assert registrations.take(leaving, 21.0)


def test_leaving_that_the_copy_lists_counts_at_once(registrations):
    target = registered_target("t", leaving=True)
    registrations.note_removed(target)
    registrations.begin_era(20.0)
    assert registrations.take(target, 20.1)
