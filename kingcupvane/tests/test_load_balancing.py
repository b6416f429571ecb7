"""Tests of the choice of targets, slot loans and version shares."""

from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.request.concurrency import ExchangeOutcome, TargetLoad
from kingcupvane.request.load_balancing import (
    LoadBalancer,
    ShareCounter,
    SlotLender,
    owned_slots,
)
from kingcupvane.tests.builders import configuration, target
from kingcupvane.version.move import VersionShare

ALL_TO_V1 = {"v1": VersionShare(share=1.0, capped=False)}


@given(
    st.lists(
        st.tuples(st.floats(0.01, 0.99), st.integers(1, 80), st.booleans()),
        max_size=6,
    )
)
def test_capped_version_never_exceeds_its_share(phases):
    """Holds after every request, even when the old version is full."""
    counter = ShareCounter()
    share_before = None
    for share, requests, old_is_full in phases:
        shares = {
            "v1": VersionShare(share=1 - share, capped=False),
            "v2": VersionShare(share=share, capped=True),
        }
        if share != share_before:
            counts = {"v1": 0, "v2": 0}
            total = 0
        share_before = share
        for _ in range(requests):
            allowed = counter.choose(shares)
            if old_is_full:
                allowed = [name for name in allowed if name != "v1"]
            if not allowed:
                continue
            total += 1
            counter.count(allowed[0])
            counts[allowed[0]] += 1
            assert counts["v2"] <= share * total + 1e-9


def test_capped_version_reaches_its_share():
    counter = ShareCounter()
    shares = {
        "v1": VersionShare(share=0.8, capped=False),
        "v2": VersionShare(share=0.2, capped=True),
    }
    chosen_versions = []
    for _ in range(1000):
        version = counter.choose(shares)[0]
        counter.count(version)
        chosen_versions.append(version)
    assert chosen_versions.count("v2") >= 190


@given(
    st.integers(1, 16),
    st.lists(st.text("abc", min_size=1), min_size=1, max_size=9, unique=True),
)
def test_owned_slots_of_all_entries_add_up_to_the_slots(slots, names):
    owned_target = target("t1", slots=slots)
    owned = [owned_slots(owned_target, names, name=name) for name in names]
    assert sum(owned) == slots
    assert max(owned) - min(owned) <= 1


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 5), st.floats(0, 3)),
        max_size=30,
    )
)
def test_lender_never_lends_its_last_slot(requests):
    lender = SlotLender()
    slots = 4
    now = 0.0
    for borrower, wanted, elapsed_s in requests:
        now += elapsed_s
        free_slots = slots - lender.lent_slots("t1", now)
        lender.lend(
            target="t1",
            borrower=borrower,
            wanted=wanted,
            free_slots=free_slots,
            now=now,
            ttl_s=2.0,
        )
        assert lender.lent_slots("t1", now) <= slots - 1


def make_load_balancer(revision, now=0.0, seed=1):
    balancer = LoadBalancer(name="e1", data_centre="dc-a", seed=seed)
    balancer.update(revision, ["e1"], now)
    return balancer


def choose(balancer, revision, now=0.0, exclude=frozenset()):
    return balancer.choose(
        "treaty", revision, ALL_TO_V1, exclude=exclude, now=now
    )


def test_leaving_target_gets_no_requests():
    revision = configuration(targets=(target("t1", state="leaving"),))
    assert choose(make_load_balancer(revision), revision) is None


def test_remote_target_gets_requests_only_with_a_loan():
    revision = configuration(targets=(target("t1", data_centre="dc-b"),))
    balancer = make_load_balancer(revision)
    assert choose(balancer, revision) is None
    balancer.record_loan("t1", "e2", 1, expires_at=2.0)
    balancer.update(revision, ["e1"], 0.0)
    assert choose(balancer, revision).name == "t1"
    balancer.update(revision, ["e1"], 2.0)
    assert choose(balancer, revision, now=2.0) is None


def test_ejected_target_is_probed_with_one_request():
    load = TargetLoad(slots=4)
    load.usable_slots = 4
    load.record_start()
    load.record_outcome(ExchangeOutcome.UNREACHABLE, latency_s=0.01, now=0.0)
    assert not load.has_capacity(0.5)
    assert load.has_capacity(1.1)
    assert not load.is_healthy(1.1)
    load.record_start()
    assert not load.has_capacity(1.1)
    load.record_outcome(ExchangeOutcome.SUCCESS, latency_s=0.01, now=1.2)
    assert load.has_capacity(1.2)


def test_limit_grows_on_fast_and_shrinks_on_slow_responses():
    load = TargetLoad(slots=8)
    load.usable_slots = 8
    for _ in range(60):
        for _ in range(load.capacity()):
            load.record_start()
        while load.in_flight:
            load.record_outcome(
                ExchangeOutcome.SUCCESS, latency_s=0.01, now=0.0
            )
    assert load.capacity() == 8
    for _ in range(30):
        load.record_start()
        load.record_outcome(ExchangeOutcome.SUCCESS, latency_s=0.2, now=0.0)
    assert load.capacity() <= 2


def test_target_that_sheds_is_paused_for_a_short_time():
    load = TargetLoad(slots=4)
    load.usable_slots = 4
    load.record_start()
    load.record_outcome(ExchangeOutcome.SHED, latency_s=0.0, now=5.0)
    assert not load.has_capacity(5.1)
    assert load.has_capacity(5.3)


def test_late_loan_request_does_not_replace_a_later_one():
    """Over a new connection requests may overtake those of the old one."""
    lender = SlotLender()

    def lend(wanted, number, now):
        return lender.lend(
            target="t1",
            borrower="e2",
            wanted=wanted,
            free_slots=4 - lender.lent_slots("t1", now),
            now=now,
            ttl_s=2.0,
            number=number,
        )

    assert lend(3, number=7, now=0.0) == 3
    assert lend(1, number=6, now=0.1) == 3
    assert lender.lent_slots("t1", 0.1) == 3
    assert lend(1, number=8, now=0.2) == 1
    assert lend(2, number=3, now=5.0) == 2
