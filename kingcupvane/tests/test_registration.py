"""Tests of a gateway's record in the store, and of its knowledge of it."""

import trio
import trio.testing
from result import Err, Ok

from kingcupvane.errors import StoreError
from kingcupvane.process.mirror import Mirror
from kingcupvane.process.replication import GatewayRegistration
from kingcupvane.process.store_era import StoreEra
from kingcupvane.tests.fakes import TrioClock
from kingcupvane.tests.test_peering import record

TTL_S = 6.0
DOWN = Err(
    StoreError(
        step="test", peer="store", detail="down", may_have_taken_effect=True
    )
)


class LeaseStore:
    """Grants and renews leases while it is up.

    Attributes:
        is_up: Whether calls are answered.
        has_lease: Whether the lease that was granted still lives.
        grants: Number of leases that were granted.
        era: Era of the store.
        revoked: Leases that were revoked.
        registration: The registration that uses the store.
    """

    def __init__(self):
        """Starts up, without leases."""
        self.is_up = True
        self.has_lease = False
        self.grants = 0
        self.era = StoreEra()
        self.revoked = []

    async def revoke(self, lease):
        self.revoked.append(lease)
        return Ok(True)

    async def grant(self, ttl_s):
        self.grants += self.is_up
        self.has_lease = self.is_up
        return Ok(7) if self.is_up else DOWN

    async def compare_and_swap(self, key, value, *, expected, lease):
        return Ok(1) if self.is_up else DOWN

    async def renew(self, lease):
        return Ok(self.has_lease) if self.is_up else DOWN


def run_registration(play):
    """Runs `play` with a store and the registration that uses it."""
    store = LeaseStore()
    registration = GatewayRegistration(
        store=store,
        mirror=Mirror(prefix=""),
        record=record("g"),
        ttl_s=TTL_S,
        clock=TrioClock(),
    )
    store.registration = registration

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(registration.run)
            await play(store, lambda: registration.is_listed(TrioClock().now()))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_gateway_is_sure_of_its_record_for_a_ttl_after_the_last_renewal():
    async def play(store, is_listed):
        await trio.sleep(TTL_S * 3)
        assert is_listed()
        store.is_up = False
        await trio.sleep(TTL_S / 2)
        assert is_listed()
        await trio.sleep(TTL_S)
        assert not is_listed()
        store.is_up = True
        await trio.sleep(TTL_S)
        assert is_listed()

    run_registration(play)


def test_gateway_that_never_reached_the_store_is_not_sure_of_its_record():
    async def play(store, is_listed):
        store.is_up = False
        await trio.sleep(TTL_S)
        assert not is_listed()

    run_registration(play)


def test_gateway_whose_lease_has_ended_registers_again():
    async def play(store, is_listed):
        await trio.sleep(TTL_S)
        store.has_lease = False
        await trio.sleep(TTL_S / 2)
        assert store.has_lease
        assert is_listed()

    run_registration(play)


def test_gateway_registers_again_in_a_new_era_though_its_lease_number_lives():
    """An older copy gives lease numbers out again, so a renewal may succeed."""

    async def play(store, is_listed):
        await trio.sleep(TTL_S)
        assert store.grants == 1
        store.era.hear(1)
        await trio.sleep(TTL_S / 2)
        assert store.grants == 2
        assert is_listed()

    run_registration(play)


def test_lease_number_of_an_earlier_era_is_not_revoked():
    """It may belong to another gateway by then."""

    async def play(store, is_listed):
        await trio.sleep(TTL_S)
        store.era.hear(1)
        await store.registration.withdraw()
        assert not store.revoked

    run_registration(play)
