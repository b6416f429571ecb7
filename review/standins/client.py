"""Stand-in for clients: one attempt on a new connection."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from review.standins import http1

CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 2.5
_IDS = itertools.count(1)


@dataclass
class Attempt:
    """A client attempt and what came of it.

    Attributes:
        id: The attempt's id.
        gateway: Address to which it was sent.
        target: Path and query.
        sent_at: Seconds since the start of the case.
        ended_at: The same, of its answer or failure.
        status: Status of the answer; 0 without one.
        detail: Reason of a failure.
        stamp: The server's stamp; empty without one.
        was_cut: Whether the connection ended without a complete answer.
    """

    id: str
    gateway: str
    target: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    detail: str = ""
    stamp: str = ""
    was_cut: bool = False


async def send(
    gateway: str,
    target: str,
    *,
    now: Callable[[], float],
    host: str,
    key: str,
    method: str = "GET",
    deadline_ms: int = 2000,
    body: bytes = b"",
) -> Attempt:
    """Sends one attempt and returns it with its outcome."""
    attempt = Attempt(
        id=f"{next(_IDS):016x}", gateway=gateway, target=target, sent_at=now()
    )
    headers = {
        "Host": host,
        "Kingcupvane-Request-Attempt-Id": attempt.id,
        "Kingcupvane-Request-Deadline": str(deadline_ms),
        "Authorization": f"Token {key}",
        "Connection": "close",
    }
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            address, _, port = gateway.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address, int(port)
                )
            writer.write(http1.encode_request(method, target, headers, body))
            await writer.drain()
            response = await http1.read_response(reader)
            attempt.status = response.status
            attempt.stamp = response.headers.get("kingcupvane-server-stamp", "")
            attempt.detail = response.body[:160].decode("latin-1").strip()
    except (TimeoutError, OSError, http1.BrokenMessageError) as error:
        attempt.detail = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    attempt.ended_at = now()
    return attempt


class KeptConnection:
    """A connection that a client keeps for several requests.

    Attributes:
        is_usable: Whether another request may be sent on it.
    """

    def __init__(self, gateway: str, *, now: Callable[[], float]):
        """Makes a connection; the first request opens it."""
        self.is_usable = True
        self._gateway = gateway
        self._now = now
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        target: str,
        *,
        host: str,
        key: str,
        method: str = "GET",
        deadline_ms: int = 2000,
        body: bytes = b"",
    ) -> Attempt:
        """Sends one attempt and returns it with its outcome."""
        attempt = Attempt(
            id=f"{next(_IDS):016x}",
            gateway=self._gateway,
            target=target,
            sent_at=self._now(),
        )
        headers = {
            "Host": host,
            "Kingcupvane-Request-Attempt-Id": attempt.id,
            "Kingcupvane-Request-Deadline": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        data = http1.encode_request(method, target, headers, body)
        self.is_usable = False
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                response = await self._exchange(data)
            attempt.status = response.status
            attempt.stamp = response.headers.get("kingcupvane-server-stamp", "")
            attempt.detail = response.body[:160].decode("latin-1").strip()
            connection = response.headers.get("connection", "").lower()
            self.is_usable = connection != "close"
        except TimeoutError:
            attempt.detail = "no answer in time"
        except (OSError, http1.BrokenMessageError) as error:
            attempt.detail = f"{type(error).__name__}: {error}"
            attempt.was_cut = self._writer is not None
        if not self.is_usable:
            self.close()
        attempt.ended_at = self._now()
        return attempt

    async def _exchange(self, data: bytes) -> http1.Response:
        if self._writer is None:
            host, _, port = self._gateway.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
        self._writer.write(data)
        await self._writer.drain()
        return await http1.read_response(self._reader)

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
