"""The interface to the platform's receiver of usage reports."""

import enum
from collections.abc import Callable, Mapping
from typing import Protocol


class UsageReply(enum.StrEnum):
    """What became of a call.

    `ACCEPTED`: the platform has the report. `SUPERSEDED`: it has seen a higher
    fencing token. `THROTTLED`: too many calls. `FAILED`: no usable response, so
    the report may still be taken. `NOT_SENT`: nothing was sent.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    THROTTLED = "throttled"
    FAILED = "failed"
    NOT_SENT = "not-sent"


class UsageReceiver(Protocol):
    """Receives the usage reports of the holder of the duty."""

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
        """Sends the report of a window.

        Args:
            window: Number of the window.
            counts: Requests that targets began in it, by client account.
            holder: Name of this gateway.
            token: Its fencing token.
            may_send: Asked once the connection is open, right before the
                report is sent.
            timeout_s: Time after which the call is given up, in seconds;
                nothing of it is sent later.
        """
