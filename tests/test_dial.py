"""A head whose event loop stalls does not count the delay as a failure of its nodes.

After a stall longer than the connect timeout, the loop finds the timer due and the connection open in the
same iteration. It used to abandon the connection then, and all nodes being dialled counted as unreachable:
after a stall of 0.7 s a head rejected 20 of 24 requests, though each had 1.3 s left.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from stoatrouter.net.dial import open_with_timeout
from tests.peers import Node, run
from tests.platform_client import HEADERS, PATH, started

REQUESTS = 24
CONNECT_TIMEOUT = 0.01  # seconds


class OpenConnection:
    """A stand-in for a connection that has been established."""

    closed = False

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize("stall", [0.15, 0.7])
def test_requests_whose_dials_are_held_up_are_served(stall):
    """The loop is blocked for that long while six connections are being opened."""

    async def scenario():
        nodes = [Node(f"n{number}", 0) for number in range(4)]
        async with started(*nodes) as (head, session):
            loop = asyncio.get_running_loop()
            pool = head.engine.nodes.pool
            create = pool._create_connection
            dials = 0

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

    run(scenario())


def test_what_does_not_come_up_in_time_is_given_up():
    async def scenario():
        forever = asyncio.Event()

        async def opening():
            await forever.wait()
            return OpenConnection()

        with pytest.raises(TimeoutError):
            await open_with_timeout(opening(), CONNECT_TIMEOUT)
        assert len(asyncio.all_tasks()) <= 2

    run(scenario())


def test_an_error_of_a_dial_is_its_callers():
    async def scenario():
        async def opening():
            raise ConnectionRefusedError

        with pytest.raises(ConnectionRefusedError):
            await open_with_timeout(opening(), 60.0)

    run(scenario())


def test_a_connection_that_comes_up_for_nobody_is_closed():
    """The caller is cancelled in the loop iteration in which the connection is established."""

    async def scenario():
        connection = OpenConnection()
        established = asyncio.Event()

        async def opening():
            await established.wait()
            return connection

        caller = asyncio.create_task(open_with_timeout(opening(), 60.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        established.set()
        await asyncio.sleep(0)
        caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await caller
        await asyncio.sleep(0)
        assert connection.closed

    run(scenario())
