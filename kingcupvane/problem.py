"""Refusals as problem details of RFC 9457."""

import math

import msgspec

from kingcupvane.asgi import HttpResponse
from kingcupvane.errors import Refusal

PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of a refusal; `executed`, `step` and `peer` are extensions."""

    type: str
    title: str
    status: int
    detail: str
    executed: str
    step: str
    peer: str


def to_response(refusal: Refusal) -> HttpResponse:
    """Returns the answer that tells a caller of a refusal."""
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
        headers["retry-after"] = str(math.ceil(refusal.retry_after_s))
    return HttpResponse(
        status=refusal.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )
