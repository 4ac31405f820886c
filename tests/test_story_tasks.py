"""A story's wait ends with the error of what it waits for."""

from __future__ import annotations

import asyncio

import pytest

from tests.peers import run, until


async def fail() -> None:
    await asyncio.sleep(0)
    raise LookupError("seen")


def test_a_task_that_nobody_awaits_ends_the_wait_with_its_error():
    """Guards a story against waiting for what can no longer come."""

    async def story():
        _failing = asyncio.create_task(fail())
        await until(lambda: False)

    with pytest.raises(LookupError, match="seen"):
        run(story(), 5.0)


def test_an_error_that_the_story_has_had_ends_no_later_wait():
    async def story():
        failing = asyncio.create_task(fail())
        with pytest.raises(LookupError):
            await failing
        turns = iter(range(3))
        await until(lambda: next(turns) == 2)

    run(story(), 5.0)
