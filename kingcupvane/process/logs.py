"""Structured logs that never block the process.

A thread writes the lines of a bounded buffer. When lines arrive faster than
they are written, those of low priority are dropped first; a separate line
reports how many were dropped.
"""

import os
import threading
from collections import deque
from collections.abc import Callable, Iterator, Mapping

from loguru import logger

from kingcupvane.clock import Clock
from kingcupvane.process.timeline import quote_value
from kingcupvane.request.token_bucket import TokenBucket

# Largest number of buffered lines.
BUFFERED_LINES_MAX = 4000
# Token buckets by priority: sustained rate in lines per second, and burst.
LOW_PRIORITY_LINES_PER_S = 60.0
LOW_PRIORITY_BURST_LINES = 200.0
NORMAL_PRIORITY_LINES_PER_S = 400.0
NORMAL_PRIORITY_BURST_LINES = 2000.0
# Least time between two reports of dropped lines, in seconds.
DROP_REPORT_PERIOD_S = 1.0
# Longest wait for the buffer to empty when the process ends, in seconds.
FLUSH_TIMEOUT_S = 0.2
# Key of the low-priority flag in the extra fields of a log record.
LOW_PRIORITY_KEY = "low_priority"


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
            write: Writes bytes; may block.
            lines_max: Largest number of buffered lines.
        """
        self._clock = clock
        self._write = write
        self._lines_max = lines_max
        self._normal_priority_lines: deque[str] = deque()
        self._low_priority_lines: deque[str] = deque()
        self._changed = threading.Condition()
        self._reported_dropped = 0
        self._reported_at = float("-inf")
        self.dropped = 0
        now = clock.now()
        self._buckets = {}
        for low_priority, rate, burst in (
            (True, LOW_PRIORITY_LINES_PER_S, LOW_PRIORITY_BURST_LINES),
            (False, NORMAL_PRIORITY_LINES_PER_S, NORMAL_PRIORITY_BURST_LINES),
        ):
            # A new bucket is empty; starting earlier by its fill time fills it.
            bucket = TokenBucket(now=now - burst / rate)
            bucket.resize(rate=rate, burst=burst, now=now - burst / rate)
            self._buckets[low_priority] = bucket

    def put(self, line: str, *, low_priority: bool) -> None:
        """Buffers a line; never waits for output.

        Drops and counts the line if its priority's rate is exceeded. In a full
        buffer it drops the oldest line of low priority instead, or this one if
        it is of low priority itself or none of low priority is left.
        """
        now = self._clock.now()
        with self._changed:
            if not self._buckets[low_priority].try_acquire(now):
                self.dropped += 1
                return
            if (
                len(self._normal_priority_lines) + len(self._low_priority_lines)
                >= self._lines_max
            ):
                self.dropped += 1
                if low_priority or not self._low_priority_lines:
                    return
                self._low_priority_lines.popleft()
            lines = (
                self._low_priority_lines
                if low_priority
                else self._normal_priority_lines
            )
            lines.append(line)
            self._changed.notify()

    def start(self) -> None:
        """Starts the thread that writes the lines."""
        thread = threading.Thread(target=self._run, daemon=True, name="logs")
        thread.start()

    def flush(self) -> None:
        """Waits until the writer thread has taken all lines, or a timeout."""
        deadline = self._clock.now() + FLUSH_TIMEOUT_S
        with self._changed:
            while self._normal_priority_lines or self._low_priority_lines:
                left_s = deadline - self._clock.now()
                if left_s <= 0 or not self._changed.wait(left_s):
                    return

    def _drop_report(self) -> Iterator[str]:
        """Yields a report of newly dropped lines, at most one per period."""
        now = self._clock.now()
        count = self.dropped - self._reported_dropped
        if not count or now - self._reported_at < DROP_REPORT_PERIOD_S:
            return
        self._reported_dropped = self.dropped
        self._reported_at = now
        yield f"level=WARNING event=log-lines-left-out count={count}"

    def _run(self) -> None:
        while True:
            with self._changed:
                while not (
                    self._normal_priority_lines or self._low_priority_lines
                ):
                    self._changed.wait()
                lines = [
                    *self._normal_priority_lines,
                    *self._low_priority_lines,
                ]
                self._normal_priority_lines.clear()
                self._low_priority_lines.clear()
                lines.extend(self._drop_report())
                self._changed.notify_all()
            self._write("".join(f"{line}\n" for line in lines).encode())


def install_log_buffer(clock: Clock, descriptor: int) -> LogBuffer:
    """Routes all log lines of the process through a buffer.

    Args:
        clock: Monotonic clock.
        descriptor: File descriptor to which the lines are written.
    """
    buffer = LogBuffer(
        clock=clock, write=lambda data: os.write(descriptor, data)
    )

    def sink(message: object) -> None:
        record = message.record
        line = f"level={record['level'].name} {record['message']}"
        buffer.put(
            line, low_priority=record["extra"].get(LOW_PRIORITY_KEY, False)
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
            clock: Wall clock.
            state_fields: Returns fields that each line has beside its own.
        """
        self._process = process
        self._clock = clock
        self._state_fields = state_fields
        self._low_priority_logger = logger.bind(**{LOW_PRIORITY_KEY: True})

    def log_event(
        self, kind: str, *, low_priority: bool = False, **fields: object
    ) -> None:
        """Logs an event of a request.

        Args:
            kind: Stable name of the kind of event.
            low_priority: Whether the line is among the first to be dropped.
            **fields: Further fields of the line.
        """
        all_fields = {**fields, **self._state_fields()}
        pairs = " ".join(
            f"{k}={quote_value(str(v))}" for k, v in all_fields.items()
        )
        line = (
            f"time_ms={self._clock.wall() * 1000:.0f}"
            f" process={self._process} event={kind} {pairs}"
        )
        if low_priority:
            self._low_priority_logger.info("{}", line)
        else:
            logger.warning("{}", line)
