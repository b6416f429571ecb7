"""A read that is asked for a second time if its first answer is overdue."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from result import Ok, Result

# Longest part of the wait that one late run of the scheduler can use up, in
# seconds.
STEP_S = 0.1

T = TypeVar("T")
E = TypeVar("E")
Read = Callable[[], Awaitable[Result[T, E]]]


async def first_success(
    read: Read, read_again: Read, *, after_s: float
) -> Result[T, E]:
    """Returns the first success of a read and of its repetition.

    A read that fails before the repetition began isn't repeated.

    Args:
        read: The read.
        read_again: The repetition.
        after_s: Time without an answer after which it is repeated, in seconds.

    Returns:
        The success that came first, else the failure that came last.
    """
    answers: list[Result[T, E]] = []
    first_is_done = trio.Event()

    async def ask(one: Read) -> None:
        answers.append(await one())
        if isinstance(answers[-1], Ok):
            nursery.cancel_scope.cancel()

    async def ask_first() -> None:
        await ask(read)
        first_is_done.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_first)
        if not await _is_set_within(first_is_done, after_s):
            await ask(read_again)
    successes = (answer for answer in answers if isinstance(answer, Ok))
    return next(successes, answers[-1])


async def _is_set_within(event: trio.Event, wait_s: float) -> bool:
    """Waits for an event; returns whether it came.

    It waits in steps, so that a process that was held up itself sees what came
    meanwhile.
    """
    while wait_s > 0 and not event.is_set():
        with trio.move_on_after(min(wait_s, STEP_S)):
            await event.wait()
        wait_s -= STEP_S
    return event.is_set()
