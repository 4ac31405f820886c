"""A head that is held up does not blame its nodes for it.

What happened: a loop that stood for longer than a connection may take to open found its timer due and the
connection up in the same step, and gave the connection up. All nodes that were being connected to counted as
not reached at once: after a stall of 0.7 s a head rejected 20 of 24 requests, though each had 1.3 s left.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from stoatrouter.net.dial import open_with_timeout
from tests.peers import Node, run
from tests.platform_client import HEADERS, PATH, started

REQUESTS = 24
WITHIN = 0.01  # seconds


class Opened:
    """Stands for a connection that came up."""

    closed = False

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize("stall", [0.15, 0.7])
def test_requests_whose_dials_are_held_up_are_served(stall):
    """Forced: the loop stands for that long once six connections are being opened."""

    async def story():
        nodes = [Node(f"n{number}", 0) for number in range(4)]
        async with started(*nodes) as (head, session):
            loop, pool = asyncio.get_running_loop(), head.engine.nodes.pool
            create, dials = pool._create_connection, 0

            async def create_slowly(*arguments):
                nonlocal dials
                dials += 1
                if dials == 6:
                    loop.call_soon(loop.call_soon, time.sleep, stall)
                return await create(*arguments)

            pool._create_connection = create_slowly

            async def ask(number: int) -> int:
                async with session.get(PATH, headers=HEADERS | {"Req-Id": f"r{number}"}) as response:
                    return response.status

            assert await asyncio.gather(*(ask(number) for number in range(REQUESTS))) == [200] * REQUESTS
            counts = head.engine.reducer.tally.take()
            assert counts["ok"] == REQUESTS and "connect_failed" not in counts

    run(story())


def test_what_does_not_come_up_in_time_is_given_up():
    async def story():
        forever = asyncio.Event()

        async def opening():
            await forever.wait()
            return Opened()

        with pytest.raises(TimeoutError):
            await open_with_timeout(opening(), WITHIN)
        assert len(asyncio.all_tasks()) <= 2

    run(story())


def test_an_error_of_a_dial_is_its_callers():
    async def story():
        async def opening():
            raise ConnectionRefusedError

        with pytest.raises(ConnectionRefusedError):
            await open_with_timeout(opening(), 60.0)

    run(story())


def test_a_connection_that_comes_up_for_nobody_is_closed():
    """Its caller is cancelled in the step in which it is up."""

    async def story():
        connection, up = Opened(), asyncio.Event()

        async def opening():
            await up.wait()
            return connection

        caller = asyncio.create_task(open_with_timeout(opening(), 60.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        up.set()
        await asyncio.sleep(0)
        caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await caller
        await asyncio.sleep(0)
        assert connection.closed

    run(story())
