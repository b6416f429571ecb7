"""How long a request may wait for a slot, and when a refused one returns.

Load pattern: more requests come than targets can serve, so that a queue forms
in front of each. A queue that is allowed to stand makes every answer late. A
request is therefore refused at once when its wait would make it miss its
objective; the others still meet theirs. A request that was refused before and
came back is late already: it may wait longer, so that it is served in the end.
"""

from kingcupvane.hashing import stable_hash
from kingcupvane.request.placement import Candidate

# Wait that is always allowed, in seconds: work on a cold object misses most
# objectives anyway and has to be done once.
WAIT_MIN_S = 0.06
# Part of the time left that a returning request may wait.
RETURNING_WAIT_SHARE = 0.35
RETURNING_WAIT_MAX_S = 0.5
# Part of the longest deadline below which a request counts as returning. The
# deadlines of first attempts spread over a sixth.
RETURNING_TIMEOUT_RATIO = 0.82
# Time on the way to the caller and back, in seconds.
CALLER_ROUND_TRIP_S = 0.02
# Least and largest Retry-After, in seconds.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0
HASH_RANGE = 2.0**64


class DeadlineMemory:
    """Knows the deadline with which callers of a route first ask."""

    def __init__(self):
        """Starts without requests."""
        self._longest_timeout_by_route: dict[str, float] = {}

    def is_returning(self, route: str, timeout_s: float) -> bool:
        """Returns whether a request has used up time before.

        Args:
            route: Name of the route.
            timeout_s: Time that the caller will wait, in seconds.
        """
        longest = max(timeout_s, self._longest_timeout_by_route.get(route, 0.0))
        self._longest_timeout_by_route[route] = longest
        return timeout_s < RETURNING_TIMEOUT_RATIO * longest


def allowed_wait_s(
    candidate: Candidate,
    *,
    latency_objective_s: float,
    elapsed_s: float,
    left_s: float,
    returning: bool,
) -> float:
    """Returns the longest wait for which a request is sent to a target.

    Args:
        candidate: The best target.
        latency_objective_s: Latency objective of the route, in seconds.
        elapsed_s: Time since the request came, in seconds.
        left_s: Time to its deadline, in seconds.
        returning: Whether it was refused before.
    """
    without_wait = candidate.finish_s - candidate.wait_s
    until_deadline = max(0.0, left_s - without_wait)
    if returning:
        longest = min(RETURNING_WAIT_MAX_S, RETURNING_WAIT_SHARE * left_s)
        return min(until_deadline, longest)
    until_objective = (
        latency_objective_s - elapsed_s - without_wait - CALLER_ROUND_TRIP_S
    )
    return min(until_deadline, max(WAIT_MIN_S, until_objective))


def retry_after_s(wait_s: float, *, attempt_id: str) -> float:
    """Returns when a refused request should come back, in seconds.

    Those that are refused together come back spread over as long again.

    Args:
        wait_s: Expected wait for a slot.
        attempt_id: Id of the caller's attempt.
    """
    jitter = stable_hash(attempt_id) / HASH_RANGE
    base = max(RETRY_AFTER_MIN_S, wait_s)
    return min(RETRY_AFTER_MAX_S, base * (1.0 + jitter))
