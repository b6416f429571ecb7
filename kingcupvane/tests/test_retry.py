"""Tests of the retry budget, crash registry and fair queue."""

from kingcupvane.request.queue import FairQueue
from kingcupvane.request.retry import CrashRegistry, RetryBudget, fingerprint
from kingcupvane.settings import RetrySettings

SETTINGS = RetrySettings()


def test_retries_stay_a_share_of_requests():
    budget = RetryBudget(settings=SETTINGS)
    retries = 0
    for _ in range(1000):
        budget.earn()
        while budget.spend():
            retries += 1
    assert retries <= 1000 * SETTINGS.share + SETTINGS.burst


def test_request_is_refused_after_two_different_targets_died():
    crashes = CrashRegistry(settings=SETTINGS)
    assert not crashes.add("p", "t1", 0.0)
    assert not crashes.add("p", "t1", 1.0)
    assert crashes.is_suspect("p", 1.0)
    assert crashes.add("p", "t2", 2.0)
    assert crashes.is_refused("p", 2.0)
    assert not crashes.is_refused("p", 2.0 + SETTINGS.crash_memory_s + 1)


def test_peers_add_up_what_they_saw():
    one = CrashRegistry(settings=SETTINGS)
    two = CrashRegistry(settings=SETTINGS)
    one.add("p", "t1", 0.0)
    two.add("p", "t2", 0.0)
    assert two.hear(one.shared(), 1.0) == ["p"]
    assert two.is_refused("p", 1.0)


def test_fingerprint_tells_requests_apart():
    base = {
        "account": "a",
        "service": "s",
        "method": "GET",
        "path": "/",
        "body": b"",
    }
    assert fingerprint(**base) == fingerprint(**base)
    for name, other in (("account", "b"), ("path", "/x"), ("body", b"x")):
        assert fingerprint(**base) != fingerprint(**{**base, name: other})


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
