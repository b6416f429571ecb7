"""Tests of the ordered copy of the store."""

from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.process.item import Item
from kingcupvane.process.mirror import Mirror

KEYS = st.sampled_from(["a", "b", "c"])
CHANGES = st.lists(st.tuples(KEYS, st.booleans()), max_size=30)


def history(changes):
    return [
        Item(
            key=key,
            value="" if deleted else f"v{number}",
            revision=number,
            deleted=deleted,
        )
        for number, (key, deleted) in enumerate(changes, start=1)
    ]


def contents(mirror):
    return {item.key: item.value for item in mirror.items()}


def expected(items):
    state = {}
    for item in items:
        state[item.key] = None if item.deleted else item.value
    return {key: value for key, value in state.items() if value is not None}


@given(CHANGES, st.randoms(use_true_random=False))
def test_news_in_any_order_and_twice_gives_the_latest(changes, random):
    items = history(changes)
    shuffled = [*items, *items]
    random.shuffle(shuffled)
    mirror = Mirror(prefix="")
    for item in shuffled:
        mirror.merge([item], as_of=item.revision)
    assert contents(mirror) == expected(items)


@given(CHANGES, st.integers(0, 30))
def test_peer_catches_up_from_any_point(changes, cut):
    items = history(changes)
    ahead, behind = Mirror(prefix=""), Mirror(prefix="")
    ahead.merge(items, as_of=len(items))
    behind.merge(items[:cut], as_of=min(cut, len(items)))
    behind.merge(ahead.changes_since(behind.as_of), as_of=ahead.as_of)
    assert contents(behind) == contents(ahead)


def test_listing_removes_what_it_lacks_but_nothing_newer():
    mirror = Mirror(prefix="")
    mirror.merge(
        [Item(key="old", value="1", revision=3)],
        as_of=3,
    )
    mirror.merge([Item(key="new", value="2", revision=9)], as_of=9)
    changed = mirror.replace([Item(key="x", value="3", revision=5)], as_of=6)
    assert contents(mirror) == {"new": "2", "x": "3"}
    assert [item.key for item in changed if item.deleted] == ["old"]
    assert mirror.as_of == 9
