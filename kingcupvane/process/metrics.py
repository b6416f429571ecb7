"""Prometheus metrics of one daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

METRICS_PATH = "/metrics"
PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
DURATION_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]


class MetricSet:
    """Counters, gauges and histograms in a registry of their own."""

    def __init__(self):
        """Creates an empty registry."""
        self._registry = Registry()

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(name, help_text, registry=self._registry)

    def _seconds_histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            name, help_text, buckets=DURATION_BUCKETS_S, registry=self._registry
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        content, _ = render(self._registry, [PROMETHEUS_CONTENT_TYPE])
        return content


class EntryMetrics(MetricSet):
    """Metrics of an entry daemon."""

    def __init__(self):
        """Creates all metrics without samples."""
        super().__init__()
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
        self.request_seconds = self._seconds_histogram(
            "kingcupvane_request_duration_seconds",
            "Time from the request's headers to the end of its answer.",
        )


class GatewayMetrics(MetricSet):
    """Metrics of a gateway daemon."""

    def __init__(self):
        """Creates all metrics without samples."""
        super().__init__()
        self.requests = self._counter(
            "kingcupvane_requests_total",
            "Requests by route, kind and outcome.",
        )
        self.request_seconds = self._seconds_histogram(
            "kingcupvane_request_duration_seconds",
            "Time from the request's headers to its answer, by kind.",
        )
        self.exchanges = self._counter(
            "kingcupvane_target_exchanges_total",
            "Exchanges with targets by service and ending.",
        )
        self.refusals = self._counter(
            "kingcupvane_refusals_total", "Requests refused by reason."
        )
        self.refusals_by_priority = self._counter(
            "kingcupvane_no_room_refusals_total",
            "Requests refused for want of a slot by service, cause, priority.",
        )
        self.priority_share = self._gauge(
            "kingcupvane_priority_share",
            "Share of requests that may wait for a slot by service, priority.",
        )
        self.overload = self._gauge(
            "kingcupvane_overload", "1 while a service is overloaded, else 0."
        )
        self.slots_wanted = self._gauge(
            "kingcupvane_slots_wanted",
            "Slots that the callers of all gateways want, by service.",
        )
        self.active = self._gauge(
            "kingcupvane_requests_active", "Requests in the gateway now."
        )
        self.lateness_seconds = self._seconds_histogram(
            "kingcupvane_scheduler_lateness_seconds",
            "How late the process gets to what is due, ten times a second.",
        )
        self.plan_number = self._gauge(
            "kingcupvane_plan_number", "Version of the plan in force."
        )
        self.plan_age_seconds = self._gauge(
            "kingcupvane_plan_age_seconds",
            "Time since the plan in force was known to be the store's newest.",
        )
        self.mirror_age_seconds = self._gauge(
            "kingcupvane_store_silence_seconds",
            "Time since this gateway's copy of the store was confirmed.",
        )
        self.mirror_revision = self._gauge(
            "kingcupvane_store_revision",
            "Store revision of this gateway's copy of the store.",
        )
        self.peer_revision = self._gauge(
            "kingcupvane_peers_store_revision",
            "Newest store revision that this gateway has heard of.",
        )
        self.store_era = self._gauge(
            "kingcupvane_store_era",
            "Number of times that the store came back from an older copy.",
        )
        self.answered_revision = self._gauge(
            "kingcupvane_store_answered_revision",
            "Store revision of the store's last answer to this gateway.",
        )
        self.mirror_state = self._gauge(
            "kingcupvane_store_copy_state",
            "Whether this gateway's copy of the store is current, or why not.",
        )
        self.peer_failures = self._gauge(
            "kingcupvane_peer_failures",
            "Messages to gateways without a reply, by message and error.",
        )
        self.peer_reply_failures = self._gauge(
            "kingcupvane_peer_reply_failures",
            "Messages of gateways that got no reply, by message and error.",
        )
        self.store_calls = self._gauge(
            "kingcupvane_store_calls", "Store calls since start by operation."
        )
        self.gateways = self._gauge(
            "kingcupvane_gateways_live", "Live gateways, this one included."
        )
        self.targets = self._gauge(
            "kingcupvane_targets", "Registered targets by service."
        )
        self.targets_leaving = self._gauge(
            "kingcupvane_targets_leaving",
            "Registered targets that are about to stop, by service.",
        )
        self.targets_deferred = self._gauge(
            "kingcupvane_targets_deferred",
            "Targets that asked this gateway to wait, by service.",
        )
        self.targets_pace = self._gauge(
            "kingcupvane_targets_pace",
            "Registered targets by the state of their pace.",
        )
        self.targets_limited = self._gauge(
            "kingcupvane_targets_limited",
            "Targets that name a limit of their own, by service.",
        )
        self.limited_requests = self._gauge(
            "kingcupvane_limited_requests",
            "Requests a second that such targets take together, by service.",
        )
        self.quota_left = self._gauge(
            "kingcupvane_quota_left_requests",
            "Requests left in the bucket of each client account.",
        )
        self.retry_budget = self._gauge(
            "kingcupvane_retry_budget_requests",
            "Further attempts that this gateway may make, by service.",
        )
        self.retry_part = self._gauge(
            "kingcupvane_retry_part",
            "This gateway's part of the fleet's extra retries, by service.",
        )
        self.retries = self._gauge(
            "kingcupvane_retries",
            "Retries since start by service, and how the budget treated them.",
        )
        self.connections_opened = self._gauge(
            "kingcupvane_target_connections_opened",
            "Connections to targets opened since start.",
        )
        self.connections_accepted = self._gauge(
            "kingcupvane_caller_connections_accepted",
            "Connections of callers taken since start.",
        )
        self.connections_waiting = self._gauge(
            "kingcupvane_caller_connections_waiting",
            "Connections of callers that waited at the last look, at most 32.",
        )
        self.connections_open = self._gauge(
            "kingcupvane_caller_connections_open",
            "Connections of callers that are open now.",
        )
        self.memory_used_bytes = self._gauge(
            "kingcupvane_memory_used_bytes",
            "Memory held for callers now, by use.",
        )
        self.memory_max_bytes = self._gauge(
            "kingcupvane_memory_max_bytes",
            "Most memory that may be held for callers, by use.",
        )
        self.body_evictions = self._gauge(
            "kingcupvane_body_evictions",
            "Request bodies given up since start: too slow while room was"
            " short.",
        )
        self.response_evictions = self._gauge(
            "kingcupvane_response_evictions",
            "Responses given up since start: not taken by their callers while"
            " room was short.",
        )
        self.log_lines_left_out = self._gauge(
            "kingcupvane_log_lines_left_out", "Log lines left out since start."
        )
        self.usage_windows = self._counter(
            "kingcupvane_usage_windows_total",
            "Windows of usage recorded, sent and given up, by outcome.",
        )
        self.usage_calls = self._counter(
            "kingcupvane_usage_calls_total",
            "Calls with usage to the platform by reply.",
        )
        self.usage_token = self._gauge(
            "kingcupvane_usage_token",
            "Fencing token of the duty of usage reports; 0 without the duty.",
        )
