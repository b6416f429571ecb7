"""Tests of which process of a name counts, whatever clock it started by."""

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from kingcupvane.process.peering import LIVENESS_TIMEOUT_S, PeerTable
from kingcupvane.process.process_history import (
    PROCESS_SILENCE_S,
    PROCESSES_MAX,
    ProcessHistory,
)
from kingcupvane.tests.test_peering import record, report

PERIOD_S = 0.2
# Reports after which a process must count, one more than the silence allows.
REPORTS_UNTIL_HEARD = int(PROCESS_SILENCE_S / PERIOD_S) + 2


@pytest.mark.parametrize(
    ("known", "silence_s", "other", "is_accepted"),
    [
        ([5], 0.1, 5, True),
        ([5], 9.0, 5, True),
        ([5], 0.1, 6, True),
        ([5], 0.1, 4, False),
        ([5], PROCESS_SILENCE_S, 4, True),
        ([5, 6], 0.1, 5, False),
        ([5, 6], 0.1, 7, True),
    ],
)
def test_process_counts_by_number_while_the_known_one_is_heard(
    known, silence_s, other, is_accepted
):
    history = ProcessHistory()
    for incarnation in known:
        history.receive(incarnation, None, 1.0)
    assert history.accepts(other, 1.0 + silence_s) is is_accepted


def test_number_that_was_replaced_by_a_lower_one_does_not_return():
    history = ProcessHistory()
    history.receive(100, None, 0.0)
    history.receive(50, None, PROCESS_SILENCE_S)
    assert not history.accepts(100, PROCESS_SILENCE_S + 0.1)
    assert history.accepts(51, PROCESS_SILENCE_S + 0.1)


def test_last_reports_of_few_processes_are_kept():
    history = ProcessHistory()
    for incarnation in range(10):
        history.receive(incarnation, incarnation, float(incarnation))
    kept = [n for n in range(10) if history.knows(n)]
    assert kept == list(range(10 - PROCESSES_MAX, 10))


STARTS = st.lists(
    st.tuples(
        # Number of the process and how long it reports.
        st.integers(1, 1000),
        st.integers(0, 3 * REPORTS_UNTIL_HEARD),
        # Silence before its start, in periods.
        st.integers(0, 2 * REPORTS_UNTIL_HEARD),
        # Late reports, listings: which earlier process, at which report.
        st.lists(
            st.tuples(st.integers(0, 20), st.integers(0, 20), st.booleans()),
            max_size=6,
        ),
    ),
    min_size=1,
    max_size=PROCESSES_MAX,
    unique_by=lambda start: start[0],
)


@seed(11)
@given(STARTS)
def test_gateway_whose_clock_was_set_back_is_live_again(starts):
    """Its reports were ignored for good: its number was below the known one.

    Reports come late of processes that were heard; a report of a process that
    never was is taken by its number.
    """
    table = PeerTable(own=record("a"))
    now = 0.0
    listed = []
    heard = []
    for number, report_count, silent_periods, strays in starts:
        now += silent_periods * PERIOD_S
        listed.append(number)
        own = record("b", incarnation=number)
        is_heard = False
        for step in range(report_count):
            now += PERIOD_S
            table.receive_report(report(own), now)
            for which, at, is_listing in strays:
                known = listed if is_listing else heard
                if at != step or not known:
                    continue
                stray = record("b", incarnation=known[which % len(known)])
                if is_listing:
                    table.add_listed(stray, now)
                elif is_heard and stray.incarnation != number:
                    table.receive_report(report(stray, ready=False), now)
            peers = table.local_peers(now)
            if is_heard or step >= REPORTS_UNTIL_HEARD:
                is_heard = True
                assert [p.record.incarnation for p in peers] == [number]
                assert peers[0].report.ready
            elif peers and peers[0].record.incarnation == number:
                is_heard = True
                heard.append(number)


def test_list_of_the_store_brings_back_the_process_before_the_clock_was_set():
    """The store lists the old record until the new process has registered."""
    table = PeerTable(own=record("a"))
    old = record("b", incarnation=100)
    new = record("b", incarnation=50)
    table.receive_report(report(old), 0.0)
    now = LIVENESS_TIMEOUT_S
    assert table.receive_report(report(new), now)
    for _ in range(20):
        now += PERIOD_S
        table.add_listed(old, now)
        table.receive_report(report(new), now)
        table.add_listed(old, now)
        assert [p.record for p in table.local_peers(now)] == [new]


def test_listed_process_is_not_live_before_its_report():
    table = PeerTable(own=record("a"))
    table.receive_report(report(record("b", incarnation=1)), 0.0)
    restarted = record("b", incarnation=2)
    table.add_listed(restarted, LIVENESS_TIMEOUT_S)
    assert table.local_peers(LIVENESS_TIMEOUT_S) == []
    assert table.receive_report(report(restarted), LIVENESS_TIMEOUT_S)
