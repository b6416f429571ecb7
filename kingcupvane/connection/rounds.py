"""Limits the requests that begin in one round of the scheduler.

Load pattern: more requests are ready than the process serves at once, after a
suspension or in a surge. Were all of them begun in one round, nothing else
would be done until its end: ends of callers' connections and answers of
targets would wait for as long. So a few begin in each round, in their order.
"""

from collections import deque

import trio

STARTS_PER_ROUND_MAX = 8


class RoundLimiter:
    """Lets requests begin, some in each round."""

    def __init__(self, *, starts_max: int = STARTS_PER_ROUND_MAX):
        """Starts without requests; `run` lets those go on that wait.

        Args:
            starts_max: Requests that begin in one round at most.
        """
        self._starts_max = starts_max
        self._started = 0
        self._waiting_turns: deque[trio.Event] = deque()
        self._entered = trio.Event()

    @property
    def waiting(self) -> int:
        """Requests that wait for their turn."""
        return len(self._waiting_turns)

    async def enter(self) -> None:
        """Waits for the request's turn, where too many begin already."""
        self._entered.set()
        if not self._waiting_turns and self._started < self._starts_max:
            self._started += 1
            return
        turn = trio.Event()
        self._waiting_turns.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if not turn.is_set():
                self._waiting_turns.remove(turn)
            raise

    async def run(self) -> None:
        """Begins each round anew until cancelled."""
        while True:
            await self._entered.wait()
            await trio.lowlevel.checkpoint()
            self._started = min(self._starts_max, len(self._waiting_turns))
            for _ in range(self._started):
                self._waiting_turns.popleft().set()
            if not self._started:
                self._entered = trio.Event()
