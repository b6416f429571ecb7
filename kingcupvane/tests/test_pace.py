"""Tests of the pace of targets that have just started or recovered."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcupvane.process.peering import PeerTable, advertised_records
from kingcupvane.request.cold_bound import SENDERS_PER_COLD_TARGET, ColdBound
from kingcupvane.request.pace import PacingGateway, TargetPacer
from kingcupvane.request.pace_state import (
    NEXT_STATES,
    PaceEvent,
    PaceReport,
    PaceState,
    merge_reports,
    next_state,
)
from kingcupvane.request.placement import (
    AttemptOutcome,
    ReportedLoad,
    TargetView,
)
from kingcupvane.tests.pace_fleet import (
    BOUND,
    COLD_RATE,
    FakeTarget,
    PaceFleet,
    most_in_a_second,
)
from kingcupvane.tests.targets import registered_target
from kingcupvane.tests.test_peering import record, report

RATE = 9.3
RATE_EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
GATEWAY_COUNTS = [1, 2, 12, 84]
COLD_S = 3.0
IDLE_LOAD = ReportedLoad(running=1, waiting=0, slots=4)


def pacer(name="g", *, rate=RATE, fleet=("g",), log=None, draw=lambda: 1.0):
    made = TargetPacer(
        name=name,
        bound=ColdBound(excess=RATE_EXCESS_FACTOR, extra=EXCESS_REQUESTS),
        draw=draw,
        cold_rate=lambda service: rate,
        log_event=lambda kind, **fields: (
            log.append((kind, fields)) if log is not None else None
        ),
    )
    made.update_fleet(
        [PacingGateway(name=n, region="north", is_heard=True) for n in fleet],
        -10.0,
    )
    return made


def answer(limiter, view, now, outcome=AttemptOutcome.ANSWERED, **changes):
    fields = {
        "elapsed_s": 0.1,
        "objective_s": 0.25,
        "expected_s": 0.1,
        "reported": IDLE_LOAD,
        "ejected": False,
    }
    limiter.record_outcome(
        view.target, outcome, now=now, **{**fields, **changes}
    )


# The table of states.

UNKNOWN, RAMPING = PaceState.UNKNOWN, PaceState.RAMPING
BACKING_OFF, SETTLED = PaceState.BACKING_OFF, PaceState.SETTLED
EXPECTED_STATES = {
    # event: next state from unknown, ramping, backing off and settled
    PaceEvent.SEEN_OLD: (SETTLED, RAMPING, BACKING_OFF, SETTLED),
    PaceEvent.SEEN_NEW: (RAMPING, RAMPING, BACKING_OFF, SETTLED),
    PaceEvent.TURNED_COLD: (RAMPING, RAMPING, BACKING_OFF, RAMPING),
    PaceEvent.GOOD: (UNKNOWN, RAMPING, RAMPING, SETTLED),
    PaceEvent.BAD: (UNKNOWN, BACKING_OFF, BACKING_OFF, SETTLED),
    PaceEvent.EJECTED: (BACKING_OFF, BACKING_OFF, BACKING_OFF, BACKING_OFF),
    PaceEvent.QUIET: (UNKNOWN, RAMPING, RAMPING, SETTLED),
    PaceEvent.OPEN: (UNKNOWN, SETTLED, BACKING_OFF, SETTLED),
    PaceEvent.EXPIRED: (UNKNOWN, SETTLED, SETTLED, SETTLED),
}


@pytest.mark.parametrize("event", PaceEvent)
def test_each_state_and_event_has_the_expected_next_state(event):
    states = (UNKNOWN, RAMPING, BACKING_OFF, SETTLED)
    assert set(NEXT_STATES) == set(states)
    found = tuple(next_state(state, event) for state in states)
    assert found == EXPECTED_STATES[event]


def test_every_state_can_become_settled():
    for start in PaceState:
        reached, todo = {start}, [start]
        while todo:
            for state in NEXT_STATES[todo.pop()].values():
                if state not in reached:
                    reached.add(state)
                    todo.append(state)
        assert SETTLED in reached


# Which targets ramp.


def test_targets_of_the_first_listing_are_settled():
    limiter = pacer()
    for sequence in (1, 500):
        limiter.see(registered_target("t", sequence=sequence), 0.0)
        assert limiter.states() == {}


def test_target_that_joins_a_known_service_ramps_until_it_is_open():
    log = []
    limiter = pacer(log=log)
    limiter.see(registered_target("old"), 0.0)
    limiter.see(registered_target("late", sequence=90), 60.0)
    assert limiter.states() == {}
    limiter.see(registered_target("t", sequence=1), 60.0)
    assert limiter.states() == {"t": RAMPING}
    view = TargetView(target=registered_target("t"))
    assert limiter.may_use(view, 60.0)
    limiter.advance(65.0)
    for step in range(20):
        limiter.advance(60.0 + step * 0.2)
    assert limiter.states() == {}
    states = [fields["state"] for _, fields in log]
    assert states == ["ramping", "settled"]
    assert limiter.counts(3)[SETTLED] == 3


def test_new_process_under_a_known_name_begins_anew():
    limiter = pacer()
    limiter.see(registered_target("t", started_ms=1), 0.0)
    limiter.mark_cold(registered_target("t"), left_s=3.0, now=0.0)
    limiter.see(registered_target("t", started_ms=2, sequence=900), 1.0)
    assert not limiter.is_cold("t", 1.0)


def test_settled_target_has_no_limit():
    limiter = pacer()
    target = registered_target("t")
    limiter.mark_cold(target, left_s=2.0, now=0.0)
    assert limiter.is_cold("t", 1.0)
    assert not limiter.is_cold("t", 5.0)
    view = TargetView(target=target)
    for step in range(12):
        limiter.advance(2.0 + step * 0.5)
    assert limiter.states() == {}
    for _ in range(50):
        assert limiter.may_use(view, 8.0)
        view.record_start("", 8.0)


def test_cold_target_without_a_rate_in_the_plan_has_no_fixed_rate():
    limiter = pacer(rate=0.0)
    target = registered_target("t", slots=4)
    limiter.mark_cold(target, left_s=30.0, now=0.0)
    view = TargetView(target=target)
    for _ in range(4):
        assert limiter.may_use(view, 0.1)
        view.record_start("", 0.1)
        limiter.record_request("t", 0.1)


# What answers change.


def test_bad_answers_halve_the_limit_and_good_ones_raise_it():
    limiter = pacer(fleet=("g", "h"))
    target = registered_target("t", slots=8)
    limiter.mark_cold(target, left_s=1.0, now=0.0)
    limiter.advance(2.0)
    view = TargetView(target=target)
    (start,) = limiter.reports()
    answer(limiter, view, 2.1, AttemptOutcome.SHED)
    (fallen,) = limiter.reports()
    assert (fallen.falls, fallen.level) == (1, start.level - 1)
    assert limiter.states() == {"t": BACKING_OFF}
    answer(limiter, view, 2.4)
    assert limiter.states() == {"t": RAMPING}
    answer(limiter, view, 2.7)
    (risen,) = limiter.reports()
    assert risen.level > fallen.level


def test_ramp_ends_even_if_all_answers_are_bad():
    limiter = pacer()
    target = registered_target("t")
    limiter.mark_cold(target, left_s=1.0, now=0.0)
    view = TargetView(target=target)
    for step in range(30):
        answer(limiter, view, 1.4 + step * 0.2, AttemptOutcome.SHED)
    assert limiter.states() == {}


@pytest.mark.parametrize(
    ("changes", "is_good"),
    [
        ({"elapsed_s": 0.2}, True),
        ({"elapsed_s": 0.9}, True),
        (
            {
                "elapsed_s": 0.9,
                "reported": ReportedLoad(running=4, waiting=3, slots=4),
            },
            False,
        ),
        ({"elapsed_s": 0.9, "reported": None}, False),
        ({"elapsed_s": 0.9, "reported": None, "expected_s": 0.8}, True),
    ],
)
def test_late_answer_is_bad_only_if_load_may_be_the_cause(changes, is_good):
    limiter = pacer()
    target = registered_target("t")
    limiter.mark_cold(target, left_s=9.0, now=0.0)
    answer(limiter, TargetView(target=target), 1.0, **changes)
    assert limiter.states() == {"t": RAMPING if is_good else BACKING_OFF}


def test_ejected_target_gets_single_requests_until_a_good_answer():
    limiter = pacer()
    view = TargetView(target=registered_target("t", slots=4))
    answer(limiter, view, 0.0, AttemptOutcome.UNREACHABLE, ejected=True)
    assert limiter.states() == {"t": BACKING_OFF}
    assert limiter.reports() == []
    assert limiter.may_use(view, 20.0)
    view.record_start("", 20.0)
    assert not limiter.may_use(view, 20.0)
    answer(limiter, view, 20.1)
    for step in range(4):
        answer(limiter, view, 20.1 + 0.3 * step)
    assert limiter.states() == {}


def test_load_with_room_lets_a_gateway_send_beyond_its_part():
    """The first of twelve gateways has a part of one request."""
    names = [f"g{i}" for i in range(12)]
    target = registered_target("t", slots=4)
    allowed = 0
    for name in names:
        limiter = pacer(name, fleet=names, draw=lambda: 0.0)
        limiter.mark_cold(target, left_s=1.0, now=0.0)
        view = TargetView(target=target)
        allowed += limiter.may_use(view, 1.4)
        view.peer_in_flight = 4
        view.record_start("", 1.4)
        assert not limiter.may_use(view, 1.4)
    assert allowed == len(names)


def test_limit_that_binds_while_the_target_idles_rises_without_an_answer():
    names = [f"g{i}" for i in range(84)]
    target = registered_target("t", slots=4)
    levels = []
    for load in (0, 4):
        limiter = pacer(names[0], fleet=names[1:])
        limiter.mark_cold(target, left_s=1.0, now=0.0)
        view = TargetView(target=target)
        view.peer_in_flight = load
        for now in (1.4, 1.5, 1.7):
            assert not limiter.may_use(view, now)
        levels.append(limiter.reports()[0].level)
    assert levels == [1, 0]


# What gateways tell each other.


def test_gateways_learn_from_each_other_and_not_from_another_process():
    limiter = pacer()
    limiter.mark_cold(registered_target("t"), left_s=1.0, now=0.0)
    limiter.advance(2.0)
    limiter.merge([PaceReport("t", 7, False, 5, 0)], 2.0)
    limiter.merge([PaceReport("t", 1, True, 5, 0)], 2.0)
    limiter.merge([PaceReport("u", 1, False, 5, 0)], 2.0)
    assert limiter.reports() == [PaceReport("t", 1, False, 0, 0)]
    limiter.merge([PaceReport("t", 1, False, 0, 2)], 2.0)
    assert limiter.reports() == [PaceReport("t", 1, False, 0, 2)]
    limiter.merge([PaceReport("t", 1, False, 1, -1)], 2.0)
    assert limiter.reports() == [PaceReport("t", 1, False, 1, -1)]
    assert limiter.states() == {"t": BACKING_OFF}


REPORTS = st.builds(
    PaceReport,
    target=st.sampled_from(["t", "u"]),
    started_ms=st.just(1),
    is_cold=st.booleans(),
    falls=st.integers(0, 3),
    level=st.integers(-2, 5),
)


@given(st.lists(st.lists(REPORTS, max_size=4), max_size=4), st.randoms())
def test_reports_merge_alike_in_any_order(several, rng):
    merged = merge_reports(several)
    shuffled = [list(reports) for reports in several]
    rng.shuffle(shuffled)
    assert sorted(merge_reports(shuffled), key=repr) == sorted(merged, key=repr)
    assert merge_reports([merged, merged]) == merged


@given(st.integers(-(2**62), 2**62), st.integers(-(2**62), 2**62))
def test_odd_reports_are_borne(falls, level):
    limiter = pacer()
    target = registered_target("t")
    limiter.mark_cold(target, left_s=1.0, now=0.0)
    limiter.merge([PaceReport("t", 1, True, falls, level)], 0.1)
    limiter.may_use(TargetView(target=target), 0.1)
    limiter.advance(2.0)
    limiter.merge([PaceReport("t", 1, False, falls, level)], 2.0)
    limiter.may_use(TargetView(target=target), 2.0)


# The bound of a cold target.


@pytest.mark.parametrize("gateway_count", [1, 10, 90])
@pytest.mark.parametrize("seed", range(2))
def test_all_gateways_together_stay_within_the_cold_rate(gateway_count, seed):
    rng = random.Random(seed)
    names = [f"g{i}" for i in range(gateway_count)]
    target = registered_target("t")
    limiters = [pacer(name, fleet=names) for name in names]
    for limiter in limiters:
        limiter.mark_cold(target, left_s=100.0, now=0.0)
    view = TargetView(target=target)
    sent_times = []
    now = 0.0
    while now < 10.0:
        now += rng.expovariate(400)
        limiter = rng.choice(limiters)
        if limiter.may_use(view, now):
            limiter.record_request("t", now)
            sent_times.append(now)
            answer(limiter, view, now)
    assert (
        most_in_a_second(sent_times)
        <= RATE * RATE_EXCESS_FACTOR + EXCESS_REQUESTS
    )
    assert sent_times[-1] > 8.0


@pytest.mark.parametrize("heard_of", [0, 2])
def test_gateways_that_hear_of_few_others_stay_within_the_cold_rate(heard_of):
    """195 gateways have started anew at once; the store lists all of them."""
    records = [
        record(
            f"g{i}", data_centre=f"dc{i % 9}", link_mbps=10.0 + 90 * (i < 27)
        )
        for i in range(195)
    ]
    rng = random.Random(1)
    sent_times = []
    fleet = []
    target = registered_target("t")
    view = TargetView(target=target)
    for own in records:
        table = PeerTable(own=own)
        for peer in rng.sample(records, heard_of):
            if peer.data_centre == own.data_centre:
                table.receive_report(report(peer), 0.0)
        advertised = advertised_records(
            table, own_ready=True, registered=records, now=0.5
        )
        heard = set(table.live_names(0.5))
        limiter = pacer(own.name, fleet=())
        limiter.update_fleet(
            [
                PacingGateway(
                    name=other.name,
                    region=other.region,
                    is_heard=other.name in heard,
                )
                for other in advertised
            ],
            0.0,
        )
        limiter.mark_cold(target, left_s=100.0, now=0.0)
        fleet.append(limiter)
    for step in range(20_000):
        limiter = rng.choice(fleet)
        now = step / 1000
        if limiter.may_use(view, now):
            limiter.record_request("t", now)
            sent_times.append(now)
            answer(limiter, view, now)
    assert (
        most_in_a_second(sent_times)
        <= RATE * RATE_EXCESS_FACTOR + EXCESS_REQUESTS
    )
    assert sent_times[-1] > 10.0


@given(
    rate=st.floats(0.5, 50.0),
    excess=st.floats(1.0, 3.0),
    extra=st.floats(4.0, 30.0),
)
def test_shares_fit_into_the_bound(rate, excess, extra):
    bound = ColdBound(excess=excess, extra=extra)
    senders = SENDERS_PER_COLD_TARGET
    assert senders * (bound.first_share(rate) + 1) <= excess * rate + extra
    if bound.largest_share(rate) > bound.first_share(rate):
        together = senders * (bound.largest_share(rate) + 1)
        unheard = senders * (bound.first_share(rate) + 1)
        assert together + unheard <= excess * rate + extra


GATEWAYS = 7
TICK_S = 0.05
TARGET = registered_target("t", region="r0")
FAULTS = st.tuples(
    st.sampled_from(["restart", "restart", "cut", "heal", "bad", "mute"]),
    st.integers(0, GATEWAYS - 1),
    st.floats(0.1, 5.0),
)


class GreedyFleet:
    """Gateways that send to a cold target whatever they may.

    All answers are good, but for one after a `bad`. A gateway that is cut off
    is at once left out by the others, which it still knows.
    """

    def __init__(self):
        """Starts with gateways that have known each other for long."""
        self.bound = ColdBound(excess=1.5, extra=8.0)
        self.names = [f"g{i}" for i in range(GATEWAYS)]
        self.view = TargetView(target=TARGET)
        self.cut = []
        self.is_mute = False
        self.arrivals = []
        self.now = -10.0
        self.limiters = {name: self._make(name) for name in self.names}
        self._refresh()
        self.now = 0.0

    def _make(self, name):
        made = TargetPacer(
            name=name,
            bound=self.bound,
            draw=lambda: 0.0,
            cold_rate=lambda service: COLD_RATE,
            log_event=lambda kind, **fields: None,
        )
        made.mark_cold(TARGET, left_s=10_000.0, now=self.now)
        return made

    def _refresh(self):
        for name, limiter in self.limiters.items():
            is_cut = name in self.cut
            limiter.update_fleet(
                [
                    PacingGateway(
                        name=other,
                        region="r0",
                        is_heard=other == name or not is_cut,
                    )
                    for other in self.names
                    if is_cut or other not in self.cut
                ],
                self.now,
            )

    def apply(self, kind, name):
        """Applies a fault; as many as there are senders are cut at most."""
        match kind:
            case "restart":
                self.limiters[name] = self._make(name)
            case "cut" if len(self.cut) < SENDERS_PER_COLD_TARGET:
                self.cut.append(name)
            case "heal":
                self.cut = self.cut[1:]
            case "bad":
                answer(
                    self.limiters[name],
                    self.view,
                    self.now,
                    AttemptOutcome.SHED,
                )
            case "mute":
                self.is_mute = not self.is_mute
        self._refresh()

    def run(self, duration_s):
        """Lets all gateways send, answer and report for some time."""
        end = self.now + duration_s
        while self.now < end:
            self.now += TICK_S
            for limiter in self.limiters.values():
                while limiter.may_use(self.view, self.now):
                    limiter.record_request("t", self.now)
                    self.arrivals.append(self.now)
                answer(limiter, self.view, self.now)
            if not self.is_mute:
                self._report()

    def _report(self):
        heard = [n for n in self.names if n not in self.cut]
        reports = merge_reports(self.limiters[n].reports() for n in heard)
        for name in heard:
            self.limiters[name].merge(reports, self.now)

    def is_within_bound(self):
        most = most_in_a_second(self.arrivals)
        return most <= self.bound.excess * COLD_RATE + self.bound.extra


@settings(max_examples=60, deadline=None)
@given(st.lists(FAULTS, min_size=1, max_size=12))
def test_any_order_of_answers_reports_and_faults_keeps_the_cold_bound(faults):
    fleet = GreedyFleet()
    fleet.run(3.0)
    for kind, index, pause_s in faults:
        fleet.apply(kind, fleet.names[index])
        fleet.run(pause_s)
    assert fleet.is_within_bound()


def test_senders_that_were_replaced_unknown_to_them_keep_the_cold_bound():
    """All senders are cut off, replaced, and come back while others go."""
    fleet = GreedyFleet()
    fleet.run(5.0)
    senders = {
        name
        for name, limiter in fleet.limiters.items()
        if limiter.may_use(fleet.view, fleet.now + 5.0)
    }
    assert len(senders) == SENDERS_PER_COLD_TARGET
    for name in senders:
        fleet.apply("cut", name)
    fleet.run(10.0)
    first = ColdBound(excess=1.5, extra=8.0).first_share(COLD_RATE)
    sent = sum(fleet.now - 5.0 <= time for time in fleet.arrivals) / 5.0
    assert sent > 2.0 * SENDERS_PER_COLD_TARGET * first
    for _ in senders:
        fleet.apply("heal", "")
    fleet.run(5.0)
    assert fleet.is_within_bound()


def test_senders_that_hear_too_little_send_at_the_first_rate():
    fleet = GreedyFleet()
    for name in fleet.names[:SENDERS_PER_COLD_TARGET]:
        fleet.apply("cut", name)
    cut = fleet.names[:SENDERS_PER_COLD_TARGET]
    for name in cut:
        limiter = fleet.limiters[name]
        sent = []
        for step in range(200):
            now = 10.0 + step * TICK_S
            if limiter.may_use(fleet.view, now):
                limiter.record_request("t", now)
                sent.append(now)
            answer(limiter, fleet.view, now)
        first = fleet.bound.first_share(COLD_RATE)
        assert len(sent) <= 1 + 10.0 * first


def test_sender_that_restarts_again_and_again_keeps_the_cold_bound():
    fleet = GreedyFleet()
    fleet.run(3.0)
    for _ in range(20):
        for name in fleet.names:
            fleet.apply("restart", name)
        fleet.run(0.2)
    assert fleet.is_within_bound()


def test_rate_of_a_cold_target_rises_with_good_answers_up_to_a_limit():
    fleet = GreedyFleet()
    fleet.run(20.0)
    senders = SENDERS_PER_COLD_TARGET
    first = senders * fleet.bound.first_share(COLD_RATE)
    largest = senders * fleet.bound.largest_share(COLD_RATE)
    late = sum(10.0 < time <= 20.0 for time in fleet.arrivals) / 10.0
    assert 1.5 * first < late <= largest * 1.02


def test_cold_target_gets_the_first_rate_while_others_have_room():
    sent = {}
    for is_needed in (False, True):
        fleet = GreedyFleet()
        limiter = next(
            limiter
            for limiter in fleet.limiters.values()
            if limiter.may_use(fleet.view, 0.0)
        )
        sent[is_needed] = 0
        for step in range(400):
            now = step * TICK_S
            if limiter.may_use(fleet.view, now, is_needed=is_needed):
                limiter.record_request("t", now)
                sent[is_needed] += 1
            answer(limiter, fleet.view, now)
    first = fleet.bound.first_share(COLD_RATE)
    assert 0.9 * 20.0 * first <= sent[False] <= 1 + 20.0 * first
    assert sent[True] > 1.5 * sent[False]


# Whole fleets against fake targets.


def fleet_with_cold_target(count, *, seed, load=3.0, slots=4, service_s=0.4):
    """Returns a fleet whose target has just come back cold, for `COLD_S`."""
    target = FakeTarget(
        slots=slots, service_s=service_s, cold_until=1.5 + COLD_S
    )
    target.is_down = lambda now: now < 1.5
    fleet = PaceFleet(
        count=count, target=target, rate=load * slots / service_s, seed=seed
    )
    fleet.mark_cold()
    return fleet


def time_of_90_percent(target, start, *, window=0.5, limit=6.0):
    """Returns the time from `start` until 90% of the slots are in use."""
    steps = int(limit / 0.05)
    for step in range(steps):
        begin = start + step * 0.05
        if target.busy_share(begin, begin + window) >= 0.9:
            return begin - start
    return limit


@pytest.mark.parametrize("count", GATEWAY_COUNTS)
@pytest.mark.parametrize("seed", range(3))
def test_cold_target_is_not_flooded_and_is_full_soon_afterwards(count, seed):
    fleet = fleet_with_cold_target(count, seed=seed)
    target = fleet.target
    end = target.cold_until
    fleet.run(end + 8.0)
    in_cold = [time for time in target.arrivals if time < end]
    most = most_in_a_second(in_cold)
    assert most <= BOUND.excess * COLD_RATE + BOUND.extra
    assert in_cold
    assert time_of_90_percent(target, end) <= 1.5
    shed = [o for _, o, _ in fleet.outcomes if o is AttemptOutcome.SHED]
    assert len(shed) <= target.slots
    states = [gateway.pacer.states() for gateway in fleet.gateways]
    assert states == [{}] * count


@pytest.mark.parametrize("count", GATEWAY_COUNTS)
def test_no_caller_is_refused_while_the_target_is_idle_for_long(count):
    """From half a second after the cold phase on, refusals mean a full one."""
    fleet = fleet_with_cold_target(count, seed=7)
    fleet.run(fleet.target.cold_until + 8.0)
    start = fleet.target.cold_until + 1.5
    idle = [
        time
        for time in fleet.refused
        if time > start and fleet.target.busy_share(time - 0.5, time) < 0.5
    ]
    assert idle == []


@pytest.mark.parametrize("count", GATEWAY_COUNTS)
def test_gateways_that_hear_of_none_other_still_fill_the_target(count):
    fleet = fleet_with_cold_target(count, seed=3)
    for gateway in fleet.gateways:
        gateway.is_cut = True
    target = fleet.target
    end = target.cold_until
    fleet.run(end + 8.0)
    most = most_in_a_second([time for time in target.arrivals if time < end])
    assert most <= BOUND.excess * COLD_RATE + BOUND.extra
    assert time_of_90_percent(target, end) <= 2.0


@pytest.mark.parametrize("count", GATEWAY_COUNTS)
def test_restarts_in_the_cold_phase_keep_the_bound(count):
    fleet = fleet_with_cold_target(count, seed=5)
    target = fleet.target
    for step in range(6):
        fleet.run(1.5 + step * 0.4)
        for gateway in list(fleet.gateways)[step % 2 :: 2]:
            fleet.restart(gateway.name)
    fleet.run(target.cold_until)
    most = most_in_a_second(target.arrivals)
    assert most <= BOUND.excess * COLD_RATE + BOUND.extra


def warm_fleet(count, *, seed=1, load=2.0):
    target = FakeTarget()
    rate = load * target.slots / target.service_s
    return PaceFleet(count=count, target=target, rate=rate, seed=seed)


def test_settled_target_is_served_as_without_a_pace():
    fleet = warm_fleet(12)
    fleet.run(5.0)
    assert all(not gateway.pacer.states() for gateway in fleet.gateways)
    assert fleet.target.busy_share(1.0, 5.0) > 0.9


@pytest.mark.parametrize("count", GATEWAY_COUNTS)
def test_target_that_recovers_is_full_soon(count):
    fleet = warm_fleet(count)
    fleet.target.is_down = lambda now: 3.0 <= now < 6.0
    fleet.run(20.0)
    # Half the longest ejection, and the ramp.
    assert time_of_90_percent(fleet.target, 6.0) <= 5.0


@pytest.mark.parametrize("count", GATEWAY_COUNTS)
def test_flapping_target_loses_few_requests(count):
    fleet = warm_fleet(count)
    fleet.target.is_down = lambda now: now > 2.0 and int(now / 1.4) % 2 == 1
    fleet.run(16.0)
    lost = [o for _, o, _ in fleet.outcomes if o is AttemptOutcome.UNREACHABLE]
    assert len(lost) <= 12 * count + 12
    assert fleet.target.finished


@pytest.mark.parametrize("count", [1, 2, 12])
def test_target_that_fails_all_gets_single_requests(count):
    """Its health check would be good; only answers tell."""
    fleet = warm_fleet(count)
    fleet.target.fails = lambda now: now > 3.0
    fleet.run(12.0)
    late_failures = [
        sent_at
        for sent_at, outcome, _ in fleet.outcomes
        if outcome is AttemptOutcome.FAILED and sent_at > 6.0
    ]
    assert len(late_failures) <= 6 * count
    assert fleet.target.arrivals
