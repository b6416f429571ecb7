"""Sending of complete responses within the memory budget of the process."""

from collections.abc import Iterator
from typing import Any

import trio

from kingcupvane import asgi
from kingcupvane.connection.inbound import WRITE_TIMEOUT_S
from kingcupvane.connection.memory_budget import (
    LEAST_RATE_BYTES_PER_S,
    ResponseMemoryBudget,
    SendingLease,
)

# A larger response is sent in parts of this size: no second copy of it exists,
# and each part that its caller takes counts in its favour.
PART_BYTES = 65536


def parts_of(body: bytes) -> Iterator[tuple[bytes | memoryview, bool]]:
    """Yields the parts of a body, and whether more follow."""
    if len(body) <= PART_BYTES:
        yield body, False
        return
    view = memoryview(body)
    for start in range(0, len(body), PART_BYTES):
        end = start + PART_BYTES
        yield view[start:end], end < len(body)


class HeldResponse:
    """A complete response on its way to its caller; a context for its sending.

    Attributes:
        is_evicted: Whether it has lost its place. Its sending then ends
            without an error and stays incomplete.
    """

    def __init__(self, *, memory: ResponseMemoryBudget, size_bytes: int):
        """Makes a response; its place begins with the context."""
        self._memory = memory
        self._size_bytes = size_bytes
        self._scope = trio.CancelScope()
        self._lease: SendingLease | None = None
        self.is_evicted = False

    def __enter__(self) -> "HeldResponse":
        """Takes a place."""
        now = trio.current_time()
        self._scope.deadline = (
            now + WRITE_TIMEOUT_S + self._size_bytes / LEAST_RATE_BYTES_PER_S
        )
        self._lease = self._memory.open_sending(
            self._size_bytes, now=now, evict=self._evict
        )
        self._scope.__enter__()
        return self

    def __exit__(self, *error: Any) -> bool | None:
        """Frees the place."""
        self._memory.close_sending(self._lease)
        suppresses = self._scope.__exit__(*error)
        # The last part may have been taken at the same moment.
        self.is_evicted &= self._scope.cancelled_caught
        return suppresses

    def wrap(self, send: asgi.Send) -> asgi.Send:
        """Returns a `send` that counts what the caller takes."""

        async def send_and_count(message: dict[str, Any]) -> None:
            await send(message)
            self._memory.count_taken(self._lease, trio.current_time())

        return send_and_count

    def _evict(self) -> None:
        self.is_evicted = True
        self._scope.cancel()
