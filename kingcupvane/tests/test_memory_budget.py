"""Tests of the memory budget, without I/O and in any order of events."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from kingcupvane.connection.inbound import ServerState
from kingcupvane.connection.memory_budget import (
    LEAST_RATE_BYTES_PER_S,
    MEBIBYTE,
    SMALL_BODY_BYTES,
    STALL_MAX_S,
    BodyBudget,
    ResponseMemoryBudget,
    limits_for,
)

MAX_BYTES = 16 * SMALL_BODY_BYTES
SMALL_BYTES = 2 * SMALL_BODY_BYTES
LARGEST_BODY_BYTES = 64 * MEBIBYTE


def no_eviction():
    raise AssertionError("evicted")


class AnyOrder(RuleBasedStateMachine):
    """Bodies that open, grow, stall, wait, complete and end in any order."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.budget = BodyBudget(max_bytes=MAX_BYTES, small_bytes=SMALL_BYTES)
        self.leases = []
        self.evicted = []
        self.evictable = set()

    def evict(self, index):
        # Only what was too slow at the time may lose its place.
        assert index in self.evictable
        self.evicted.append(self.leases[index])

    def note_late(self):
        self.evictable = {
            index
            for index, lease in enumerate(self.leases)
            if not lease.is_waiting
            and not lease.is_complete
            and self.now >= lease.late_from
        }

    def pick(self, data):
        return data.draw(st.sampled_from(self.leases))

    @rule(size=st.integers(0, 2 * MAX_BYTES))
    def open(self, size):
        self.note_late()
        index = len(self.leases)
        lease = self.budget.open(
            size, now=self.now, evict=lambda: self.evict(index)
        )
        if lease is not None:
            assert lease.reserved_bytes == size
            self.leases.append(lease)

    @precondition(lambda self: self.leases)
    @rule(data=st.data(), size=st.integers(1, MAX_BYTES))
    def grow(self, data, size):
        self.note_late()
        lease = self.pick(data)
        before = lease.reserved_bytes
        if self.budget.grow(lease, size, self.now):
            assert lease.reserved_bytes >= size
            self.budget.count_gain(lease, size, self.now)
            assert lease.late_from <= self.now + STALL_MAX_S
        else:
            assert lease.reserved_bytes == before

    @precondition(lambda self: self.leases)
    @rule(data=st.data(), is_waiting=st.booleans())
    def wait(self, data, is_waiting):
        self.budget.set_waiting(self.pick(data), is_waiting, self.now)

    @precondition(lambda self: self.leases)
    @rule(data=st.data())
    def complete(self, data):
        self.pick(data).is_complete = True

    @precondition(lambda self: self.leases)
    @rule(data=st.data())
    def close(self, data):
        self.budget.close(self.pick(data))

    @rule(seconds=st.floats(0.0, 2 * STALL_MAX_S))
    def pass_time(self, seconds):
        self.now += seconds

    @rule()
    def make_place(self):
        self.note_late()
        self.budget.evict_latest(self.now)

    @invariant()
    def never_over_and_nothing_leaks(self):
        reserved = sum(lease.reserved_bytes for lease in self.leases)
        assert self.budget.used_bytes == reserved
        assert 0 <= reserved <= MAX_BYTES
        assert all(lease.reserved_bytes == 0 for lease in self.evicted)
        assert self.budget.evictions == len(self.evicted)

    @invariant()
    def small_bodies_find_the_room_that_large_ones_leave(self):
        small = sum(
            lease.reserved_bytes
            for lease in self.leases
            if lease.reserved_bytes <= SMALL_BODY_BYTES
        )
        if small > SMALL_BYTES - SMALL_BODY_BYTES:
            return
        lease = self.budget.open(
            SMALL_BODY_BYTES, now=self.now, evict=no_eviction
        )
        assert lease is not None
        self.budget.close(lease)

    def teardown(self):
        for lease in self.leases:
            self.budget.close(lease)
        assert self.budget.used_bytes == 0


TestAnyOrder = AnyOrder.TestCase


def budget():
    return BodyBudget(max_bytes=MAX_BYTES, small_bytes=SMALL_BYTES)


def test_stalled_body_gives_its_room_to_another_at_once():
    room = budget()
    evicted = []
    size = MAX_BYTES - SMALL_BYTES
    room.open(size, now=0.0, evict=lambda: evicted.append("first"))
    assert room.open(size, now=1.0, evict=no_eviction) is None
    assert room.open(size, now=STALL_MAX_S, evict=no_eviction) is not None
    assert evicted == ["first"]


def test_body_that_keeps_the_least_rate_keeps_its_place():
    room = budget()
    size = MAX_BYTES - SMALL_BYTES
    lease = room.open(size, now=0.0, evict=no_eviction)
    for second in range(1, 20):
        room.count_gain(lease, LEAST_RATE_BYTES_PER_S, float(second))
        assert room.open(size, now=float(second), evict=no_eviction) is None


def test_slow_body_stays_while_there_is_room():
    room = budget()
    room.open(SMALL_BODY_BYTES, now=0.0, evict=no_eviction)
    assert room.open(SMALL_BODY_BYTES, now=60.0, evict=no_eviction) is not None


def test_slow_bodies_stay_if_even_their_room_is_not_enough():
    room = budget()
    room.open(SMALL_BODY_BYTES, now=0.0, evict=no_eviction)
    assert room.open(MAX_BYTES, now=60.0, evict=no_eviction) is None


# The users' processes have 200 to 552 MB.
@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_largest_body_fits_into_the_smallest_process(memory_mb):
    limits = limits_for(memory_mb * MEBIBYTE)
    room = BodyBudget(max_bytes=limits.bodies, small_bytes=limits.small_bodies)
    assert room.open(LARGEST_BODY_BYTES, now=0.0, evict=no_eviction)
    assert room.open(SMALL_BODY_BYTES, now=0.0, evict=no_eviction)


@given(memory_mb=st.integers(1, 4096), base_mb=st.integers(0, 4096))
def test_bounds_of_the_uses_are_positive_and_within_the_memory(
    memory_mb, base_mb
):
    memory_bytes = memory_mb * MEBIBYTE
    limits = limits_for(memory_bytes, base_bytes=base_mb * MEBIBYTE)
    assert 0 < limits.total <= memory_bytes
    assert min(limits.bodies, limits.responses, limits.connections) > 0
    assert 0 < limits.small_bodies < limits.bodies


def test_slow_takers_of_responses_may_hold_as_much_again():
    responses = ResponseMemoryBudget(max_bytes=100)
    responses.sending_bytes = 150
    assert not responses.is_full()
    responses.buffered_bytes = 51
    assert responses.is_full()
    responses.sending_bytes = 0
    assert not responses.is_full()
    responses.buffered_bytes = 101
    assert responses.is_full()


@dataclass
class Sendings:
    """Responses on their way to callers, as the budget sees them."""

    budget: ResponseMemoryBudget = field(
        default_factory=lambda: ResponseMemoryBudget(max_bytes=100)
    )
    live: dict = field(default_factory=dict)

    def open(self, size_bytes, now):
        def evict():
            del self.live[lease]

        lease = self.budget.open_sending(size_bytes, now=now, evict=evict)
        self.live[lease] = size_bytes
        return lease

    def close(self, lease):
        self.budget.close_sending(lease)
        self.live.pop(lease, None)


# Small responses passed beyond the bound, however many callers took none.
@given(
    steps=st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 150), st.integers(0, 50)),
        max_size=60,
    )
)
def test_responses_that_nobody_takes_stay_within_the_bound(steps):
    sendings = Sendings()
    budget = sendings.budget
    leases = []
    for now, (step, size, which) in enumerate(steps):
        if step == 0 or not leases:
            leases.append(sendings.open(size, now))
        elif step == 1:
            budget.count_taken(leases[which % len(leases)], now)
        else:
            sendings.close(leases[which % len(leases)])
        assert budget.sending_bytes == sum(sendings.live.values())
        assert budget.sending_bytes <= 2 * budget.max_bytes


def test_the_response_that_waits_longest_gives_way_to_a_new_one():
    sendings = Sendings()
    first, second = sendings.open(90, 0.0), sendings.open(90, 1.0)
    sendings.budget.count_taken(first, 2.0)
    third = sendings.open(90, 3.0)
    assert set(sendings.live) == {first, third}
    assert sendings.budget.evictions == 1
    assert second not in sendings.live


def test_a_response_to_be_read_takes_the_room_of_those_that_stall():
    sendings = Sendings()
    budget = sendings.budget
    sendings.open(150, 0.0)
    assert not budget.reserve(100, STALL_MAX_S / 2, force=False)
    assert budget.used_bytes == 150
    assert budget.reserve(100, STALL_MAX_S, force=False)
    assert budget.used_bytes == 100
    sendings.open(100, STALL_MAX_S)
    assert budget.reserve(50, STALL_MAX_S, force=True)
    assert budget.used_bytes == 150
    assert budget.reserve(100, STALL_MAX_S, force=True)
    assert budget.used_bytes == 250


def test_only_a_response_that_stalls_gives_way_to_a_connection():
    sendings = Sendings()
    sendings.open(10, 0.0)
    assert not sendings.budget.evict_stalled(STALL_MAX_S / 2)
    assert sendings.budget.evict_stalled(STALL_MAX_S)
    assert not sendings.live
    assert not sendings.budget.evict_stalled(2 * STALL_MAX_S)


def test_unread_responses_do_not_keep_new_connections_out():
    sendings = Sendings()
    state = ServerState(connections_max=1, responses=sendings.budget)
    sendings.open(10, 0.0)
    assert not state.make_place(STALL_MAX_S / 2)
    assert state.make_place(STALL_MAX_S)
