"""HTTP/1.1 as the stand-ins speak it."""

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """A request or a response with its whole body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ", 2)[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; None at the end of the input."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start=start, headers=headers, body=b"")


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Reads a whole request or response; None at the end of the input."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message.headers)
    return message


async def write_response(writer, status: int, headers, body: bytes) -> None:
    """Sends a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
    await writer.drain()
