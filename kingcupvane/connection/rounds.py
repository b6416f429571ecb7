"""Limits the requests that begin in one round of the scheduler.

Load pattern: more requests are ready than the process serves at once, after a
suspension or in a surge. Were all of them begun in one round, nothing else
would be done until its end: ends of callers' connections and answers of
targets would wait for as long. So a few begin in each round, in their order.
"""

from collections import deque

import trio

BEGUN_MAX = 8


class RoundLimiter:
    """Lets requests begin, some in each round."""

    def __init__(self, *, begun_max: int = BEGUN_MAX):
        """Starts without requests; `run` lets those go on that wait.

        Args:
            begun_max: Requests that begin in one round at most.
        """
        self._begun_max = begun_max
        self._begun = 0
        self._turns: deque[trio.Event] = deque()
        self._used = trio.Event()

    @property
    def waiting(self) -> int:
        """Requests that wait for their turn."""
        return len(self._turns)

    async def enter(self) -> None:
        """Waits for the request's turn, where too many begin already."""
        self._used.set()
        if not self._turns and self._begun < self._begun_max:
            self._begun += 1
            return
        turn = trio.Event()
        self._turns.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if not turn.is_set():
                self._turns.remove(turn)
            raise

    async def run(self) -> None:
        """Begins each round anew until cancelled."""
        while True:
            await self._used.wait()
            await trio.lowlevel.checkpoint()
            self._begun = min(self._begun_max, len(self._turns))
            for _ in range(self._begun):
                self._turns.popleft().set()
            if not self._begun:
                self._used = trio.Event()
