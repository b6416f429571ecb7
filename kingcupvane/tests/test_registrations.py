"""Tests of registrations after a loss or return of the store."""

import pytest

from kingcupvane.process.registrations import (
    REREGISTRATION_GRACE_S,
    Registrations,
)


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
    registrations.discard("t")
    assert not registrations.expired_names(20.0)
