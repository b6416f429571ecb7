"""Limits how many requests start in one round of trio's scheduler.

In a round, the scheduler runs each task that is ready once. After a suspension
of the process or in a surge, more requests are ready than it can serve at once.
If all of them started in one round, no other task would run until its end, and
the detection of callers' disconnects and the responses of targets would be
delayed. So only a few requests start in each round, in order of arrival.
"""

from collections import deque

import trio

STARTS_PER_ROUND_MAX = 8


class RoundLimiter:
    """Starts a bounded number of requests in each round of the scheduler."""

    def __init__(self, *, starts_max: int = STARTS_PER_ROUND_MAX):
        """Makes a limiter without requests; `run` admits the waiting ones.

        Args:
            starts_max: Most requests that start in one round.
        """
        self._starts_max = starts_max
        self._started = 0
        self._waiting_turns: deque[trio.Event] = deque()
        self._entered = trio.Event()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for admission."""
        return len(self._waiting_turns)

    async def enter(self) -> None:
        """Returns when the request may start; waits if the round is full."""
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
        """Admits waiting requests in each round until cancelled."""
        while True:
            await self._entered.wait()
            await trio.lowlevel.checkpoint()
            self._started = min(self._starts_max, len(self._waiting_turns))
            for _ in range(self._started):
                self._waiting_turns.popleft().set()
            if not self._started:
                self._entered = trio.Event()
