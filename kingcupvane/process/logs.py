"""Structured logs that never block the process.

A thread writes the lines of a bounded buffer. When lines arrive faster than
they are written, those of served requests are dropped first, then those of
other requests; lines of the process's state have room that requests cannot
take. A separate line reports how many were dropped.
"""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from itertools import chain

from loguru import logger

from kingcupvane.clock import Clock
from kingcupvane.process.log_output import LineOutput, LinesLostError
from kingcupvane.process.refusal_summary import RefusalSummary
from kingcupvane.process.timeline import quote_value
from kingcupvane.request.token_bucket import TokenBucket

# Largest number of buffered lines of requests, and of the process's state.
BUFFERED_LINES_MAX = 4000
BUFFERED_STATE_LINES_MAX = 1000
# Token buckets by priority: sustained rate in lines per second, and burst.
LOW_PRIORITY_LINES_PER_S = 60.0
LOW_PRIORITY_BURST_LINES = 200.0
NORMAL_PRIORITY_LINES_PER_S = 400.0
NORMAL_PRIORITY_BURST_LINES = 2000.0
STATE_LINES_PER_S = 400.0
STATE_BURST_LINES = 2000.0
# Least time between two reports of dropped lines, in seconds.
DROP_REPORT_PERIOD_S = 1.0
# Longest wait for the buffer to empty when the process ends, in seconds.
FLUSH_TIMEOUT_S = 0.2
# Pause after a failure to write, in seconds.
WRITE_RETRY_S = 0.5
# Key of a line's priority in the extra fields of a log record.
PRIORITY_KEY = "priority"


class LinePriority(Enum):
    """Priority of a line: of a request, routine or not, or of the state."""

    LOW = "low"
    NORMAL = "normal"
    STATE = "state"


LIMITS_BY_PRIORITY = {
    LinePriority.LOW: (LOW_PRIORITY_LINES_PER_S, LOW_PRIORITY_BURST_LINES),
    LinePriority.NORMAL: (
        NORMAL_PRIORITY_LINES_PER_S,
        NORMAL_PRIORITY_BURST_LINES,
    ),
    LinePriority.STATE: (STATE_LINES_PER_S, STATE_BURST_LINES),
}


class LogBuffer:
    """Bounded buffer of lines and the thread that writes them.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        write: Callable[[bytes], object],
        lines_max: int = BUFFERED_LINES_MAX,
    ):
        """Creates an empty buffer; `start` starts the writer thread.

        Args:
            clock: Monotonic clock.
            write: Writes bytes; may block, and may raise `LinesLostError`.
            lines_max: Largest number of buffered lines of requests.
        """
        self._clock = clock
        self._write = write
        self._lines_max = lines_max
        self._lines_by_priority: dict[LinePriority, deque[str]] = {
            priority: deque() for priority in LinePriority
        }
        self._changed = threading.Condition()
        self._reported_dropped = 0
        self._reported_at = float("-inf")
        self.dropped = 0
        now = clock.now()
        self._buckets = {}
        for priority, (rate, burst) in LIMITS_BY_PRIORITY.items():
            # A new bucket is empty; starting earlier by its fill time fills it.
            bucket = TokenBucket(now=now - burst / rate)
            bucket.resize(rate=rate, burst=burst, now=now - burst / rate)
            self._buckets[priority] = bucket

    def put(self, line: str, *, priority: LinePriority) -> None:
        """Buffers a line; never waits for output.

        Drops and counts the line if its priority's rate is exceeded or there
        is no room. A line of normal priority displaces the oldest one of low
        priority; lines of state have room of their own.
        """
        now = self._clock.now()
        with self._changed:
            if not self._buckets[priority].try_acquire(now):
                self.dropped += 1
                return
            lines = self._lines_by_priority[priority]
            if priority is LinePriority.STATE:
                is_full = len(lines) >= BUFFERED_STATE_LINES_MAX
            else:
                is_full = self._request_line_count() >= self._lines_max
            if is_full:
                self.dropped += 1
                if not self._displaces_low(priority):
                    return
            lines.append(line)
            self._changed.notify()

    def _request_line_count(self) -> int:
        by_priority = self._lines_by_priority
        return len(by_priority[LinePriority.LOW]) + len(
            by_priority[LinePriority.NORMAL]
        )

    def _displaces_low(self, priority: LinePriority) -> bool:
        """Drops a line of low priority; returns whether that made room."""
        low_priority_lines = self._lines_by_priority[LinePriority.LOW]
        if priority is not LinePriority.NORMAL or not low_priority_lines:
            return False
        low_priority_lines.popleft()
        return True

    def start(self) -> None:
        """Starts the thread that writes the lines."""
        thread = threading.Thread(target=self._run, daemon=True, name="logs")
        thread.start()

    def flush(self) -> None:
        """Waits until the writer thread has taken all lines, or a timeout."""
        deadline = self._clock.now() + FLUSH_TIMEOUT_S
        with self._changed:
            while self._has_lines():
                left_s = deadline - self._clock.now()
                if left_s <= 0 or not self._changed.wait(left_s):
                    return

    def _has_lines(self) -> bool:
        return any(self._lines_by_priority.values())

    def _drop_report_is_due(self) -> bool:
        return (
            self.dropped != self._reported_dropped
            and self._clock.now() - self._reported_at >= DROP_REPORT_PERIOD_S
        )

    def _drop_report(self) -> Iterator[str]:
        """Yields a report of newly dropped lines, at most one per period."""
        if not self._drop_report_is_due():
            return
        count = self.dropped - self._reported_dropped
        self._reported_dropped = self.dropped
        self._reported_at = self._clock.now()
        yield f"level=WARNING event=log-lines-left-out count={count}"

    def _run(self) -> None:
        while True:
            reported_before = self._reported_dropped
            lines = self._take_lines()
            data = "".join(f"{line}\n" for line in lines).encode(
                errors="backslashreplace"
            )
            lost = self._try_write(data, count=len(lines))
            if lost:
                with self._changed:
                    self.dropped += lost
                    # The report may be among the lost lines.
                    self._reported_dropped = reported_before
                time.sleep(WRITE_RETRY_S)

    def _take_lines(self) -> list[str]:
        """Waits for lines; returns them, the state's first."""
        with self._changed:
            while not (self._has_lines() or self._drop_report_is_due()):
                self._changed.wait(DROP_REPORT_PERIOD_S)
            lines = list(
                chain.from_iterable(reversed(self._lines_by_priority.values()))
            )
            for taken in self._lines_by_priority.values():
                taken.clear()
            lines.extend(self._drop_report())
            self._changed.notify_all()
            return lines

    def _try_write(self, data: bytes, *, count: int) -> int:
        """Writes lines; returns how many of them were lost.

        The thread must go on whatever happens to one write.
        """
        try:
            self._write(data)
        except LinesLostError as error:
            return error.count
        except Exception:
            return count
        return 0


def install_log_buffer(clock: Clock, descriptor: int) -> LogBuffer:
    """Routes all log lines of the process through a buffer.

    Args:
        clock: Monotonic clock.
        descriptor: File descriptor to which the lines are written.
    """
    buffer = LogBuffer(clock=clock, write=LineOutput(descriptor).write)

    def sink(message: object) -> None:
        record = message.record
        line = f"level={record['level'].name} {record['message']}"
        buffer.put(
            line,
            priority=record["extra"].get(PRIORITY_KEY, LinePriority.STATE),
        )

    logger.remove()
    logger.add(sink, format="{message}", level="INFO")
    buffer.start()
    return buffer


class RequestLog:
    """Logs one line for each request, which the time line does not record."""

    def __init__(
        self,
        *,
        process: str,
        clock: Clock,
        state_fields: Callable[[], Mapping[str, object]] = dict,
    ):
        """Creates a log.

        Args:
            process: Name of this process.
            clock: Monotonic and wall clock.
            state_fields: Returns fields that each line has beside its own.
        """
        self._process = process
        self._clock = clock
        self._state_fields = state_fields
        self._low_priority_logger = logger.bind(
            **{PRIORITY_KEY: LinePriority.LOW}
        )
        self._logger = logger.bind(**{PRIORITY_KEY: LinePriority.NORMAL})
        self._refusals = RefusalSummary()

    def log_event(
        self, kind: str, *, low_priority: bool = False, **fields: object
    ) -> None:
        """Logs an event of a request.

        Args:
            kind: Stable name of the kind of event.
            low_priority: Whether the line is among the first to be dropped.
            **fields: Further fields of the line.
        """
        line = self._render(kind, {**fields, **self._state_fields()})
        if low_priority:
            self._low_priority_logger.info("{}", line)
        else:
            self._logger.warning("{}", line)

    def count_refusal(self, reason: str, *, plan: int) -> None:
        """Counts a refusal by the plan; logs a summary when one is due.

        Args:
            reason: Stable reason of the refusal.
            plan: Number of the plan by which it was refused.
        """
        self._refusals.add(reason, plan=plan)
        self.log_refusals()

    def log_refusals(self) -> None:
        """Logs the refusals that were counted, at most once a period."""
        for fields in self._refusals.take_due(self._clock.now()):
            all_fields = {**fields, **self._state_fields()}
            logger.warning("{}", self._render("refusals", all_fields))

    def _render(self, kind: str, fields: Mapping[str, object]) -> str:
        pairs = " ".join(
            f"{k}={quote_value(str(v))}" for k, v in fields.items()
        )
        return (
            f"time_ms={self._clock.wall() * 1000:.0f}"
            f" process={self._process} event={kind} {pairs}"
        )
