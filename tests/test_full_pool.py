"""A connection pool at its bound: requests wait for a resting connection instead of replacing it.

Guards against churn: at the bound nearly every request closed the connection that it could have used a moment
later and opened a new one, which costs the node far more.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter.net import reuse_delays
from stoatrouter.net.answer_identity import MIN_DISTINCT_IN_A_ROW, RequestKind
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.pool_waiters import PoolWaiters
from stoatrouter.policy.interface import Outcome
from tests.peers import HOST, run, until
from tests.platform_client import attempt

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored"
NEVER_REUSED = timedelta(hours=1)


class CountingNode:
    """Answers all requests alike, or each with its id, and counts its connections."""

    def __init__(self, names: bool = False) -> None:
        self.names = names
        self.connections = 0
        self.ended = 0
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.003)
                name = head.split(b"Req-Id: ")[1].split(b"\r\n")[0][:6].rjust(6)
                writer.write(ANSWER[:-6] + name if self.names else ANSWER)
        self.ended += 1
        writer.close()


@contextlib.asynccontextmanager
async def pool_of(max_connections: int, *nodes: CountingNode) -> AsyncIterator[NodeClient]:
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            server = await stack.enter_async_context(await asyncio.start_server(node.serve, HOST, 0))
            host, port = server.sockets[0].getsockname()
            node.address = f"{host}:{port}"
        client = NodeClient(timedelta(seconds=5), timedelta(seconds=30), max_connections)
        yield client
        await client.close()


async def ask(client: NodeClient, node: CountingNode, name: str, within: float = 20.0) -> Outcome:
    effect = attempt(node.address, timeout=timedelta(seconds=within))
    return (await client.attempt(replace(effect, request=replace(effect.request, id=name)))).outcome


@pytest.mark.parametrize("names", [False, True])
@pytest.mark.parametrize(("callers", "max_connections"), [(1, 1), (16, 8), (16, 1)])
def test_callers_of_a_full_pool_share_the_connections_that_it_has(
    monkeypatch, names, callers, max_connections
):
    """Guards against churn: 16 callers of a pool of 8 opened 1,539 connections for 1,600 requests."""
    monkeypatch.setattr(reuse_delays, "REUSE_DELAY", timedelta(milliseconds=5))

    async def caller(client: NodeClient, node: CountingNode, number: int) -> None:
        for turn in range(10):
            assert await ask(client, node, f"{number:03}{turn:03}") is Outcome.OK

    async def scenario():
        node = CountingNode(names)
        async with pool_of(max_connections, node) as client:
            await asyncio.gather(*(caller(client, node, number) for number in range(callers)))
            assert node.connections <= max_connections and not node.ended
            counters = client.pool.counters
            assert (counters.dials, counters.ended_for_room) == (node.connections, 0)
            assert counters.reuses + counters.dials == 10 * callers
            assert names or counters.waits_for_rest

    run(scenario())


def test_a_connection_of_another_node_makes_room_where_this_one_has_none(monkeypatch):
    monkeypatch.setattr(reuse_delays, "REUSE_DELAY", NEVER_REUSED)

    async def scenario():
        nodes = [CountingNode() for _ in range(3)]
        async with pool_of(2, *nodes) as client:
            for node in nodes:
                assert await ask(client, node, "name") is Outcome.OK
            await until(lambda: nodes[0].ended == 1)
            assert [node.connections for node in nodes] == [1, 1, 1] and not nodes[1].ended
            assert client.pool.counters.ended_for_room == 1

    run(scenario())


def test_a_connection_that_may_be_used_costs_none_at_the_bound():
    """Guards idle connections: one was closed before it was known whether room was needed."""

    async def scenario():
        nodes = [CountingNode(names=True) for _ in range(2)]
        async with pool_of(2, *nodes) as client:
            for number in range(MIN_DISTINCT_IN_A_ROW):
                client.pool.fingerprints.record(number, RequestKind.READ)
            for number in range(6):
                assert await ask(client, nodes[number % 2], f"name{number}") is Outcome.OK
            assert [(node.connections, node.ended) for node in nodes] == [(1, 0), (1, 0)]
            assert client.pool.counters.reuses == 4

    run(scenario())


def test_a_wait_for_rest_ends_with_the_time_of_its_request_and_leaves_nothing(monkeypatch):
    monkeypatch.setattr(reuse_delays, "REUSE_DELAY", NEVER_REUSED)

    async def scenario():
        node = CountingNode()
        async with pool_of(1, node) as client:
            assert await ask(client, node, "first") is Outcome.OK
            assert await ask(client, node, "second", within=0.05) is Outcome.TIMEOUT
            assert not len(client.pool._pool_waiters) and node.connections == 1

    run(scenario())


def test_a_connection_that_is_released_ends_the_wait_for_one_that_rests(monkeypatch):
    """A request that waits for one connection's rest takes another one as soon as it may be used."""

    async def scenario():
        node = CountingNode(names=True)
        async with pool_of(2, node) as client:
            monkeypatch.setattr(reuse_delays, "REUSE_DELAY", NEVER_REUSED)
            assert await ask(client, node, "rests") is Outcome.OK
            for number in range(MIN_DISTINCT_IN_A_ROW):
                client.pool.fingerprints.record(number, RequestKind.READ)
            outcomes = await asyncio.gather(*(ask(client, node, f"name{number}") for number in range(8)))
            assert set(outcomes) == {Outcome.OK} and node.connections == 2
            assert client.pool.counters.waits_for_rest

    run(scenario())


def test_room_goes_to_who_has_no_connection_to_wait_for():
    """Guards requests whose node has no connection: one that waited for a rest took their wake unused."""

    async def scenario():
        waiters = PoolWaiters()
        woken = []

        async def wait(node: str, max_seconds: float | None) -> None:
            await waiters.wait(node, max_seconds)
            woken.append(node)

        waits = (("a", 60.0), ("b", None), ("c", None), ("d", None))  # node and seconds at most
        tasks = [asyncio.create_task(wait(*arguments)) for arguments in waits]
        await until(lambda: len(waiters) == 4)
        waiters.wake("another")
        await until(lambda: woken == ["b"])
        waiters.wake("a")
        await until(lambda: woken == ["b", "a"])
        waiters.wake("c")
        tasks[2].cancel()  # woken but not yet run: its wake passes to the next waiter
        await until(lambda: woken == ["b", "a", "d"])
        assert not len(waiters)

    run(scenario())
