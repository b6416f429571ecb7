"""Tests of the counts of usage."""

from hypothesis import given
from hypothesis import strategies as st

from kingcupvane.clock import ManualClock
from kingcupvane.connection.messages import UsageRow
from kingcupvane.process.true_time import TrueTime
from kingcupvane.process.usage_ledger import OPEN_WINDOWS_MAX, UsageLedger

WINDOW_S = 5.0


def make_ledger(clock, name="g1", *, incarnation=1, data_centre="n-a"):
    return UsageLedger(
        name=name,
        incarnation=incarnation,
        data_centre=data_centre,
        window_s=WINDOW_S,
        true_time=TrueTime(clock=clock),
    )


def test_request_counts_in_the_window_in_which_it_was_passed_on(clock):
    ledger = make_ledger(clock)
    first = ledger.begin("a")
    clock.advance(WINDOW_S)
    second = ledger.begin("a")
    assert second == first + 1
    ledger.refuse("a", first)
    assert ledger.counts(first) == {}
    assert ledger.counts(second) == {"a": 1}


def test_closed_window_is_dropped_and_stays_closed(clock):
    ledger = make_ledger(clock)
    window = ledger.begin("a")
    row = ledger.own_rows()[0]
    ledger.close_before(window + 1)
    ledger.merge_gateways([row])
    ledger.refuse("a", window)
    assert ledger.counts(window) == {}
    assert ledger.own_rows() == []


def test_windows_far_from_now_are_not_taken(clock):
    ledger = make_ledger(clock)
    now = ledger.current_window()
    for window in (now - 2 * OPEN_WINDOWS_MAX, now + 2, now + 10**6):
        ledger.merge_gateways([UsageRow("g2", 1, window, {"a": 9})])
        ledger.merge_data_centres([UsageRow("n-b", 0, window, {"a": 9})])
        assert ledger.counts(window) == {}


def test_open_windows_are_bounded(clock):
    ledger = make_ledger(clock)
    for _ in range(3 * OPEN_WINDOWS_MAX):
        ledger.begin("a")
        clock.advance(WINDOW_S)
    assert len(ledger.own_rows()) <= OPEN_WINDOWS_MAX


def test_process_after_a_restart_counts_beside_the_one_before(clock):
    holder = make_ledger(clock, "g2")
    for incarnation in (1, 2):
        ledger = make_ledger(clock, incarnation=incarnation)
        ledger.begin("a")
        holder.merge_gateways(ledger.own_rows())
    assert holder.counts(holder.current_window()) == {"a": 2}


def test_hub_that_is_replaced_loses_nothing_that_it_told(clock):
    hub, successor = make_ledger(clock), make_ledger(clock, "g2")
    holder = make_ledger(clock, "g3", data_centre="n-b")
    hub.begin("a")
    successor.begin("a")
    hub.merge_gateways(successor.own_rows())
    holder.merge_data_centres(hub.data_centre_rows())
    holder.merge_data_centres(successor.data_centre_rows())
    window = holder.current_window()
    assert holder.counts(window) == {"a": 2}
    successor.merge_data_centres(holder.other_data_centre_rows())
    assert successor.counts(window) == {"a": 2}


# Steps of gateways in two data centres: count, refuse, tell another gateway.
GATEWAYS = ("a1", "a2", "a3", "b1", "b2")
steps = st.lists(
    st.one_of(
        st.tuples(st.just("begin"), st.sampled_from(GATEWAYS), st.just("")),
        st.tuples(st.just("refuse"), st.sampled_from(GATEWAYS), st.just("")),
        st.tuples(
            st.just("tell"),
            st.sampled_from(GATEWAYS),
            st.sampled_from(GATEWAYS),
        ),
        st.tuples(st.just("repeat"), st.just(""), st.just("")),
    ),
    max_size=60,
)


def tell(teller, receiver, told):
    """Sends rows as reports do, and remembers the message."""
    if teller.data_centre == receiver.data_centre:
        message = (receiver.merge_gateways, teller.own_rows())
    else:
        message = (receiver.merge_data_centres, teller.data_centre_rows())
    told.append(message)
    take(*message)


def take(merge, rows):
    merge(rows)


@given(steps=steps)
def test_messages_in_any_order_and_repeated_count_each_request_once(steps):
    clock = ManualClock()
    ledgers = {
        name: make_ledger(clock, name, data_centre=f"n-{name[0]}")
        for name in GATEWAYS
    }
    window = ledgers["a1"].current_window()
    begun = refused = 0
    begun_by_name = dict.fromkeys(GATEWAYS, 0)
    told = []
    for kind, name, other in steps:
        if kind == "begin":
            ledgers[name].begin("x")
            begun_by_name[name] += 1
            begun += 1
        elif kind == "refuse" and begun_by_name[name]:
            begun_by_name[name] -= 1
            ledgers[name].refuse("x", window)
            refused += 1
        elif kind == "tell" and name != other:
            tell(ledgers[name], ledgers[other], told)
        elif kind == "repeat":
            for message in told:
                take(*message)
        for ledger in ledgers.values():
            assert ledger.counts(window).get("x", 0) <= begun
    # Once all have told their hub and the hubs the holder, it is exact.
    for name in ("a2", "a3"):
        tell(ledgers[name], ledgers["a1"], told)
    for name in ("b2", "a1"):
        tell(ledgers[name], ledgers["b1"], told)
    assert ledgers["b1"].counts(window).get("x", 0) == begun - refused
