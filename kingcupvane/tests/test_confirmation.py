"""Tests of counting confirmations."""

from kingcupvane.process.confirmation import (
    ORIGIN_EXPIRY_S,
    Confirmation,
    Confirmations,
)
from kingcupvane.process.item import Position


def test_origins_that_are_not_heard_of_are_forgotten():
    confirmations = Confirmations(origin="g")
    for number in range(1000):
        now = number * ORIGIN_EXPIRY_S / 10
        heard = Confirmation(number, 1, Position(0, 10), 0)
        confirmations.hear(heard, now, now)
    assert confirmations.origin_count <= 11


def test_processes_of_one_gateway_are_origins_of_their_own():
    """The later one counts from the beginning, whatever its clock says."""
    confirmations = Confirmations(origin="g")
    as_of = Position(0, 10)
    earlier, later = Confirmations(origin="h/2"), Confirmations(origin="h/1")
    for at in (1.0, 2.0, 3.0):
        earlier.add_own(as_of, at)
    later.add_own(as_of, 4.0)
    for process, now in ((earlier, 3.0), (later, 4.0), (earlier, 5.0)):
        heard = process.latest(as_of, now, age_max_s=9.0)
        confirmations.hear(heard, now, now)
    assert confirmations.latest_at(as_of) == 4.0
    assert confirmations.origin_count == 2
