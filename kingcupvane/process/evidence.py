"""Counters of what each version does, for the judge."""

from collections.abc import Iterable

from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.version.canary_analysis import Tally


class EvidenceCounter:
    """Counts exchanges by service, version and route since the start."""

    def __init__(self):
        """Starts without counts."""
        self._tallies: dict[tuple[str, str, str], Tally] = {}

    def add(self, sample: ExchangeSample) -> None:
        """Counts an exchange."""
        key = (sample.service, sample.version, sample.route)
        tally = self._tallies.get(key)
        if tally is None:
            tally = Tally(service=key[0], version=key[1], route=key[2])
            self._tallies[key] = tally
        tally.add(failed=sample.failed, latency_s=sample.latency_s)

    def of_services(self, services: Iterable[str]) -> list[Tally]:
        """Returns the counters of some services."""
        wanted = set(services)
        return [t for t in self._tallies.values() if t.service in wanted]

    def retain(self, versions: set[tuple[str, str]]) -> None:
        """Drops counters of versions that are gone.

        Args:
            versions: Services and names of the versions to keep.
        """
        for key in list(self._tallies):
            if key[:2] not in versions:
                del self._tallies[key]
