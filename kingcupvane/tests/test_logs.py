"""Tests of the log buffer under a flood of lines."""

import os
import threading
import time

from kingcupvane.process.logs import (
    DROP_REPORT_PERIOD_S,
    LOW_PRIORITY_BURST_LINES,
    NORMAL_PRIORITY_BURST_LINES,
    LogBuffer,
)

FLOOD_LINES = 20_000
STEP_S = 0.001


def test_put_without_a_reader_never_blocks_and_counts_dropped_lines(clock):
    """Writes to a pipe block once its 64 kB are full; `put` must not block."""
    reader, writer = os.pipe()
    buffer = LogBuffer(
        clock=clock, write=lambda data: os.write(writer, data), lines_max=100
    )
    buffer.start()
    for number in range(FLOOD_LINES):
        buffer.put("x" * 200, low_priority=number % 2 == 0)
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
    buffer.put("later", low_priority=False)
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
        buffer.put(f"low-priority {number}", low_priority=True)
    for number in range(10):
        buffer.put(f"normal-priority {number}", low_priority=False)
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
        buffer.put("low-priority", low_priority=True)
    assert buffer.dropped == 5000 - LOW_PRIORITY_BURST_LINES
    low_priority_dropped = buffer.dropped
    for _ in range(5000):
        buffer.put("normal-priority", low_priority=False)
    assert (
        buffer.dropped - low_priority_dropped
        == 5000 - NORMAL_PRIORITY_BURST_LINES
    )
