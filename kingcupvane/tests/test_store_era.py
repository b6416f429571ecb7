"""Tests of the era of the store."""

import pytest

from kingcupvane.process.store_era import ERA_MAX, StoreEra


def test_era_rises_with_the_answers_and_with_what_peers_know():
    era = StoreEra()
    assert era.resolve("0", asked_in=0) == 0
    assert era.resolve("2", asked_in=0) == 2
    era.hear(1)
    assert era.current == 2
    era.hear(4)
    assert era.resolve("4", asked_in=2) == 4


def test_late_answer_of_an_earlier_era_is_dropped():
    era = StoreEra()
    asked_in = era.current
    assert era.resolve("1", asked_in=asked_in) == 1
    assert era.resolve("0", asked_in=asked_in) is None
    assert era.current == 1


@pytest.mark.parametrize(
    "named",
    [None, "0", "", "-3", "1.5", "x", "\u0663", str(ERA_MAX + 1), "9" * 99],
)
def test_era_that_cannot_be_right_is_never_taken_for_a_restored_store(named):
    era = StoreEra()
    assert era.resolve("1", asked_in=0) == 1
    assert era.resolve(named, asked_in=1) == 1
    assert era.current == 1
    assert era.resolve("2", asked_in=1) == 2


def test_unnamed_era_begins_when_a_listing_goes_back():
    era = StoreEra()
    assert era.resolve(None, asked_in=0) == 0
    assert era.begin_next(asked_in=0) == 1
    assert era.begin_next(asked_in=0) is None
    assert era.resolve(None, asked_in=0) is None
    assert era.resolve(None, asked_in=1) == 1


def test_named_era_is_not_overruled_by_revisions():
    era = StoreEra()
    era.resolve("0", asked_in=0)
    assert era.begin_next(asked_in=0) is None
    assert era.current == 0
