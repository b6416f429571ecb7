"""Tests of the soak of gateways: its judge, its scripts, and short seeds."""

import dataclasses
import itertools

import pytest

from kingcupvane.soak import gateway_runner
from kingcupvane.soak.gateway_faults import _HANDLERS
from kingcupvane.soak.gateway_judge import Bounds, judge
from kingcupvane.soak.gateway_record import (
    STORE,
    Arrival,
    Ask,
    Disruption,
    FinalState,
    Leaving,
    Life,
    PlanWrite,
    Record,
)
from kingcupvane.soak.gateway_script import Script, Step, generate

BOUNDS = Bounds(apply_s=2.5, drain_s=2.5, contact_s=4.0, grace_s=6.0)
# Scripts in which the store comes back from older copies.
SEEDS = (1, 27, 36)
SEED_LENGTH_S = 8.0
OLD, NEW = "desk-1", "desk-2"
GATEWAY, OTHER = "g-1", "g-2"
KEY, ADDED_KEY = "k-1", "k-2"
KEPT_PREFIX, MOVED, REMOVED, ADDED = "/kept/", "/moved/", "/removed/", "/added/"
FIRST_PLAN = PlanWrite(
    at=0.0,
    version=1,
    service_by_prefix={KEPT_PREFIX: OLD, MOVED: OLD, REMOVED: OLD},
    keys=frozenset({KEY, "revoked"}),
)
# The plan is due at 22.5.
SECOND_PLAN = PlanWrite(
    at=20.0,
    version=5,
    service_by_prefix={KEPT_PREFIX: OLD, MOVED: NEW, ADDED: OLD},
    keys=frozenset({KEY, ADDED_KEY}),
)
CALM_AT = 90.0
_ids = itertools.count()


class RecordBuilder:
    """Builds a record of two gateways on which all rules are kept."""

    def __init__(self):
        """Starts with two plans and questions at the end."""
        self.record = Record(
            gateways=[GATEWAY, OTHER],
            plans=[FIRST_PLAN, SECOND_PLAN],
            lives=[Life(gateway=g, start=0.0) for g in (GATEWAY, OTHER)],
            finals=[
                FinalState(gateway=g, is_ready=True) for g in (GATEWAY, OTHER)
            ],
            calm_at=CALM_AT,
        )
        for gateway in (GATEWAY, OTHER):
            for prefix, service in SECOND_PLAN.service_by_prefix.items():
                self.run(prefix, service, at=CALM_AT + 1, gateway=gateway)

    def run(
        self,
        prefix,
        service,
        *,
        at,
        gateway=GATEWAY,
        key=KEY,
        target="t-1",
        reached_after_s=0.05,
    ):
        """Adds a request that a service ran."""
        ask = self._ask(prefix, at, gateway, key, status=200, service=service)
        arrival = Arrival(
            at=at + reached_after_s,
            ask_id=ask.id,
            target=target,
            service=service,
        )
        self.record.arrivals.append(arrival)

    def refuse(self, prefix, status, *, at, gateway=GATEWAY, key=KEY):
        """Adds a request that the gateway refused itself."""
        self._ask(prefix, at, gateway, key, status=status, service="")

    def _ask(self, prefix, at, gateway, key, *, status, service):
        ask = Ask(
            id=str(next(_ids)),
            gateway=gateway,
            prefix=prefix,
            key=key,
            sent_at=at,
            ended_at=at + 0.1,
            status=status,
            service=service,
        )
        self.record.asks.append(ask)
        return ask

    def disrupt(self, subject, start, end=None, *, kind="x", copy_at=None):
        """Adds a fault from outside."""
        self.record.disruptions.append(
            Disruption(
                subject=subject,
                kind=kind,
                start=start,
                end=start if end is None else end,
                copy_at=copy_at,
            )
        )

    def rules(self):
        """Returns the rules that were broken."""
        return [fault.rule for fault in judge(self.record, bounds=BOUNDS)]


@pytest.fixture
def seen():
    return RecordBuilder()


def _refuse_added_route(seen, at):
    seen.refuse(ADDED, 404, at=at)


def _refuse_added_key(seen, at):
    seen.refuse(KEPT_PREFIX, 401, at=at, key=ADDED_KEY)


def _run_by_old_service(seen, at):
    seen.run(MOVED, OLD, at=at)


def _serve_removed_route(seen, at):
    seen.run(REMOVED, OLD, at=at)


def _serve_revoked_key(seen, at):
    seen.run(KEPT_PREFIX, OLD, at=at, key="revoked")


OLD_PLAN_SIGNS = [
    _refuse_added_route,
    _refuse_added_key,
    _run_by_old_service,
    _serve_removed_route,
    _serve_revoked_key,
]


def test_record_that_keeps_all_rules(seen):
    assert seen.rules() == []


@pytest.mark.parametrize("show_old_plan", OLD_PLAN_SIGNS)
def test_old_plan_later_than_its_bound_is_found(seen, show_old_plan):
    show_old_plan(seen, 22.6)
    assert seen.rules() == ["CONFIG"]


@pytest.mark.parametrize("show_old_plan", OLD_PLAN_SIGNS)
def test_old_plan_within_its_bound_is_allowed(seen, show_old_plan):
    show_old_plan(seen, 22.4)
    assert seen.rules() == []


@pytest.mark.parametrize("subject", [GATEWAY, STORE])
@pytest.mark.parametrize(("sent_at", "rules"), [(28.9, []), (29.1, ["CONFIG"])])
def test_old_plan_near_a_disruption(seen, subject, sent_at, rules):
    seen.disrupt(subject, 21.0, 25.0)
    seen.refuse(ADDED, 404, at=sent_at)
    assert seen.rules() == rules


def test_old_plan_beside_a_disruption_of_another_gateway_is_found(seen):
    seen.disrupt(OTHER, 21.0, 25.0)
    seen.refuse(ADDED, 404, at=23.0)
    assert seen.rules() == ["CONFIG"]


@pytest.mark.parametrize(("sent_at", "rules"), [(25.9, []), (26.1, ["CONFIG"])])
def test_old_plan_of_a_process_that_was_just_started(seen, sent_at, rules):
    seen.record.lives[0] = Life(gateway=GATEWAY, start=0.0, end=21.0, status=-9)
    seen.record.lives.append(Life(gateway=GATEWAY, start=22.0))
    seen.disrupt(GATEWAY, 21.0, kind="gateway_killed")
    seen.refuse(ADDED, 404, at=sent_at)
    assert seen.rules() == rules


def test_plan_that_the_store_lost_binds_once_it_is_written_again(seen):
    seen.disrupt(STORE, 21.0, 22.0, copy_at=15.0)
    again = dataclasses.replace(SECOND_PLAN, at=24.0)
    seen.record.plans.append(again)
    seen.refuse(ADDED, 404, at=26.4)
    assert seen.rules() == []
    seen.refuse(ADDED, 404, at=26.6)
    assert seen.rules() == ["CONFIG"]


def test_plan_that_the_store_kept_binds_after_its_return(seen):
    seen.disrupt(STORE, 23.0, 23.5, copy_at=20.1)
    seen.refuse(ADDED, 404, at=27.6)
    assert seen.rules() == ["CONFIG"]


def test_refusal_that_no_plan_allows_is_found_at_any_time(seen):
    seen.disrupt(GATEWAY, 30.0, 31.0)
    seen.refuse(KEPT_PREFIX, 404, at=31.5)
    seen.refuse(KEPT_PREFIX, 401, at=31.5)
    seen.run(KEPT_PREFIX, NEW, at=31.5)
    assert seen.rules() == ["never", "never", "never"]


def test_busy_answers_say_nothing_of_plans(seen):
    seen.refuse(ADDED, 503, at=30.0)
    assert seen.rules() == []


def test_regress_in_one_process_is_found_during_disruptions_too(seen):
    seen.disrupt(STORE, 20.0, 24.0)
    seen.run(ADDED, OLD, at=20.5)
    seen.refuse(ADDED, 404, at=21.5)
    assert seen.rules() == ["regress"]


def test_older_plan_of_a_new_process_or_another_gateway_is_no_regress(seen):
    seen.record.lives[0] = Life(gateway=GATEWAY, start=0.0, end=20.7, status=-9)
    seen.record.lives.append(Life(gateway=GATEWAY, start=21.0))
    seen.disrupt(GATEWAY, 20.7, kind="gateway_killed")
    seen.run(ADDED, OLD, at=20.5)
    seen.refuse(ADDED, 404, at=21.5)
    seen.refuse(ADDED, 404, at=21.5, gateway=OTHER)
    assert seen.rules() == []


def _leave(seen, at=40.0):
    seen.record.leavings.append(Leaving(at=at, target="t-9"))


def _reach(seen, at):
    seen.run(KEPT_PREFIX, OLD, at=at, target="t-9", reached_after_s=0.0)


@pytest.mark.parametrize(("at", "rules"), [(42.4, []), (42.6, ["DRAIN"])])
def test_arrival_at_a_target_that_leaves(seen, at, rules):
    _leave(seen)
    _reach(seen, at)
    assert seen.rules() == rules


def test_arrival_of_a_request_that_was_rejected_counts_too(seen):
    _leave(seen)
    _reach(seen, 43.0)
    last = seen.record.arrivals[-1]
    seen.record.arrivals[-1] = dataclasses.replace(last, has_run=False)
    assert seen.rules() == ["DRAIN"]


@pytest.mark.parametrize("subject", [GATEWAY, STORE])
@pytest.mark.parametrize(("at", "rules"), [(44.9, []), (45.1, ["DRAIN"])])
def test_arrival_near_a_disruption_at_the_leaving(seen, subject, at, rules):
    seen.disrupt(subject, 39.5, 41.0)
    _leave(seen)
    _reach(seen, at)
    assert seen.rules() == rules


def test_accepted_leaving_is_kept_when_the_store_forgets_it(seen):
    seen.disrupt(STORE, 43.0, 44.0, copy_at=35.0)
    _leave(seen)
    _reach(seen, 44.5)
    assert seen.rules() == ["DRAIN"]


def test_lost_leaving_binds_no_process_that_began_later(seen):
    seen.record.lives[0] = Life(gateway=GATEWAY, start=0.0, end=43.0, status=-9)
    seen.record.lives.append(Life(gateway=GATEWAY, start=43.5))
    seen.disrupt(GATEWAY, 43.0, kind="gateway_killed")
    seen.disrupt(STORE, 43.0, 44.0, copy_at=35.0)
    _leave(seen)
    _reach(seen, 49.0)
    assert seen.rules() == []
    _leave(seen, at=46.0)
    assert seen.rules() == ["DRAIN"]


@pytest.mark.parametrize(
    ("kind", "after_s", "rules"),
    [
        ("gateway_killed", 0.1, []),
        ("gateway_killed", 3.0, ["ended"]),
        ("gateway_stopped", 6.2, []),
        ("gateway_stopped", 9.0, ["ended"]),
        ("gateway_frozen", 0.1, ["ended"]),
        ("gateway_reloaded", 0.1, ["ended"]),
    ],
)
def test_ends_of_processes(seen, kind, after_s, rules):
    seen.disrupt(GATEWAY, 50.0, kind=kind)
    seen.record.lives[0] = Life(
        gateway=GATEWAY, start=0.0, end=50.0 + after_s, status=1
    )
    seen.record.lives.append(Life(gateway=GATEWAY, start=60.0))
    assert seen.rules() == rules


def test_second_end_after_one_signal_is_found(seen):
    seen.disrupt(GATEWAY, 50.0, kind="gateway_stopped")
    seen.record.lives[0] = Life(gateway=GATEWAY, start=0.0, end=50.2)
    seen.record.lives.append(Life(gateway=GATEWAY, start=51.0, end=52.0))
    seen.record.lives.append(Life(gateway=GATEWAY, start=53.0))
    assert seen.rules() == ["ended"]


@pytest.mark.parametrize(
    "state", [{"is_ready": False}, {"is_ready": True, "failed_tasks": 1}]
)
def test_bad_state_at_the_end_is_found(seen, state):
    seen.record.finals[0] = FinalState(gateway=GATEWAY, **state)
    assert seen.rules() == ["end"]


def test_gateway_that_does_not_serve_the_last_plan_is_found(seen):
    seen.record.asks = [
        ask
        for ask in seen.record.asks
        if (ask.gateway, ask.prefix) != (GATEWAY, MOVED)
    ]
    assert seen.rules() == ["end"]


def test_scripts_depend_on_the_seed_alone_and_have_handlers():
    scripts = [generate(seed) for seed in range(200)]
    assert scripts == [generate(seed) for seed in range(200)]
    assert len({script.to_json() for script in scripts}) == len(scripts)
    kinds = {step.kind for script in scripts for step in script.steps}
    assert kinds == set(_HANDLERS)
    assert sum(script.restores() for script in scripts) > len(scripts) / 4


def test_gateway_has_one_fault_at_a_time():
    for script in map(generate, range(200)):
        free_at = {}
        for step in script.steps:
            if step.kind.startswith("gateway_"):
                assert step.at >= free_at.get(step.subject, 0.0)
                busy_s = step.values.get("duration_s", 0.0)
                free_at[step.subject] = step.at + busy_s


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_of_gateways(seed, tmp_path):
    script = generate(seed, length_s=SEED_LENGTH_S, gateways=3)
    status = gateway_runner.run_seed(seed, folder=tmp_path, script=script)
    result = (tmp_path / gateway_runner.RESULT_FILE_NAME).read_text()
    assert status == gateway_runner.PASSED, result


def test_target_that_has_left_stays_out_when_an_older_copy_has_it(tmp_path):
    steps = [
        Step(
            at=4.5,
            kind="target_removed",
            subject=subject,
            values={"serves_on_s": 6.0, "back_after_s": 0.5},
        )
        for subject in (5, 6, 7, 8)
    ]
    restore = Step(
        at=8.0,
        kind="store_restored",
        values={
            "age_s": 4.5,
            "duration_s": 0.0,
            "is_silent": 0,
            "rewrite_s": 0.3,
        },
    )
    script = Script(seed=5, gateways=3, steps=[*steps, restore])
    status = gateway_runner.run_seed(5, folder=tmp_path, script=script)
    result = (tmp_path / gateway_runner.RESULT_FILE_NAME).read_text()
    assert status == gateway_runner.PASSED, result
