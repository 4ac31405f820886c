"""Tests that a test's wait ends with the error of a task that it depends on."""

from __future__ import annotations

import asyncio

import pytest

from tests.peers import run, until


async def fail() -> None:
    await asyncio.sleep(0)
    raise LookupError("seen")


def test_a_task_that_nobody_awaits_ends_the_wait_with_its_error():
    """Guards against waiting for something that can no longer happen."""

    async def scenario():
        _failing_task = asyncio.create_task(fail())
        await until(lambda: False)

    with pytest.raises(LookupError, match="seen"):
        run(scenario(), 5.0)


def test_an_error_that_the_story_has_had_ends_no_later_wait():
    async def scenario():
        failing_task = asyncio.create_task(fail())
        with pytest.raises(LookupError):
            await failing_task
        checks = iter(range(3))
        await until(lambda: next(checks) == 2)

    run(scenario(), 5.0)
