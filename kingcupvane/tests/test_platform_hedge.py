"""Tests of a read that is repeated if its answer is overdue."""

import time

import trio
import trio.testing
from result import Err, Ok

from kingcupvane.platform.hedge import first_success

AFTER_S = 1.0


def play(first, second):
    """Returns the answer, the time it took and the number of reads.

    Args:
        first: Duration and answer of the read.
        second: The same of its repetition.
    """
    reads = []

    def scripted(script):
        async def read():
            reads.append(script)
            await trio.sleep(script[0])
            return script[1]

        return read

    async def main():
        answer = await first_success(
            scripted(first), scripted(second), after_s=AFTER_S
        )
        return answer, round(trio.current_time() - began_at, 3), len(reads)

    clock = trio.testing.MockClock(autojump_threshold=0)
    began_at = clock.current_time()
    return trio.run(main, clock=clock)


def test_read_that_is_answered_in_time_is_not_repeated():
    assert play((0.9, Ok(1)), (0.1, Ok(2))) == (Ok(1), 0.9, 1)


def test_read_that_fails_in_time_is_not_repeated():
    assert play((0.5, Err("a")), (0.1, Ok(2))) == (Err("a"), 0.5, 1)


def test_first_success_counts_whichever_read_it_is_of():
    assert play((9.0, Ok(1)), (0.1, Ok(2))) == (Ok(2), 1.1, 2)
    assert play((1.2, Ok(1)), (0.5, Ok(2))) == (Ok(1), 1.2, 2)


def test_success_counts_after_a_failure_of_the_other_read():
    assert play((2.0, Ok(1)), (0.1, Err("b"))) == (Ok(1), 2.0, 2)
    assert play((1.1, Err("a")), (0.8, Ok(2))) == (Ok(2), 1.8, 2)


def test_last_failure_is_returned_if_both_fail():
    assert play((1.5, Err("a")), (1.0, Err("b"))) == (Err("b"), 2.0, 2)


def test_answer_that_came_while_the_process_was_held_up_is_not_asked_again():
    """Watches were repeated on a busy machine though the store had answered."""
    repetitions = []

    async def read():
        return await trio.to_thread.run_sync(answer_after_a_moment)

    async def read_again():
        repetitions.append(1)
        return Ok(2)

    async def hold_up():
        await trio.sleep(0.05)
        time.sleep(0.6)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_up)
            return await first_success(read, read_again, after_s=0.3)

    assert trio.run(main) == Ok(1)
    assert not repetitions


def answer_after_a_moment():
    time.sleep(0.2)
    return Ok(1)
