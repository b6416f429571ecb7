"""Tests of the supervisor of control tasks."""

import trio
import trio.testing

from kingcupvane.connection.messages import Stamp
from kingcupvane.process.supervisor import supervise


def test_failed_task_is_recorded_and_restarted(timeline):
    started_at = []

    async def task():
        started_at.append(trio.current_time())
        if len(started_at) < 3:
            raise ValueError("fault")

    async def main():
        await supervise("t", task, timeline)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(started_at) == 3
    kinds = [event.kind for event in timeline.since(Stamp())]
    assert kinds == ["task-failed", "task-failed"]
