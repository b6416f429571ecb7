"""Tests of the retry budget, the crash registry and the fair queue."""

from kingcupvane.request.queue import FairQueue
from kingcupvane.request.retry import (
    CrashRegistry,
    RetryBudget,
    compute_fingerprint,
)
from kingcupvane.settings import RetrySettings

SETTINGS = RetrySettings()


def test_retries_stay_a_share_of_requests():
    budget = RetryBudget(settings=SETTINGS)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        while budget.try_withdraw():
            retries += 1
    assert retries <= 1000 * SETTINGS.share + SETTINGS.burst


def test_request_is_refused_after_two_deaths_in_a_row():
    crashes = CrashRegistry(settings=SETTINGS)
    assert not crashes.add("p", started_at=0.0, now=1.0)
    assert crashes.is_suspect("p", 1.0)
    assert not crashes.is_refused("p", 1.0)
    assert crashes.add("p", started_at=2.0, now=3.0)
    assert crashes.is_refused("p", 3.0)
    assert not crashes.is_refused("p", 3.0 + SETTINGS.crash_memory_s + 1)


def test_rack_that_is_lost_refuses_no_request():
    """When a rack is lost, several targets crash with the same request."""
    one = CrashRegistry(settings=SETTINGS)
    two = CrashRegistry(settings=SETTINGS)
    for registry in (one, two):
        for target in range(3):
            registry.add("p", started_at=0.0, now=1.0 + target / 100)
    assert not two.merge(one.snapshot(), 2.0)
    assert not one.is_refused("p", 2.0)
    assert not two.is_refused("p", 2.0)
    one.clear("p")
    assert not one.is_suspect("p", 2.0)


def test_peers_refuse_what_one_of_them_refuses():
    one = CrashRegistry(settings=SETTINGS)
    two = CrashRegistry(settings=SETTINGS)
    one.add("p", started_at=0.0, now=1.0)
    two.merge(one.snapshot(), 2.0)
    assert two.is_suspect("p", 2.0)
    assert two.add("p", started_at=3.0, now=4.0)
    assert one.merge(two.snapshot(), 5.0) == ["p"]
    assert one.is_refused("p", 5.0)


def test_fingerprint_tells_requests_apart():
    base = {
        "account": "a",
        "service": "s",
        "method": "GET",
        "path": "/",
        "body": b"",
    }
    assert compute_fingerprint(**base) == compute_fingerprint(**base)
    for name, other in (("account", "b"), ("path", "/x"), ("body", b"x")):
        assert compute_fingerprint(**base) != compute_fingerprint(
            **{**base, name: other}
        )


def test_accounts_take_turns():
    queue = FairQueue(depth=10)
    greedy = [queue.join("greedy") for _ in range(10)]
    modest = queue.join("modest")
    assert queue.join("greedy") is None
    queue.wake()
    queue.wake()
    assert greedy[0].is_set()
    assert modest.is_set()
    assert not greedy[1].is_set()


def test_waiter_that_gave_up_is_not_woken():
    queue = FairQueue(depth=10)
    first = queue.join("a")
    second = queue.join("a")
    queue.leave("a", first)
    assert queue.wake()
    assert second.is_set()
    assert not queue.wake()
    assert len(queue) == 0
