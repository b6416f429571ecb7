"""Handling of callers' requests at an entry, from headers to response."""

import re
from dataclasses import replace

import trio
from result import Err, Ok, Result

from kingcupvane import asgi, problem
from kingcupvane.clock import Clock
from kingcupvane.connection.held_response import HeldResponse, parts_of
from kingcupvane.connection.memory_budget import (
    BodyBudget,
    ResponseMemoryBudget,
)
from kingcupvane.connection.request_body import Body, HeldBody
from kingcupvane.connection.target_client import ResponseSink, TargetResponse
from kingcupvane.errors import Refusal, Step
from kingcupvane.process.metrics import EntryMetrics
from kingcupvane.process.replica import ConfigurationReplica
from kingcupvane.request import authentication, refusals, retry
from kingcupvane.request.active_requests import ActiveRequests
from kingcupvane.request.admission import Admission
from kingcupvane.request.context import (
    FIRST_ATTEMPT,
    RequestContext,
    find_route,
)
from kingcupvane.request.dispatch import Dispatcher
from kingcupvane.request.order_runner import OrderRunner
from kingcupvane.request.refusals import RefusalCounter
from kingcupvane.settings import RequestSettings
from kingcupvane.version.configuration import Configuration

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
UNAVAILABLE = 503
# Assumed time until there is room for a body, in seconds.
ROOM_RETRY_AFTER_S = 1.0
# Share of the memory for bodies that only small ones may use.
SMALL_BODIES_SHARE = 0.05
# Reasons of refusals after which the rest of a body may be on its way.
BODY_REFUSALS = ("buffers-full", "body-too-large", "body-too-slow", "body-cut")
SERVICE_PATH = re.compile(r"^/([a-z0-9][a-z0-9._-]*)(/.*)?$")


class RequestHandler:
    """Serves callers' requests for services.

    Attributes:
        bodies: Room for request bodies.
    """

    def __init__(
        self,
        *,
        settings: RequestSettings,
        clock: Clock,
        metrics: EntryMetrics,
        refusal_counter: RefusalCounter,
        admission: Admission,
        dispatcher: Dispatcher,
        order_runner: OrderRunner,
        active_requests: ActiveRequests,
        replica: ConfigurationReplica,
        responses: ResponseMemoryBudget | None = None,
    ):
        """Makes a handler.

        Args:
            settings: Limits of a request: timeouts and body sizes.
            clock: Monotonic clock.
            metrics: Counts requests and measures their latency.
            refusal_counter: Counts refusals by reason.
            admission: Enforces the rate limits of client accounts.
            dispatcher: Sends requests to targets.
            order_runner: Runs requests of at-most-once routes.
            active_requests: Cancels requests whose key is withdrawn.
            replica: Holds the configuration in force.
            responses: Counts the responses on their way to callers.
        """
        self._responses = responses or ResponseMemoryBudget()
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._refusal_counter = refusal_counter
        self._admission = admission
        self._dispatcher = dispatcher
        self._order_runner = order_runner
        self._active_requests = active_requests
        self._replica = replica
        max_bytes = settings.buffered_max_bytes
        self.bodies = BodyBudget(
            max_bytes=max_bytes,
            small_bytes=int(SMALL_BODIES_SHARE * max_bytes),
        )

    def _configuration(self) -> Configuration:
        return self._replica.current

    async def handle(self, request: asgi.HttpRequest, send: asgi.Send) -> None:
        """Serves one request and sends its response.

        Raises:
            ResponseTruncatedError: The request failed after a part of its
                response was sent.
        """
        started_at = self._clock.now() - request.queued_s
        sink = ResponseSink(send=send)
        result = await self._serve(request, sink, started_at)
        service = request.path.split("/", 2)[1]
        match result:
            case Ok(response):
                outcome = str(response.status)
                if not await self._send_held(response, send):
                    outcome = "not-taken"
            case Err(refusal):
                outcome = refusal.reason
                self._refusal_counter.count(refusal)
                if sink.response_started:
                    raise ResponseTruncatedError(refusal.reason)
                await _send_refusal(refusal, send)
        self._metrics.requests.inc({"service": service, "outcome": outcome})
        self._metrics.request_seconds.observe(
            {"service": service}, self._clock.now() - started_at
        )

    async def _send_held(
        self, response: TargetResponse, send: asgi.Send
    ) -> bool:
        """Sends a response; returns whether it kept its place meanwhile."""
        if response.streamed:
            return True
        held = HeldResponse(
            memory=self._responses, size_bytes=len(response.body)
        )
        with held:
            await _send_response(response, held.wrap(send))
        return not held.is_evicted

    async def _serve(
        self, request: asgi.HttpRequest, sink: ResponseSink, started_at: float
    ) -> Result[TargetResponse, Refusal]:
        usable = self._replica.check_usable()
        if isinstance(usable, Err):
            return Err(refusals.configuration_unusable(usable.err_value))
        built = self._build_context(request, started_at)
        if isinstance(built, Err):
            return Err(
                refusals.mark_unknown_if_repeated(request, built.err_value)
            )
        context = built.ok_value
        if not context.route.open:
            admitted = self._admission.admit(context, self._configuration())
            if isinstance(admitted, Err):
                return admitted
        scope = trio.CancelScope()
        active_request = self._active_requests.add(context.key_name, scope)
        try:
            with scope:
                return await self._read_and_run(request, context, sink)
        finally:
            self._active_requests.remove(active_request)
        # `ActiveRequests` has cancelled the scope.
        return Err(refusals.key_withdrawn())

    def _build_context(
        self, request: asgi.HttpRequest, started_at: float
    ) -> Result[RequestContext, Refusal]:
        configuration = self._configuration()
        match = SERVICE_PATH.match(request.path)
        service = None
        if match:
            service = configuration.services_by_name.get(match[1])
        if service is None:
            return Err(refusals.unknown_service(Step.ROUTE))
        path = match[2] or "/"
        route = find_route(service, path)
        key = authentication.bearer_key(
            request.headers.get("authorization", "")
        )
        account = ""
        if not route.open:
            authenticated = authentication.authenticate(key, configuration)
            if isinstance(authenticated, Err):
                return authenticated
            account = authenticated.ok_value
        if authentication.leaks_key(
            key, path=path, query=request.query, body=b""
        ):
            return Err(refusals.key_in_content())
        timeout = self._parse_timeout(request.headers)
        if isinstance(timeout, Err):
            return timeout
        headers = request.headers
        return Ok(
            RequestContext(
                service=service,
                route=route,
                method=request.method,
                path=path,
                query=request.query,
                account=account,
                key_name=authentication.key_name(key) if account else "",
                idempotency_key=headers.get("idempotency-key", ""),
                attempt=headers.get("idempotency-attempt", FIRST_ATTEMPT),
                deadline=started_at + timeout.ok_value,
                content_type=headers.get("content-type", ""),
                accept=headers.get("accept", ""),
                is_disconnected=request.is_disconnected,
            )
        )

    def _parse_timeout(self, headers) -> Result[float, Refusal]:
        text = headers.get("request-timeout")
        if text is None:
            return Ok(self._settings.timeout_s)
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds < float("inf"):
            return Err(
                Refusal(
                    status=BAD_REQUEST,
                    reason="timeout-malformed",
                    detail="Request-Timeout must be a number of seconds.",
                    step=Step.READ,
                )
            )
        return Ok(min(seconds, self._settings.timeout_max_s))

    async def _read_and_run(
        self,
        request: asgi.HttpRequest,
        context: RequestContext,
        sink: ResponseSink,
    ) -> Result[TargetResponse, Refusal]:
        with HeldBody(budget=self.bodies) as held:
            body = await self._read_body(request, context, held)
            if isinstance(body, Err):
                return body
            return await self._check_and_run(
                request, context, sink, body.ok_value
            )

    async def _check_and_run(
        self,
        request: asgi.HttpRequest,
        context: RequestContext,
        sink: ResponseSink,
        body: Body,
    ) -> Result[TargetResponse, Refusal]:
        key = authentication.bearer_key(
            request.headers.get("authorization", "")
        )
        if authentication.leaks_key(key, path="", query="", body=body):
            return Err(refusals.key_in_content())
        return await self._run(request, _with_body(context, body), sink)

    async def _read_body(
        self,
        request: asgi.HttpRequest,
        context: RequestContext,
        held: HeldBody,
    ) -> Result[Body, Refusal]:
        settings = self._settings
        try:
            with trio.fail_after(context.deadline - self._clock.now()):
                return Ok(
                    await held.read(request, limit=settings.body_max_bytes)
                )
        except asgi.NoRoomError as error:
            return Err(
                context.make_refusal(
                    UNAVAILABLE,
                    "buffers-full",
                    f"Too many request bodies are being held: {error}.",
                    Step.READ,
                    retry_after_s=ROOM_RETRY_AFTER_S,
                )
            )
        except asgi.BodyTooSlowError as error:
            return Err(
                context.make_refusal(
                    REQUEST_TIMEOUT,
                    "body-too-slow",
                    f"The body came too slowly: {error}.",
                    Step.READ,
                    retry_after_s=ROOM_RETRY_AFTER_S,
                )
            )
        except asgi.BodyTooLargeError:
            return Err(
                context.make_refusal(
                    CONTENT_TOO_LARGE,
                    "body-too-large",
                    f"At most {settings.body_max_bytes} bytes are taken.",
                    Step.READ,
                )
            )
        except (asgi.CallerDisconnectedError, trio.TooSlowError):
            return Err(
                context.make_refusal(
                    BAD_REQUEST,
                    "body-cut",
                    "The request did not arrive whole.",
                    Step.READ,
                )
            )

    async def _run(
        self,
        request: asgi.HttpRequest,
        context: RequestContext,
        sink: ResponseSink,
    ) -> Result[TargetResponse, Refusal]:
        if context.is_disconnected():
            return Err(refusals.caller_gone(context))
        if context.route.at_most_once:
            return await self._order_runner.run(context, self._configuration)
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(request.cancel_when_disconnected, scope)
            result = await self._dispatcher.run(
                context, self._configuration, sink
            )
            nursery.cancel_scope.cancel()
            return result
        # `cancel_when_disconnected` has cancelled the scope.
        return Err(refusals.caller_gone(context))


class ResponseTruncatedError(Exception):
    """Closes the connection on which a streamed response stays incomplete."""


def _with_body(context: RequestContext, body: Body) -> RequestContext:
    fingerprint = retry.compute_fingerprint(
        account=context.account,
        service=context.service.name,
        method=context.method,
        path=f"{context.path}?{context.query}",
        body=body,
    )
    return replace(context, body=body, fingerprint=fingerprint)


async def _send_refusal(refusal: Refusal, send: asgi.Send) -> None:
    response = problem.to_response(refusal)
    if refusal.reason in BODY_REFUSALS:
        headers = {**response.headers, "connection": "close"}
        response = replace(response, headers=headers)
    await response.send(send)


async def _send_response(response: TargetResponse, send: asgi.Send) -> None:
    headers = [
        (name, value)
        for name, value in response.headers
        if name != b"content-length"
    ]
    headers.append((b"content-length", str(len(response.body)).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    for part, more in parts_of(response.body):
        await send(
            {"type": "http.response.body", "body": part, "more_body": more}
        )
