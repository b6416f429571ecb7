"""Tests of the rate limit of cold targets, over all gateways."""

import random

import pytest

from kingcupvane.request.slow_start import SlowStartLimiter

RATE = 9.3
EXCESS = 1.5
EXTRA = 5


@pytest.mark.parametrize("count", [1, 10, 90])
@pytest.mark.parametrize("seed", range(2))
def test_all_gateways_together_keep_to_the_rate(count, seed):
    chance = random.Random(seed)
    names = [f"g{i}" for i in range(count)]
    limiters = [SlowStartLimiter(name=name) for name in names]
    for limiter in limiters:
        limiter.mark_cold("t", left_s=100.0, now=0.0)
    times = []
    now = 0.0
    while now < 10.0:
        now += chance.expovariate(400)
        limiter = chance.choice(limiters)
        if limiter.may_use("t", names, now):
            limiter.record_request("t", rate=RATE, now=now)
            times.append(now)
    worst = max(
        sum(start <= time < start + 1 for time in times) for start in times
    )
    assert worst <= RATE * EXCESS + EXTRA
    assert times[-1] > 8.0


def test_warm_target_is_free_to_use():
    limiter = SlowStartLimiter(name="g")
    limiter.mark_cold("t", left_s=2.0, now=0.0)
    assert limiter.is_cold("t", 1.0)
    assert not limiter.is_cold("t", 5.0)
    assert all(limiter.may_use("t", ["g"], 5.0) for _ in range(50))
