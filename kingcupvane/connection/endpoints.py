"""Auxiliary HTTP endpoints of a gateway: readiness, look-ups, metrics."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from urllib.parse import parse_qs

import trio

from kingcupvane import asgi
from kingcupvane.clock import Clock
from kingcupvane.connection import listener
from kingcupvane.connection.inbound import ServerState
from kingcupvane.process.metrics import (
    METRICS_PATH,
    PROMETHEUS_CONTENT_TYPE,
    MetricSet,
)
from kingcupvane.process.peering import PeerTable, lookup_addresses
from kingcupvane.request.gateway_request import WireNames
from kingcupvane.settings import GatewaySettings

# Period of the check for a ready gateway while look-ups wait for one.
READY_POLL_S = 0.02


class Endpoints:
    """Serves readiness checks, look-ups and metrics, each on its own port."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        names: WireNames,
        peers: PeerTable,
        metrics: MetricSet,
        update_gauges: Callable[[], None],
        is_ready: Callable[[], bool],
        wait_until: float,
        stop: trio.Event,
        clock: Clock,
    ):
        """Makes the endpoints; the `serve` methods bind their sockets.

        Args:
            settings: Listening addresses and the TTL of look-up responses.
            names: Paths and field names of the protocol.
            peers: The known gateways.
            metrics: Metrics to expose.
            update_gauges: Sets the gauges to the present state.
            is_ready: Returns whether callers may be sent to this gateway.
            wait_until: Monotonic time until which look-ups wait for a ready
                gateway: when all gateways start at once, none is at first.
            stop: Stops all endpoints once set.
            clock: Monotonic clock.
        """
        self._settings = settings
        self._names = names
        self._peers = peers
        self._metrics = metrics
        self._update_gauges = update_gauges
        self._is_ready = is_ready
        self._wait_until = wait_until
        self._stop = stop
        self._clock = clock

    async def serve_readiness(self) -> None:
        """Serves the readiness check until stopped."""
        await listener.serve(
            self._answer_readiness,
            address=self._settings.readiness_address,
            stop=self._stop,
        )

    async def serve_lookups(self) -> None:
        """Serves look-ups until stopped."""
        await listener.serve(
            self._answer_lookup,
            address=self._settings.lookup_address,
            stop=self._stop,
            state=ServerState(
                connections_max=self._settings.lookup_connections_allowed
            ),
        )

    async def serve_metrics(self) -> None:
        """Serves the metrics until stopped."""
        address = f"{self._settings.ip}:{self._settings.metrics_port}"
        await listener.serve(
            self._answer_metrics, address=address, stop=self._stop
        )

    async def _answer_readiness(
        self, request: asgi.HttpRequest, send: asgi.Send
    ) -> None:
        ready = self._is_ready() and request.path == self._names.ready_path
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await asgi.HttpResponse(status=status).send(send)

    async def _answer_lookup(
        self, request: asgi.HttpRequest, send: asgi.Send
    ) -> None:
        if request.path != self._names.lookup_path:
            await asgi.HttpResponse(status=HTTPStatus.NOT_FOUND).send(send)
            return
        query = parse_qs(request.query)
        addresses = self._find_addresses(query)
        while not addresses and self._clock.now() < self._wait_until:
            await trio.sleep(READY_POLL_S)
            addresses = self._find_addresses(query)
        if not addresses:
            await asgi.HttpResponse(status=HTTPStatus.SERVICE_UNAVAILABLE).send(
                send
            )
            return
        body = {
            self._names.lookup_addresses: addresses,
            self._names.lookup_ttl: self._settings.lookup_ttl_s,
        }
        await asgi.json_response(body).send(send)

    def _find_addresses(self, query: Mapping[str, list[str]]) -> list[str]:
        return lookup_addresses(
            self._peers,
            region=query.get(self._names.lookup_region, [""])[0],
            data_centre=query.get(self._names.lookup_data_centre, [""])[0],
            own_ready=self._is_ready(),
            now=self._clock.now(),
        )

    async def _answer_metrics(
        self, request: asgi.HttpRequest, send: asgi.Send
    ) -> None:
        if request.path != METRICS_PATH:
            await asgi.HttpResponse(status=HTTPStatus.NOT_FOUND).send(send)
            return
        self._update_gauges()
        await asgi.HttpResponse(
            body=self._metrics.text(), content_type=PROMETHEUS_CONTENT_TYPE
        ).send(send)
