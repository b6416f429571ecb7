"""HTTP server of an entry for callers: look-ups and service requests."""

from collections.abc import Callable
from urllib.parse import parse_qs

import trio
from result import Err, Ok, Result

from kingcupvane import asgi, problem
from kingcupvane.clock import Clock
from kingcupvane.connection import listener
from kingcupvane.connection.inbound import ServerState
from kingcupvane.errors import Refusal, Step
from kingcupvane.process.membership import Membership
from kingcupvane.process.metrics import EntryMetrics
from kingcupvane.request import authentication, refusals
from kingcupvane.request.handler import RequestHandler
from kingcupvane.request.lookup import LookupResponse, choose_entries
from kingcupvane.settings import EntrySettings
from kingcupvane.version.configuration import Configuration

LOOKUP_PATH = "/v1/entries"
# Client accounts whose look-up responses are cached.
LOOKUP_CACHE_MAX = 4096


class CallerServer:
    """Serves the callers of one entry.

    Attributes:
        active_request_count: Number of requests in progress.
        last_activity_at: Monotonic time at which a request last started or
            ended, in seconds.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        clock: Clock,
        configuration: Callable[[], Configuration],
        membership: Membership,
        metrics: EntryMetrics,
        handler: RequestHandler,
        state: ServerState,
    ):
        """Makes a server; `run` binds its socket.

        Args:
            settings: Address, certificate and look-up settings.
            clock: Monotonic clock.
            configuration: Returns the configuration in force.
            membership: Tracks the live and leaving entries.
            metrics: Counts the look-ups.
            handler: Serves all requests but look-ups.
            state: State of the server's connections, with their limits.
        """
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        self._membership = membership
        self._metrics = metrics
        self._handler = handler
        self._state = state
        self.active_request_count = 0
        self.last_activity_at = float("-inf")
        self._lookup_responses_by_account: dict[str, asgi.HttpResponse] = {}
        self._cache_inputs: tuple = ()

    async def run(self, stop: trio.Event) -> None:
        """Serves until `stop` is set and all requests have ended."""
        tls = self._settings.tls
        await listener.serve(
            self.handle,
            address=self._settings.caller_address,
            stop=stop,
            certificate=tls.certificate,
            private_key=tls.private_key,
            state=self._state,
        )

    async def handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        """Serves a look-up or passes the request to the handler."""
        if self._membership.leaving:
            send = _close_after_response(send)
        self.active_request_count += 1
        self.last_activity_at = self._clock.now()
        try:
            if request.path == LOOKUP_PATH:
                await self._answer_lookup(request).send(send)
            else:
                await self._handler.handle(request, send)
        finally:
            self.active_request_count -= 1
            self.last_activity_at = self._clock.now()

    def is_idle(self, seconds: float) -> bool:
        """Returns whether no request has been in progress for some seconds."""
        return (
            not self.active_request_count
            and self._clock.now() - self.last_activity_at >= seconds
        )

    def _answer_lookup(self, request: asgi.HttpRequest) -> asgi.HttpResponse:
        authenticated = self._authenticate(request)
        if isinstance(authenticated, Err):
            return problem.to_response(authenticated.err_value)
        self._metrics.lookups.inc({})
        live = self._membership.live_names(self._clock.now())
        leaving = self._membership.leaving_names()
        inputs = (self._configuration().revision, live, leaving)
        if inputs != self._cache_inputs:
            self._cache_inputs = inputs
            self._lookup_responses_by_account.clear()
        account = authenticated.ok_value
        response = self._lookup_responses_by_account.get(account)
        if response is None:
            response = self._make_lookup_response(account, live, leaving)
            if len(self._lookup_responses_by_account) < LOOKUP_CACHE_MAX:
                self._lookup_responses_by_account[account] = response
        return response

    def _authenticate(self, request: asgi.HttpRequest) -> Result[str, Refusal]:
        """Returns the account; empty if a key is neither sent nor needed."""
        configuration = self._configuration()
        service_name = parse_qs(request.query).get("service", [""])[0]
        service = configuration.services_by_name.get(service_name)
        if service is None:
            return Err(refusals.unknown_service(Step.LOOK_UP))
        key = authentication.bearer_key(
            request.headers.get("authorization", "")
        )
        if not key and any(route.open for route in service.routes):
            return Ok("")
        return authentication.authenticate(key, configuration)

    def _make_lookup_response(
        self, account: str, live: list[str], leaving: list[str]
    ) -> asgi.HttpResponse:
        configuration = self._configuration()
        entries = choose_entries(
            configuration,
            account=account,
            data_centre=self._settings.data_centre,
            live=live,
            leaving=leaving,
            count=self._settings.lookup.count,
        )
        response = LookupResponse(
            entries=[entry.caller_address for entry in entries],
            ttl_s=self._settings.lookup.ttl_s,
            revision=configuration.revision,
        )
        return asgi.json_response(response)


def _close_after_response(send: asgi.Send) -> asgi.Send:
    """Wraps `send` so that the response carries `Connection: close`.

    Closing a connection while it is idle could lose a request that the caller
    has just sent on it.
    """

    async def send_and_close(message: dict) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        await send(message)

    return send_and_close
