"""Tests of the log buffer under a flood of lines."""

import errno
import os
import sys
import threading
import time

import pytest
from loguru import logger

from kingcupvane.process.log_output import LineOutput, LinesLostError
from kingcupvane.process.logs import (
    DROP_REPORT_PERIOD_S,
    LOW_PRIORITY_BURST_LINES,
    NORMAL_PRIORITY_BURST_LINES,
    LinePriority,
    LogBuffer,
    RequestLog,
    install_log_buffer,
)

FLOOD_LINES = 20_000
STEP_S = 0.001
BOTH = (LinePriority.LOW, LinePriority.NORMAL)
# Longest wait for a line, in seconds.
LINE_TIMEOUT_S = 10.0


@pytest.fixture
def pipe():
    """Yields the reading and the writing end of a non-blocking pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    logger.remove()
    logger.add(sys.stderr)


def read_until(reader, start):
    """Reads lines until one contains a text; returns them."""
    text = b""
    deadline = time.monotonic() + LINE_TIMEOUT_S
    while start.encode() not in text or not text.endswith(b"\n"):
        assert time.monotonic() < deadline, text[-500:]
        try:
            text += os.read(reader, 1 << 16)
        except BlockingIOError:
            time.sleep(0.01)
    return text.decode().splitlines()


def find_count(lines, event):
    """Returns the sum of an event's counts."""
    return sum(
        int(line.rpartition("count=")[2].split()[0])
        for line in lines
        if f"event={event}" in line
    )


def test_put_without_a_reader_never_blocks_and_counts_dropped_lines(clock):
    """Writes to a pipe block once its 64 kB are full; `put` must not block."""
    reader, writer = os.pipe()
    buffer = LogBuffer(
        clock=clock, write=lambda data: os.write(writer, data), lines_max=100
    )
    buffer.start()
    for number in range(FLOOD_LINES):
        buffer.put("x" * 200, priority=BOTH[number % 2])
        clock.advance(STEP_S)
    dropped = buffer.dropped
    assert dropped > 0
    received = []

    def read():
        while True:
            received.append(os.read(reader, 1 << 20))

    def lines_starting_with(start):
        text = b"".join(received).decode()
        return [line for line in text.split("\n") if line.startswith(start)]

    threading.Thread(target=read, daemon=True).start()
    while len(lines_starting_with("x")) < FLOOD_LINES - dropped:
        time.sleep(0.01)
    clock.advance(DROP_REPORT_PERIOD_S)
    buffer.put("later", priority=LinePriority.NORMAL)
    while not lines_starting_with("later"):
        time.sleep(0.01)
    buffer.flush()
    reports = lines_starting_with("level=WARNING event=log-lines-left-out")
    assert sum(int(line.rpartition("=")[2]) for line in reports) == dropped
    assert len(reports) <= FLOOD_LINES * STEP_S / DROP_REPORT_PERIOD_S + 1


def test_normal_priority_lines_displace_low_priority_lines(clock):
    chunks = []
    buffer = LogBuffer(clock=clock, write=chunks.append, lines_max=10)
    for number in range(10):
        buffer.put(f"low-priority {number}", priority=LinePriority.LOW)
    for number in range(10):
        buffer.put(f"normal-priority {number}", priority=LinePriority.NORMAL)
    buffer.start()
    while not chunks:
        time.sleep(0.01)
    text = b"".join(chunks).decode()
    assert text.count("normal-priority") == 10
    assert "low-priority" not in text
    assert "count=10" in text


def test_low_priority_lines_have_a_smaller_burst(clock):
    buffer = LogBuffer(clock=clock, write=len, lines_max=FLOOD_LINES)
    for _ in range(5000):
        buffer.put("low-priority", priority=LinePriority.LOW)
    assert buffer.dropped == 5000 - LOW_PRIORITY_BURST_LINES
    low_priority_dropped = buffer.dropped
    for _ in range(5000):
        buffer.put("normal-priority", priority=LinePriority.NORMAL)
    assert (
        buffer.dropped - low_priority_dropped
        == 5000 - NORMAL_PRIORITY_BURST_LINES
    )


def test_unread_non_blocking_pipe_ends_the_log_for_good(clock, pipe):
    """The writer thread ended with `BlockingIOError`; no line came later."""
    reader, writer = pipe
    buffer = install_log_buffer(clock, writer)
    for number in range(1000):
        logger.bind(priority=LinePriority.NORMAL).info(
            "n={} {}", number, "x" * 300
        )
    time.sleep(0.2)
    logger.info("event=later")
    lines = read_until(reader, "n=999 ")
    assert any("event=later" in line for line in lines)
    numbers = [
        int(line.split("n=")[1].split()[0]) for line in lines if "n=" in line
    ]
    assert numbers == list(range(1000))
    assert buffer.dropped == 0


def test_pipe_that_lost_its_reader_ends_the_log_for_good(clock, pipe):
    """Another reader may open the pipe later, as of a restarted collector."""
    reader, writer = pipe
    os.close(reader)
    buffer = install_log_buffer(clock, writer)
    logger.info("event=lost")
    deadline = time.monotonic() + LINE_TIMEOUT_S
    while not buffer.dropped:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    reader, other_writer = os.pipe()
    os.set_blocking(reader, False)
    os.dup2(other_writer, writer)
    clock.advance(DROP_REPORT_PERIOD_S)
    logger.info("event=later")
    lines = read_until(reader, "event=log-lines-left-out")
    assert any("event=later" in line for line in lines)
    assert find_count(lines, "log-lines-left-out") == buffer.dropped


def test_line_cut_off_by_a_failure_takes_in_the_next_one(monkeypatch):
    written = []
    results = [3, OSError(errno.ENOSPC, "full"), 100]

    def write(_, data):
        result = results.pop(0)
        if isinstance(result, OSError):
            raise result
        written.append(bytes(data[:result]))
        return min(result, len(data))

    monkeypatch.setattr(os, "write", write)
    output = LineOutput(1)
    with pytest.raises(LinesLostError) as caught:
        output.write(b"first\nsecond\n")
    output.write(b"third\n")
    assert caught.value.count == 2
    assert b"".join(written) == b"fir\nthird\n"


def test_burst_of_requests_crowds_out_lines_of_state(clock, pipe):
    """`mirror-state` shared one bucket with the lines of refused requests."""
    reader, writer = pipe
    install_log_buffer(clock, writer)
    log = RequestLog(
        process="g1",
        clock=clock,
        state_fields=lambda: {"plan_age_s": 4.5, "revision": 7},
    )
    for _ in range(FLOOD_LINES):
        log.log_event("request", outcome="unknown-key", plan=88)
        log.count_refusal("unknown-key", plan=88)
    logger.info("event=mirror-state state=behind")
    clock.advance(1.0)
    log.log_refusals()
    lines = read_until(reader, f"count={FLOOD_LINES - 1}")
    assert any("event=mirror-state" in line for line in lines)
    summaries = [line for line in lines if "event=refusals" in line]
    assert len(summaries) == 2
    assert find_count(summaries, "refusals") == FLOOD_LINES
    for line in summaries:
        assert "reason=unknown-key" in line
        assert "plan=88 plan_age_s=4.5 revision=7" in line
