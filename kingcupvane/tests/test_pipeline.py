"""Tests of the request pipeline of a gateway, with scripted targets."""

from dataclasses import replace

import pytest
import trio

from kingcupvane import asgi
from kingcupvane.connection.memory_budget import BodyBudget
from kingcupvane.connection.messages import Stamp
from kingcupvane.connection.target_connection import (
    ConnectFailedError,
    ExchangeBrokenError,
    WireResponse,
)
from kingcupvane.process.catalog import (
    Catalog,
    EvacuationUpdate,
    PlanUpdate,
    RolloutSpecUpdate,
    TargetUpdate,
    UnreadableItem,
)
from kingcupvane.process.crash_trials import CrashTrials
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.peering import PeerTable
from kingcupvane.process.rollout import RolloutStates
from kingcupvane.request.announcements import instance_of
from kingcupvane.request.crashes import CrashRegistry
from kingcupvane.request.gateway_request import WireNames
from kingcupvane.request.pace import PacingGateway
from kingcupvane.request.pipeline import (
    RequestPipeline,
    Shutdown,
)
from kingcupvane.request.placement import AttemptOutcome, Locality
from kingcupvane.request.quota import DistributedQuota
from kingcupvane.request.retry_budgets import RetryAllowance, RetryBudgets
from kingcupvane.request.selection import TargetSelector
from kingcupvane.request.sending import TargetSender
from kingcupvane.settings import RetrySettings
from kingcupvane.tests.targets import (
    account_plan,
    registered_target,
    route_plan,
    traffic_plan,
)
from kingcupvane.tests.test_peering import record
from kingcupvane.version.plan import Destination, RolloutSpec, RouteKind

NAMES = WireNames(
    attempt=b"attempt",
    deadline=b"deadline",
    instance=b"instance",
    account=b"account",
    load=b"load",
    not_executed=b"not-executed",
    stamp=b"stamp",
    leaving=frozenset({b"leaving"}),
    limit=frozenset({b"limit"}),
    affinity_cookie="object",
    auth_scheme="Token",
    ready_path="/ready",
    lookup_path="/lookup",
    lookup_region="region",
    lookup_data_centre="data_centre",
    lookup_addresses="addresses",
    lookup_ttl="ttl",
)
NON_IDEMPOTENT = {"kind": RouteKind.NON_IDEMPOTENT}
SHED_RESPONSE = WireResponse(
    status=503, headers=[(b"not-executed", b"1")], body=b""
)
MISDIRECTED_RESPONSE = WireResponse(status=421, headers=[], body=b"")


def response(status=200, body=b"whole", attempt=b"id-1"):
    return WireResponse(
        status=status,
        headers=[(b"stamp", b"s"), (b"attempt", attempt)],
        body=body,
    )


def shed_with_retry_after(value):
    return WireResponse(
        status=503,
        headers=[(b"not-executed", b"1"), (b"retry-after", value)],
        body=b"",
    )


def with_header(answer, name, value):
    return replace(answer, headers=[*answer.headers, (name, value)])


class FakeStream:
    """A stream of which only options and closing are used."""

    def setsockopt(self, *option):
        """Ignores the option."""

    async def aclose(self):
        """Does nothing."""


class FakeConnection:
    """A connection to a target; the exchanges follow the pool's script."""

    def __init__(self, *, pool, name):
        """Creates a connection of `pool` to the target `name`."""
        self._pool = pool
        self._name = name
        self.stream = FakeStream()

    async def exchange(self, request):
        pool = self._pool
        pool.sent.append((self._name, request))
        exchange_result = pool.script.pop(0) if pool.script else response()
        if callable(exchange_result):
            exchange_result = exchange_result(self._name)
        if isinstance(exchange_result, Exception):
            raise exchange_result
        if exchange_result is None:
            await trio.sleep_forever()
        return exchange_result


class FakePool:
    """Connection pool with scripted exchange results.

    A result is a response, an error to raise, None for no response, or a
    function of the target's name that returns one of these.
    """

    def __init__(self, *script):
        """Takes the results in the order of the exchanges."""
        self.script = list(script)
        self.sent = []
        self.unreachable = set()
        self.on_acquire = lambda name: None

    async def acquire(self, name, address, *, is_idempotent):
        self.on_acquire(name)
        if name in self.unreachable:
            raise ConnectFailedError("refused")
        return FakeConnection(pool=self, name=name)

    async def release(self, name, connection):
        """Discards the connection."""

    @property
    def target_names(self):
        return [name for name, _ in self.sent]


class TickingClock:
    """Advances a manual clock whenever it is read, for tasks that wait."""

    def __init__(self, clock):
        """Takes the clock to advance."""
        self._clock = clock

    def now(self):
        """Returns the time after one more step."""
        self._clock.advance(0.05)
        return self._clock.now()


class Gateway:
    """A request pipeline with three targets and, by default, one route."""

    def __init__(
        self,
        clock,
        timeline,
        pool,
        *,
        routes=None,
        accounts=(),
        retry_share=20.0,
    ):
        """Creates the pipeline, registers the targets and applies a plan."""
        self.clock = clock
        self.pool = pool
        self.suspected_crashes = []
        self.unanswered_exchanges = []
        self.evidence = EvidenceCounter()
        self.logged_events = []
        self.refusals = []
        self.metrics = GatewayMetrics()
        self.quota = DistributedQuota(
            now=clock.now(), is_initial_deployment=True
        )
        self.catalog = Catalog(
            name="g",
            locality=Locality(data_centre="north-a", region="north"),
            quota=self.quota,
            clock=clock,
            timeline=timeline,
        )
        self.catalog.pace.update_fleet(
            [PacingGateway(name="g", region="north", is_heard=True)],
            clock.now(),
        )
        self.crashes = CrashRegistry(settings=RetrySettings())
        selector = TargetSelector(
            catalog=self.catalog,
            rollout_states=RolloutStates(),
        )
        sender = TargetSender(
            catalog=self.catalog,
            pool=pool,
            selector=selector,
            crashes=self.crashes,
            evidence=self.evidence,
            metrics=self.metrics,
            names=NAMES,
            clock=clock,
            log_event=timeline.record,
            report_suspected_crash=self.suspected_crashes.append,
            check_suspected_crash=self.check_suspected_crash,
            report_unanswered=self.unanswered_exchanges.append,
        )
        self.retry_budgets = RetryBudgets(
            allowance=RetryAllowance(
                share=retry_share, extra=0.0, window_s=10.0
            ),
            now=clock.now(),
            draw=lambda: 0.0,
        )
        self.pipeline = RequestPipeline(
            catalog=self.catalog,
            selector=selector,
            sender=sender,
            quota=self.quota,
            crashes=self.crashes,
            trials=CrashTrials(
                crashes=self.crashes,
                peers=PeerTable(own=record("g")),
                client=None,
                is_ready=lambda: True,
                clock=TickingClock(clock),
                timeline=timeline,
            ),
            retry_budgets=self.retry_budgets,
            metrics=self.metrics,
            names=NAMES,
            clock=clock,
            log_event=self.log_event,
            count_refusal=lambda reason, *, plan: self.refusals.append(
                (reason, plan)
            ),
        )
        for name in ("t0", "t1", "t2"):
            self.register(registered_target(name))
        self.dead_targets = set()
        if routes is None:
            routes = (route_plan(),)
        self.plan = traffic_plan(*routes, accounts=accounts)
        self.catalog.apply(PlanUpdate(plan=self.plan))

    def log_event(self, kind, *, low_priority=False, **fields):
        self.logged_events.append((kind, low_priority, fields))

    async def check_suspected_crash(self, suspicion):
        self.suspected_crashes.append(suspicion)
        if suspicion.target in self.dead_targets:
            self.crashes.record_crash(
                suspicion.fingerprint,
                started_at=suspicion.started_at,
                now=self.clock.now(),
                process=f"{suspicion.process}/{self.clock.now()}",
            )

    def register(self, registered):
        self.catalog.apply(
            TargetUpdate(name=registered.name, target=registered)
        )

    def send_request(
        self,
        *,
        path="/r/x",
        body=b"",
        disconnects=False,
        is_disconnected=lambda: False,
        **headers,
    ):
        """Sends one request; returns status, headers and body of the response.

        Args:
            path: Path of the request.
            body: Its body.
            disconnects: Whether the caller disconnects after the body.
            is_disconnected: Returns whether the caller has disconnected.
            **headers: Further headers, with underscores for hyphens.

        Returns:
            None if no response was sent.
        """
        fields = {
            "host": "h.example",
            "attempt": "id-1",
            "deadline": "2000",
            **{key.replace("_", "-"): value for key, value in headers.items()},
        }
        incoming_messages = [{"type": "http.request", "body": body}]
        sent_messages = []

        async def receive():
            if incoming_messages:
                return incoming_messages.pop(0)
            if not disconnects:
                await trio.sleep_forever()
            return {"type": "http.disconnect"}

        async def send(message):
            sent_messages.append(message)

        request = asgi.HttpRequest(
            method="POST",
            path=path,
            query="",
            headers=fields,
            receive=receive,
            raw_path_and_query=path.encode(),
            header_pairs=[
                (key.encode(), value.encode()) for key, value in fields.items()
            ],
            is_disconnected=is_disconnected,
        )

        async def main():
            with trio.fail_after(5):
                await self.pipeline.handle(request, send)

        trio.run(main)
        if not sent_messages:
            return None
        return (
            sent_messages[0]["status"],
            dict(sent_messages[0]["headers"]),
            sent_messages[1]["body"],
        )


@pytest.fixture
def make_gateway(clock, timeline):
    def create(*script, **options):
        return Gateway(clock, timeline, FakePool(*script), **options)

    return create


def test_complete_response_is_forwarded_unchanged(make_gateway):
    gateway = make_gateway(response(status=201, body=b"booked"))
    status, headers, body = gateway.send_request(body=b"order")
    assert (status, body, headers[b"stamp"]) == (201, b"booked", b"s")
    _, wire_request = gateway.pool.sent[0]
    sent_headers = dict(wire_request.headers)
    assert wire_request.body == b"order"
    assert sent_headers[b"attempt"] == b"id-1"
    assert sent_headers[b"instance"] == gateway.pool.target_names[0].encode()
    assert 1900 < int(sent_headers[b"deadline"]) <= 2000


@pytest.mark.parametrize("refusal", [SHED_RESPONSE, MISDIRECTED_RESPONSE])
def test_non_idempotent_request_that_was_not_executed_is_retried(
    make_gateway, refusal
):
    gateway = make_gateway(
        refusal, response(), routes=(route_plan(**NON_IDEMPOTENT),)
    )
    assert gateway.send_request()[0] == 200
    assert len(set(gateway.pool.target_names)) == 2


@pytest.mark.parametrize(
    "exchange_result",
    [
        ExchangeBrokenError("reset"),
        response(attempt=b"another"),
        response(status=500),
        WireResponse(status=200, headers=[], body=b"no stamp"),
    ],
)
def test_non_idempotent_request_that_may_have_run_is_not_retried(
    make_gateway, exchange_result
):
    gateway = make_gateway(
        exchange_result, response(), routes=(route_plan(**NON_IDEMPOTENT),)
    )
    status, headers, _ = gateway.send_request()
    assert status in (500, 502)
    assert len(gateway.pool.sent) == 1
    assert b"retry-after" not in headers


def test_503_without_proof_of_non_execution_is_replaced_by_502(make_gateway):
    gateway = make_gateway(
        response(status=503), routes=(route_plan(**NON_IDEMPOTENT),)
    )
    status, headers, _ = gateway.send_request()
    assert status == 502
    assert b"stamp" not in headers


def test_idempotent_request_is_retried_on_another_target(make_gateway):
    gateway = make_gateway(ExchangeBrokenError("reset"), response())
    assert gateway.send_request()[0] == 200
    assert len(set(gateway.pool.target_names)) == 2


def test_idempotent_request_is_executed_at_most_attempts_max_times(
    make_gateway,
):
    gateway = make_gateway(*[response(status=500)] * 5)
    assert gateway.send_request()[0] == 500
    assert len(gateway.pool.sent) == 2


def test_unreachable_targets_do_not_use_up_attempts(make_gateway):
    gateway = make_gateway(response(), routes=(route_plan(**NON_IDEMPOTENT),))
    gateway.pool.unreachable = {"t0", "t1"}
    assert gateway.send_request()[0] == 200
    assert gateway.pool.target_names == ["t2"]


def test_request_shed_by_all_targets_gets_503_with_retry_after(make_gateway):
    gateway = make_gateway(*[SHED_RESPONSE] * 9)
    status, headers, _ = gateway.send_request()
    assert status == 503
    assert float(headers[b"retry-after"]) > 0


def test_target_that_sheds_with_free_slots_is_retried(make_gateway):
    """Such a target sheds only a share of requests and is warm for the key."""
    shed = WireResponse(
        status=503,
        headers=[(b"not-executed", b"1"), (b"load", b"1,0,4")],
        body=b"",
    )
    gateway = make_gateway(
        shed, response(), routes=(route_plan(**NON_IDEMPOTENT),)
    )
    assert gateway.send_request()[0] == 200
    assert len(gateway.pool.target_names) == 2
    assert len(set(gateway.pool.target_names)) == 1


def test_target_that_sheds_when_full_is_not_retried(make_gateway):
    shed = WireResponse(
        status=503,
        headers=[(b"not-executed", b"1"), (b"load", b"4,12,4")],
        body=b"",
    )
    gateway = make_gateway(
        shed, response(), routes=(route_plan(**NON_IDEMPOTENT),)
    )
    assert gateway.send_request()[0] == 200
    assert len(set(gateway.pool.target_names)) == 2


def test_caller_disconnect_cancels_the_exchange(make_gateway):
    gateway = make_gateway(None)
    assert gateway.send_request(disconnects=True) is None


def test_unresponsive_target_gives_504_at_the_deadline(make_gateway):
    gateway = make_gateway(None, routes=(route_plan(timeout_s=0.05),))
    assert gateway.send_request()[0] == 504
    assert len(gateway.pool.sent) == 1


def test_request_before_the_first_plan_gets_503(make_gateway):
    """Before the first plan a gateway can't know which routes and keys exist.

    So it must answer 503 (try again later), not 404 or 401.
    """
    gateway = make_gateway(routes=())
    gateway.catalog.plan = replace(gateway.plan, number=0)
    assert gateway.send_request()[0] == 503


def test_unknown_path_gets_404_and_longest_prefix_wins(make_gateway):
    deep_route = route_plan(
        name="far",
        prefix="/r/deep/",
        destinations=(Destination(service="writes"),),
    )
    gateway = make_gateway(
        response(), response(), routes=(route_plan(), deep_route)
    )
    gateway.register(registered_target("w", service="writes"))
    assert gateway.send_request(path="/other/x")[0] == 404
    assert gateway.refusals == [("no-route", gateway.plan.number)]
    assert gateway.send_request(path="/r/deep/x")[0] == 200
    assert gateway.pool.target_names == ["w"]


def test_api_key_sets_the_account_header_and_is_not_forwarded(make_gateway):
    gateway = make_gateway(response(), accounts=(account_plan(),))
    status, _, _ = gateway.send_request(
        authorization="Token secret", account="somebody-else"
    )
    assert status == 200
    sent_headers = dict(gateway.pool.sent[0][1].headers)
    assert sent_headers[b"account"] == b"acme"
    assert b"authorization" not in sent_headers
    assert gateway.send_request(authorization="Token wrong")[0] == 401
    assert gateway.send_request()[0] == 401
    assert gateway.refusals == [("unknown-key", gateway.plan.number)] * 2


def test_withdrawn_key_is_refused_even_after_an_older_plan(make_gateway):
    gateway = make_gateway(response(), accounts=(account_plan(),))
    plan_without_key = traffic_plan(
        route_plan(), accounts=(account_plan(keys=frozenset()),), number=2
    )
    gateway.catalog.apply(PlanUpdate(plan=plan_without_key))
    assert gateway.send_request(authorization="Token secret")[0] == 401
    gateway.catalog.apply(PlanUpdate(plan=gateway.plan))
    assert gateway.send_request(authorization="Token secret")[0] == 401


def test_account_over_its_rate_gets_429_with_retry_after(make_gateway):
    gateway = make_gateway(accounts=(account_plan(rate=1.0, burst=1.0),))
    results = [
        gateway.send_request(authorization="Token secret") for _ in range(9)
    ]
    refused = [result for result in results if result[0] == 429]
    assert len(refused) >= 5
    assert all(float(result[1][b"retry-after"]) > 0 for result in refused)


def test_leaving_and_evacuated_targets_get_no_requests(make_gateway):
    gateway = make_gateway(*[response()] * 9)
    gateway.register(registered_target("t0", leaving=True))
    gateway.register(registered_target("t1", data_centre="north-b"))
    gateway.catalog.apply(
        EvacuationUpdate(data_centre="north-b", evacuated=True)
    )
    for _ in range(3):
        assert gateway.send_request()[0] == 200
    assert set(gateway.pool.target_names) == {"t2"}


def test_route_is_served_only_in_its_home_regions(make_gateway):
    gateway = make_gateway(
        response(), routes=(route_plan(regions=frozenset({"south"})),)
    )
    assert gateway.send_request()[0] == 503
    gateway.register(registered_target("s", region="south", data_centre="s-a"))
    assert gateway.send_request()[0] == 200
    assert gateway.pool.target_names == ["s"]


def test_same_affinity_key_goes_to_the_same_target(make_gateway):
    gateway = make_gateway(*[response()] * 20)
    for _ in range(8):
        gateway.send_request(cookie="object=17")
    assert len(set(gateway.pool.target_names)) == 1


def test_destination_weights_divide_requests_exactly(make_gateway):
    destinations = (
        Destination(service="reads", weight=90),
        Destination(service="writes", weight=10),
    )
    gateway = make_gateway(
        *[response()] * 100, routes=(route_plan(destinations=destinations),)
    )
    gateway.register(registered_target("w", service="writes"))
    for _ in range(100):
        gateway.send_request()
    assert gateway.pool.target_names.count("w") == 10


def test_draining_gateway_sends_connection_close(make_gateway):
    gateway = make_gateway(response())
    gateway.pipeline.shutdown = Shutdown(late_from=1e9, ends_at=1e9)
    assert gateway.send_request()[1][b"connection"] == b"close"


def test_broken_exchange_is_reported_and_crashing_request_is_refused(
    make_gateway,
):
    gateway = make_gateway(
        ExchangeBrokenError("reset"), routes=(route_plan(**NON_IDEMPOTENT),)
    )
    gateway.send_request(body=b"poison")
    fingerprint = gateway.suspected_crashes[0].fingerprint
    for _ in range(3):
        now = gateway.clock.now()
        gateway.crashes.record_crash(fingerprint, started_at=now, now=now + 0.1)
        gateway.clock.advance(1.0)
    sent_before = len(gateway.pool.sent)
    assert gateway.send_request(body=b"poison")[0] == 503
    assert len(gateway.pool.sent) == sent_before
    assert gateway.send_request(body=b"harmless")[0] == 200


def crash_of(gateway):
    """Returns a script entry: the target dies with the request."""

    def exchange(name):
        gateway.dead_targets.add(name)
        gateway.clock.advance(0.2)
        return ExchangeBrokenError("reset")

    return exchange


# Review case 3: the second attempt was sent before the first crash was known.
def test_retries_of_a_request_that_crashes_targets_are_counted(make_gateway):
    gateway = make_gateway()
    gateway.pool.script = [crash_of(gateway)] * 20
    statuses = []
    for _ in range(12):
        statuses.append(gateway.send_request()[0])
        gateway.clock.advance(2.0)
    # Two attempts at once, and three trials in 24 s.
    assert len(gateway.dead_targets) <= 3
    assert len(gateway.pool.sent) <= 5
    assert statuses[0] == 502
    assert statuses[-1] == 503


def test_refusal_of_a_request_that_crashes_targets_tells_when_to_return(
    make_gateway,
):
    gateway = make_gateway()
    gateway.pool.script = [crash_of(gateway)] * 20
    for _ in range(2):
        gateway.send_request()
    status, headers, _ = gateway.send_request()
    assert status == 503
    assert 0.3 <= float(headers[b"retry-after"]) <= 3.0


# Review case 4: two crashes of targets while an innocent lookup ran there.
def test_lookup_that_ran_on_lost_targets_is_tried_and_then_served(make_gateway):
    gateway = make_gateway()
    gateway.pool.script = [crash_of(gateway)] * 2
    assert gateway.send_request()[0] == 502
    for _ in range(5):
        assert gateway.send_request()[0] == 200


def test_served_request_logs_one_event_with_all_attempts(make_gateway):
    gateway = make_gateway(
        SHED_RESPONSE, response(), accounts=(account_plan(),)
    )
    gateway.send_request(authorization="Token secret", body=b"private")
    ((kind, low_priority, fields),) = gateway.logged_events
    assert (kind, low_priority) == ("request", True)
    assert fields["request"] == "id-1"
    assert fields["outcome"] == "answered"
    assert fields["plan"] == 1
    first, second = fields["attempts"].split(",")
    assert "shed" in first
    assert "answered" in second
    assert "secret" not in str(fields)
    assert "private" not in str(fields)


def test_refusal_is_logged_and_counted_by_reason(make_gateway):
    gateway = make_gateway(*[SHED_RESPONSE] * 9)
    gateway.send_request()
    ((_, low_priority, fields),) = gateway.logged_events
    assert not low_priority
    assert fields["outcome"] == "no-room"
    assert fields["executed"] == "no"
    text = gateway.metrics.text().decode()
    assert 'kingcupvane_refusals_total{reason="no-room"} 1' in text
    assert 'ending="shed"' in text


def test_disconnect_before_admission_takes_no_token(make_gateway):
    limited = account_plan(rate=1.0, burst=2.0)
    gateway = make_gateway(response(), response(), accounts=(limited,))
    key = {"authorization": "Token secret"}
    for _ in range(5):
        assert gateway.send_request(is_disconnected=lambda: True, **key) is None
    assert gateway.pool.sent == []
    assert gateway.logged_events[-1][2]["outcome"] == "caller-gone"
    assert gateway.send_request(**key)[0] == 200


def test_disconnect_before_an_attempt_sends_no_request(make_gateway):
    """The caller leaves while the gateway connects to a target.

    Here one target has shed, and the gateway connects to the next one.
    """
    gateway = make_gateway(SHED_RESPONSE, response())
    checks = iter([False, False, True])
    assert gateway.send_request(is_disconnected=lambda: next(checks)) is None
    assert len(gateway.pool.sent) == 1


def test_non_idempotent_response_without_the_attempt_id_is_not_forwarded(
    make_gateway,
):
    """It may be a late copy of another request's response."""
    foreign = WireResponse(status=200, headers=[(b"stamp", b"s")], body=b"x")
    gateway = make_gateway(foreign, routes=(route_plan(**NON_IDEMPOTENT),))
    assert gateway.send_request()[0] == 502
    assert len(gateway.pool.sent) == 1


def test_target_that_announces_its_stop_gets_no_further_request(make_gateway):
    gateway = make_gateway(with_header(response(), b"leaving", b"1"))
    status, headers, _ = gateway.send_request(cookie="object=17")
    assert status == 200
    assert b"leaving" not in headers
    left = gateway.pool.target_names[0]
    gateway.clock.advance(30.0)
    gateway.register(registered_target(left, sequence=2))
    gateway.catalog.apply(TargetUpdate(name=left, target=None))
    gateway.register(registered_target(left, sequence=3))
    for _ in range(9):
        assert gateway.send_request(cookie="object=17")[0] == 200
    assert gateway.pool.target_names.count(left) == 1
    assert gateway.catalog.leaving_counts() == {"reads": 1}


def test_later_instance_of_a_target_that_left_is_used(make_gateway):
    gateway = make_gateway(with_header(response(), b"leaving", b"1"))
    gateway.send_request(cookie="object=17")
    left = gateway.pool.target_names[0]
    gateway.register(registered_target(left, started_ms=2))
    gateway.send_request(cookie="object=17")
    assert gateway.pool.target_names == [left, left]


def test_stop_announced_by_a_peer_holds_before_the_target_registers(
    make_gateway,
):
    gateway = make_gateway()
    late = registered_target("t9", service="late")
    gateway.catalog.mark_leaving(instance_of(late), source="g2")
    gateway.register(late)
    assert gateway.catalog.leaving_counts()["late"] == 1
    assert gateway.catalog.announced_leaving() == [instance_of(late)]


def test_request_is_not_sent_if_the_target_leaves_while_connecting(
    make_gateway,
):
    gateway = make_gateway(routes=(route_plan(**NON_IDEMPOTENT),))
    announced = []

    def leave(name):
        if not announced:
            announced.append(name)
            gateway.catalog.mark_leaving(
                instance_of(registered_target(name)), source="g2"
            )

    gateway.pool.on_acquire = leave
    assert gateway.send_request()[0] == 200
    assert len(gateway.pool.sent) == 1
    assert announced[0] not in gateway.pool.target_names


def test_target_that_sheds_with_retry_after_gets_nothing_until_then(
    make_gateway,
):
    gateway = make_gateway(shed_with_retry_after(b"1.5"))
    assert gateway.send_request(cookie="object=17")[0] == 200
    busy = gateway.pool.target_names[0]
    assert gateway.catalog.deferred_counts() == {"reads": 1}
    for _ in range(14):
        gateway.clock.advance(0.1)
        gateway.send_request(cookie="object=17")
    assert gateway.pool.target_names.count(busy) == 1
    gateway.clock.advance(0.2)
    gateway.catalog.end_deferrals()
    assert gateway.catalog.deferred_counts() == {"reads": 0}
    for name in {"t0", "t1", "t2"} - {busy}:
        gateway.catalog.apply(TargetUpdate(name=name, target=None))
    assert gateway.send_request(cookie="object=17")[0] == 200
    assert gateway.pool.target_names.count(busy) == 2


def test_cold_target_gets_few_requests_until_its_answers_are_known(
    make_gateway, timeline
):
    gateway = make_gateway()
    for name in ("t0", "t1", "t2"):
        gateway.catalog.apply(TargetUpdate(name=name, target=None))
    gateway.clock.advance(3.0)
    gateway.catalog.remove_expired_targets()
    gateway.register(registered_target("t3", cold_left_s=2.0))
    assert gateway.catalog.pace_counts()["ramping"] == 1
    statuses = [gateway.send_request()[0] for _ in range(5)]
    assert statuses == [200, 503, 503, 503, 503]
    for _ in range(40):
        gateway.clock.advance(0.25)
        gateway.catalog.pace.advance(gateway.clock.now())
    assert gateway.catalog.pace_counts()["settled"] == 1
    assert [gateway.send_request()[0] for _ in range(5)] == [200] * 5
    kinds = [event.kind for event in timeline.since(Stamp())]
    assert kinds.count("target-pace") >= 2


def test_lost_target_is_tried_with_one_request_at_first(make_gateway):
    gateway = make_gateway()
    for name in ("t0", "t1", "t2"):
        view = gateway.catalog.views_by_name()[name]
        gateway.catalog.pace.record_outcome(
            view.target,
            AttemptOutcome.UNREACHABLE,
            elapsed_s=0.0,
            objective_s=0.25,
            expected_s=0.1,
            reported=None,
            ejected=True,
            now=gateway.clock.now(),
        )
    assert gateway.catalog.pace_counts()["backing_off"] == 3
    assert gateway.send_request()[0] == 200
    assert gateway.catalog.pace_counts()["backing_off"] == 2


def test_caller_is_told_to_return_when_a_deferral_ends(make_gateway):
    gateway = make_gateway(*[shed_with_retry_after(b"1.2")] * 3)
    status, headers, _ = gateway.send_request()
    assert status == 503
    assert 1.1 < float(headers[b"retry-after"]) <= 2.0


def test_invalid_retry_after_is_logged_and_defers_nothing(
    make_gateway, timeline
):
    gateway = make_gateway(shed_with_retry_after(b"tomorrow"))
    gateway.send_request()
    assert gateway.catalog.deferred_counts() == {"reads": 0}
    kinds = [event.kind for event in timeline.since(Stamp())]
    assert "retry-after-invalid" in kinds


def test_lost_targets_are_no_evidence_against_their_version(make_gateway):
    gateway = make_gateway(
        None, routes=(route_plan(timeout_s=0.05, **NON_IDEMPOTENT),)
    )
    gateway.pool.unreachable = {"t0", "t1"}
    spec = RolloutSpec(service="reads", version="v2", duration_s=9, revision=1)
    gateway.catalog.apply(RolloutSpecUpdate(service="reads", spec=spec))
    assert gateway.send_request()[0] == 504
    assert gateway.evidence.of_services(["reads"]) == []
    (unanswered,) = gateway.unanswered_exchanges
    assert unanswered.target == "t2"
    assert unanswered.sample.failed


def limited_response(rate=b"0.5"):
    return with_header(response(), b"limit", rate)


def limit_all(gateway, rate):
    for view in gateway.catalog.views_by_name().values():
        gateway.catalog.target_limits.hear(
            view.target, rate, sent_at=0.0, now=gateway.clock.now()
        )


def test_request_beyond_a_target_limit_goes_to_another_target(make_gateway):
    gateway = make_gateway(
        limited_response(),
        *[limited_response(b"1000") for _ in range(39)],
    )
    assert all(gateway.send_request()[0] == 200 for _ in range(40))
    first, *others = gateway.pool.target_names
    assert others.count(first) <= 5
    assert len(others) == 39


def test_request_beyond_all_limits_is_refused_at_once_with_retry_after(
    make_gateway,
):
    gateway = make_gateway(*[limited_response() for _ in range(40)])
    limit_all(gateway, 0.5)
    answers = [gateway.send_request() for _ in range(40)]
    refused = [answer for answer in answers if answer[0] == 503]
    assert len(refused) > 20
    status, headers, body = refused[-1]
    assert 0.0 < float(headers[b"retry-after"]) <= 2.0
    assert b"3 of 3 have a limit" in body
    assert len(gateway.pool.target_names) == 40 - len(refused)


def test_retries_count_against_the_limit_of_a_target(make_gateway):
    failures = [response(status=500) for _ in range(80)]
    gateway = make_gateway(*failures)
    limit_all(gateway, 0.5)
    for number in range(20):
        gateway.send_request(path=f"/r/{number}", attempt=f"id-{number}")
    for name in ("t0", "t1", "t2"):
        assert gateway.pool.target_names.count(name) <= 5


def test_limit_in_a_response_holds_and_is_not_forwarded(make_gateway):
    gateway = make_gateway(*[limited_response() for _ in range(40)])
    answers = [gateway.send_request() for _ in range(40)]
    assert b"limit" not in answers[0][1]
    assert answers[-1][0] == 503
    assert len(gateway.pool.target_names) <= 15


def test_invalid_limit_is_logged_and_limits_nothing(make_gateway, timeline):
    gateway = make_gateway(*[limited_response(b"many") for _ in range(40)])
    assert all(gateway.send_request()[0] == 200 for _ in range(40))
    kinds = [event.kind for event in timeline.since(Stamp())]
    assert "target-limit-invalid" in kinds


def test_late_request_of_a_stop_is_sent_only_if_its_deadline_lies_within(
    make_gateway, clock
):
    gateway = make_gateway(response(), response())
    now = clock.now()
    gateway.pipeline.shutdown = Shutdown(late_from=now + 2.7, ends_at=now + 5.0)
    assert gateway.send_request(deadline="60000")[0] == 200
    clock.advance(2.8)
    assert gateway.send_request(deadline="2000")[0] == 200
    clock.advance(0.5)
    status, headers, _ = gateway.send_request(deadline="2000")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0.0
    assert headers[b"connection"] == b"close"
    assert len(gateway.pool.target_names) == 2


def test_unreadable_item_of_another_kind_removes_no_target(make_gateway):
    gateway = make_gateway()
    gateway.catalog.apply(UnreadableItem(key="rollouts/t0", reason="odd"))
    assert "t0" in gateway.catalog.views_by_name()
    gateway.catalog.apply(
        UnreadableItem(key="servers/t0", reason="odd", target="t0")
    )
    assert "t0" not in gateway.catalog.views_by_name()


def test_retries_are_counted_by_service_and_payment(make_gateway):
    gateway = make_gateway(MISDIRECTED_RESPONSE, SHED_RESPONSE, response())
    gateway.send_request()
    ((_, _, fields),) = gateway.logged_events
    endings = [word.split(":")[1] for word in fields["attempts"].split(",")]
    assert endings == ["misdirected", "shed", "answered"]
    assert gateway.retry_budgets.counts() == {("reads", "paid"): 2}


def test_retry_after_a_misdirected_attempt_needs_the_budget(make_gateway):
    """The first attempt has reached a target, though not the right one."""
    gateway = make_gateway(MISDIRECTED_RESPONSE, response(), retry_share=0.0)
    status, headers, _ = gateway.send_request()
    assert status == 503
    assert b"retry-after" in headers
    assert len(gateway.pool.sent) == 1


def test_retry_after_an_unreachable_target_is_free(make_gateway):
    gateway = make_gateway(response(), retry_share=0.0)
    gateway.pool.unreachable = {"t0", "t1"}
    assert gateway.send_request()[0] == 200
    assert set(gateway.retry_budgets.counts()) <= {("reads", "unreachable")}


def fill_targets(gateway, *, requests):
    for view in gateway.catalog.views("reads"):
        view.in_flight = requests


def refuse(gateway, count, *, requests=40, **headers):
    """Sends requests while all targets are full; returns the refusals."""
    fill_targets(gateway, requests=requests)
    return [
        gateway.send_request(attempt=f"refused-{number}", **headers)
        for number in range(count)
    ]


def test_priority_of_the_account_goes_before_that_of_the_route(make_gateway):
    gateway = make_gateway(
        accounts=(account_plan(priority=0),),
        routes=(route_plan(priority=3),),
    )
    refuse(gateway, 1, authorization="Token secret")
    _, _, fields = gateway.logged_events[-1]
    assert (fields["outcome"], fields["priority"]) == ("no-room", 0)


def test_refusal_in_an_overload_tells_what_decided(make_gateway):
    gateway = make_gateway(
        routes=(
            route_plan(name="urgent", prefix="/u/", priority=0),
            route_plan(name="other", prefix="/r/", priority=1),
        )
    )
    for _ in range(20):
        refuse(gateway, 1, path="/u/x")
        refuse(gateway, 1)
        gateway.clock.advance(0.25)
    _, _, fields = gateway.logged_events[-1]
    assert (fields["cause"], fields["overload"]) == ("wait", True)
    gateway.logged_events.clear()
    # One request in the queue: only those beyond the share are refused.
    sent = gateway.pool.sent

    def answer(name):
        return response(attempt=dict(sent[-1][1].headers)[b"attempt"])

    gateway.pool.script = [answer] * 20
    refuse(gateway, 20, requests=4)
    refusals = [fields for _, _, fields in gateway.logged_events]
    by_share = [f for f in refusals if f.get("cause") == "share"]
    assert 0 < len(by_share) < 20
    assert by_share[0]["share"] < 0.5
    assert by_share[0]["priority"] == 1
    # A free slot is used whatever the priority.
    gateway.pool.script.clear()
    fill_targets(gateway, requests=0)
    assert gateway.send_request()[0] == 200
    text = gateway.metrics.text().decode()
    assert "kingcupvane_no_room_refusals_total" in text


def test_retry_after_in_an_overload_is_within_what_callers_honour(make_gateway):
    """The route's timeout does not bound how long the caller itself waits."""
    gateway = make_gateway(routes=(route_plan(timeout_s=1.0),))
    for _ in range(10):
        refuse(gateway, 5, deadline="3000")
        gateway.clock.advance(0.25)
    delays_s = [
        float(headers[b"retry-after"])
        for _, headers, _ in refuse(gateway, 30, deadline="3000")
    ]
    assert max(delays_s) <= 1.0
    assert min(delays_s) >= 0.6


@pytest.mark.parametrize(
    ("announced", "room_bytes", "status"),
    [(99_999_999_999, 1 << 20, 413), (1 << 20, 1 << 19, 503)],
)
def test_body_that_cannot_be_taken_is_refused_before_it_is_read(
    make_gateway, announced, room_bytes, status
):
    gateway = make_gateway()
    gateway.pipeline._bodies = BodyBudget(max_bytes=room_bytes, small_bytes=1)
    got_status, headers, body = gateway.send_request(
        content_length=str(announced)
    )
    assert got_status == status
    assert headers[b"connection"] == b"close"
    assert (b"retry-after" in headers) == (status == 503)
    assert b'"executed":"no"' in body
    assert not gateway.pipeline._bodies.used_bytes
