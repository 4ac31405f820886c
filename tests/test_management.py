"""Tests of the management API, over loopback."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from stoatrouter.management.calls import MAX_CALLERS
from stoatrouter.net import listener
from tests.peers import HOST, Node, run, until
from tests.platform_client import HEADERS, PATH, WRITE, started

READY = "/control/ready"


async def call(head, method: str, path: str) -> tuple[int, str]:
    """Make a call on a connection of its own; return the status and the body."""
    reader, writer = await asyncio.open_connection(HOST, head.management.port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode())
    answer = (await reader.read()).decode()
    writer.close()
    return int(answer.split()[1]), answer.partition("\r\n\r\n")[2]


def started_with_management(*nodes: Node, **conf):
    return started(*nodes, management=f"{HOST}:0", **conf)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", READY, 200),
        ("POST", READY, 405),
        ("GET", "/control/out-of-service", 405),
        ("GET", "/control", 404),
        ("GET", "/healthz", 404),
        ("POST", "/control/ready/", 404),
    ],
)
def test_calls_are_looked_up_by_path_and_method(method, path, status):
    async def scenario():
        async with started_with_management(Node("a", 0)) as (head, _):
            assert (await call(head, method, path))[0] == status

    run(scenario())


def test_ready_is_yes_only_while_the_head_serves():
    async def scenario():
        async with started_with_management(Node("a", 0)) as (head, _):
            head.serving = False
            assert (await call(head, "GET", READY))[0] == 503

    run(scenario())


def test_callers_that_finish_no_call_do_not_keep_out_one_that_does():
    async def scenario():
        async with started_with_management(Node("a", 0)) as (head, _), contextlib.AsyncExitStack() as stack:
            for i in range(3 * MAX_CALLERS):
                _, writer = await asyncio.open_connection(HOST, head.management.port)
                stack.callback(writer.close)
                writer.write(b"GET /control/re" if i % 2 else b"")
            assert (await call(head, "GET", READY))[0] == 200
            assert len(head.management_clients) <= MAX_CALLERS + 8

    run(scenario())


def test_a_drained_head_says_so_and_sends_its_clients_away(monkeypatch):
    """Answers close their connections, idle ones are closed later; requests that arrive are still served."""

    async def scenario():
        node = Node("a", 0)
        async with started_with_management(node) as (head, session):
            idle, writer = await asyncio.open_connection(HOST, head.platform.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            await idle.readuntil(b"ok\n")
            for _ in range(2):  # the call is idempotent
                assert (await call(head, "POST", "/control/out-of-service"))[0] == 200
            async with session.get("/healthz") as response:
                assert response.status == 503
            async with session.get(PATH, headers=HEADERS) as response:
                assert response.status == 200 and response.headers["Connection"] == "close"
            assert (await call(head, "GET", READY))[0] == 200  # the process is able to serve
            assert await idle.read() == b""
            writer.close()
            for _ in range(2):
                assert (await call(head, "POST", "/control/in-service"))[0] == 200
            async with session.get(PATH, headers=HEADERS | {"Req-Id": "next"}) as response:
                assert response.status == 200 and "Connection" not in response.headers
            async with session.get("/healthz") as response:
                assert response.status == 200
            await until(lambda: head.clients.open == 0)

    monkeypatch.setattr(listener, "CLOSE_IDLE_DELAY", listener.RESEND_WINDOW)
    run(scenario())


def test_a_brick_is_left_out_and_put_back():
    async def scenario():
        node = Node("a", 0)
        async with started_with_management(node) as (head, session):
            assert (await call(head, "POST", "/control/bricks/b/offline"))[0] == 404
            assert (await call(head, "POST", "/control/bricks//offline"))[0] == 404
            assert (await call(head, "GET", "/control/bricks/a/offline"))[0] == 405
            assert (await call(head, "POST", "/control/bricks/%61/offline"))[0] == 200
            assert list(head.engine.reducer.administrative_state.out) == ["a"]
            assert (await call(head, "POST", "/control/bricks/a/online"))[0] == 200
            async with session.get(PATH, headers=HEADERS) as response:
                assert response.status == 200

    run(scenario())


def read_counters(text: str) -> dict[str, int]:
    """Parse lines of `name:value|type`."""
    pairs = (line.partition("|")[0].rpartition(":") for line in text.splitlines())
    return {name: int(value) for name, _, value in pairs}


def test_connections_to_nodes_are_counted_apart_from_the_requests():
    async def scenario():
        async with started_with_management(Node("a", 0)) as (head, session):
            start = read_counters((await call(head, "GET", "/control/connections"))[1])
            assert start == dict.fromkeys(start, 0) and len(start) == 9
            async with session.get(PATH, headers=HEADERS) as response:
                assert response.status == 200
            counters = read_counters((await call(head, "GET", "/control/connections"))[1])
            assert {name: count for name, count in counters.items() if count} == {
                "connections.dials": 1,
                "connections.open": 1,
            }

    run(scenario())


def test_the_figures_are_there_from_the_start_and_count_each_request_once():
    async def scenario():
        node = Node("a", 0, "serve", "error", "error", "error", "error", "decline")
        async with started_with_management(node) as (head, session):
            _, text = await call(head, "GET", "/control/counters")
            assert "app.responses.score-read.ok:0|c" in text.splitlines()
            assert "app.active:0|g" in text.splitlines() and "app.pool_size:1|g" in text.splitlines()
            start = read_counters(text)
            assert len(start) == 3 * 3 + 4 and sum(start.values()) == 1  # the listed node
            may_answer = asyncio.Event()

            async def wait(_):
                await may_answer.wait()

            node.gate = wait
            pending_response = asyncio.create_task(session.get(PATH, headers=HEADERS))
            await until(lambda: bool(node.seen))
            counters = read_counters((await call(head, "GET", "/control/counters"))[1])
            assert (counters["app.active"], counters["app.tries"]) == (1, 1)
            async with session.get(PATH, headers=HEADERS) as response:  # the id of an open request
                assert response.status == 502
            may_answer.set()
            async with await pending_response as response:
                assert response.status == 200
            async with session.put(WRITE, headers=HEADERS | {"Req-Id": "w"}, data=b"x") as response:
                assert response.status == 502  # a write that may have run
            assert (await call(head, "POST", "/control/bricks/a/offline"))[0] == 200
            end = read_counters((await call(head, "GET", "/control/counters"))[1])
            assert {name: count for name, count in end.items() if count} == {
                "app.responses.score-read.ok": 1,
                "app.responses.score-read.errors": 1,
                "app.responses.event-write.errors": 1,
                "app.tries": len(node.seen),
                "app.pool_size": 1,
                "app.pool_ejected": 1,
            }

    run(scenario())
