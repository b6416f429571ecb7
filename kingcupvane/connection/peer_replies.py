"""Replies on their way to peers, which may have stopped reading.

The kernel keeps a half-open connection for minutes. A reply that waits for the
one before it on such a connection keeps its worker from other peers.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import pynng
import trio
from loguru import logger

# Time within which a connection must take a reply, in seconds; the longest that
# a peer waits for one.
REPLY_TIMEOUT_S = 1.0
CHECK_PERIOD_S = 0.1


class PeerStalledError(Exception):
    """A connection does not take replies, or has too many of them waiting."""


@dataclass(eq=False, kw_only=True, slots=True)
class _WaitingReply:
    pipe: pynng.Pipe
    give_up_at: float
    is_given_up: bool = False


class PendingReplies:
    """Replies that wait for their connections, within a limit of time."""

    def __init__(self, *, waiting_max: int):
        """Starts without replies.

        Args:
            waiting_max: Most replies that may wait for one connection.
        """
        self._waiting_max = waiting_max
        self._waiting: set[_WaitingReply] = set()

    @contextmanager
    def waiting(self, pipe: pynng.Pipe | None) -> Iterator[None]:
        """Closes a connection that does not take the reply sent meanwhile.

        Args:
            pipe: The connection; None if it is closed already.

        Raises:
            PeerStalledError: Too many replies wait for the connection, or it
                was closed for this one.
        """
        if pipe is None:
            raise PeerStalledError("the connection is closed")
        count = sum(reply.pipe is pipe for reply in self._waiting)
        if count >= self._waiting_max:
            raise PeerStalledError(f"{count} replies wait")
        reply = _WaitingReply(
            pipe=pipe, give_up_at=trio.current_time() + REPLY_TIMEOUT_S
        )
        self._waiting.add(reply)
        try:
            yield
        finally:
            self._waiting.discard(reply)
        if reply.is_given_up:
            raise PeerStalledError(f"not sent within {REPLY_TIMEOUT_S} s")

    async def close_stalled(self) -> None:
        """Closes connections whose replies are late, until cancelled.

        A send that is cancelled would leak its reply; the send on a connection
        that is closed ends and frees it.
        """
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            now = trio.current_time()
            for reply in self._waiting:
                if now >= reply.give_up_at and not reply.is_given_up:
                    reply.is_given_up = True
                    _close(reply.pipe)


def _close(pipe: pynng.Pipe) -> None:
    try:
        pipe.close()
    except (pynng.Closed, pynng.NoEntry):
        # Closed for another reply, or by the peer.
        return
    except pynng.NNGException as error:
        logger.warning("event=peer-not-closed why={!r}", repr(error))
