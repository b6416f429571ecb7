"""Tests that a plan is in force in time though answers are late or lost."""

import trio

from kingcupvane.connection.messages import MirrorSource
from kingcupvane.process.item import Position
from kingcupvane.tests.platform_paged_store import run_follower

# Longest time from a plan's acknowledgement until it is in force, in seconds.
APPLY_MAX_S = 2.5

# Longest time after the end of a silent watch's own wait until it is bridged,
# in seconds.
SILENCE_MAX_S = 0.6
# Longest time until a silent store is known to be lost, in seconds.
LOSS_MAX_S = 3.0


def lose_each_second(path):
    """Returns a rule by which every second call of a path gets no answer."""
    state = {"count": 0}

    def is_lost(call):
        if call[0] != path:
            return False
        state["count"] += 1
        return state["count"] % 2 == 0

    return is_lost


def test_listing_is_completed_though_every_second_page_is_lost():
    """A listing was begun anew at its first page after each failure."""

    async def check(follower, nursery):
        served = follower.served
        served.is_lost = lose_each_second("/kv-range")
        nursery.start_soon(follower.replicator.run)
        with trio.move_on_after(15):
            while follower.plan is None:
                await trio.sleep(0.01)
        assert follower.plan == "0"
        assert served.count("/kv-range") == 7

    run_follower(check, item_count=3)


def test_changes_made_while_a_listing_was_cut_arrive():
    async def check(follower, nursery):
        served = follower.served
        served.is_lost = lambda call: call[1].get("after") == "servers/000"
        nursery.start_soon(follower.replicator.run)
        while served.count("/kv-range") < 3:
            await trio.sleep(0.01)
        served.put("op/config", "1")
        served.is_lost = lambda call: False
        with trio.move_on_after(5):
            while follower.plan != "1":
                await trio.sleep(0.01)
        assert follower.plan == "1"
        assert follower.mirror.as_of.revision == served.revision

    run_follower(check, item_count=3)


def test_listing_that_was_cut_is_begun_anew_in_a_new_era():
    async def check(follower, nursery):
        served = follower.served
        served.is_lost = lambda call: call[1].get("after") == "servers/000"
        assert (await follower.store.scan("")).is_err()
        served.era = 1
        served.is_lost = lambda call: False
        # The first answer of the new era shows that the kept pages are old.
        assert (await follower.store.scan("")).is_err()
        listing = (await follower.store.scan("")).ok_value
        assert listing.era == 1
        assert {item.era for item in listing.items} == {1}

    run_follower(check, item_count=3)


def test_listing_that_was_cut_is_not_continued_below_a_known_position():
    async def check(follower, nursery):
        served = follower.served
        served.is_lost = lambda call: call[1].get("after") == "servers/000"
        assert (await follower.store.scan("")).is_err()
        served.is_lost = lambda call: False
        served.put("op/config", "1")
        known = Position(0, served.revision)
        listing = (await follower.store.scan("", at_least=known)).ok_value
        assert listing.position == known

    run_follower(check, item_count=3)


async def start_following(follower, nursery):
    """Starts the replicator; returns once it waits for changes."""
    nursery.start_soon(follower.replicator.run)
    while not follower.served.count("/kv-watch"):
        await trio.sleep(0.01)


def test_plan_arrives_without_a_listing_after_a_watch_was_cut():
    """A failed watch was followed by a listing of all pages."""

    async def check(follower, nursery):
        served = follower.served
        await start_following(follower, nursery)
        pages = served.count("/kv-range")
        served.delay_s = lambda call: 0.1
        follower.link.silence()
        lag_s = await follower.measure_lag("1", 10)
        assert served.count("/kv-range") == pages
        assert lag_s <= APPLY_MAX_S

    run_follower(check, item_count=8)


def test_plan_arrives_without_a_listing_after_the_store_was_lost():
    """A store that answered again was listed, and each page could be lost."""

    async def check(follower, nursery):
        served = follower.served
        await start_following(follower, nursery)
        pages = served.count("/kv-range")
        served.is_lost = lambda call: True
        follower.link.silence()
        while follower.replicator.mirror_source is not MirrorSource.LOST:
            await trio.sleep(0.01)
        served.is_lost = lambda call: False
        lag_s = await follower.measure_lag("1", 10)
        assert served.count("/kv-range") == pages
        assert lag_s <= APPLY_MAX_S

    run_follower(check, item_count=8)


def test_plan_arrives_by_a_listing_if_no_watch_is_answered():
    async def check(follower, nursery):
        served = follower.served
        await start_following(follower, nursery)
        served.is_lost = lambda call: call[0] == "/kv-watch"
        follower.link.silence()
        assert await follower.measure_lag("1", 15) < 15

    run_follower(check, item_count=3)


def test_history_that_is_gone_is_listed_once():
    async def check(follower, nursery):
        served = follower.served
        await start_following(follower, nursery)
        pages = served.count("/kv-range")
        served.is_lost = lambda call: True
        follower.link.silence()
        while follower.replicator.mirror_source is not MirrorSource.LOST:
            await trio.sleep(0.01)
        served.put("servers/new", "x")
        served.compacted = served.revision
        served.is_lost = lambda call: False
        assert await follower.measure_lag("1", 10) < 10
        await trio.sleep(1.0)
        assert served.count("/kv-range") == pages + 5

    run_follower(check, item_count=3)


def test_plan_arrives_soon_after_the_connection_of_a_watch_went_silent():
    """A silent watch was given up a second after its own wait."""

    async def check(follower, nursery):
        await start_following(follower, nursery)
        settings = follower.settings
        follower.link.silence()
        lag_s = await follower.measure_lag("1", 10)
        assert lag_s <= settings.watch_s + SILENCE_MAX_S
        assert follower.timeline_kinds() == {"store-regained"}

    run_follower(check, item_count=8)


def test_silent_store_is_lost_once_a_watch_and_its_repetition_were_silent():
    """Neighbours took over only after one more call had failed."""

    async def check(follower, nursery):
        await start_following(follower, nursery)
        follower.served.is_lost = lambda call: True
        follower.link.silence()
        with trio.move_on_after(LOSS_MAX_S):
            while follower.replicator.mirror_source is not MirrorSource.LOST:
                await trio.sleep(0.01)
        assert follower.replicator.mirror_source is MirrorSource.LOST
        assert follower.served.count("/kv-watch") <= 3

    run_follower(check, item_count=3)


def test_calm_store_is_asked_once_for_each_watch():
    async def check(follower, nursery):
        await start_following(follower, nursery)
        follower.served.delay_s = lambda call: 0.05
        pages = follower.served.count("/kv-range")
        await trio.sleep(4 * follower.settings.watch_s)
        assert follower.served.count("/kv-watch") <= 5
        assert follower.served.count("/kv-range") == pages
        assert follower.store.calls.keys() == {"scan", "watch"}

    run_follower(check, item_count=8)
