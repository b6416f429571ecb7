"""Metrics of one daemon, in the Prometheus convention."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

METRICS_PATH = "/metrics"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]


class Metrics:
    """Counters, gauges and histograms in a registry of their own."""

    def __init__(self):
        """Makes all metrics with no samples."""
        self._registry = Registry()
        self.requests = self._counter(
            "kingcupvane_requests_total", "Requests by service and outcome."
        )
        self.lookups = self._counter(
            "kingcupvane_lookups_total", "Look-ups answered."
        )
        self.retries = self._counter(
            "kingcupvane_retries_total", "Further attempts by service."
        )
        self.store_calls = self._gauge(
            "kingcupvane_store_calls", "Store calls since start by operation."
        )
        self.revision = self._gauge(
            "kingcupvane_configuration_revision", "Revision in force."
        )
        self.order_writes = self._gauge(
            "kingcupvane_order_writes", "Store writes of order records."
        )
        self.peer_bytes = self._gauge(
            "kingcupvane_peer_bytes",
            "Bytes exchanged as asking side with other daemons since start.",
        )
        self.request_seconds = Histogram(
            "kingcupvane_request_duration_seconds",
            "Time from the request's headers to the end of its answer.",
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)

    def text(self) -> bytes:
        """Returns all metrics in the text format."""
        content, _ = render(self._registry, [TEXT_TYPE])
        return content
