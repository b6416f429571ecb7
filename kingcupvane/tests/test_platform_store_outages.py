"""Tests that a plan is in force in time though answers are late or lost."""

import trio

from kingcupvane.process.item import Position
from kingcupvane.tests.platform_paged_store import run_follower

# Longest time from a plan's acknowledgement until it is in force, in seconds.
APPLY_MAX_S = 2.5


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
