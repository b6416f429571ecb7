"""Bound of the requests to a cold target, and its shares by gateway."""

from dataclasses import dataclass

# Gateways that may send requests to one cold target. Each of them may send one
# request at any moment, whatever its rate, so that few can share a higher rate.
SENDERS_PER_COLD_TARGET = 3
# Fraction of the tolerated rate that they use together before any answer.
COLD_RATE_SHARE = 0.6
# Fraction of the bound that is used, as requests may be delayed on their way
# and then arrive closer together than they were sent.
COLD_BOUND_SHARE = 0.95


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdBound:
    """Requests that a cold target may get in any second, from all gateways.

    Attributes:
        excess: Factor on the rate that it tolerates.
        extra: Requests beyond that.
    """

    excess: float = 1.5
    extra: float = 5.0

    def first_share(self, rate: float) -> float:
        """Returns a sender's rate before any answer, in requests a second."""
        return COLD_RATE_SHARE * rate / SENDERS_PER_COLD_TARGET

    def largest_share(self, rate: float) -> float:
        """Returns the highest rate of a sender, in requests a second.

        In one second a sender sends one request more than its rate. The bound
        holds while the senders use this rate, and as many that they don't hear
        of use the rate before any answer.

        Args:
            rate: Requests a second that the target tolerates while cold.
        """
        bound = COLD_BOUND_SHARE * (self.excess * rate + self.extra)
        first = self.first_share(rate)
        unheard = SENDERS_PER_COLD_TARGET * (first + 1.0)
        largest = (bound - unheard) / SENDERS_PER_COLD_TARGET - 1.0
        return max(first, largest)
