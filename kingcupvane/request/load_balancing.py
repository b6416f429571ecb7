"""Choice of the target for a request.

Each slot of a target belongs to one live entry of the target's data centre,
so that all entries together never have more requests at a target than it has
slots. Other entries use a slot only while its owner lends it.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from kingcupvane.hashing import stable_hash
from kingcupvane.request.concurrency import ExchangeOutcome, TargetLoad
from kingcupvane.version.configuration import Configuration
from kingcupvane.version.items import READY, Target
from kingcupvane.version.move import VersionShare

LOAN_TTL_S = 2.0
LOAN_MARGIN_S = 0.5
LENDER_RESERVE = 1


def rendezvous_rank(names: Iterable[str], *, hash_key: str) -> list[str]:
    """Returns names by rendezvous hashing for a subject, best first."""
    return sorted(
        names,
        key=lambda name: (stable_hash(f"{hash_key}/{name}"), name),
        reverse=True,
    )


def owned_slots(target: Target, entries: Sequence[str], *, name: str) -> int:
    """Returns how many of a target's slots belong to an entry.

    Args:
        target: The target.
        entries: Live entries of the target's data centre.
        name: The entry in question.
    """
    if name not in entries:
        return 0
    rank = rendezvous_rank(entries, hash_key=target.name).index(name)
    base, remainder = divmod(target.slots, len(entries))
    return base + (1 if rank < remainder else 0)


class ShareCounter:
    """Keeps each version's part of the traffic at or below its share.

    A version gets a request only if its part stays within its share when the
    request is counted, so that no random draw ever exceeds a cap.
    """

    def __init__(self):
        """Starts without requests."""
        self._total = 0
        self._count_by_version: dict[str, int] = {}
        self._shares: Mapping[str, VersionShare] = {}

    def choose(self, shares: Mapping[str, VersionShare]) -> list[str]:
        """Returns the versions that may serve, the preferred one first."""
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
        """Counts a request that a version gets."""
        self._total += 1
        counts = self._count_by_version
        counts[version] = counts.get(version, 0) + 1


@dataclass(frozen=True, kw_only=True, slots=True)
class _SlotLoan:
    slots: int
    expires_at: float


class SlotLender:
    """Slots of this entry's allotments that other entries use."""

    def __init__(self):
        """Starts without loans."""
        self._loans: dict[tuple[str, str], _SlotLoan] = {}

    def lent(self, target: str, now: float) -> int:
        """Returns how many slots of a target are lent."""
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
        lendable: int,
        now: float,
        ttl_s: float,
    ) -> int:
        """Sets what a borrower holds; returns the slots that it may use.

        Args:
            target: Name of the target.
            borrower: Name of the borrowing entry.
            wanted: Slots that it wants, those in use included.
            lendable: Slots that are free now beside all loans.
            now: Monotonic seconds.
            ttl_s: How long the slots stay reserved, in seconds.
        """
        key = (target, borrower)
        loan = self._loans.get(key)
        current_slots = loan.slots if loan and now < loan.expires_at else 0
        granted = min(wanted, current_slots + max(0, lendable - LENDER_RESERVE))
        if granted:
            self._loans[key] = _SlotLoan(slots=granted, expires_at=now + ttl_s)
        else:
            self._loans.pop(key, None)
        return granted


class LoadBalancer:
    """All targets as one entry sees them, and the choice among them."""

    def __init__(self, *, name: str, data_centre: str, seed: int):
        """Makes an empty board.

        Args:
            name: Name of this entry.
            data_centre: Its data centre.
            seed: Seed of the random choice of two.
        """
        self._name = name
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._loads_by_name: dict[str, TargetLoad] = {}
        self._counters_by_service: dict[str, ShareCounter] = {}
        self._borrowed_loans: dict[tuple[str, str], _SlotLoan] = {}
        self.lender = SlotLender()

    def load(self, target: Target) -> TargetLoad:
        """Returns what is known of a target."""
        load = self._loads_by_name.get(target.name)
        if load is None:
            load = TargetLoad(slots=0)
            self._loads_by_name[target.name] = load
        return load

    def update(
        self, configuration: Configuration, entries: Sequence[str], now: float
    ) -> None:
        """Takes in the targets and the live entries of this data centre."""
        present = configuration.targets_by_name
        for name in list(self._loads_by_name):
            if name not in present and not self._loads_by_name[name].in_flight:
                del self._loads_by_name[name]
        for target in present.values():
            self.update_target(target, entries, now)

    def update_target(
        self, target: Target, entries: Sequence[str], now: float
    ) -> None:
        """Counts again how many slots of a target this entry may use."""
        self.load(target).usable_slots = self._usable(target, entries, now)

    def _usable(
        self, target: Target, entries: Sequence[str], now: float
    ) -> int:
        if target.data_centre != self._data_centre:
            owned = 0
        else:
            owned = owned_slots(target, entries, name=self._name)
        borrowed = self.borrowed_slots(target.name, now)
        return max(0, owned + borrowed - self.lender.lent(target.name, now))

    def record_loan(
        self, target: str, lender: str, slots: int, expires_at: float
    ) -> None:
        """Takes in a loan of slots that ends at `until`."""
        self._borrowed_loans[(target, lender)] = _SlotLoan(
            slots=slots, expires_at=expires_at
        )

    def reduce_loan(
        self, target: str, lender: str, slots: int, now: float
    ) -> None:
        """Keeps at most `slots` of a loan."""
        loan = self._borrowed_loans.get((target, lender))
        if loan is not None and now < loan.expires_at and slots < loan.slots:
            self.record_loan(target, lender, slots, loan.expires_at)

    def borrowed_slots(self, target: str, now: float) -> int:
        """Returns how many slots of a target others lend to this entry."""
        return sum(
            loan.slots
            for (name, _), loan in self._borrowed_loans.items()
            if name == target and now < loan.expires_at
        )

    def borrowed_from(self, target: str, lender: str, now: float) -> int:
        """Returns how many slots of a target one lender lends."""
        loan = self._borrowed_loans.get((target, lender))
        return loan.slots if loan and now < loan.expires_at else 0

    def lendable_slots(self, target: Target) -> int:
        """Returns slots of a target that this entry could lend."""
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

        Args:
            service: Name of the service.
            configuration: The revision in force.
            shares: Each version's part of the traffic.
            exclude: Targets that were tried for this request.
            now: Monotonic seconds.
        """
        counter = self._counters_by_service.setdefault(service, ShareCounter())
        targets = configuration.targets_by_service.get(service, ())
        for version in counter.choose(shares):
            free = [
                target
                for target in targets
                if target.version == version
                and target.state == READY
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

    def finish(
        self,
        target: Target,
        outcome: ExchangeOutcome,
        *,
        latency_s: float,
        now: float,
    ) -> bool:
        """Counts the end of a request; true when the target was ejected."""
        return self.load(target).finish(outcome, latency_s=latency_s, now=now)
