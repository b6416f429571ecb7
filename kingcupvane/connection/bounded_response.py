"""Bounded reading of responses that httpcore receives.

httpcore reads a whole body into memory however large it is. A faulty server may
send bytes without end, so the clients that use httpcore read through here.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import httpcore
import trio

from kingcupvane.connection.response_buffer import (
    PartialResponse,
    ResponseMemoryBudget,
    check_announced_size,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundedResponse:
    """A complete response within the limits.

    Attributes:
        status: HTTP status code.
        content: The body.
        headers: The headers, names in lower case.
    """

    status: int
    content: bytes
    headers: Mapping[bytes, bytes] = field(default_factory=dict)


async def request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    *,
    content: bytes,
    headers: dict[str, str],
    memory: ResponseMemoryBudget,
) -> BoundedResponse:
    """Sends a request and reads its response.

    Args:
        pool: The connections.
        method: HTTP method.
        url: URL of the request.
        content: Body of the request.
        headers: Headers of the request.
        memory: Budget shared by the incomplete responses of a client.

    Raises:
        AnswerTooLargeError: The response exceeds a limit; its connection is
            closed.
    """
    async with pool.stream(
        method, url, content=content, headers=headers
    ) as response:
        check_announced_size(response.headers)
        partial = PartialResponse(memory=memory)
        try:
            async for chunk in response.aiter_stream():
                await add_chunk(partial, chunk)
            return BoundedResponse(
                status=response.status,
                content=partial.body,
                headers={
                    name.lower(): value for name, value in response.headers
                },
            )
        finally:
            partial.close()


async def add_chunk(partial: PartialResponse, chunk: bytes) -> None:
    """Adds a chunk of a body, and lets other tasks run now and then.

    Raises:
        AnswerTooLargeError: The response exceeds a limit.
    """
    if partial.add(chunk):
        await trio.lowlevel.checkpoint()
