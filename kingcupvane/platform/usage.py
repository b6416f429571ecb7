"""Client of the platform's usage reports; implements `UsageReceiver`."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

import h11
import msgspec
import trio

from kingcupvane.connection.target_connection import (
    ConnectFailedError,
    abort,
    connect,
)
from kingcupvane.process.usage_receiver import UsageReply

# How the platform names this duty in the settings.
USAGE_DUTY = "usage_report"
USAGE_PATH = b"/usage"
HOLDER_HEADER = b"Kingcupvane-Duty-Holder"
TOKEN_HEADER = b"Kingcupvane-Fence-Token"
READ_SIZE_BYTES = 16 * 1024
# Largest response that is read; its body tells nothing.
RESPONSE_MAX_BYTES = 64 * 1024

REPLIES_BY_STATUS = {
    HTTPStatus.OK: UsageReply.ACCEPTED,
    HTTPStatus.CONFLICT: UsageReply.SUPERSEDED,
    HTTPStatus.TOO_MANY_REQUESTS: UsageReply.THROTTLED,
}


class WireUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a usage report; `counts` are by client account."""

    windowId: int  # noqa: N815
    counts: dict[str, int]


class PlatformUsageReceiver:
    """Sends each report on a connection of its own.

    A kept connection may hold a report back and deliver it after the holder's
    lease has ended; one that is aborted delivers nothing more.
    """

    def __init__(self, *, address: str):
        """Makes a client.

        Args:
            address: Host and port of the platform.
        """
        self._address = address

    async def send(
        self,
        *,
        window: int,
        counts: Mapping[str, int],
        holder: str,
        token: int,
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> UsageReply:
        """Sends the report of a window; see `UsageReceiver.send`."""
        body = msgspec.json.encode(
            WireUsage(windowId=window, counts=dict(counts))
        )
        head = h11.Request(
            method=b"POST",
            target=USAGE_PATH,
            headers=[
                (b"Host", self._address.encode()),
                (HOLDER_HEADER, holder.encode()),
                (TOKEN_HEADER, str(token).encode()),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ],
        )
        with trio.move_on_after(timeout_s):
            try:
                stream = await connect(self._address)
            except ConnectFailedError:
                return UsageReply.NOT_SENT
            try:
                if not may_send():
                    return UsageReply.NOT_SENT
                return await _exchange(stream, head, body)
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                return UsageReply.FAILED
            finally:
                await abort(stream)
        return UsageReply.FAILED


async def _exchange(
    stream: trio.SocketStream, head: h11.Request, body: bytes
) -> UsageReply:
    connection = h11.Connection(our_role=h11.CLIENT)
    parts = (head, h11.Data(data=body), h11.EndOfMessage())
    await stream.send_all(b"".join(connection.send(part) for part in parts))
    received_bytes = 0
    while received_bytes <= RESPONSE_MAX_BYTES:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(READ_SIZE_BYTES)
            received_bytes += len(data)
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            return REPLIES_BY_STATUS.get(event.status_code, UsageReply.FAILED)
        elif isinstance(event, h11.ConnectionClosed):
            break
    return UsageReply.FAILED
