"""Load balancing of an entry's requests over the slots of targets.

Each slot of a target is owned by one live entry of the target's data centre, so
that all entries together never have more requests in flight at a target than it
has slots. Other entries may use a slot only while its owner lends it.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from kingcupvane.hashing import stable_hash
from kingcupvane.request.concurrency import ExchangeOutcome, TargetLoad
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.items import TARGET_READY, Target
from kingcupvane.version.move import VersionShare

# Duration of a loan as the lender states it to the borrower, in seconds. The
# lender itself counts the slots as lent for longer.
SLOT_LOAN_TTL_S = 2.0
# Time before a loan's expiry at which the borrower stops using it, in seconds.
SLOT_LOAN_MARGIN_S = 0.5
# Free slots per target that a lender keeps for itself.
LENDER_RESERVE = 1


def rendezvous_rank(names: Iterable[str], *, hash_key: str) -> list[str]:
    """Returns names ranked by rendezvous hashing for a key, best first."""
    return sorted(
        names,
        key=lambda name: (stable_hash(f"{hash_key}/{name}"), name),
        reverse=True,
    )


def owned_slots(target: Target, entries: Sequence[str], *, name: str) -> int:
    """Returns how many of a target's slots an entry owns.

    Args:
        target: The target.
        entries: Names of the live entries of the target's data centre.
        name: Name of the entry.
    """
    if name not in entries:
        return 0
    rank = rendezvous_rank(entries, hash_key=target.name).index(name)
    base, remainder = divmod(target.slots, len(entries))
    return base + (1 if rank < remainder else 0)


class ShareCounter:
    """Keeps each capped version's traffic at or below its share.

    Versions are chosen by their deficit, the requests that they are behind
    their share, not at random: a capped version gets a request only if it
    stays within its share with that request counted.
    """

    def __init__(self):
        """Starts without requests."""
        self._total = 0
        self._count_by_version: dict[str, int] = {}
        self._shares: Mapping[str, VersionShare] = {}

    def choose(self, shares: Mapping[str, VersionShare]) -> list[str]:
        """Returns the versions that may serve, largest deficit first.

        The counts restart when the shares change.
        """
        if shares != self._shares:
            self._shares = dict(shares)
            self._total = 0
            self._count_by_version = {}
        total = self._total + 1
        deficit_by_version = {
            version: version_share.share * total
            - self._count_by_version.get(version, 0)
            for version, version_share in shares.items()
            if version_share.share > 0
        }
        allowed = [
            version
            for version, deficit in deficit_by_version.items()
            if deficit >= 1 or not shares[version].capped
        ]
        allowed.sort(key=lambda version: deficit_by_version[version])
        return allowed[::-1]

    def count(self, version: str) -> None:
        """Counts a request that is sent to a version."""
        self._total += 1
        counts = self._count_by_version
        counts[version] = counts.get(version, 0) + 1


@dataclass(frozen=True, kw_only=True, slots=True)
class _SlotLoan:
    """Slots of one target that one entry lends to another.

    Attributes:
        slots: Number of slots.
        expires_at: End of the loan, in monotonic seconds.
        number: Number of the request that it answers.
    """

    slots: int
    expires_at: float
    number: int = 0


class SlotLender:
    """Loans of this entry's slots to other entries."""

    def __init__(self):
        """Starts without loans."""
        self._loans: dict[tuple[str, str], _SlotLoan] = {}

    def lent_slots(self, target: str, now: float) -> int:
        """Returns how many slots of a target are lent out."""
        return sum(
            loan.slots
            for (name, _), loan in self._loans.items()
            if name == target and now < loan.expires_at
        )

    def lend(
        self,
        *,
        target: str,
        borrower: str,
        wanted: int,
        free_slots: int,
        now: float,
        ttl_s: float,
        number: int = 0,
    ) -> int:
        """Replaces a borrower's loan; returns the slots that are granted.

        A request that arrives after a later one of the borrower changes
        nothing.

        Args:
            target: Name of the target.
            borrower: Name of the borrowing entry.
            wanted: Slots that it wants in total, those in use included.
            free_slots: Free slots that are not lent out.
            now: Monotonic seconds.
            ttl_s: Time until the loan expires, in seconds.
            number: Number of the request, by which a borrower orders its
                requests; 0 if it doesn't.
        """
        key = (target, borrower)
        loan = self._loans.get(key)
        if loan is None or now >= loan.expires_at:
            loan = _SlotLoan(slots=0, expires_at=now)
        if 0 < number < loan.number:
            return loan.slots
        current_slots = loan.slots
        granted = min(
            wanted, current_slots + max(0, free_slots - LENDER_RESERVE)
        )
        if granted:
            self._loans[key] = _SlotLoan(
                slots=granted, expires_at=now + ttl_s, number=number
            )
        else:
            self._loans.pop(key, None)
        return granted


class LoadBalancer:
    """Balances one entry's requests over the targets.

    Attributes:
        lender: Loans of this entry's slots to other entries.
    """

    def __init__(self, *, name: str, data_centre: str, seed: int):
        """Creates a load balancer without targets.

        Args:
            name: Name of this entry.
            data_centre: Data centre of this entry.
            seed: Seed of the random sample of two targets.
        """
        self._name = name
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._loads_by_name: dict[str, TargetLoad] = {}
        self._counters_by_service: dict[str, ShareCounter] = {}
        self._borrowed_loans: dict[tuple[str, str], _SlotLoan] = {}
        self.lender = SlotLender()

    def load(self, target: Target) -> TargetLoad:
        """Returns the load of a target, created on first use."""
        load = self._loads_by_name.get(target.name)
        if load is None:
            load = TargetLoad(slots=0)
            self._loads_by_name[target.name] = load
        return load

    def update(
        self, configuration: Configuration, entries: Sequence[str], now: float
    ) -> None:
        """Applies a configuration revision and recomputes usable slots.

        Args:
            configuration: The revision in force.
            entries: Names of the live entries of this data centre.
            now: Monotonic seconds.
        """
        present = configuration.targets_by_name
        for name in list(self._loads_by_name):
            if name not in present and not self._loads_by_name[name].in_flight:
                del self._loads_by_name[name]
        for target in present.values():
            self.update_target(target, entries, now)

    def update_target(
        self, target: Target, entries: Sequence[str], now: float
    ) -> None:
        """Recomputes how many slots of a target this entry may use."""
        self.load(target).usable_slots = self._usable_slots(
            target, entries, now
        )

    def _usable_slots(
        self, target: Target, entries: Sequence[str], now: float
    ) -> int:
        if target.data_centre != self._data_centre:
            owned = 0
        else:
            owned = owned_slots(target, entries, name=self._name)
        borrowed = self.borrowed_slots(target.name, now)
        return max(
            0, owned + borrowed - self.lender.lent_slots(target.name, now)
        )

    def record_loan(
        self, target: str, lender: str, slots: int, expires_at: float
    ) -> None:
        """Records slots of a target that `lender` lends to this entry.

        Args:
            target: Name of the target.
            lender: Name of the lending entry.
            slots: Number of slots; replaces an earlier loan.
            expires_at: Time up to which this entry may use the slots, in
                monotonic seconds.
        """
        self._borrowed_loans[(target, lender)] = _SlotLoan(
            slots=slots, expires_at=expires_at
        )

    def reduce_loan(
        self, target: str, lender: str, slots: int, now: float
    ) -> None:
        """Reduces a loan in force to at most `slots`."""
        loan = self._borrowed_loans.get((target, lender))
        if loan is not None and now < loan.expires_at and slots < loan.slots:
            self.record_loan(target, lender, slots, loan.expires_at)

    def borrowed_slots(self, target: str, now: float) -> int:
        """Returns how many slots of a target this entry has borrowed."""
        return sum(
            loan.slots
            for (name, _), loan in self._borrowed_loans.items()
            if name == target and now < loan.expires_at
        )

    def borrowed_slots_from(self, target: str, lender: str, now: float) -> int:
        """Returns how many slots of a target one lender lends this entry."""
        loan = self._borrowed_loans.get((target, lender))
        return loan.slots if loan and now < loan.expires_at else 0

    def free_slots(self, target: Target) -> int:
        """Returns how many free slots of a target this entry has.

        `LENDER_RESERVE` is included; `SlotLender.lend` subtracts it.
        """
        load = self.load(target)
        return max(0, load.usable_slots - load.in_flight)

    def choose(
        self,
        service: str,
        configuration: Configuration,
        shares: Mapping[str, VersionShare],
        *,
        exclude: frozenset[str],
        now: float,
    ) -> Target | None:
        """Returns a target with a free slot, or None.

        The version is the one furthest behind its share that has a target with
        a free slot. Of two random targets of that version, the one of lower
        cost is returned; targets of the local data centre go first.

        Args:
            service: Name of the service.
            configuration: The revision in force.
            shares: Share of the traffic by version.
            exclude: Names of targets already tried for this request.
            now: Monotonic seconds.
        """
        counter = self._counters_by_service.setdefault(service, ShareCounter())
        targets = configuration.targets_by_service.get(service, ())
        for version in counter.choose(shares):
            free = [
                target
                for target in targets
                if target.version == version
                and target.state == TARGET_READY
                and target.name not in exclude
                and self.load(target).has_capacity(now)
            ]
            if free:
                counter.count(version)
                return self._better_of_two(free)
        return None

    def _better_of_two(self, free: list[Target]) -> Target:
        local = [t for t in free if t.data_centre == self._data_centre]
        eligible = local or free
        sampled = self._random.sample(eligible, min(2, len(eligible)))
        return min(sampled, key=lambda target: self.load(target).cost())

    def record_outcome(
        self,
        target: Target,
        outcome: ExchangeOutcome,
        *,
        latency_s: float,
        now: float,
    ) -> bool:
        """Records the outcome of a request; true when it ejected the target."""
        return self.load(target).record_outcome(
            outcome, latency_s=latency_s, now=now
        )
