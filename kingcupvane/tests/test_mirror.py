"""Tests of the mirror of the store."""

from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.process.item import Item
from kingcupvane.process.mirror import Mirror

KEYS = st.sampled_from(["a", "b", "c"])
CHANGES = st.lists(st.tuples(KEYS, st.booleans()), max_size=30)


def items_for(changes):
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


def latest_values(items):
    values = {}
    for item in items:
        values[item.key] = None if item.deleted else item.value
    return {key: value for key, value in values.items() if value is not None}


@given(CHANGES, st.randoms(use_true_random=False))
def test_merge_keeps_the_latest_for_any_order_and_duplicates(changes, random):
    items = items_for(changes)
    shuffled = [*items, *items]
    random.shuffle(shuffled)
    mirror = Mirror(prefix="")
    for item in shuffled:
        mirror.merge([item], as_of=item.revision)
    assert contents(mirror) == latest_values(items)


@given(CHANGES, st.integers(0, 30))
def test_lagging_mirror_catches_up_with_changes_since(changes, applied_count):
    items = items_for(changes)
    complete, lagging = Mirror(prefix=""), Mirror(prefix="")
    complete.merge(items, as_of=len(items))
    lagging.merge(items[:applied_count], as_of=min(applied_count, len(items)))
    lagging.merge(complete.changes_since(lagging.as_of), as_of=complete.as_of)
    assert contents(lagging) == contents(complete)


def test_replace_removes_unlisted_keys_but_no_newer_ones():
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


def test_removal_before_a_listing_reaches_a_mirror_that_lags_behind_it():
    """A restarted gateway handed on its copy without what it never knew."""
    restarted, lagging = Mirror(prefix=""), Mirror(prefix="")
    lagging.merge([Item(key="gone", value="1", revision=10)], as_of=10)
    restarted.replace([Item(key="here", value="2", revision=5)], as_of=12)
    assert restarted.changes_since(lagging.as_of) is None
    assert restarted.changes_since(12) == []
    lagging.replace(restarted.items(), as_of=restarted.as_of)
    assert contents(lagging) == {"here": "2"}
