"""Sockets for httpcore that report a reset to the reader, too.

The kernel reports a reset once. If the request is still being written, the
write gets it; httpcore ignores a failed write and reads the response. That read
finds an end of file, which would complete a response without a length.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore


class ResetDetectingStream(httpcore.AsyncNetworkStream):
    """A stream whose end of file counts as a reset after a failed write."""

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        """Wraps a connected stream."""
        self._stream = stream
        self._write_failed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes.

        Raises:
            httpcore.ReadError: The connection was reset, possibly as a write
                has shown.
        """
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._write_failed:
            raise httpcore.ReadError("reset while the request was written")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes.

        Raises:
            httpcore.WriteError: The connection was reset.
        """
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._write_failed = True
            raise

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Returns a TLS stream over this one."""
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return ResetDetectingStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Returns a property of the wrapped stream."""
        return self._stream.get_extra_info(info)


class ResetDetectingConnector(httpcore.AsyncNetworkBackend):
    """Opens streams that detect resets."""

    def __init__(self) -> None:
        """Uses the sockets of trio."""
        self._connector = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a TCP connection.

        Raises:
            httpcore.ConnectError: The connection failed.
            httpcore.ConnectTimeout: It was not open in time.
        """
        stream = await self._connector.connect_tcp(
            host,
            port,
            timeout=timeout,
            local_address=local_address,
            socket_options=socket_options,
        )
        return ResetDetectingStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Waits between attempts to connect."""
        await self._connector.sleep(seconds)
