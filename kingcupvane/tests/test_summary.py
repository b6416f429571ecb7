"""Tests of the summary of a data centre."""

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.summary import UseTotals, summarize
from kingcupvane.request.quota import AccountUse
from kingcupvane.tests.test_peering import record, report


def use(admitted, demand=1.0):
    return {"acme": AccountUse(demand, admitted)}


def test_total_goes_on_over_restarts_and_departures():
    totals = UseTotals()
    totals.hear("a", 1, use(5))
    totals.hear("b", 1, use(100))
    totals.hear("a", 1, use(9))
    totals.hear("b", 1, use(101))
    assert totals.use([])["acme"].admitted == 5
    totals.hear("a", 2, use(3))
    assert totals.use([])["acme"].admitted == 8
    totals.forget("b")
    totals.hear("b", 2, use(50))
    assert totals.use([])["acme"].admitted == 8


def test_demand_is_that_of_the_live_gateways():
    totals = UseTotals()
    found = totals.use([use(0, demand=2.0), use(0, demand=3.5)])
    assert found["acme"].demand == 5.5


def test_summary_names_all_members_and_adds_up():
    reports = [report(record("a")), report(record("b"), ready=False)]
    told = summarize(reports, UseTotals(), stamp=Stamp(7))
    assert told.source == "a"
    assert [m.name for m in told.members] == ["a", "b"]
    assert [m.ready for m in told.members] == [True, False]
    assert told.stamp == Stamp(7)
