"""Misbehaving clients over raw sockets: each gets an error or is disconnected, and good clients go on."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from datetime import timedelta

import pytest

from stoatrouter.head import tightened_busy_limit
from stoatrouter.net import bodies, client_table
from stoatrouter.net.state_format import OpenResources
from tests.peers import HOST, Node, run, until
from tests.platform_client import HEADERS, PATH, WRITE, started

HEAD = "\r\n".join(f"{name}: {value}" for name, value in HEADERS.items()) + "\r\n"
GOOD = f"GET {PATH} HTTP/1.1\r\nHost: h\r\n{HEAD}\r\n".encode()
PUT = f"PUT {WRITE} HTTP/1.1\r\nHost: h\r\n{HEAD}"


async def exchange(head, sent: bytes) -> bytes:
    """Send bytes to a head and return all that it answers until it closes the connection."""
    reader, writer = await asyncio.open_connection(HOST, head.platform.port)
    with contextlib.suppress(ConnectionError):
        writer.write(sent)
        await writer.drain()
    answer = await reader.read()
    writer.close()
    return answer


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
    """No reset over unread input loses the answer, and the rest of the input is not taken for a request."""
    monkeypatch.setattr(bodies, "BODY_STALL_TIMEOUT", timedelta(milliseconds=100))

    async def scenario():
        node = Node("a", 0)
        async with started(node) as (head, _):
            answer = await exchange(head, sent)
            assert re.findall(rb"HTTP/1\.[01] (\d+) ", answer) == [b"%d" % status]
            assert not node.seen and not head.engine.reducer.tally.counts
            await until(lambda: not len(head.clients))

    run(scenario())


@pytest.mark.parametrize("begun", [b"", GOOD[:40]])
def test_a_client_that_says_nothing_whole_is_left(monkeypatch, begun):
    monkeypatch.setattr(client_table, "IDLE_TIMEOUT", timedelta(milliseconds=50))
    monkeypatch.setattr(client_table, "HEAD_TIMEOUT", timedelta(milliseconds=50))

    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            assert await exchange(head, begun) == b""

    run(scenario())


def test_silent_and_idle_connections_make_room_for_those_that_ask():
    async def scenario():
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

    run(scenario())


def test_one_that_has_just_come_is_not_ended_for_the_next_while_others_are_idle():
    async def scenario():
        node = Node("a", 0)
        async with started(node, sockets=64) as (head, _), contextlib.AsyncExitStack() as stack:
            head.clients.max_idle = head.clients.max_connections
            for i in range(head.clients.max_connections):  # each sends one request and stays connected
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

    run(scenario())


def test_clients_that_ask_once_and_stay_hold_a_few_connections_only():
    """The oldest idle connection is closed at once when there are more than `max_idle`."""

    async def scenario():
        async with started(Node("a", 0), sockets=64) as (head, session), contextlib.AsyncExitStack() as stack:
            assert head.clients.max_idle == 8
            readers = []
            for i in range(9):
                async with session.get(PATH, headers=HEADERS | {"Req-Id": f"s{i}"}) as response:
                    assert response.status == 200  # a client that sends another request keeps its connection
                reader, writer = await asyncio.open_connection(HOST, head.platform.port)
                stack.callback(writer.close)
                writer.write(GOOD.replace(b"9b1f", b"%04d" % i))
                await reader.readuntil(b"\r\n\r\n")
                readers.append(reader)
            await until(lambda: len(head.clients) == 9)
            assert readers[0].at_eof() or await readers[0].read() == b""
            assert len(session.connector._conns) == 1 and not readers[-1].at_eof()

    run(scenario())


def test_connections_that_ask_again_are_not_held_to_that_bound():
    """At a high rate many connections are between two requests at any moment, and new ones cost CPU time."""

    async def scenario():
        async with started(Node("a", 0), sockets=64) as (head, _), contextlib.AsyncExitStack() as stack:
            opened = [await asyncio.open_connection(HOST, head.platform.port) for _ in range(20)]
            for i in range(2 * len(opened)):
                reader, writer = opened[i // 2]
                writer.write(GOOD.replace(b"9b1f", b"%04d" % i))
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                stack.callback(writer.close)
            assert len(head.clients.by_state[client_table.State.IDLE]) == 20 > head.clients.max_idle

    run(scenario())


def test_unreadable_input_ends_a_connection_though_a_request_is_open_on_it():
    async def scenario():
        node = Node("a", 0, "silent")
        async with started(node) as (head, _):
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            writer.write(GOOD)
            await until(lambda: bool(node.seen))
            writer.write(b"\x00\x01 noise\r\n\r\n")
            assert await reader.read() == b""
            writer.close()
            await until(lambda: not head.engine.reducer.open)
            # sent in one piece, the valid request is not forwarded either: its length may be wrong
            assert b" 400 " in await exchange(head, GOOD + b"\x00\x01 noise\r\n\r\n")
            assert len(node.seen) == 1

    run(scenario())


def test_pipelined_requests_are_answered_in_turn():
    async def scenario():
        node = Node("a", 0)
        async with started(node) as (head, _):
            last = GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n").replace(b"9b1f", b"0000")
            assert (await exchange(head, GOOD + last)).count(b"HTTP/1.1 200 ") == 2
            assert len(node.seen) == 2

    run(scenario())


def test_a_client_that_takes_nothing_of_its_answer_is_left(monkeypatch):
    monkeypatch.setattr(client_table, "WRITE_STALL_TIMEOUT", timedelta(milliseconds=50))

    async def scenario():
        node = Node("a", 0)
        node.pieces[PATH.split("/", 2)[2]] = b"b" * 1_000_000
        async with started(node) as (head, _):
            connection = socket.create_connection((HOST, head.platform.port))
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            connection.sendall(b"".join(GOOD.replace(b"9b1f", b"%04d" % i) for i in range(30)))
            await until(lambda: head.clients.open == 1)
            await until(lambda: not len(head.clients))
            connection.close()

    run(scenario())


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
    """Plain requests are refused before they are parsed, are counted, and keep their connection.

    Unusual ones are parsed in the ordinary way and refused then.
    """

    async def scenario():
        node = Node("a", 0)
        async with started(node) as (head, _):
            head.clients.max_busy = 0
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            for shed in (1, 2) if plain else (1,):
                writer.write(sent)
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 0.500\r\n" in answer
                assert sum(head.engine.reducer.counters.shed) == shed
                assert (b"Date" in answer) is not plain
            if plain:  # served once there is room
                head.clients.max_busy = 8
                writer.write(sent)
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert len(node.seen) == int(plain)
            writer.close()

    run(scenario())


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
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            assert head.platform.server.refuse(sent) is None

    run(scenario())


def test_a_head_that_sends_clients_away_ends_the_connections_it_refuses_on():
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            head.clients.max_busy = 0
            head.drain.out = True
            answer = await exchange(head, GOOD)
            assert b"Connection: close\r\n" in answer and answer.startswith(b"HTTP/1.1 503 ")

    run(scenario())


@pytest.mark.parametrize(
    ("sockets", "max_busy"), [(1024, 136), (384, 51), (256, 48), (192, 48), (128, 32), (1, 1)]
)
def test_how_many_may_be_open_while_time_is_short_follows_what_clients_may_hold(sockets, max_busy):
    assert tightened_busy_limit(sockets) == max_busy


def test_fewer_may_be_open_while_the_loop_is_late_or_a_new_process_takes_over():
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            table = head.clients
            assert table.busy_limit() == table.max_busy > table.max_busy_tightened
            head.handover.apply_open_resources(OpenResources(busy=7))
            assert table.busy_limit() == table.max_busy_tightened - 7
            head.handover.apply_open_resources(OpenResources())
            table.tightened_until = 0.0
            assert table.busy_limit() == table.max_busy
            table.tighten_busy_limit(timedelta(seconds=60))
            assert table.busy_limit() == table.max_busy_tightened

    run(scenario())
