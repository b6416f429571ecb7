"""Restarts a daemon's control tasks when they fail.

A failure of one task must not end the process, which continues to serve
requests; the failure is recorded on the time line.
"""

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from kingcupvane.process.timeline import Timeline

RESTART_DELAY_S = 1.0


async def supervise(
    name: str, task: Callable[[], Awaitable[None]], timeline: Timeline
) -> None:
    """Runs a task and restarts it after each failure.

    Args:
        name: Name of the task on the time line.
        task: Runs until it is cancelled or done.
        timeline: Records each failure.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            logger.opt(exception=error).error("event=task-failed task={}", name)
            timeline.record("task-failed", task=name, why=repr(error))
        await trio.sleep(RESTART_DELAY_S)
