"""Tests that gateways do not keep each other fresh while none hears the store.

Ages that were passed on in a circle shrank with each hop: gateways that all had
lost the store took their mirrors for new for up to 13 s.
"""

import heapq
from itertools import count, pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.process.freshness import AGE_MAX_S, MirrorFreshness
from kingcupvane.process.item import Position
from kingcupvane.process.lateness import TICK_PERIOD_S
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.replication import WATCHER_CHECK_PERIOD_S
from kingcupvane.tests.freshness_fleet import (
    STORE_DELAY_S,
    FleetSimulation,
    calm_fleets,
)

DELAY_S = (0.005, 0.15)
# What a gateway's own hold-up may hide, in seconds.
HELD_UP_ERROR_S = 3 * TICK_PERIOD_S
STEP_S = 0.05
FLEETS = [
    {"a": 2},
    {"a": 3},
    {"a": 8},
    {"a": 1, "b": 1},
    {"a": 1, "b": 1, "c": 1},
    {"a": 2, "b": 2, "c": 2},
    dict.fromkeys("abcdefgh", 1),
]


def age_error_max_s(gateway_count, *, freezes=0):
    """Returns by how much a claimed age may be below the true one."""
    hops = gateway_count - 1
    return STORE_DELAY_S[1] + hops * DELAY_S[1] + freezes * HELD_UP_ERROR_S


def steps(fleet, end):
    while fleet.now < end:
        fleet.run_until(fleet.now + STEP_S)
        for gateway in fleet.gateways.values():
            if fleet.now >= gateway.frozen_until:
                yield gateway, gateway.age_s(fleet.now)


@pytest.mark.parametrize("sizes", FLEETS, ids=str)
@pytest.mark.parametrize("seed", range(4))
def test_gateways_that_lost_the_store_do_not_confirm_each_other(sizes, seed):
    fleet = FleetSimulation(sizes=sizes, seed=seed, delay_s=DELAY_S)
    fleet.watch("a-0", until=3.0)
    error_max_s = age_error_max_s(len(fleet.gateways))
    for _, age_s in steps(fleet, 9.0):
        assert age_s >= fleet.now - fleet.answered_at - error_max_s
    asked_by = (
        fleet.answered_at + AGE_MAX_S + error_max_s + WATCHER_CHECK_PERIOD_S
    )
    for gateway in fleet.gateways.values():
        assert gateway.stale_since is not None
        assert gateway.stale_since <= asked_by


@pytest.mark.parametrize("sizes", FLEETS, ids=str)
@pytest.mark.parametrize("seed", range(4))
def test_reports_that_waited_for_a_frozen_gateway_are_not_taken_for_new(
    sizes, seed
):
    fleet = FleetSimulation(sizes=sizes, seed=seed, delay_s=DELAY_S)
    # It is the one to which the others send.
    frozen = list(fleet.gateways)[-1]
    fleet.watch("a-0", until=4.0)
    error_max_s = age_error_max_s(len(fleet.gateways), freezes=1)
    fleet.run_until(3.0)
    fleet.freeze(frozen, until=9.0)
    for _, age_s in steps(fleet, 14.0):
        assert age_s >= fleet.now - fleet.answered_at - error_max_s


@pytest.mark.parametrize(
    ("sizes", "are_advertised"),
    [fleet[1:] for fleet in calm_fleets()],
    ids=[f"{fleet[0]}-{fleet[2]}" for fleet in calm_fleets()],
)
@pytest.mark.parametrize("write_period_s", [None, 1.0])
def test_calm_gateways_that_copy_do_not_ask_the_store(
    sizes, are_advertised, write_period_s
):
    fleet = FleetSimulation(
        sizes=sizes,
        seed=1,
        local_delay_s=(0.0005, 0.005),
        are_advertised=are_advertised,
    )
    for data_centre in sizes:
        fleet.watch(f"{data_centre}-0")
    if write_period_s is not None:
        fleet.write_every(write_period_s, until=60.0)
    fleet.run_until(60.0)
    assert sum(g.stale_checks for g in fleet.gateways.values()) == 0


NAMES = "abcde"
DELAY_MAX_S = 0.4
gateways = st.integers(0, len(NAMES) - 1)
delays = st.floats(0.0, DELAY_MAX_S)
events = st.one_of(
    # An answer of the store to a gateway, perhaps after a write.
    st.tuples(st.just("answer"), gateways, st.booleans()),
    # A report: sender, receiver, delays of its copies, whether changes come.
    st.tuples(
        st.just("report"),
        gateways,
        gateways,
        st.lists(delays, max_size=2),
        st.booleans(),
    ),
)


class Network:
    """Gateways whose messages take any time, and what is true of them."""

    def __init__(self, *, offsets_s):
        """Starts gateways whose clocks are at some times, in seconds."""
        self.now = 0.0
        self._offsets_s = offsets_s
        self._mirrors = [Mirror(prefix="") for _ in NAMES]
        for mirror in self._mirrors:
            mirror.merge([], as_of=Position(0, 1))
        self._freshness = [
            MirrorFreshness(mirror=mirror, origin=name, now=offset_s)
            for name, mirror, offset_s in zip(
                NAMES, self._mirrors, offsets_s, strict=True
            )
        ]
        self._revision = 1
        self._answers = [(1, 0.0)]
        self._messages = []
        self._numbers = count()

    def advance(self, duration_s):
        end = self.now + duration_s
        while self._messages and self._messages[0][0] <= end:
            self.now, _, receive = heapq.heappop(self._messages)
            receive()
            self.check_ages()
        self.now = end
        self.check_ages()

    def check_ages(self):
        """No age is below the true one by more than a path's delays."""
        for index, freshness in enumerate(self._freshness):
            known = self._mirrors[index].as_of.revision
            truth = max(at for reached, at in self._answers if reached <= known)
            age_s = freshness.age_s(self.now + self._offsets_s[index])
            bound_s = (len(NAMES) - 1) * DELAY_MAX_S
            assert age_s >= self.now - truth - bound_s - 1e-6

    def answer(self, index, is_changed):
        self._revision += is_changed
        self._answers.append((self._revision, self.now))
        position = Position(0, self._revision)
        self._mirrors[index].merge([], as_of=position)
        self._freshness[index].confirm_own(
            position, self.now + self._offsets_s[index]
        )

    def report(self, sender, receiver, delays_s, with_changes):
        as_of = self._mirrors[sender].as_of
        confirmation = self._freshness[sender].confirmation(
            self.now + self._offsets_s[sender]
        )

        def receive():
            now = self.now + self._offsets_s[receiver]
            if with_changes:
                self._mirrors[receiver].merge([], as_of=as_of)
            self._freshness[receiver].note_position(as_of, now)
            if confirmation is not None:
                self._freshness[receiver].hear(confirmation, now, now)

        for delay_s in delays_s:
            message = (self.now + delay_s, next(self._numbers), receive)
            heapq.heappush(self._messages, message)

    def must_all_ask(self):
        return all(
            freshness.must_ask_store(self.now + offset_s)
            for freshness, offset_s in zip(
                self._freshness, self._offsets_s, strict=True
            )
        )


@given(
    script=st.lists(st.tuples(st.floats(0.0, 0.6), events), max_size=60),
    offsets_s=st.lists(st.floats(0.0, 1e6), min_size=5, max_size=5),
    last=gateways,
    ring=st.lists(gateways, min_size=2, max_size=len(NAMES), unique=True),
    ring_delay_s=delays,
)
def test_no_order_of_reports_makes_a_mirror_newer_than_it_is(
    script, offsets_s, last, ring, ring_delay_s
):
    network = Network(offsets_s=offsets_s)
    for pause_s, (kind, *arguments) in script:
        network.advance(pause_s)
        getattr(network, kind)(*arguments)
    # From here on nobody hears the store, and reports go round.
    network.answer(last, True)
    network.report(last, ring[0], [ring_delay_s], True)
    end = network.now + AGE_MAX_S + (len(NAMES) - 1) * DELAY_MAX_S + 0.1
    while network.now < end:
        for sender, receiver in pairwise([*ring, ring[0]]):
            network.report(sender, receiver, [ring_delay_s], True)
        network.advance(0.1)
    assert network.must_all_ask()
