"""Stand-in for clients: one attempt on a new connection."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from review.standins import http1

CONNECT_TIMEOUT_S = 1.0
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
    """

    id: str
    gateway: str
    target: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    detail: str = ""
    stamp: str = ""


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
