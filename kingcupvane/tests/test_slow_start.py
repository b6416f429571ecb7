"""Tests of slow start: the rate limit of cold targets over all gateways."""

import random

import pytest

from kingcupvane.process.peering import PeerTable, advertised_names
from kingcupvane.request.slow_start import SlowStartLimiter
from kingcupvane.tests.test_peering import record, report

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


@pytest.mark.parametrize("heard_of", [0, 2])
def test_gateways_that_hear_of_few_others_stay_within_the_cold_rate(heard_of):
    """195 gateways have started anew at once; the store lists all of them."""
    records = [
        record(
            f"g{i}", data_centre=f"dc{i % 9}", link_mbps=10.0 + 90 * (i < 27)
        )
        for i in range(195)
    ]
    rng = random.Random(1)
    sent_times = []
    fleet = []
    for own in records:
        table = PeerTable(own=own)
        for peer in rng.sample(records, heard_of):
            if peer.data_centre == own.data_centre:
                table.receive_report(report(peer), 0.0)
        names = advertised_names(
            table, own_ready=True, registered=records, now=0.5
        )
        limiter = SlowStartLimiter(name=own.name)
        limiter.mark_cold("t", left_s=100.0, now=0.0)
        fleet.append((limiter, names))
    for step in range(2000):
        limiter, names = rng.choice(fleet)
        if limiter.may_use("t", names, step / 1000):
            limiter.record_request("t", rate=RATE, now=step / 1000)
            sent_times.append(step / 1000)
    most_per_second = max(
        sum(start <= time < start + 1 for time in sent_times)
        for start in sent_times
    )
    assert most_per_second <= RATE * RATE_EXCESS_FACTOR + EXCESS_REQUESTS
