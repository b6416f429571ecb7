"""Evidence on each version: the counters that canary analysis compares."""

from collections.abc import Iterable

from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.version.canary_analysis import Tally


class EvidenceCounter:
    """Counts exchanges by service, version and route since process start."""

    def __init__(self):
        """Starts with no counters."""
        self._tallies_by_key: dict[tuple[str, str, str], Tally] = {}

    def add(self, sample: ExchangeSample) -> None:
        """Counts an exchange, its failure and its latency."""
        key = (sample.service, sample.version, sample.route)
        tally = self._tallies_by_key.get(key)
        if tally is None:
            tally = Tally(service=key[0], version=key[1], route=key[2])
            self._tallies_by_key[key] = tally
        tally.add(failed=sample.failed, latency_s=sample.latency_s)

    def of_services(self, services: Iterable[str]) -> list[Tally]:
        """Returns the counters of the named services."""
        wanted = set(services)
        return [t for t in self._tallies_by_key.values() if t.service in wanted]

    def retain(self, versions: set[tuple[str, str]]) -> None:
        """Keeps only the counters of the given versions.

        Args:
            versions: The versions to keep, as pairs of service and name.
        """
        for key in list(self._tallies_by_key):
            if key[:2] not in versions:
                del self._tallies_by_key[key]
