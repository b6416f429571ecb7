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
        self._depth = depth
        self._waiters_by_account: OrderedDict[str, deque[trio.Event]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of waiters."""
        return sum(len(group) for group in self._waiters_by_account.values())

    def join(self, account: str) -> trio.Event | None:
        """Adds a waiter; None when the account has too many."""
        group = self._waiters_by_account.setdefault(account, deque())
        if len(group) >= self._depth:
            return None
        turn = trio.Event()
        group.append(turn)
        return turn

    def leave(self, account: str, turn: trio.Event) -> None:
        """Removes a waiter that gave up or was served."""
        group = self._waiters_by_account.get(account)
        if group is None:
            return
        if turn in group:
            group.remove(turn)
        if not group:
            del self._waiters_by_account[account]

    def wake(self) -> bool:
        """Lets the next account's oldest waiter try; false without one."""
        for account, group in list(self._waiters_by_account.items()):
            self._waiters_by_account.move_to_end(account)
            if group:
                turn = group.popleft()
                if not group:
                    del self._waiters_by_account[account]
                turn.set()
                return True
        return False
