"""Tests of how far a mirror is known to lag behind the store."""

from math import inf

import pytest

from kingcupvane.process.confirmation import Confirmation
from kingcupvane.process.freshness import (
    AGE_MAX_S,
    BEHIND_MAX_S,
    FALLBACK_S,
    MirrorFreshness,
    Staleness,
)
from kingcupvane.process.item import Item, Position
from kingcupvane.process.mirror import Mirror


def at(revision, *, era=0):
    return Position(era, revision)


@pytest.fixture
def mirror():
    mirror = Mirror(prefix="")
    mirror.merge([], as_of=at(10))
    return mirror


@pytest.fixture
def freshness(mirror):
    return MirrorFreshness(mirror=mirror, origin="g", now=0.0)


def test_confirmation_of_the_own_or_an_older_revision_makes_it_fresh(freshness):
    freshness.confirm(at(10), 2.0, age_s=0.5)
    assert freshness.age_s(2.0) == 0.5
    freshness.confirm(at(9), 3.0, age_s=0.25)
    assert freshness.age_s(3.0) == 0.25
    freshness.confirm(at(10), 4.0, age_s=inf)
    assert freshness.age_s(4.0) == 1.25


def test_newer_revision_that_arrives_in_time_needs_no_call(mirror, freshness):
    for step in range(1, 20):
        now = step * BEHIND_MAX_S
        freshness.confirm(at(10 + step), now, age_s=0.1)
        mirror.merge([Item(key="k", revision=10 + step)], as_of=at(10 + step))
        freshness.confirm(at(10 + step), now + 0.1, age_s=0.2)
        assert not freshness.must_ask_store(now + 0.9 * BEHIND_MAX_S)


def test_revision_that_cannot_be_copied_asks_the_store(mirror, freshness):
    """Further changes must not start the time anew."""
    for step in range(8):
        freshness.confirm(at(11 + step), 1.0 + step / 8, age_s=0.0)
    assert not freshness.must_ask_store(1.0 + BEHIND_MAX_S)
    assert freshness.must_ask_store(1.01 + BEHIND_MAX_S)
    mirror.merge([], as_of=at(18))
    freshness.confirm(at(18), 2.0)
    assert freshness.must_ask_store(0.9 * FALLBACK_S)
    freshness.confirm(at(18), 1.5 + FALLBACK_S)
    assert not freshness.must_ask_store(1.6 + FALLBACK_S)


def test_age_without_a_confirmation_asks_the_store(freshness):
    assert not freshness.must_ask_store(AGE_MAX_S)
    assert freshness.must_ask_store(AGE_MAX_S + 0.1)


def test_negative_age_is_none(freshness):
    freshness.confirm(at(10), 1.0, age_s=-5.0)
    assert freshness.confirmed_at == 1.0


def test_each_sign_of_a_mirror_that_is_behind_has_a_name(mirror, freshness):
    assert freshness.staleness(0.1) is Staleness.NONE
    freshness.confirm(at(11), 0.1, age_s=inf)
    assert freshness.staleness(0.2 + BEHIND_MAX_S) is Staleness.MISSING
    mirror.merge([], as_of=at(11))
    assert freshness.staleness(AGE_MAX_S + 0.1) is Staleness.UNCONFIRMED
    freshness.note_answer(at(7), asked_at=at(11))
    assert freshness.staleness(0.2) is Staleness.AHEAD
    freshness.note_answer(at(12), asked_at=at(11))
    assert freshness.staleness(0.2) is Staleness.NONE


def test_confirmation_counts_only_once(freshness):
    heard = Confirmation(7, 3, at(10), 500)
    freshness.hear(heard, 2.0, 2.0)
    assert freshness.age_s(2.0) == 0.5
    freshness.hear(heard, 3.0, 3.0)
    freshness.hear(Confirmation(7, 2, at(10), 0), 3.0, 3.0)
    assert freshness.age_s(3.0) == 1.5
    assert freshness.confirmation(3.0) == Confirmation(7, 3, at(10), 1500)
    freshness.hear(Confirmation(7, 4, at(10), 0), 3.0, 3.0)
    assert freshness.age_s(3.0) == 0.0


def test_own_confirmation_that_comes_back_counts_for_nothing(freshness):
    freshness.confirm_own(at(10), 1.0)
    own = freshness.confirmation(1.0)
    freshness.hear(own, 2.0, 2.0)
    assert freshness.age_s(2.0) == 1.0


def test_confirmation_counts_once_the_mirror_has_got_there(mirror, freshness):
    freshness.hear(Confirmation(7, 1, at(11), 0), 2.0, 2.0)
    assert freshness.confirmation(2.0) is None
    mirror.merge([], as_of=at(11))
    assert freshness.confirmation(2.5) == Confirmation(7, 1, at(11), 500)
    assert freshness.age_s(2.5) == 0.5


def test_confirmation_of_an_earlier_era_counts_for_nothing(mirror, freshness):
    mirror.replace([], as_of=at(5, era=1))
    freshness.hear(Confirmation(7, 1, at(10), 0), 2.0, 2.0)
    assert freshness.age_s(2.0) == 2.0
    assert freshness.confirmation(2.0) is None
    freshness.confirm_own(at(5, era=1), 2.0)
    mirror.replace([], as_of=at(3, era=2))
    assert freshness.confirmation(2.0) is None


def test_mirror_that_is_ahead_still_asks_the_store_when_nobody_confirms_it(
    freshness,
):
    freshness.note_answer(at(7), asked_at=at(10))
    assert freshness.staleness(0.1) is Staleness.AHEAD
    assert freshness.must_ask_store(AGE_MAX_S + 0.1)
