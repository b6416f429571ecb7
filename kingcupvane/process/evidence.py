"""Evidence on each version: the counters that canary analysis compares."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from kingcupvane.request.dispatch import ExchangeSample
from kingcupvane.version.canary_analysis import Tally, copy_tally
from kingcupvane.version.rollout_checkpoint import EvidenceMark

# Readings of a service whose counters are kept: ten seconds of rounds.
MARKS_MAX = 40


@dataclass(kw_only=True, slots=True)
class _MarkedReadings:
    """Counters of one service at its latest marked readings.

    Attributes:
        readings: Marks with the counters then, oldest first.
        was_trimmed: Whether older readings were dropped.
    """

    readings: list[tuple[EvidenceMark, list[Tally]]] = field(
        default_factory=list
    )
    was_trimmed: bool = False

    def add(self, mark: EvidenceMark, tallies: list[Tally]) -> None:
        self.readings.append((mark, [copy_tally(t) for t in tallies]))
        if len(self.readings) > MARKS_MAX:
            del self.readings[0]
            self.was_trimmed = True

    def as_of(self, mark: EvidenceMark) -> list[Tally]:
        for known, tallies in reversed(self.readings):
            if known <= mark:
                return tallies
        # This process started after the mark, and so did its counters, unless
        # the reading has been dropped.
        return self.readings[0][1] if self.was_trimmed else []


class EvidenceCounter:
    """Counts exchanges by service, version and route since process start."""

    def __init__(self):
        """Starts with no counters."""
        self._tallies_by_key: dict[tuple[str, str, str], Tally] = {}
        self._marked_by_service: dict[str, _MarkedReadings] = {}

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

    def mark(self, service: str, mark: EvidenceMark) -> None:
        """Keeps the present counters of a service as those of a reading."""
        marked = self._marked_by_service.setdefault(service, _MarkedReadings())
        marked.add(mark, self.of_services([service]))

    def as_of(self, service: str, mark: EvidenceMark) -> list[Tally]:
        """Returns a service's counters at a reading, or at the last before it.

        They are empty for a process that started after that reading.
        """
        marked = self._marked_by_service.get(service)
        return marked.as_of(mark) if marked is not None else []

    def retain(self, versions: set[tuple[str, str]]) -> None:
        """Keeps only the counters of the given versions.

        Args:
            versions: The versions to keep, as pairs of service and name.
        """
        for key in list(self._tallies_by_key):
            if key[:2] not in versions:
                del self._tallies_by_key[key]
