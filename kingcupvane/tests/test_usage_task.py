"""Tests of the duty of usage reports, with any order of faults."""

from functools import partial

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcupvane.process import usage_task
from kingcupvane.process.usage_duty import RECORD_KEY, decode_record, encode
from kingcupvane.tests.usage_fleet import LEASE_S, Fleet

RUN_S = 60.0


async def freeze(fleet, *, node, duration_s):
    await fleet.nodes[node % fleet.size].freeze(duration_s)


async def freeze_holder(fleet, *, node, duration_s):
    holder = fleet.holder()
    if holder is not None:
        await holder.freeze(duration_s)


async def freeze_in_send(fleet, *, node, duration_s):
    fleet.nodes[node % fleet.size].freeze_s_by_operation["send"] = duration_s


async def freeze_in_renewal(fleet, *, node, duration_s):
    fleet.nodes[node % fleet.size].freeze_s_by_operation["renew"] = duration_s


async def freeze_in_write(fleet, *, node, duration_s):
    fleet.nodes[node % fleet.size].freeze_s_by_operation["swap"] = duration_s


async def kill(fleet, *, node, duration_s):
    victim = fleet.nodes[node % fleet.size]
    victim.kill()
    await trio.sleep(duration_s / 4.0)
    if not victim.is_running:
        await victim.run()


async def kill_holder(fleet, *, node, duration_s):
    holder = fleet.holder()
    if holder is not None:
        await kill(fleet, node=fleet.nodes.index(holder), duration_s=duration_s)


async def resign_holder(fleet, *, node, duration_s):
    holder = fleet.holder()
    if holder is not None:
        fleet.contenders.remove(holder)
        fleet.contenders.append(holder)
        await holder.task.resign()


async def cut(fleet, *, node, duration_s):
    await set_for(fleet.nodes[node % fleet.size], "is_cut", duration_s)


async def cut_holder(fleet, *, node, duration_s):
    holder = fleet.holder()
    if holder is not None:
        await set_for(holder, "is_cut", duration_s)


async def lose_store_answers(fleet, *, node, duration_s):
    await set_for(fleet.nodes[node % fleet.size], "loses_answers", duration_s)


async def delay_store_calls(fleet, *, node, duration_s):
    await set_for(fleet.nodes[node % fleet.size], "calls_late", duration_s)


async def stop_store(fleet, *, node, duration_s):
    await set_for(fleet.store, "is_down", duration_s)


async def stop_platform(fleet, *, node, duration_s):
    await set_for(fleet.platform, "is_down", duration_s)


async def lose_platform_answers(fleet, *, node, duration_s):
    await set_for(fleet.platform, "loses_answers", duration_s)


async def delay_platform_calls(fleet, *, node, duration_s):
    await set_for(fleet.platform, "carries_out_late", duration_s)


async def set_clock(fleet, *, node, duration_s):
    clock = fleet.nodes[node % fleet.size].clock
    clock.skew_s = 8.0 if node % 2 else -8.0
    await trio.sleep(duration_s)
    clock.skew_s = 0.0


async def set_for(owner, name, duration_s):
    setattr(owner, name, True)
    await trio.sleep(duration_s)
    setattr(owner, name, False)


ALL_FAULTS = (
    freeze,
    freeze_holder,
    freeze_in_send,
    freeze_in_renewal,
    freeze_in_write,
    kill,
    kill_holder,
    resign_holder,
    cut,
    cut_holder,
    lose_store_answers,
    delay_store_calls,
    stop_store,
    stop_platform,
    lose_platform_answers,
    delay_platform_calls,
    set_clock,
)
fault_lists = st.lists(
    st.tuples(
        st.floats(2.0, RUN_S - 5.0),
        st.sampled_from(ALL_FAULTS),
        st.integers(0, 5),
        st.floats(0.1, 9.0),
    ),
    max_size=12,
)


def play(fleet, faults, run_s=RUN_S):
    return fleet.run(
        run_s,
        *(
            (at, partial(fault, node=node, duration_s=duration_s))
            for at, fault, node, duration_s in faults
        ),
    )


def check_reports(fleet, *, tolerance=0.0):
    """Checks that every window was reported in time and near the truth."""
    windows = fleet.due_windows()
    assert len(windows) >= 5
    for window in windows:
        counts = fleet.report(window)
        assert counts is not None, f"no report for window {window}"
        truth = fleet.truth[window]
        for account in counts.keys() | truth.keys():
            off = abs(counts.get(account, 0) - truth.get(account, 0))
            assert off <= tolerance * truth.get(account, 0), (window, account)


@given(
    faults=fault_lists,
    enforces=st.booleans(),
    seed=st.integers(0, 1000),
)
@settings(max_examples=40)
def test_no_order_of_faults_breaks_a_promise(faults, enforces, seed):
    fleet = play(Fleet(enforces=enforces, seed=seed), faults)
    fleet.check_safety()


@pytest.mark.parametrize("seed", range(16))
def test_holders_that_change_all_the_time_break_no_promise(seed):
    faults = []
    kinds = (freeze_holder, cut_holder, kill_holder, resign_holder)
    fleet = Fleet(enforces=False, seed=seed)
    at = 4.0
    while at < 110.0:
        fault = fleet.random.choice(kinds)
        faults.append((at, fault, 0, fleet.random.uniform(0.5, 7.0)))
        at += fleet.random.uniform(0.3, 6.0)
    play(fleet, faults, run_s=120.0).check_safety()
    assert len({act.token for act in fleet.platform.accepted}) > 3


@pytest.mark.parametrize("seed", range(5))
def test_calm_fleet_reports_every_window_in_time_and_exactly(seed):
    fleet = play(Fleet(size=6, seed=seed), [])
    fleet.check_safety()
    check_reports(fleet)
    assert len({act.token for act in fleet.platform.accepted}) == 1


@given(
    jumps=st.lists(
        st.tuples(
            st.floats(0.0, RUN_S),
            st.just(set_clock),
            st.integers(0, 1),
            st.floats(0.1, 30.0),
        ),
        max_size=4,
    )
)
@settings(max_examples=10)
def test_clocks_of_a_third_of_the_vms_do_not_change_a_report(jumps):
    fleet = play(Fleet(size=6), jumps)
    fleet.check_safety()
    check_reports(fleet)


@pytest.mark.parametrize("seed", range(10))
def test_killed_gateway_costs_less_than_the_tolerance(seed):
    fleet = Fleet(size=10, seed=seed)
    at = fleet.random.uniform(15.0, 30.0)
    node = fleet.random.randrange(10)
    play(fleet, [(at, kill, node, 1000.0)])
    fleet.check_safety()
    check_reports(fleet, tolerance=0.05)


@pytest.mark.parametrize("fault", [kill_holder, freeze_holder, cut_holder])
@pytest.mark.parametrize("at", [15.0, 18.3, 18.95, 19.1])
def test_lost_holder_is_replaced_before_a_report_is_late(fault, at):
    fleet = play(Fleet(size=10, seed=1), [(at, fault, 0, 30.0)])
    fleet.check_safety()
    for window in fleet.due_windows():
        assert fleet.report(window) is not None, window
    assert len({act.token for act in fleet.platform.accepted}) == 2


@pytest.mark.parametrize("enforces", [False, True])
@pytest.mark.parametrize(
    "fault", [freeze_in_send, freeze_in_renewal, freeze_in_write]
)
@pytest.mark.parametrize("duration_s", [4.0, 6.5, 9.0, 11.5])
def test_holder_that_was_frozen_in_a_call_sends_nothing_after_its_lease(
    fault, duration_s, enforces
):
    faults = [(at, fault, 0, duration_s) for at in (12.0, 13.4, 14.1)]
    fleet = play(Fleet(enforces=enforces), faults)
    fleet.check_safety()
    holders = {act.sender for act in fleet.platform.accepted}
    assert len(holders) > 1


@pytest.mark.parametrize(
    "fault", [freeze_in_send, freeze_in_renewal, freeze_in_write]
)
@pytest.mark.parametrize("duration_s", [8.0, 8.4, 8.8, 9.2, 9.6, 10.0])
def test_thawed_holder_does_not_send_what_its_successor_has_sent(
    fault, duration_s
):
    # The platform's outage leaves the frozen holder a recorded window to send.
    faults = [(13.5, stop_platform, 0, 5.5), (14.2, fault, 0, duration_s)]
    fleet = play(Fleet(enforces=False), faults, run_s=40.0)
    fleet.check_safety()
    assert len({act.sender for act in fleet.platform.accepted}) == 2


@given(faults=fault_lists, seed=st.integers(0, 1000))
@settings(max_examples=10)
def test_fleet_works_on_after_any_order_of_faults(faults, seed):
    fleet = play(Fleet(seed=seed), faults, run_s=RUN_S + 40.0)
    fleet.check_safety()
    last = fleet.due_windows()[-1]
    assert fleet.report(last) is not None


def test_returning_holder_waits_for_a_lease(monkeypatch):
    # Only the wait of the new term is left.
    monkeypatch.setattr(usage_task, "PAUSE_PER_LEASE", 0.0)
    faults = [(12.0 + 0.9 * n, resign_holder, 0, 0.0) for n in range(40)]
    fleet = play(Fleet(size=2, enforces=False), faults)
    fleet.check_safety()
    assert len({act.sender for act in fleet.platform.accepted}) == 2


def test_refused_holder_does_not_call_again_on_its_token():
    async def show_higher_token(fleet, *, node, duration_s):
        fleet.platform.highest_token = 4

    fleet = play(Fleet(), [(12.0, show_higher_token, 0, 0.0)])
    fleet.check_safety()
    assert fleet.platform.refused_tokens == [1, 2, 3]
    assert fleet.platform.accepted[-1].token == 4
    check_reports(fleet)


def test_holder_whose_record_another_one_has_written_uses_no_token_of_it():
    async def take_over_record(fleet, *, node, duration_s):
        item = fleet.store.get(RECORD_KEY).ok_value
        record = decode_record(item.value).ok_value
        taken = record.taken_over_by("other", first_window=0)
        fleet.store.compare_and_swap(
            RECORD_KEY, encode(taken), expected=item.revision
        )

    fleet = play(Fleet(), [(12.0, take_over_record, 0, 0.0)])
    fleet.check_safety()
    tokens = [act.token for act in fleet.platform.accepted]
    assert 2 not in tokens
    assert tokens[-1] == 3


def test_platform_outage_is_followed_by_the_windows_that_wait():
    fleet = play(Fleet(), [(15.0, stop_platform, 0, 8.0)])
    fleet.check_safety()
    check_reports(fleet)


def test_calls_stay_below_the_platforms_rate():
    fleet = play(
        Fleet(),
        [(10.0, stop_platform, 0, 25.0), (35.0, lose_platform_answers, 0, 9.0)],
    )
    fleet.check_safety()
    assert fleet.platform.throttled == 0


def test_window_takes_one_write_and_few_renewals():
    fleet = play(Fleet(), [])
    windows = len(fleet.platform.accepted)
    calls = [node.calls for node in fleet.nodes]
    swaps = sum(each.get("swap", 0) for each in calls)
    # Two writes win the duty.
    assert swaps <= windows + 2
    assert sum(each.get("renew", 0) for each in calls) <= RUN_S / LEASE_S * 3
