"""Bounds of a request's wait for a slot, and Retry-After of refused requests.

Load pattern: demand exceeds what the targets can serve, so that a queue forms
at each. A standing queue makes every response late. A request is therefore
refused at once if its wait would make it miss its latency objective; the others
still meet theirs. A caller's retry of a request that was refused before is
late already: while the service has room, it may wait longer, so that it is
served eventually. In an overload it would do so at the cost of requests that
are still in time, so it waits no longer than these.
"""

from kingcupvane.hashing import stable_hash
from kingcupvane.request.placement import Candidate

# Wait that a first attempt is allowed even if it then misses the objective, in
# seconds: requests for a cold key miss most objectives anyway, but must be
# served once to warm a target.
WAIT_MIN_S = 0.06
# Wait that a caller's retry is allowed: as a fraction of the time left to its
# deadline, and at most, in seconds.
CALLER_RETRY_WAIT_SHARE = 0.35
CALLER_RETRY_WAIT_MAX_S = 0.5
# A request counts as a caller's retry when its timeout is below this fraction
# of the route's longest one. The timeouts of first attempts are at most a sixth
# shorter than the longest one.
CALLER_RETRY_TIMEOUT_RATIO = 0.82
# Network round trip to the caller, in seconds.
CALLER_ROUND_TRIP_S = 0.02
# Bounds of Retry-After, in seconds.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0
HASH_RANGE = 2.0**64


class CallerRetryDetector:
    """Detects callers' retries by their shorter timeouts.

    The longest timeout seen on a route is taken for that of first attempts.
    """

    def __init__(self):
        """Starts without any timeout seen."""
        self._longest_timeout_by_route: dict[str, float] = {}

    def is_caller_retry(self, route: str, timeout_s: float) -> bool:
        """Returns whether the caller has spent time on earlier attempts.

        Args:
            route: Name of the route.
            timeout_s: How long the caller will wait, in seconds.
        """
        longest = max(timeout_s, self._longest_timeout_by_route.get(route, 0.0))
        self._longest_timeout_by_route[route] = longest
        return timeout_s < CALLER_RETRY_TIMEOUT_RATIO * longest


def allowed_wait_s(
    candidate: Candidate,
    *,
    latency_objective_s: float,
    elapsed_s: float,
    remaining_s: float,
    is_caller_retry: bool,
    is_overloaded: bool = False,
) -> float:
    """Returns the longest wait that a request may have at a target, in seconds.

    Args:
        candidate: The target with its expected latency and wait.
        latency_objective_s: Latency objective of the route, in seconds.
        elapsed_s: Time since the request arrived, in seconds.
        remaining_s: Time remaining until its deadline, in seconds.
        is_caller_retry: Whether it was refused before.
        is_overloaded: Whether the service refuses more than a few requests.
    """
    without_wait = candidate.expected_latency_s - candidate.wait_s
    until_deadline = max(0.0, remaining_s - without_wait)
    until_objective = (
        latency_objective_s - elapsed_s - without_wait - CALLER_ROUND_TRIP_S
    )
    longest = max(WAIT_MIN_S, until_objective)
    if is_caller_retry:
        late_s = min(
            CALLER_RETRY_WAIT_MAX_S, CALLER_RETRY_WAIT_SHARE * remaining_s
        )
        longest = min(longest, late_s) if is_overloaded else late_s
    return min(until_deadline, longest)


def retry_after_s(wait_s: float, *, caller_attempt_id: str) -> float:
    """Returns the Retry-After of a refused request, in seconds.

    A jitter of up to the delay itself spreads the retries of requests that are
    refused together.

    Args:
        wait_s: Expected wait for a slot or a token, in seconds.
        caller_attempt_id: Id of the caller's attempt; seeds the jitter.
    """
    jitter = stable_hash(caller_attempt_id) / HASH_RANGE
    base = max(RETRY_AFTER_MIN_S, wait_s)
    return min(RETRY_AFTER_MAX_S, base * (1.0 + jitter))
