"""Requests that run, by the key that asked for them."""

from dataclasses import dataclass

import trio

from kingcupvane.version.configuration import Configuration


@dataclass(kw_only=True, slots=True)
class _Stream:
    key_name: str
    scope: trio.CancelScope


class ActiveRequests:
    """Answers that are being passed on, by the key that asked for them."""

    def __init__(self):
        """Starts without streams."""
        self._active_requests: list[_Stream] = []

    def add(self, key_name: str, scope: trio.CancelScope) -> _Stream:
        """Adds a running request."""
        stream = _Stream(key_name=key_name, scope=scope)
        self._active_requests.append(stream)
        return stream

    def remove(self, stream: _Stream) -> None:
        """Removes a request that has ended."""
        self._active_requests.remove(stream)

    def cancel_withdrawn(self, configuration: Configuration) -> int:
        """Ends requests whose key is gone; returns how many."""
        known = configuration.keys_by_name
        gone = [
            stream
            for stream in self._active_requests
            if stream.key_name and stream.key_name not in known
        ]
        for stream in gone:
            stream.scope.cancel()
        return len(gone)
