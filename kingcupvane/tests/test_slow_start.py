"""Tests of slow start: the rate limit of cold targets over all gateways."""

import random

import pytest

from kingcupvane.request.slow_start import SlowStartLimiter

RATE = 9.3
RATE_EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


@pytest.mark.parametrize("gateway_count", [1, 10, 90])
@pytest.mark.parametrize("seed", range(2))
def test_all_gateways_together_stay_within_the_cold_rate(gateway_count, seed):
    rng = random.Random(seed)
    names = [f"g{i}" for i in range(gateway_count)]
    limiters = [SlowStartLimiter(name=name) for name in names]
    for limiter in limiters:
        limiter.mark_cold("t", left_s=100.0, now=0.0)
    sent_times = []
    now = 0.0
    while now < 10.0:
        now += rng.expovariate(400)
        limiter = rng.choice(limiters)
        if limiter.may_use("t", names, now):
            limiter.record_request("t", rate=RATE, now=now)
            sent_times.append(now)
    most_per_second = max(
        sum(start <= time < start + 1 for time in sent_times)
        for start in sent_times
    )
    assert most_per_second <= RATE * RATE_EXCESS_FACTOR + EXCESS_REQUESTS
    assert sent_times[-1] > 8.0


def test_warm_target_has_no_rate_limit():
    limiter = SlowStartLimiter(name="g")
    limiter.mark_cold("t", left_s=2.0, now=0.0)
    assert limiter.is_cold("t", 1.0)
    assert not limiter.is_cold("t", 5.0)
    assert all(limiter.may_use("t", ["g"], 5.0) for _ in range(50))
