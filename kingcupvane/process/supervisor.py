"""Keeps a daemon's control tasks running.

A fault in one task must not end the process: it goes on carrying requests,
and the fault stands on the time line.
"""

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from kingcupvane.process.timeline import Timeline

RESTART_DELAY_S = 1.0


async def supervise(
    name: str, task: Callable[[], Awaitable[None]], timeline: Timeline
) -> None:
    """Runs a task, and runs it again when it fails.

    Args:
        name: Name of the task on the time line.
        task: Runs until cancelled.
        timeline: Gets each failure.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            logger.opt(exception=error).error("event=task-failed task={}", name)
            timeline.record("task-failed", task=name, why=repr(error))
        await trio.sleep(RESTART_DELAY_S)
