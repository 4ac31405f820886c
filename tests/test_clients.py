"""Stories of bad clients, told over raw sockets: each gets an error or a close, and none costs a good one."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from datetime import timedelta

import pytest

from stoatrouter.head import tightened_busy_limit
from stoatrouter.net import bodies, client_table
from stoatrouter.net.state_format import Holdings
from tests.peers import HOST, Node, run, until
from tests.platform_client import HEADERS, PATH, WRITE, started

HEAD = "\r\n".join(f"{name}: {value}" for name, value in HEADERS.items()) + "\r\n"
GOOD = f"GET {PATH} HTTP/1.1\r\nHost: h\r\n{HEAD}\r\n".encode()
PUT = f"PUT {WRITE} HTTP/1.1\r\nHost: h\r\n{HEAD}"


async def exchange(head, sent: bytes) -> bytes:
    """All that a head says to this until it ends the connection."""
    reader, writer = await asyncio.open_connection(HOST, head.platform.port)
    with contextlib.suppress(ConnectionError):
        writer.write(sent)
        await writer.drain()
    said = await reader.read()
    writer.close()
    return said


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x16\x03\x01 noise\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"p" * 20_000, 400),
        (GOOD[:-2] + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GOOD, 400),
        (GOOD[:-2] + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + GOOD, 400),
        (PUT.encode() + b"Content-Length: -5\r\n\r\n", 400),
        (PUT.encode() + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (PUT.encode() + b"Content-Length: 62914560\r\n\r\n" + b"b" * (8 << 20), 413),
        (PUT.encode() + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (PUT.encode() + b"Content-Length: 5\r\n\r\nabc", 408),
    ],
)
def test_what_cannot_be_read_gets_its_error_and_never_reaches_the_core(monkeypatch, sent, status):
    """Neither a reset over input that was not read, nor one more request out of what is left, nor silence."""
    monkeypatch.setattr(bodies, "BODY_STALL_TIMEOUT", timedelta(milliseconds=100))

    async def story():
        node = Node("a", 0)
        async with started(node) as (head, _):
            said = await exchange(head, sent)
            assert re.findall(rb"HTTP/1\.[01] (\d+) ", said) == [b"%d" % status]
            assert not node.seen and not head.engine.reducer.tally.counts
            await until(lambda: not len(head.clients))

    run(story())


@pytest.mark.parametrize("begun", [b"", GOOD[:40]])
def test_a_client_that_says_nothing_whole_is_left(monkeypatch, begun):
    monkeypatch.setattr(client_table, "IDLE_TIMEOUT", timedelta(milliseconds=50))
    monkeypatch.setattr(client_table, "HEAD_TIMEOUT", timedelta(milliseconds=50))

    async def story():
        async with started(Node("a", 0)) as (head, _):
            assert await exchange(head, begun) == b""

    run(story())


def test_silent_and_idle_connections_make_room_for_those_that_ask():
    async def story():
        node = Node("a", 0)
        async with started(node, sockets=32) as (head, session), contextlib.AsyncExitStack() as stack:
            for i in range(3 * head.clients.max_connections):
                _, writer = await asyncio.open_connection(HOST, head.platform.port)
                stack.callback(writer.close)
                writer.write(GOOD if i % 3 == 0 else b"")
            for name in ("x", "y"):
                async with session.get(PATH, headers=HEADERS | {"Req-Id": name}) as response:
                    assert response.status == 200
            assert len(head.clients) <= head.clients.max_connections + client_table.SPARE_CONNECTIONS

    run(story())


def test_one_that_has_just_come_is_not_ended_for_the_next_while_others_are_idle():
    async def story():
        node = Node("a", 0)
        async with started(node, sockets=64) as (head, _), contextlib.AsyncExitStack() as stack:
            head.clients.max_idle = head.clients.max_connections
            for i in range(head.clients.max_connections):  # asked once, then kept
                reader, writer = await asyncio.open_connection(HOST, head.platform.port)
                stack.callback(writer.close)
                writer.write(GOOD.replace(b"9b1f", b"%04d" % i))
                await reader.readuntil(b"\r\n\r\n")
            fresh = [await asyncio.open_connection(HOST, head.platform.port) for _ in range(10)]
            await until(lambda: len(head.clients.by_state[client_table.State.NEW]) == 10)
            for i, (reader, writer) in enumerate(fresh):
                stack.callback(writer.close)
                writer.write(GOOD.replace(b"9b1f", b"f%03d" % i))
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")

    run(story())


def test_clients_that_ask_once_and_stay_hold_a_few_connections_only():
    """The oldest of those between requests ends at once: all clients together may hold only so many."""

    async def story():
        async with started(Node("a", 0), sockets=64) as (head, session), contextlib.AsyncExitStack() as stack:
            assert head.clients.max_idle == 8
            kept = []
            for i in range(9):
                async with session.get(PATH, headers=HEADERS | {"Req-Id": f"s{i}"}) as response:
                    assert response.status == 200  # one that asks again keeps its connection
                reader, writer = await asyncio.open_connection(HOST, head.platform.port)
                stack.callback(writer.close)
                writer.write(GOOD.replace(b"9b1f", b"%04d" % i))
                await reader.readuntil(b"\r\n\r\n")
                kept.append(reader)
            await until(lambda: len(head.clients) == 9)
            assert kept[0].at_eof() or await kept[0].read() == b""
            assert len(session.connector._conns) == 1 and not kept[-1].at_eof()

    run(story())


def test_connections_that_ask_again_are_not_held_to_that_bound():
    """At a high rate many are between two requests at any moment, and new ones cost a core its time."""

    async def story():
        async with started(Node("a", 0), sockets=64) as (head, _), contextlib.AsyncExitStack() as stack:
            opened = [await asyncio.open_connection(HOST, head.platform.port) for _ in range(20)]
            for i in range(2 * len(opened)):
                reader, writer = opened[i // 2]
                writer.write(GOOD.replace(b"9b1f", b"%04d" % i))
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                stack.callback(writer.close)
            assert len(head.clients.by_state[client_table.State.IDLE]) == 20 > head.clients.max_idle

    run(story())


def test_unreadable_input_ends_a_connection_though_a_request_is_open_on_it():
    async def story():
        node = Node("a", 0, "silent")
        async with started(node) as (head, _):
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            writer.write(GOOD)
            await until(lambda: bool(node.seen))
            writer.write(b"\x00\x01 noise\r\n\r\n")
            assert await reader.read() == b""
            writer.close()
            await until(lambda: not head.engine.reducer.open)
            # in one piece, the readable part does not pass either: its length may be wrong
            assert b" 400 " in await exchange(head, GOOD + b"\x00\x01 noise\r\n\r\n") and len(node.seen) == 1

    run(story())


def test_pipelined_requests_are_answered_in_turn():
    async def story():
        node = Node("a", 0)
        async with started(node) as (head, _):
            last = GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n").replace(b"9b1f", b"0000")
            assert (await exchange(head, GOOD + last)).count(b"HTTP/1.1 200 ") == 2
            assert len(node.seen) == 2

    run(story())


def test_a_client_that_takes_nothing_of_its_answer_is_left(monkeypatch):
    monkeypatch.setattr(client_table, "WRITE_STALL_TIMEOUT", timedelta(milliseconds=50))

    async def story():
        node = Node("a", 0)
        node.pieces[PATH.split("/", 2)[2]] = b"b" * 1_000_000
        async with started(node) as (head, _):
            connection = socket.create_connection((HOST, head.platform.port))
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            connection.sendall(b"".join(GOOD.replace(b"9b1f", b"%04d" % i) for i in range(30)))
            await until(lambda: head.clients.open == 1)
            await until(lambda: not len(head.clients))
            connection.close()

    run(story())


@pytest.mark.parametrize(
    ("sent", "plain"),
    [
        (GOOD, True),
        (PUT.encode() + b"content-LENGTH: 4\r\n\r\nbody", True),
        (PUT.encode() + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", False),
        (PUT.encode() + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", False),
        (GOOD.replace(b"Host: h", b"Host: h\r\nConnection: keep-alive"), False),
    ],
)
def test_a_crowded_head_refuses_plain_requests_as_they_come(sent, plain):
    """Cheaply, counted, and on a connection that goes on; what is unusual takes the ordinary way."""

    async def story():
        node = Node("a", 0)
        async with started(node) as (head, _):
            head.clients.max_busy = 0
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            for shed in (1, 2) if plain else (1,):
                writer.write(sent)
                said = await reader.readuntil(b"\r\n\r\n")
                assert said.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 0.500\r\n" in said
                assert sum(head.engine.reducer.counters.shed) == shed
                assert (b"Date" in said) is not plain
            if plain:  # and once there is room, it is heard
                head.clients.max_busy = 8
                writer.write(sent)
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert len(node.seen) == int(plain)
            writer.close()

    run(story())


@pytest.mark.parametrize(
    "sent",
    [
        GOOD[:60],
        GOOD + b"more",
        GOOD.replace(b"score-read", b"unknown"),
        PUT.encode() + b"Content-Length: 5\r\n\r\nbody",
    ],
)
def test_what_is_not_one_whole_request_is_never_refused_so(sent):
    async def story():
        async with started(Node("a", 0)) as (head, _):
            assert head.platform.server.refuse(sent) is None

    run(story())


def test_a_head_that_sends_clients_away_ends_the_connections_it_refuses_on():
    async def story():
        async with started(Node("a", 0)) as (head, _):
            head.clients.max_busy, head.drain.out = 0, True
            said = await exchange(head, GOOD)
            assert b"Connection: close\r\n" in said and said.startswith(b"HTTP/1.1 503 ")

    run(story())


@pytest.mark.parametrize(
    ("sockets", "most"), [(1024, 136), (384, 51), (256, 48), (192, 48), (128, 32), (1, 1)]
)
def test_how_many_may_be_open_while_time_is_short_follows_what_clients_may_hold(sockets, most):
    assert tightened_busy_limit(sockets) == most


def test_fewer_may_be_open_while_the_loop_is_late_or_a_new_process_takes_over():
    async def story():
        async with started(Node("a", 0)) as (head, _):
            table = head.clients
            assert table.busy_limit() == table.max_busy > table.max_busy_tightened
            head.handover.apply_holdings(Holdings(busy=7))
            assert table.busy_limit() == table.max_busy_tightened - 7
            head.handover.apply_holdings(Holdings())
            table.tightened_until = 0.0
            assert table.busy_limit() == table.max_busy
            table.tighten_busy_limit(timedelta(seconds=60))
            assert table.busy_limit() == table.max_busy_tightened

    run(story())
