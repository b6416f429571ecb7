"""Tests of the retry budget, the crash registry and the fair queue."""

from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.queue import FairQueue
from kingcupvane.request.retry import RetryBudget, compute_fingerprint
from kingcupvane.settings import RetrySettings

SETTINGS = RetrySettings()


def test_retry_budget_limits_retries_to_a_share_of_requests():
    budget = RetryBudget(settings=SETTINGS)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        while budget.try_withdraw():
            retries += 1
    assert retries <= 1000 * SETTINGS.share + SETTINGS.burst


def test_request_is_refused_for_a_time_after_two_successive_crashes():
    crashes = CrashRegistry(settings=SETTINGS)
    assert not crashes.record_crash("p", started_at=0.0, now=1.0)
    assert crashes.is_suspect("p", 1.0)
    assert not crashes.is_refused("p", 1.0)
    assert crashes.record_crash("p", started_at=2.0, now=3.0)
    assert crashes.is_refused("p", 3.0)
    assert not crashes.is_refused("p", 3.0 + SETTINGS.crash_memory_s + 1)


def test_simultaneous_crashes_do_not_get_a_request_refused():
    """A lost rack takes down several targets that run a frequent request."""
    first_registry = CrashRegistry(settings=SETTINGS)
    second_registry = CrashRegistry(settings=SETTINGS)
    for registry in (first_registry, second_registry):
        for target in range(3):
            registry.record_crash("p", started_at=0.0, now=1.0 + target / 100)
    assert not second_registry.merge(first_registry.snapshot(2.0), 2.0)
    assert not first_registry.is_refused("p", 2.0)
    assert not second_registry.is_refused("p", 2.0)
    first_registry.clear_suspicion("p", 2.0)
    assert not first_registry.is_suspect("p", 2.0)


def test_refusal_is_passed_on_to_peers():
    first_registry = CrashRegistry(settings=SETTINGS)
    second_registry = CrashRegistry(settings=SETTINGS)
    first_registry.record_crash("p", started_at=0.0, now=1.0)
    second_registry.merge(first_registry.snapshot(2.0), 2.0)
    assert second_registry.is_suspect("p", 2.0)
    assert second_registry.record_crash("p", started_at=3.0, now=4.0)
    assert first_registry.merge(second_registry.snapshot(5.0), 5.0) == ["p"]
    assert first_registry.is_refused("p", 5.0)


def test_different_requests_have_different_fingerprints():
    base = {
        "account": "a",
        "service": "s",
        "method": "GET",
        "path": "/",
        "body": b"",
    }
    assert compute_fingerprint(**base) == compute_fingerprint(**base)
    for name, different_value in (
        ("account", "b"),
        ("path", "/x"),
        ("body", b"x"),
    ):
        assert compute_fingerprint(**base) != compute_fingerprint(
            **{**base, name: different_value}
        )


def test_accounts_are_woken_in_turn():
    queue = FairQueue(depth=10)
    greedy = [queue.join("greedy") for _ in range(10)]
    modest = queue.join("modest")
    assert queue.join("greedy") is None
    queue.wake()
    queue.wake()
    assert greedy[0].is_set()
    assert modest.is_set()
    assert not greedy[1].is_set()


def test_waiter_that_left_is_not_woken():
    queue = FairQueue(depth=10)
    first = queue.join("a")
    second = queue.join("a")
    queue.leave("a", first)
    assert queue.wake()
    assert second.is_set()
    assert not queue.wake()
    assert len(queue) == 0
