"""Check of the status of targets' responses.

h11 accepts every final status from 200 to 999, and callers would get it.
"""

FINAL_STATUS_MIN = 200
FINAL_STATUS_MAX = 599


class InvalidStatusError(Exception):
    """A final response has a status outside 200 to 599."""


def check_final_status(status: int) -> None:
    """Checks the status of a final response, one that is not interim (1xx).

    Raises:
        InvalidStatusError: HTTP defines no such status.
    """
    if not FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX:
        raise InvalidStatusError(f"status {status:03d}")
