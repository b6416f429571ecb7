"""Refusals as problem details (RFC 9457)."""

import math

import msgspec

from kingcupvane.asgi import HttpResponse
from kingcupvane.errors import Refusal

PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Problem details; `executed`, `step` and `peer` are extension members."""

    type: str
    title: str
    status: int
    detail: str
    executed: str
    step: str
    peer: str


def to_response(
    refusal: Refusal, *, whole_seconds: bool = True
) -> HttpResponse:
    """Returns the response to a request that is refused.

    Args:
        refusal: The refusal.
        whole_seconds: Whether to round `Retry-After` up to whole seconds, as
            RFC 9110 requires.
    """
    problem = Problem(
        type=f"urn:kingcupvane:{refusal.reason}",
        title=refusal.reason,
        status=refusal.status,
        detail=refusal.detail,
        executed=refusal.executed.value,
        step=refusal.step.value,
        peer=refusal.peer,
    )
    headers = {}
    if refusal.retry_after_s > 0:
        seconds = refusal.retry_after_s
        text = str(math.ceil(seconds)) if whole_seconds else f"{seconds:.3f}"
        headers["retry-after"] = text
    return HttpResponse(
        status=refusal.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )
