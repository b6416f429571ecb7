"""Tests of the summary of a data centre."""

from hypothesis import given, seed
from hypothesis import strategies as st

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.summary import UsageTotals, summarize
from kingcupvane.request.quota import AccountUsage
from kingcupvane.tests.test_peering import record, report


def use(admitted, demand=1.0):
    return {"acme": AccountUsage(demand, admitted)}


def test_total_goes_on_over_restarts_and_departures():
    totals = UsageTotals()
    totals.update("a", 1, use(5))
    totals.update("b", 1, use(100))
    totals.update("a", 1, use(9))
    totals.update("b", 1, use(101))
    assert totals.usage_by_account([])["acme"].admitted == 5
    totals.update("a", 2, use(3))
    assert totals.usage_by_account([])["acme"].admitted == 8
    totals.remove_gateway("b")
    totals.update("b", 2, use(50))
    assert totals.usage_by_account([])["acme"].admitted == 8


def test_demand_is_that_of_the_live_gateways():
    totals = UsageTotals()
    found = totals.usage_by_account([use(0, demand=2.0), use(0, demand=3.5)])
    assert found["acme"].demand == 5.5


def test_summary_names_all_members_and_adds_up():
    reports = [report(record("a")), report(record("b"), ready=False)]
    told = summarize(reports, UsageTotals(), stamp=Stamp(7))
    assert told.source == "a"
    assert [m.name for m in told.members] == ["a", "b"]
    assert [m.ready for m in told.members] == [True, False]
    assert told.stamp == Stamp(7)


STEPS = st.lists(
    st.tuples(
        st.sampled_from("abc"), st.booleans(), st.integers(0, 9), st.booleans()
    ),
    max_size=40,
)


@seed(7)
@given(STEPS)
def test_total_is_all_that_was_admitted_while_heard(steps):
    """Gateways count up, restart and are heard in any order."""
    totals = UsageTotals()
    counters = dict.fromkeys("abc", 0)
    starts = dict.fromkeys("abc", 1)
    for name in "abc":
        totals.update(name, 1, use(0))
    expected = 0
    unheard = dict.fromkeys("abc", 0)
    for name, restarts, admitted, heard in steps:
        if restarts:
            counters[name] = unheard[name] = 0
            starts[name] += 1
        counters[name] += admitted
        unheard[name] += admitted
        if heard:
            totals.update(name, starts[name], use(counters[name]))
            expected += unheard[name]
            unheard[name] = 0
            told = totals.usage_by_account([]).get("acme", AccountUsage(0.0, 0))
            assert told.admitted == expected
