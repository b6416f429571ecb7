"""Requests in progress, cancelled when their key is withdrawn."""

from dataclasses import dataclass

import trio

from kingcupvane.version.configuration import Configuration


@dataclass(kw_only=True, slots=True)
class _ActiveRequest:
    key_name: str
    scope: trio.CancelScope


class ActiveRequests:
    """Requests in progress with the names of their keys."""

    def __init__(self):
        """Starts without requests."""
        self._active_requests: list[_ActiveRequest] = []

    def add(self, key_name: str, scope: trio.CancelScope) -> _ActiveRequest:
        """Adds a request.

        Args:
            key_name: Name of the caller's key; empty on open routes.
            scope: Cancelled when the key is withdrawn.

        Returns:
            A handle for `remove`.
        """
        active_request = _ActiveRequest(key_name=key_name, scope=scope)
        self._active_requests.append(active_request)
        return active_request

    def remove(self, active_request: _ActiveRequest) -> None:
        """Removes a request that has ended."""
        self._active_requests.remove(active_request)

    def cancel_withdrawn(self, configuration: Configuration) -> int:
        """Cancels requests whose key is no longer valid; returns the count."""
        valid_keys = configuration.keys_by_name
        withdrawn = [
            active_request
            for active_request in self._active_requests
            if active_request.key_name
            and active_request.key_name not in valid_keys
        ]
        for active_request in withdrawn:
            active_request.scope.cancel()
        return len(withdrawn)
