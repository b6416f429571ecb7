"""Tests of the service times of routes that share a service."""

import pytest

from kingcupvane.request.service_time import ServiceTimes

SHORT_S = 0.2
LONG_S = 2.0


def times_of(*samples):
    """Returns service times after answers, as pairs of route and seconds."""
    times = ServiceTimes()
    for route, elapsed_s in samples:
        times.get("files", route).add(is_known_warm=True, elapsed_s=elapsed_s)
        times.count("files", route)
    return times


def test_routes_of_one_service_have_service_times_of_their_own():
    times = times_of(*[("pull", SHORT_S), ("history", LONG_S)] * 40)
    assert times.get("files", "pull").warm_service_s == pytest.approx(SHORT_S)
    assert times.get("files", "history").warm_service_s == pytest.approx(LONG_S)


# One estimate for both routes let a short request wait behind long ones as if
# they were short.
@pytest.mark.parametrize("long_count", [1, 3])
def test_queue_holds_the_mix_of_routes(long_count):
    round_of_requests = [("pull", SHORT_S)] + [("history", LONG_S)] * long_count
    times = times_of(*round_of_requests * 300)
    mean_s = (SHORT_S + long_count * LONG_S) / (1 + long_count)
    queue_service_s = times.get("files", "pull").queue_service_s
    assert queue_service_s == pytest.approx(mean_s, rel=0.05)
    assert times.mean_s("files") == queue_service_s


def test_queue_of_a_single_route_holds_requests_for_warm_keys():
    times = times_of(*[("pull", SHORT_S)] * 40)
    estimate = times.get("files", "pull")
    assert estimate.queue_service_s == estimate.warm_service_s


def test_routes_without_requests_leave_the_mix():
    samples = [("pull", SHORT_S)] + [("history", LONG_S)] * 600
    assert times_of(*samples).mean_s("files") == pytest.approx(LONG_S)
