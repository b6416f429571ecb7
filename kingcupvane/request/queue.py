"""Queue for free slots that is fair to client accounts."""

from collections import OrderedDict, deque

import trio


class FairQueue:
    """Waiting requests of one service, served round robin by account.

    An account that sends more than others waits behind its own requests, not
    ahead of those of others.
    """

    def __init__(self, *, depth: int):
        """Creates an empty queue.

        Args:
            depth: Most waiting requests per account.
        """
        self._depth_per_account = depth
        self._waiters_by_account: OrderedDict[str, deque[trio.Event]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return sum(
            len(waiters) for waiters in self._waiters_by_account.values()
        )

    def join(self, account: str) -> trio.Event | None:
        """Adds a waiter; returns its event, or None if too many wait.

        The event is set when it is the waiter's turn to try for a slot. The
        limit is `depth` waiters of the same account.
        """
        waiters = self._waiters_by_account.setdefault(account, deque())
        if len(waiters) >= self._depth_per_account:
            return None
        waiter = trio.Event()
        waiters.append(waiter)
        return waiter

    def leave(self, account: str, waiter: trio.Event) -> None:
        """Removes a waiter that timed out, was cancelled or was served."""
        waiters = self._waiters_by_account.get(account)
        if waiters is None:
            return
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            del self._waiters_by_account[account]

    def wake(self) -> bool:
        """Wakes the oldest waiter of the next account; false if none waits."""
        for account, waiters in list(self._waiters_by_account.items()):
            self._waiters_by_account.move_to_end(account)
            if waiters:
                waiter = waiters.popleft()
                if not waiters:
                    del self._waiters_by_account[account]
                waiter.set()
                return True
        return False
