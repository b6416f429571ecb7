"""Tests of a listing that is read page by page."""

import pytest

from kingcupvane.platform.partial_listing import (
    CONTINUE_MAX_S,
    LISTING_MAX_BYTES,
    PartialListing,
)
from kingcupvane.process.item import LOWEST, Item, Position

PREFIX = "servers/"
FIRST = Position(1, 10)


def page(key):
    return [Item(key=key, revision=3, era=1)]


def begin():
    partial = PartialListing(prefix=PREFIX, begun_at=100.0)
    assert not partial.add(page("a"), as_of=FIRST, size_bytes=9)
    return partial


def can_continue(partial, *, prefix=PREFIX, era=1, at_least=LOWEST, now=101.0):
    return partial.can_continue(prefix, era=era, at_least=at_least, now=now)


def test_listing_has_the_position_and_age_of_its_first_page():
    partial = begin()
    assert not partial.add(page("b"), as_of=Position(1, 12), size_bytes=9)
    listing = partial.complete(103.0)
    assert [item.key for item in listing.items] == ["a", "b"]
    assert listing.position == FIRST
    assert listing.age_s == 3.0


def test_listing_is_continued_while_its_first_page_is_of_use():
    assert can_continue(begin())
    assert can_continue(begin(), at_least=FIRST, now=100.0 + CONTINUE_MAX_S)


@pytest.mark.parametrize(
    "change",
    [
        {"prefix": "other/"},
        {"era": 2},
        {"at_least": Position(1, 11)},
        {"now": 100.1 + CONTINUE_MAX_S},
    ],
)
def test_listing_is_not_continued_from_a_first_page_of_no_use(change):
    assert not can_continue(begin(), **change)


def test_listing_without_a_page_is_not_continued():
    partial = PartialListing(prefix=PREFIX, begun_at=100.0)
    assert not can_continue(partial)


@pytest.mark.parametrize(
    ("key", "as_of", "size_bytes", "problem"),
    [
        ("a", FIRST, 9, "do not advance"),
        ("b", Position(2, 1), 9, "two eras"),
        ("b", FIRST, LISTING_MAX_BYTES, "bytes"),
    ],
)
def test_page_that_cannot_belong_to_the_listing_is_named(
    key, as_of, size_bytes, problem
):
    partial = begin()
    found = partial.add(page(key), as_of=as_of, size_bytes=size_bytes)
    assert problem in found
