"""Tests of the way of a request through a gateway, with scripted targets."""

from dataclasses import replace

import pytest
import trio

from kingcupvane import asgi
from kingcupvane.connection.target_connection import (
    ConnectFailedError,
    ExchangeBrokenError,
    WireResponse,
)
from kingcupvane.process.catalog import (
    Catalog,
    EvacuationUpdate,
    PlanUpdate,
    TargetUpdate,
)
from kingcupvane.process.evidence import EvidenceCounter
from kingcupvane.process.metrics import GatewayMetrics
from kingcupvane.process.rollout import RolloutStates
from kingcupvane.request.gateway_request import WireNames
from kingcupvane.request.pipeline import RequestPipeline, RetryBudgets
from kingcupvane.request.placement import Locality
from kingcupvane.request.quota import DistributedQuota
from kingcupvane.request.retry import CrashRegistry, RetryBudget
from kingcupvane.request.selection import TargetSelector
from kingcupvane.request.sending import TargetSender
from kingcupvane.settings import RetrySettings
from kingcupvane.tests.targets import account, plan, route, target
from kingcupvane.version.plan import Destination, RouteKind

NAMES = WireNames(
    attempt=b"attempt",
    deadline=b"deadline",
    instance=b"instance",
    account=b"account",
    load=b"load",
    not_executed=b"not-executed",
    stamp=b"stamp",
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
SHED = WireResponse(status=503, headers=[(b"not-executed", b"1")], body=b"")
OTHER = WireResponse(status=421, headers=[], body=b"")


def answer(status=200, body=b"whole", attempt=b"id-1"):
    return WireResponse(
        status=status,
        headers=[(b"stamp", b"s"), (b"attempt", attempt)],
        body=body,
    )


class FakeStream:
    """A stream that is only ever closed."""

    def setsockopt(self, *option):
        """Sets nothing."""

    async def aclose(self):
        """Closes nothing."""


class FakeConnection:
    """A connection to a target whose answers are scripted."""

    def __init__(self, *, pool, name):
        """Belongs to a pool that has the script."""
        self._pool = pool
        self._name = name
        self.stream = FakeStream()

    async def exchange(self, request):
        pool = self._pool
        pool.sent.append((self._name, request))
        step = pool.script.pop(0) if pool.script else answer()
        if callable(step):
            step = step(self._name)
        if isinstance(step, Exception):
            raise step
        if step is None:
            await trio.sleep_forever()
        return step


class FakePool:
    """Stands in for the pool; the script says what targets answer."""

    def __init__(self, *script):
        """Takes the answers in the order of the exchanges."""
        self.script = list(script)
        self.sent = []
        self.unreachable = set()

    async def acquire(self, name, address, *, recently_used):
        if name in self.unreachable:
            raise ConnectFailedError("refused")
        return FakeConnection(pool=self, name=name)

    async def release(self, name, connection):
        """Keeps nothing."""

    @property
    def names(self):
        return [name for name, _ in self.sent]


class Gateway:
    """A steering pipeline with three targets and one route."""

    def __init__(self, clock, timeline, pool, *, routes=None, accounts=()):
        """Registers the targets and puts a plan in force."""
        self.clock = clock
        self.pool = pool
        self.suspicions = []
        self.lines = []
        self.metrics = GatewayMetrics()
        self.catalog = Catalog(
            name="g",
            locality=Locality(data_centre="north-a", region="north"),
            clock=clock,
            timeline=timeline,
        )
        self.quota = DistributedQuota(
            now=clock.now(), is_initial_deployment=True
        )
        self.crashes = CrashRegistry(settings=RetrySettings())
        selector = TargetSelector(
            catalog=self.catalog,
            rollout_states=RolloutStates(),
            gateways=lambda: ["g"],
        )
        sender = TargetSender(
            catalog=self.catalog,
            pool=pool,
            selector=selector,
            crashes=self.crashes,
            evidence=EvidenceCounter(),
            metrics=self.metrics,
            names=NAMES,
            clock=clock,
            log_event=timeline.record,
            report_suspected_crash=self.suspicions.append,
        )
        self.steering = RequestPipeline(
            catalog=self.catalog,
            selector=selector,
            sender=sender,
            quota=self.quota,
            crashes=self.crashes,
            retry_budgets=RetryBudgets(
                create_budget=lambda: RetryBudget(
                    settings=RetrySettings(share=0.2, burst=10)
                )
            ),
            metrics=self.metrics,
            names=NAMES,
            clock=clock,
            log_event=self.log_event,
        )
        for name in ("t0", "t1", "t2"):
            self.register(target(name))
        if routes is None:
            routes = (route(),)
        self.plan = plan(*routes, accounts=accounts)
        self.catalog.apply(PlanUpdate(plan=self.plan))

    def log_event(self, kind, *, low_priority=False, **fields):
        self.lines.append((kind, low_priority, fields))

    def register(self, registered):
        self.catalog.apply(
            TargetUpdate(name=registered.name, target=registered)
        )

    def ask(
        self,
        *,
        path="/r/x",
        body=b"",
        gone=False,
        is_disconnected=lambda: False,
        **headers,
    ):
        """Sends one request; returns status, headers and body."""
        fields = {
            "host": "h.example",
            "attempt": "id-1",
            "deadline": "2000",
            **{key.replace("_", "-"): value for key, value in headers.items()},
        }
        messages = [{"type": "http.request", "body": body}]
        sent = []

        async def receive():
            if messages:
                return messages.pop(0)
            if not gone:
                await trio.sleep_forever()
            return {"type": "http.disconnect"}

        async def send(message):
            sent.append(message)

        request = asgi.HttpRequest(
            method="POST",
            path=path,
            query="",
            headers=fields,
            receive=receive,
            raw_target=path.encode(),
            header_pairs=[
                (key.encode(), value.encode()) for key, value in fields.items()
            ],
            is_disconnected=is_disconnected,
        )

        async def main():
            with trio.fail_after(5):
                await self.steering.handle(request, send)

        trio.run(main)
        if not sent:
            return None
        return (
            sent[0]["status"],
            dict(sent[0]["headers"]),
            sent[1]["body"],
        )


@pytest.fixture
def make(clock, timeline):
    def make_gateway(*script, **options):
        return Gateway(clock, timeline, FakePool(*script), **options)

    return make_gateway


def test_whole_answer_is_passed_on_unchanged(make):
    gateway = make(answer(status=201, body=b"booked"))
    status, headers, body = gateway.ask(body=b"order")
    assert (status, body, headers[b"stamp"]) == (201, b"booked", b"s")
    _, sent = gateway.pool.sent[0]
    fields = dict(sent.headers)
    assert sent.body == b"order"
    assert fields[b"attempt"] == b"id-1"
    assert fields[b"instance"] == gateway.pool.names[0].encode()
    assert 1900 < int(fields[b"deadline"]) <= 2000


@pytest.mark.parametrize("refusal", [SHED, OTHER])
def test_order_that_did_not_run_is_sent_on(make, refusal):
    gateway = make(refusal, answer(), routes=(route(**NON_IDEMPOTENT),))
    assert gateway.ask()[0] == 200
    assert len(set(gateway.pool.names)) == 2


@pytest.mark.parametrize(
    "step",
    [
        ExchangeBrokenError("reset"),
        answer(attempt=b"another"),
        answer(status=500),
        WireResponse(status=200, headers=[], body=b"no stamp"),
    ],
)
def test_order_that_may_have_run_is_never_sent_on(make, step):
    gateway = make(step, answer(), routes=(route(**NON_IDEMPOTENT),))
    status, headers, _ = gateway.ask()
    assert status in (500, 502)
    assert len(gateway.pool.sent) == 1
    assert b"retry-after" not in headers


def test_unproved_refusal_of_a_target_is_no_promise_to_the_caller(make):
    gateway = make(answer(status=503), routes=(route(**NON_IDEMPOTENT),))
    status, headers, _ = gateway.ask()
    assert status == 502
    assert b"stamp" not in headers


def test_read_is_repeated_on_another_target(make):
    gateway = make(ExchangeBrokenError("reset"), answer())
    assert gateway.ask()[0] == 200
    assert len(set(gateway.pool.names)) == 2


def test_read_runs_on_no_more_targets_than_its_route_allows(make):
    gateway = make(*[answer(status=500)] * 5)
    assert gateway.ask()[0] == 500
    assert len(gateway.pool.sent) == 2


def test_unreachable_target_costs_no_attempt(make):
    gateway = make(answer(), routes=(route(**NON_IDEMPOTENT),))
    gateway.pool.unreachable = {"t0", "t1"}
    assert gateway.ask()[0] == 200
    assert gateway.pool.names == ["t2"]


def test_refusal_when_all_shed_says_not_run_and_when_to_return(make):
    gateway = make(*[SHED] * 9)
    status, headers, _ = gateway.ask()
    assert status == 503
    assert float(headers[b"retry-after"]) > 0


def test_target_that_sheds_with_room_is_asked_again(make):
    """It refuses a part of all requests, and knows the object."""
    shed = WireResponse(
        status=503,
        headers=[(b"not-executed", b"1"), (b"load", b"1,0,4")],
        body=b"",
    )
    gateway = make(shed, answer(), routes=(route(**NON_IDEMPOTENT),))
    assert gateway.ask()[0] == 200
    assert len(gateway.pool.names) == 2
    assert len(set(gateway.pool.names)) == 1


def test_target_that_sheds_when_full_is_left_alone(make):
    shed = WireResponse(
        status=503,
        headers=[(b"not-executed", b"1"), (b"load", b"4,12,4")],
        body=b"",
    )
    gateway = make(shed, answer(), routes=(route(**NON_IDEMPOTENT),))
    assert gateway.ask()[0] == 200
    assert len(set(gateway.pool.names)) == 2


def test_caller_that_left_ends_the_exchange(make):
    gateway = make(None)
    assert gateway.ask(gone=True) is None


def test_silent_target_is_given_up_at_the_deadline(make):
    gateway = make(None, routes=(route(timeout_s=0.05),))
    assert gateway.ask()[0] == 504
    assert len(gateway.pool.sent) == 1


def test_no_plan_is_no_reason_to_deny(make):
    gateway = make(routes=())
    gateway.catalog.plan = replace(gateway.plan, number=0)
    assert gateway.ask()[0] == 503


def test_unknown_route_and_longest_prefix(make):
    far = route(
        name="far",
        prefix="/r/deep/",
        destinations=(Destination(service="writes"),),
    )
    gateway = make(answer(), answer(), routes=(route(), far))
    gateway.register(target("w", service="writes"))
    assert gateway.ask(path="/other/x")[0] == 404
    assert gateway.ask(path="/r/deep/x")[0] == 200
    assert gateway.pool.names == ["w"]


def test_key_names_the_account_and_never_reaches_the_target(make):
    gateway = make(answer(), accounts=(account(),))
    status, _, _ = gateway.ask(
        authorization="Token secret", account="somebody-else"
    )
    assert status == 200
    fields = dict(gateway.pool.sent[0][1].headers)
    assert fields[b"account"] == b"acme"
    assert b"authorization" not in fields
    assert gateway.ask(authorization="Token wrong")[0] == 401
    assert gateway.ask()[0] == 401


def test_withdrawn_key_stops_with_the_next_plan(make):
    gateway = make(answer(), accounts=(account(),))
    bare = plan(route(), accounts=(account(keys=frozenset()),), number=2)
    gateway.catalog.apply(PlanUpdate(plan=bare))
    assert gateway.ask(authorization="Token secret")[0] == 401
    gateway.catalog.apply(PlanUpdate(plan=gateway.plan))
    assert gateway.ask(authorization="Token secret")[0] == 401


def test_account_over_its_rate_is_refused_with_a_time(make):
    gateway = make(accounts=(account(rate=1.0, burst=1.0),))
    results = [gateway.ask(authorization="Token secret") for _ in range(9)]
    refused = [result for result in results if result[0] == 429]
    assert len(refused) >= 5
    assert all(float(result[1][b"retry-after"]) > 0 for result in refused)


def test_leaving_and_evacuated_targets_get_nothing(make):
    gateway = make(*[answer()] * 9)
    gateway.register(target("t0", leaving=True))
    gateway.register(target("t1", data_centre="north-b"))
    gateway.catalog.apply(
        EvacuationUpdate(data_centre="north-b", evacuated=True)
    )
    for _ in range(3):
        assert gateway.ask()[0] == 200
    assert set(gateway.pool.names) == {"t2"}


def test_home_regions_bind(make):
    gateway = make(answer(), routes=(route(regions=frozenset({"south"})),))
    assert gateway.ask()[0] == 503
    gateway.register(target("s", region="south", data_centre="s-a"))
    assert gateway.ask()[0] == 200
    assert gateway.pool.names == ["s"]


def test_same_object_goes_to_the_same_target(make):
    gateway = make(*[answer()] * 20)
    for _ in range(8):
        gateway.ask(cookie="object=17")
    assert len(set(gateway.pool.names)) == 1


def test_weights_split_the_requests_exactly(make):
    parts = (
        Destination(service="reads", weight=90),
        Destination(service="writes", weight=10),
    )
    gateway = make(*[answer()] * 100, routes=(route(destinations=parts),))
    gateway.register(target("w", service="writes"))
    for _ in range(100):
        gateway.ask()
    assert gateway.pool.names.count("w") == 10


def test_leaving_gateway_closes_callers_connections(make):
    gateway = make(answer())
    gateway.steering.leaving = True
    assert gateway.ask()[1][b"connection"] == b"close"


def test_broken_exchange_raises_a_suspicion_and_a_crasher_is_refused(make):
    gateway = make(
        ExchangeBrokenError("reset"), routes=(route(**NON_IDEMPOTENT),)
    )
    gateway.ask(body=b"poison")
    fingerprint = gateway.suspicions[0].fingerprint
    for _ in range(3):
        now = gateway.clock.now()
        gateway.crashes.record_crash(fingerprint, started_at=now, now=now + 0.1)
        gateway.clock.advance(1.0)
    sent = len(gateway.pool.sent)
    assert gateway.ask(body=b"poison")[0] == 503
    assert len(gateway.pool.sent) == sent
    assert gateway.ask(body=b"harmless")[0] == 200


def test_one_line_tells_what_decided_a_request(make):
    gateway = make(SHED, answer(), accounts=(account(),))
    gateway.ask(authorization="Token secret", body=b"private")
    ((kind, low_priority, fields),) = gateway.lines
    assert (kind, low_priority) == ("request", True)
    assert fields["request"] == "id-1"
    assert fields["outcome"] == "answered"
    assert fields["plan"] == 1
    first, second = fields["attempts"].split(",")
    assert "shed" in first
    assert "answered" in second
    assert "secret" not in str(fields)
    assert "private" not in str(fields)


def test_refusal_tells_its_reason_and_is_counted(make):
    gateway = make(*[SHED] * 9)
    gateway.ask()
    ((_, low_priority, fields),) = gateway.lines
    assert not low_priority
    assert fields["outcome"] == "no-room"
    assert fields["executed"] == "no"
    text = gateway.metrics.text().decode()
    assert 'kingcupvane_refusals_total{reason="no-room"} 1' in text
    assert 'ending="shed"' in text


def test_caller_that_left_before_its_request_was_read_costs_nothing(make):
    limited = account(rate=1.0, burst=2.0)
    gateway = make(answer(), answer(), accounts=(limited,))
    key = {"authorization": "Token secret"}
    for _ in range(5):
        assert gateway.ask(is_disconnected=lambda: True, **key) is None
    assert gateway.pool.sent == []
    assert gateway.lines[-1][2]["outcome"] == "caller-gone"
    assert gateway.ask(**key)[0] == 200


def test_caller_that_leaves_while_a_target_is_connected_reaches_none(make):
    """Also after a refusal, before the next target gets the request."""
    gateway = make(SHED, answer())
    ends = iter([False, False, True])
    assert gateway.ask(is_disconnected=lambda: next(ends)) is None
    assert len(gateway.pool.sent) == 1
