"""Tests of one gateway's part of the fleet's retries."""

import random

import pytest

from kingcupvane.request.retry_budgets import (
    DEMAND_KNOWN_AFTER_S,
    FleetView,
    RetryAllowance,
    RetryBudgets,
)

SERVICE = "s"
ALLOWANCE = RetryAllowance(share=0.2, extra=400.0, window_s=10.0)


def view(*, live=1, known=1, registered=True, demand=0.0):
    return FleetView(
        live_count=live,
        known_count=known,
        is_registered=registered,
        demand_by_service={SERVICE: demand},
    )


def budgets(*, allowance=ALLOWANCE, seed=1):
    return RetryBudgets(
        allowance=allowance, now=0.0, draw=random.Random(seed).random
    )


def steady_part(fleet_view, *, own_demand=1.0):
    """Returns a gateway's part once its demand is known to the others."""
    gateway = budgets()
    for now in (0.0, DEMAND_KNOWN_AFTER_S, 2 * DEMAND_KNOWN_AFTER_S):
        gateway.update(fleet_view, {SERVICE: own_demand}, now)
    return gateway.parts()[SERVICE]


def test_part_follows_the_share_of_the_demand():
    part = steady_part(view(live=4, known=4, demand=9.0))
    assert part == pytest.approx(0.1, rel=0.02)


def test_silent_gateway_keeps_its_share_of_the_whole():
    part = steady_part(view(live=1, known=4))
    assert part == pytest.approx(0.25, rel=0.02)


def test_gateway_without_registration_has_no_part_while_others_are_silent():
    assert steady_part(view(live=3, known=4, registered=False)) == 0.0
    assert steady_part(view(live=4, known=4, registered=False)) > 0.0


def test_new_process_has_no_part_until_the_others_know_its_demand():
    gateway = budgets()
    for step in range(10):
        gateway.update(view(), {SERVICE: 5.0}, 0.2 * step)
        assert gateway.parts()[SERVICE] == 0.0
    gateway.update(view(), {SERVICE: 5.0}, DEMAND_KNOWN_AFTER_S)
    assert gateway.parts()[SERVICE] == pytest.approx(1.0, rel=0.02)


def test_demand_that_others_do_not_know_yet_does_not_count():
    gateway = budgets()
    for now in (0.0, 2.0, 4.0):
        gateway.update(view(demand=9.0, live=2), {SERVICE: 1.0}, now)
    gateway.update(view(demand=9.0, live=2), {SERVICE: 9.0}, 4.2)
    assert gateway.parts()[SERVICE] < 0.1


def test_requests_earn_retries_without_any_view():
    gateway = budgets()
    granted = 0
    for index in range(1000):
        gateway.count_request(SERVICE, index / 10)
        granted += gateway.try_withdraw(SERVICE, index / 10)
    assert granted == pytest.approx(150, rel=0.2)


def test_parts_below_one_retry_are_spent_by_chance():
    """300 gateways with a fifth of a retry each make their retries together."""
    granted = 0
    small = RetryAllowance(share=0.0, extra=60.0, window_s=10.0)
    for seed in range(300):
        gateway = budgets(allowance=small, seed=seed)
        for step in range(100):
            gateway.update(
                view(live=300, known=300, demand=299.0),
                {SERVICE: 1.0},
                0.2 * step,
            )
        granted += sum(gateway.try_withdraw(SERVICE, 20.0) for _ in range(9))
    assert 10 < granted < 40


def test_service_without_requests_has_a_part_of_its_own():
    gateway = budgets()
    gateway.update(view(), {}, 0.0)
    gateway.update(view(), {SERVICE: 0.0}, 0.2)
    gateway.update(view(live=2, known=2), {SERVICE: 0.0}, 3.0)
    assert gateway.parts()[SERVICE] == pytest.approx(0.5)


def test_retries_are_counted_by_payment():
    gateway = budgets()
    gateway.count(SERVICE, "unreachable")
    assert not gateway.try_withdraw(SERVICE, 0.0)
    assert gateway.counts() == {
        (SERVICE, "unreachable"): 1,
        (SERVICE, "denied"): 1,
    }
