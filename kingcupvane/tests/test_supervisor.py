"""Tests of the supervisor of control tasks."""

import trio
import trio.testing

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.supervisor import supervise


def test_failed_task_is_recorded_and_run_again(timeline):
    runs = []

    async def task():
        runs.append(trio.current_time())
        if len(runs) < 3:
            raise ValueError("fault")

    async def main():
        await supervise("t", task, timeline)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(runs) == 3
    kinds = [event.kind for event in timeline.since(Stamp())]
    assert kinds == ["task-failed", "task-failed"]
