"""The HTTP request that an entry sends to a target."""

import math

from kingcupvane.connection.target_client import TargetRequest
from kingcupvane.request.context import RequestContext

MILLISECONDS_PER_SECOND = 1000


def build_target_request(
    context: RequestContext, remaining_s: float
) -> TargetRequest:
    """Returns the request for a target, without the caller's key.

    Args:
        context: The caller's request.
        remaining_s: Time left before the deadline, in seconds; sent rounded
            down to milliseconds.
    """
    whole_ms = math.floor(remaining_s * MILLISECONDS_PER_SECOND)
    headers = {
        "client-account": context.account,
        "request-timeout": str(whole_ms / MILLISECONDS_PER_SECOND),
    }
    if context.idempotency_key:
        headers["idempotency-key"] = context.idempotency_key
    if context.content_type:
        headers["content-type"] = context.content_type
    if context.accept:
        headers["accept"] = context.accept
    path = context.path + (f"?{context.query}" if context.query else "")
    return TargetRequest(
        method=context.method, path=path, headers=headers, body=context.body
    )
