"""Tests of borrowing slots of targets from other entries."""

from types import SimpleNamespace

import trio
from result import Ok

from kingcupvane.connection.messages import LoanReply
from kingcupvane.process.slot_borrower import SlotBorrower
from kingcupvane.request.load_balancing import LoadBalancer
from kingcupvane.tests.builders import entry, target

TTL_S = 10.0


class FakeLender:
    """Grants loans; records the borrower's usable slots at each request."""

    def __init__(self, *, load_balancer, target):
        """Starts without loan requests."""
        self._load_balancer = load_balancer
        self._target = target
        self.usable_slots = []

    async def ask(self, address, request):
        await trio.lowlevel.checkpoint()
        self.usable_slots.append(
            self._load_balancer.load(self._target).usable_slots
        )
        return Ok(LoanReply(slots=request.slots, ttl_s=TTL_S))


def test_returned_slots_are_unusable_before_the_lender_replies():
    """The lender may use the slots as soon as it receives the request."""
    remote_target = target(name="t-b1", data_centre="b")
    lender = entry(name="e-b1", data_centre="b")
    load_balancer = LoadBalancer(name="e-a1", data_centre="a", seed=1)
    load_balancer.record_loan(remote_target.name, lender.name, 2, TTL_S)
    current = SimpleNamespace(
        targets_by_name={remote_target.name: remote_target},
        targets_by_service={remote_target.service: (remote_target,)},
        entries_by_data_centre={"b": (lender,)},
    )
    client = FakeLender(load_balancer=load_balancer, target=remote_target)
    borrower = SlotBorrower(
        settings=SimpleNamespace(name="e-a1", data_centre="a", region="a"),
        load_balancer=load_balancer,
        dispatcher=SimpleNamespace(queue_length=lambda service: 0),
        client=client,
        replica=SimpleNamespace(current=current),
        clock=SimpleNamespace(now=lambda: 0.0, wall=lambda: 1.0),
        timeline=SimpleNamespace(record=lambda kind, **fields: None),
        on_loans_changed=lambda: load_balancer.update(current, [], 0.0),
    )
    load_balancer.update(current, [], 0.0)
    load = load_balancer.load(remote_target)
    load.limit = 4.0
    load.record_start()
    assert load.usable_slots == 2
    trio.run(borrower.run_round)
    assert client.usable_slots == [1]
