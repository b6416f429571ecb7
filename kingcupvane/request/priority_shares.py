"""Shares of the priorities that compete for the slots of a service.

A share is the part of a priority's requests that may wait for a slot. The
threshold between priorities moves with what all gateways refuse, steadily: a
priority is never cut off at once, and keeps a least share.
"""

from collections.abc import Iterable, Mapping

from kingcupvane.request.priority_load import PriorityLoad

# Least share of a priority, relative to the served share of all requests.
LEAST_SHARE = 0.4
# Refused part of the higher priorities at which the share of a lower one rests:
# relative to the refused part of the lower one, and at least.
PRESSURE_AIM_RATIO = 0.1
PRESSURE_AIM_MIN = 0.02
# Highest speed of a share's change, by the second; in an overload it rises more
# slowly. Its longest step, in seconds.
SHARE_PER_S = 0.3
OVERLOAD_RISE_PER_S = 0.1
SHARE_STEP_MAX_S = 0.5


def next_shares(
    shares: Mapping[int, float],
    loads: Iterable[PriorityLoad],
    *,
    least: float,
    is_overloaded: bool,
    elapsed_s: float,
) -> dict[int, float]:
    """Returns the shares by priority after a further step.

    The threshold lies in one priority: those above it have their whole share,
    those below it the least one. It moves while the requests above it are
    refused too often, or hardly ever.

    Args:
        shares: Shares up to now, of all gateways on average.
        loads: Load of all gateways at one service, by priority.
        least: Share that every priority keeps.
        is_overloaded: Whether there are too few slots; else all shares rise.
        elapsed_s: Time since the last step, in seconds.
    """
    ordered = sorted(loads, key=lambda load: load.priority)
    shares = {
        load.priority: max(least, shares.get(load.priority, 1.0))
        for load in ordered
    }
    elapsed_s = min(elapsed_s, SHARE_STEP_MAX_S)
    step = SHARE_PER_S * elapsed_s
    if not is_overloaded:
        return {p: min(1.0, share + step) for p, share in shares.items()}
    for index in reversed(range(1, len(ordered))):
        priority = ordered[index].priority
        pressure = _pressure(ordered[:index], ordered[index])
        if shares[priority] > least and pressure > 0.0:
            shares[priority] = max(least, shares[priority] - step * pressure)
            return shares
    for index, load in enumerate(ordered):
        share = shares[load.priority]
        if share < 1.0:
            pressure = _pressure(ordered[:index], load)
            rise = OVERLOAD_RISE_PER_S * elapsed_s * max(0.0, -pressure)
            shares[load.priority] = min(1.0, share + rise)
            return shares
    return shares


def _pressure(higher: Iterable[PriorityLoad], lower: PriorityLoad) -> float:
    """Returns whether too many higher requests are refused, from -1 to 1."""
    refused_part = _refused_part(higher)
    aim = PRESSURE_AIM_RATIO * _refused_part([lower])
    return min(1.0, refused_part / max(PRESSURE_AIM_MIN, aim) - 1.0)


def _refused_part(loads: Iterable[PriorityLoad]) -> float:
    loads = list(loads)
    wanted = sum(load.wanted for load in loads)
    refused = sum(load.refused for load in loads)
    return refused / wanted if wanted > 0.0 else 0.0


def served_share(loads: Iterable[PriorityLoad]) -> float:
    """Returns how often requests are served, whatever their service time."""
    loads = list(loads)
    rate = sum(load.rate for load in loads)
    refused_rate = sum(load.refused_rate for load in loads)
    return max(0.0, 1.0 - refused_rate / rate) if rate > 0.0 else 0.0
