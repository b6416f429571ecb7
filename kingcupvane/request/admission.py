"""Admission control: rate limits of client accounts at one entry."""

from result import Err, Ok, Result

from kingcupvane.clock import Clock
from kingcupvane.errors import Refusal, Step
from kingcupvane.request.context import RequestContext
from kingcupvane.request.token_bucket import TokenBucket
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.rate_allocator import RateAllocator

TOO_MANY_REQUESTS = 429
RETRY_AFTER_MAX_S = 10.0


class Admission:
    """Applies this entry's share of each account's rate limit."""

    def __init__(self, *, rate_allocator: RateAllocator, clock: Clock):
        """Creates an admission control without buckets.

        Args:
            rate_allocator: Allocates rate and burst to this entry.
            clock: Monotonic clock.
        """
        self._rate_allocator = rate_allocator
        self._clock = clock
        self._buckets_by_account: dict[str, TokenBucket] = {}

    def resize(self, configuration: Configuration) -> None:
        """Applies new shares to all buckets; removes deleted accounts."""
        now = self._clock.now()
        accounts = configuration.accounts_by_name
        for name in list(self._buckets_by_account):
            if name not in accounts:
                del self._buckets_by_account[name]
        for name, account in accounts.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is None:
                bucket = TokenBucket(now=now)
                self._buckets_by_account[name] = bucket
            share = self._rate_allocator.share(account, now)
            bucket.resize(rate=share.rate, burst=share.burst, now=now)

    def admit(
        self, context: RequestContext, configuration: Configuration
    ) -> Result[None, Refusal]:
        """Admits a request within its account's rate; refuses any other.

        Requests of an account that is not in the configuration are refused.
        """
        now = self._clock.now()
        account = configuration.accounts_by_name.get(context.account)
        bucket = self._buckets_by_account.get(context.account)
        if account is None or bucket is None:
            wait_s = float("inf")
        else:
            self._rate_allocator.count_arrival(account.name, now)
            share = self._rate_allocator.share(account, now)
            if (share.rate, share.burst) != (bucket.rate, bucket.burst):
                bucket.resize(rate=share.rate, burst=share.burst, now=now)
            if bucket.try_acquire(now):
                return Ok(None)
            wait_s = bucket.wait_s(now)
        return Err(
            context.make_refusal(
                TOO_MANY_REQUESTS,
                "rate-exceeded",
                "The client account is above its rate.",
                Step.ADMIT,
                retry_after_s=min(wait_s, RETRY_AFTER_MAX_S),
            )
        )
