"""Tasks that nobody awaits: a fault in one is seen at once, and its work goes on.

What happened: a head's background tasks (discovery, sweeps of clients, credit, rules, agreement) were looked
at only as the head ended. One that failed was gone without a word, for as long as the head served.
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


class Fails:
    """Fails the first calls, then goes on as `then` does."""

    def __init__(self, times: int, then) -> None:
        self.left, self.calls, self.then = times, 0, then

    def __call__(self, *arguments):
        self.calls += 1
        if self.left:
            self.left -= 1
            raise LookupError("unforeseen")
        return self.then(*arguments)


@pytest.fixture
def logged(monkeypatch):
    """What is logged of faults, with restarts that come at once."""
    monkeypatch.setattr(background, "RESTART_PAUSE", timedelta(milliseconds=1))
    records = []
    sink = logger.add(lambda message: records.append(message.record))
    yield lambda: [r["extra"]["task"] for r in records if r["extra"].get("event") == "background.fault"]
    logger.remove(sink)


def test_a_task_that_fails_is_logged_and_started_again_until_it_ends(logged):
    async def story():
        async def work() -> None:
            attempt()

        attempt = Fails(3, lambda: None)
        await keep_running("work", work)
        assert attempt.calls == 4 and logged() == ["work"] * 3

    run(story())


def test_a_task_that_is_cancelled_is_not_started_again(logged):
    async def story():
        task = asyncio.create_task(keep_running("sleep", lambda: asyncio.sleep(3600)))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert logged() == []

    run(story())


@pytest.mark.parametrize(
    ("task", "owner", "name"),
    [
        ("clients", ClientTable, "sweep"),
        ("discovery's watch", Watch, "backoff"),  # called where discovery is not reached, as here
        ("loop monitor", head, "monitor_loop"),
    ],
)
def test_a_head_goes_on_with_what_failed_once(logged, monkeypatch, task, owner, name):
    """Sweeps end idle clients, the list is asked for, lag is measured, after a fault as before."""

    async def story():
        failing = Fails(2, getattr(owner, name))
        monkeypatch.setattr(owner, name, lambda *arguments: failing(*arguments))
        async with started(Node("a", 0)) as (_, session):
            await until(lambda: failing.calls >= 3)
            assert logged().count(task) >= 1
            async with session.get(PATH, headers=HEADERS) as response:
                assert response.status == 200

    run(story())
