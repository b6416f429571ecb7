"""Minimal HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

HEAD_MAX_BYTES = 65536
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class BrokenMessageError(Exception):
    """The connection ended before a complete message."""


@dataclass
class Request:
    """A request as a server reads it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Returns the lines of a head; None if the peer closed before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("the head is incomplete") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise BrokenMessageError("the head is too long") from error
    return head.decode("latin-1").split("\r\n")[:-2]


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise BrokenMessageError("the body is incomplete") from error


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; returns None if the peer closed before it."""
    lines = await _read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = _parse_headers(lines[1:])
    body = await _read_body(reader, headers)
    return Request(method=method, target=target, headers=headers, body=body)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads a response that has a Content-Length."""
    lines = await _read_head(reader)
    if lines is None:
        raise BrokenMessageError("closed without an answer")
    status = int(lines[0].split(" ", 2)[1])
    headers = _parse_headers(lines[1:])
    body = await _read_body(reader, headers)
    return Response(status=status, headers=headers, body=body)


def encode_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a request with a Content-Length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def parse_query(target: str) -> dict[str, str]:
    """Returns the first value of each name in a target's query."""
    query = parse_qs(urlsplit(target).query)
    return {name: values[0] for name, values in query.items()}
