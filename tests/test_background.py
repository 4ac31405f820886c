"""Background tasks that nothing awaits: an exception in one is logged at once, and the task is restarted.

A head's background tasks (discovery, sweeps of clients, credit, rules, agreement) used to be awaited only
when the head stopped. One that failed was gone without a log line for as long as the head served.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest
from loguru import logger

from stoatrouter import head
from stoatrouter.net import background
from stoatrouter.net.background import keep_running
from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.discovery import Watch
from tests.peers import Node, run, until
from tests.platform_client import HEADERS, PATH, started


class FailingFunction:
    """Raises on the first calls, then calls `function`."""

    def __init__(self, failures: int, function) -> None:
        self.failures_left = failures
        self.calls = 0
        self.function = function

    def __call__(self, *arguments):
        self.calls += 1
        if self.failures_left:
            self.failures_left -= 1
            raise LookupError("unforeseen")
        return self.function(*arguments)


@pytest.fixture
def logged(monkeypatch):
    """Return the tasks whose faults were logged; failed tasks are restarted almost at once."""
    monkeypatch.setattr(background, "RESTART_PAUSE", timedelta(milliseconds=1))
    records = []
    sink = logger.add(lambda message: records.append(message.record))
    yield lambda: [r["extra"]["task"] for r in records if r["extra"].get("event") == "background.fault"]
    logger.remove(sink)


def test_a_task_that_fails_is_logged_and_started_again_until_it_ends(logged):
    async def scenario():
        async def work() -> None:
            step()

        step = FailingFunction(3, lambda: None)
        await keep_running("work", work)
        assert step.calls == 4 and logged() == ["work"] * 3

    run(scenario())


def test_a_task_that_is_cancelled_is_not_started_again(logged):
    async def scenario():
        task = asyncio.create_task(keep_running("sleep", lambda: asyncio.sleep(3600)))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert logged() == []

    run(scenario())


@pytest.mark.parametrize(
    ("task", "owner", "name"),
    [
        ("clients", ClientTable, "sweep"),
        ("discovery's watch", Watch, "backoff"),  # called because discovery cannot be reached here
        ("loop monitor", head, "monitor_loop"),
    ],
)
def test_a_head_goes_on_with_what_failed_once(logged, monkeypatch, task, owner, name):
    """After a fault, sweeps of clients, the discovery watch and the lag measurement go on."""

    async def scenario():
        failing = FailingFunction(2, getattr(owner, name))
        monkeypatch.setattr(owner, name, lambda *arguments: failing(*arguments))
        async with started(Node("a", 0)) as (_, session):
            await until(lambda: failing.calls >= 3)
            assert logged().count(task) >= 1
            async with session.get(PATH, headers=HEADERS) as response:
                assert response.status == 200

    run(scenario())
