"""Waiting for a free slot, fairly by client account."""

from collections import OrderedDict, deque

import trio


class FairQueue:
    """Waiters of one service; accounts take turns.

    An account that sends more than others waits behind its own requests, not
    in front of theirs.
    """

    def __init__(self, *, depth: int):
        """Makes an empty queue.

        Args:
            depth: Most waiters of one account.
        """
        self._depth_per_account = depth
        self._waiters_by_account: OrderedDict[str, deque[trio.Event]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of waiters."""
        return sum(
            len(waiters) for waiters in self._waiters_by_account.values()
        )

    def join(self, account: str) -> trio.Event | None:
        """Adds a waiter; None when the account has too many."""
        waiters = self._waiters_by_account.setdefault(account, deque())
        if len(waiters) >= self._depth_per_account:
            return None
        waiter = trio.Event()
        waiters.append(waiter)
        return waiter

    def leave(self, account: str, waiter: trio.Event) -> None:
        """Removes a waiter that gave up or was served."""
        waiters = self._waiters_by_account.get(account)
        if waiters is None:
            return
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            del self._waiters_by_account[account]

    def wake(self) -> bool:
        """Lets the next account's oldest waiter try; false without one."""
        for account, waiters in list(self._waiters_by_account.items()):
            self._waiters_by_account.move_to_end(account)
            if waiters:
                waiter = waiters.popleft()
                if not waiters:
                    del self._waiters_by_account[account]
                waiter.set()
                return True
        return False
