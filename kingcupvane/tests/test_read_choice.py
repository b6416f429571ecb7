"""Tests of the choice of how to read the store next."""

import pytest

from kingcupvane.process.item import LOWEST, Position
from kingcupvane.process.read_choice import (
    WATCHES_PER_LISTING,
    Read,
    ReadChoice,
)
from kingcupvane.process.store_era import StoreEra

KNOWN = Position(0, 7)


def named_era(era=0):
    known = StoreEra()
    known.resolve(str(era), asked_in=0)
    return known


def choose(choice, *, known=KNOWN, is_following=True, era=None):
    return choice.choose(
        known=known, is_following=is_following, era=era or named_era()
    )


def test_store_is_watched_while_it_is_followed():
    assert choose(ReadChoice()) is Read.WATCH


def test_missed_changes_are_asked_for_without_a_wait():
    choice = ReadChoice()
    assert choose(choice, is_following=False) is Read.CATCH_UP
    choice.note_failure(Read.WATCH)
    assert choose(choice) is Read.CATCH_UP
    choice.note_success()
    assert choose(choice) is Read.WATCH


@pytest.mark.parametrize("position", [{"known": LOWEST}, {"era": named_era(1)}])
def test_all_items_are_listed_where_no_watch_leads_on(position):
    assert choose(ReadChoice(), **position) is Read.LISTING


def test_all_items_are_listed_after_a_loss_of_a_store_that_names_no_era():
    choice = ReadChoice()
    found = choose(choice, is_following=False, era=StoreEra())
    assert found is Read.LISTING
    assert choose(choice, era=StoreEra()) is Read.WATCH


def test_all_items_are_listed_while_the_history_of_the_position_is_gone():
    choice = ReadChoice()
    choice.note_gone(KNOWN)
    assert choose(choice) is Read.LISTING
    choice.note_failure(Read.LISTING)
    assert choose(choice, is_following=False) is Read.LISTING
    newer = Position(0, 8)
    assert choose(choice, known=newer, is_following=False) is Read.CATCH_UP


def test_watches_that_fail_again_and_again_take_turns_with_a_listing():
    choice = ReadChoice()
    reads = []
    for _ in range(2 * (WATCHES_PER_LISTING + 1)):
        reads.append(choose(choice, is_following=False))
        choice.note_failure(reads[-1])
    turn = [Read.CATCH_UP] * WATCHES_PER_LISTING + [Read.LISTING]
    assert reads == turn * 2
