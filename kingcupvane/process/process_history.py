"""Tells which of the processes of one name counts.

The number of a process is the wall time of its start, and wall clocks are set
back. So numbers order two processes of a name only while the later one is
heard; a process whose known one has been silent is taken for new, whatever its
number.
"""

from typing import Generic, TypeVar

# Silence after which another process of the same name may have replaced one,
# in seconds.
PROCESS_SILENCE_S = 1.5
# Processes of one name whose last report is kept.
PROCESSES_MAX = 4

Report = TypeVar("Report")


class ProcessHistory(Generic[Report]):
    """The latest processes of one name, with the last report of each.

    Attributes:
        incarnation: Number of the process that counts; None before the first
            report.
        heard_at: Monotonic time of its last report, in seconds.
    """

    def __init__(self, *, silence_s: float = PROCESS_SILENCE_S):
        """Starts without reports.

        Args:
            silence_s: Silence after which a process may have been replaced by
                one of a lower number, in seconds.
        """
        self._silence_s = silence_s
        self._reports_by_incarnation: dict[int, Report] = {}
        self.incarnation: int | None = None
        self.heard_at = float("-inf")

    def is_heard(self, now: float) -> bool:
        """Returns whether the process that counts has reported recently."""
        return now - self.heard_at < self._silence_s

    def accepts(self, incarnation: int, now: float) -> bool:
        """Returns whether a report is of the process that counts, or a later.

        Args:
            incarnation: Number of the report's process.
            now: Monotonic seconds.
        """
        if self.incarnation in (None, incarnation) or not self.is_heard(now):
            return True
        return incarnation > self.incarnation and not self.knows(incarnation)

    def knows(self, incarnation: int) -> bool:
        """Returns whether a process has reported, now or before others."""
        return incarnation in self._reports_by_incarnation

    def last(self, incarnation: int) -> Report | None:
        """Returns the last report of a process; None without one."""
        return self._reports_by_incarnation.get(incarnation)

    def receive(self, incarnation: int, report: Report, now: float) -> None:
        """Notes an accepted report.

        Args:
            incarnation: Number of its process, which counts from now on.
            report: The report.
            now: Monotonic seconds.
        """
        reports = self._reports_by_incarnation
        reports.pop(incarnation, None)
        reports[incarnation] = report
        if len(reports) > PROCESSES_MAX:
            del reports[next(iter(reports))]
        self.incarnation = incarnation
        self.heard_at = now
