"""Tests of data centre summaries and usage totals."""

import msgspec
from hypothesis import given, seed
from hypothesis import strategies as st

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.summary import UsageTotals, summarize
from kingcupvane.request.pace_state import PaceReport
from kingcupvane.request.priority_load import PriorityLoad
from kingcupvane.request.rate_limit import AccountUsage
from kingcupvane.tests.test_peering import record, report


def acme_usage(admitted, demand=1.0):
    return {"acme": AccountUsage(demand, admitted)}


def test_totals_continue_when_gateways_restart_or_are_removed():
    totals = UsageTotals()
    totals.update("a", 1, acme_usage(5), now=0.0)
    totals.update("b", 1, acme_usage(100), now=0.0)
    totals.update("a", 1, acme_usage(9), now=0.0)
    totals.update("b", 1, acme_usage(101), now=0.0)
    assert totals.usage_by_account([])["acme"].admitted == 5
    totals.update("a", 2, acme_usage(3), now=0.0)
    assert totals.usage_by_account([])["acme"].admitted == 8
    totals.remove_gateway("b")
    totals.update("b", 2, acme_usage(50), now=0.0)
    assert totals.usage_by_account([])["acme"].admitted == 8


def test_demand_is_the_sum_over_live_gateways():
    totals = UsageTotals()
    usage_by_account = totals.usage_by_account(
        [acme_usage(0, demand=2.0), acme_usage(0, demand=3.5)]
    )
    assert usage_by_account["acme"].demand == 5.5


def test_summary_lists_all_members_with_their_readiness():
    reports = [report(record("a")), report(record("b"), ready=False)]
    summary = summarize(reports, UsageTotals(), stamp=Stamp(7))
    assert summary.source == "a"
    assert [member.name for member in summary.members] == ["a", "b"]
    assert [member.ready for member in summary.members] == [True, False]
    assert summary.stamp == Stamp(7)


def test_summary_tells_the_pace_of_the_gateway_that_knows_most():
    paces = [[PaceReport("t", 1, False, falls, 0)] for falls in (0, 2, 1)]
    reports = [
        msgspec.structs.replace(report(record(name)), paces=known)
        for name, known in zip("abc", paces, strict=True)
    ]
    summary = summarize(reports, UsageTotals(), stamp=Stamp(7))
    assert summary.paces == paces[1]


def test_summary_adds_up_the_load_by_priority():
    reports = [
        msgspec.structs.replace(
            report(record(name)), loads={"reads": [PriorityLoad(1, 2.0, 0.5)]}
        )
        for name in "ab"
    ]
    summary = summarize(reports, UsageTotals(), stamp=Stamp(7))
    assert summary.loads == {"reads": [PriorityLoad(1, 4.0, 1.0)]}


STEPS = st.lists(
    st.tuples(
        st.sampled_from("abc"), st.booleans(), st.integers(0, 9), st.booleans()
    ),
    max_size=40,
)


@seed(7)
@given(STEPS)
def test_total_is_all_that_was_admitted_and_reported(steps):
    """Gateways admit requests, restart and report in any order."""
    totals = UsageTotals()
    counters = dict.fromkeys("abc", 0)
    incarnations = dict.fromkeys("abc", 1)
    for name in "abc":
        totals.update(name, 1, acme_usage(0), now=0.0)
    expected = 0
    unreported = dict.fromkeys("abc", 0)
    for name, restarts, admitted, is_reported in steps:
        if restarts:
            counters[name] = unreported[name] = 0
            incarnations[name] += 1
        counters[name] += admitted
        unreported[name] += admitted
        if is_reported:
            totals.update(
                name, incarnations[name], acme_usage(counters[name]), now=0.0
            )
            expected += unreported[name]
            unreported[name] = 0
            usage = totals.usage_by_account([]).get(
                "acme", AccountUsage(0.0, 0)
            )
            assert usage.admitted == expected


def test_late_report_of_an_earlier_process_is_not_counted():
    """It was counted whole, and the next report of the new one again."""
    totals = UsageTotals()
    totals.update("a", 2, acme_usage(10), now=0.0)
    totals.update("a", 1, acme_usage(100), now=0.0)
    totals.update("a", 2, acme_usage(11), now=0.0)
    assert totals.usage_by_account([])["acme"].admitted == 1


def test_requests_of_a_process_with_a_lower_number_are_not_counted():
    """After its clock was set back, all that it admitted was left out."""
    totals = UsageTotals()
    totals.update("a", 100, acme_usage(10), now=0.0)
    totals.update("a", 100, acme_usage(15), now=0.2)
    totals.update("a", 50, acme_usage(3), now=0.4)
    assert totals.usage_by_account([])["acme"].admitted == 5
    totals.update("a", 50, acme_usage(7), now=2.0)
    totals.update("a", 100, acme_usage(15), now=2.1)
    totals.update("a", 50, acme_usage(9), now=2.2)
    assert totals.usage_by_account([])["acme"].admitted == 5 + 9


def test_late_report_after_a_silence_is_counted_twice():
    """What its process had reported before is known, so nothing is added."""
    totals = UsageTotals()
    totals.update("a", 100, acme_usage(10), now=0.0)
    totals.update("a", 50, acme_usage(1), now=2.0)
    totals.update("a", 100, acme_usage(10), now=4.0)
    totals.update("a", 50, acme_usage(4), now=6.0)
    assert totals.usage_by_account([])["acme"].admitted == 4
