"""Tests of the mirror of the store."""

import dataclasses

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.process import mirror as mirror_module
from kingcupvane.process.item import Item, Position
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
        mirror.merge([item], as_of=Position(revision=item.revision))
    assert contents(mirror) == latest_values(items)


@given(CHANGES, st.integers(0, 30))
def test_lagging_mirror_catches_up_with_changes_since(changes, applied_count):
    items = items_for(changes)
    complete, lagging = Mirror(prefix=""), Mirror(prefix="")
    complete.merge(items, as_of=Position(revision=len(items)))
    lagging.merge(
        items[:applied_count],
        as_of=Position(revision=min(applied_count, len(items))),
    )
    lagging.merge(complete.changes_since(lagging.as_of), as_of=complete.as_of)
    assert contents(lagging) == contents(complete)


def test_replace_removes_unlisted_keys_but_no_newer_ones():
    mirror = Mirror(prefix="")
    mirror.merge(
        [Item(key="old", value="1", revision=3)],
        as_of=Position(revision=3),
    )
    mirror.merge(
        [Item(key="new", value="2", revision=9)], as_of=Position(revision=9)
    )
    changed = mirror.replace(
        [Item(key="x", value="3", revision=5)], as_of=Position(revision=6)
    )
    assert contents(mirror) == {"new": "2", "x": "3"}
    assert [item.key for item in changed if item.deleted] == ["old"]
    assert mirror.as_of == Position(revision=9)


def test_removal_before_a_listing_reaches_a_mirror_that_lags_behind_it():
    """A restarted gateway handed on its copy without what it never knew."""
    restarted, lagging = Mirror(prefix=""), Mirror(prefix="")
    lagging.merge(
        [Item(key="gone", value="1", revision=10)], as_of=Position(revision=10)
    )
    restarted.replace(
        [Item(key="here", value="2", revision=5)], as_of=Position(revision=12)
    )
    assert restarted.changes_since(lagging.as_of) is None
    assert restarted.changes_since(Position(revision=12)) == []
    lagging.replace(restarted.items(), as_of=restarted.as_of)
    assert contents(lagging) == {"here": "2"}


@dataclasses.dataclass
class RestorableStore:
    """A store that can be put back to its last copy; its era rises then."""

    era: int = 0
    revision: int = 1
    items: dict = dataclasses.field(default_factory=dict)
    history: list = dataclasses.field(default_factory=list)
    saved: tuple = (1, {}, [])

    @property
    def position(self):
        return Position(self.era, self.revision)

    def write(self, key, *, deleted):
        if deleted and key not in self.items:
            return
        self.revision += 1
        item = Item(
            key=key,
            value="" if deleted else f"{self.era}.{self.revision}",
            revision=self.revision,
            era=self.era,
            deleted=deleted,
        )
        self.items.pop(key, None)
        if not deleted:
            self.items[key] = item
        self.history.append(item)

    def save(self):
        self.saved = (self.revision, dict(self.items), list(self.history))

    def restore(self):
        revision, items, history = self.saved
        self.era += 1
        self.revision = revision
        self.items = {
            key: msgspec.structs.replace(item, era=self.era)
            for key, item in items.items()
        }
        self.history = [
            msgspec.structs.replace(item, era=self.era) for item in history
        ]

    def listing(self):
        items, as_of = list(self.items.values()), self.position
        return lambda mirror: mirror.replace(items, as_of=as_of)

    def changes(self, after):
        if after.era != self.era:
            return self.listing()
        items = [i for i in self.history if i.revision > after.revision]
        as_of = self.position
        return lambda mirror: mirror.merge(items, as_of=as_of)


def pull(source, mirror):
    changes = source.changes_since(mirror.as_of)
    if changes is None or not mirror.is_loaded:
        mirror.replace(list(source.items()), as_of=source.as_of)
    else:
        mirror.merge(changes, as_of=source.as_of)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), KEYS, st.booleans()),
        st.tuples(st.sampled_from(["save", "restore"])),
        st.tuples(
            st.sampled_from(["list", "watch", "pull"]), st.integers(0, 1)
        ),
        st.tuples(st.just("arrive"), st.integers(0, 9)),
    ),
    max_size=60,
)


@given(STEPS)
def test_no_mirror_stays_behind_a_store_that_comes_back_from_copies(steps):
    """Answers arrive late, in any order or never; then each hears once."""
    store = RestorableStore()
    mirrors = Mirror(prefix=""), Mirror(prefix="")
    on_their_way = []
    for name, *arguments in steps:
        match name, *arguments:
            case "write", key, deleted:
                store.write(key, deleted=deleted)
            case "save", *_:
                store.save()
            case "restore", *_:
                store.restore()
            case "list", number:
                on_their_way.append((number, store.listing()))
            case "watch", number:
                after = mirrors[number].as_of
                on_their_way.append((number, store.changes(after)))
            case "pull", number:
                pull(mirrors[1 - number], mirrors[number])
            case "arrive", index if on_their_way:
                number, answer = on_their_way.pop(index % len(on_their_way))
                before = mirrors[number].as_of
                answer(mirrors[number])
                assert mirrors[number].as_of >= before
    store.listing()(mirrors[0])
    pull(mirrors[0], mirrors[1])
    for mirror in mirrors:
        assert mirror.as_of == store.position
        assert contents(mirror) == {
            key: item.value for key, item in store.items.items()
        }


def _mirror_whose_listing_lacks_a_removed_key():
    mirror = Mirror(prefix="")
    mirror.replace([Item(key="a", value="v", revision=1)], as_of=Position(0, 9))
    return mirror


def test_late_copy_of_a_peer_does_not_bring_back_a_removed_key():
    late = [
        Item(key="a", value="v", revision=1),
        Item(key="removed", value="v", revision=3),
    ]
    mirror = _mirror_whose_listing_lacks_a_removed_key()
    assert mirror.replace(late, as_of=Position(0, 5)) == []
    assert mirror.merge(late, as_of=Position(0, 5)) == []
    assert mirror.add(late) == []
    assert contents(mirror) == {"a": "v"}


def test_later_listing_adds_what_the_mirror_lacks():
    listed = [Item(key="missed", value="v", revision=3)]
    mirror = _mirror_whose_listing_lacks_a_removed_key()
    mirror.replace(listed, as_of=Position(0, 9))
    assert contents(mirror) == {"missed": "v"}


def test_tombstones_that_are_pruned_on_the_way_drop_no_later_item(monkeypatch):
    monkeypatch.setattr(mirror_module, "TOMBSTONES_MAX", 2)
    mirror = Mirror(prefix="")
    mirror.replace([], as_of=Position(0, 1))
    removals = [
        Item(key=f"gone{number}", revision=number, deleted=True)
        for number in (5, 6, 7, 8)
    ]
    live = Item(key="live", value="v", revision=3)
    mirror.merge([*removals, live], as_of=Position(0, 8))
    assert contents(mirror) == {"live": "v"}
