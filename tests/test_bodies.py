"""Request and answer bodies of any length and framing: streaming, limits and reserved capacity."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from datetime import timedelta

import aiohttp
import pytest

from stoatrouter.net import bodies, client_table
from stoatrouter.net.bodies import BodyCapacity
from stoatrouter.net.endpoint_list import read_node
from stoatrouter.net.errors import NoCapacity, TooLarge
from stoatrouter.policy.interface import ListKind
from tests.peers import HOST, Node, run, until
from tests.platform_client import HEADERS, PATH, started
from tests.test_clients import GOOD, PUT, exchange

BODY = bytes(range(256)) * 1200  # 300 KiB
KEY = PATH.split("/", 2)[2]


def chunked(body: bytes, size: int = 50_000) -> bytes:
    """Return a body in chunked encoding, with extensions and a trailer."""
    chunks = (body[at : at + size] for at in range(0, len(body), size))
    encoded = b"".join(b"%x;name=value\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return encoded + b"0\r\nX-Sum: 1\r\n\r\n"


# -- clients' bodies ---------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    "sent",
    [
        f"{PUT}Connection: close\r\nContent-Length: {len(BODY)}\r\n\r\n".encode() + BODY,
        f"{PUT}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n".encode() + chunked(BODY),
    ],
)
def test_a_large_body_reaches_a_node_unchanged_and_can_be_sent_anew(sent):
    async def scenario():
        node = Node("a", 0, "decline")
        async with started(node) as (head, _):
            assert (await exchange(head, sent)).startswith(b"HTTP/1.1 200")
            assert node.pieces[KEY] == BODY
            assert [seen[3] for seen in node.seen] == [len(BODY)] * 2  # declined by the node, then sent again
            assert {r.headers["Content-Length"] for r in node.requests} == {str(len(BODY))}
            assert not head.body_capacity.reserved

    run(scenario())


@pytest.mark.parametrize("head", [b"Content-Length: 70001\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"])
def test_a_body_over_the_bound_is_turned_away(monkeypatch, head):
    """A body that is too large reserves no capacity once that is known, whatever its framing."""

    async def scenario():
        node = Node("a", 0)
        async with started(node) as (there, _):
            body = chunked(b"b" * 200_000) if b"chunked" in head else b""
            assert b" 413 " in await exchange(there, PUT.encode() + head + body)
            assert not node.seen and not there.body_capacity.reserved

    monkeypatch.setattr(bodies, "MAX_BODY_BYTES", 70_000)
    run(scenario())


def test_a_client_that_asks_before_it_sends_is_told_to_go_on():
    async def scenario():
        node = Node("a", 0)
        async with started(node) as (head, _):
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            writer.write(f"{PUT}Expect: 100-continue\r\nContent-Length: 4\r\n\r\n".encode())
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"body")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert node.pieces[KEY] == b"body"
            writer.close()
            answer = await exchange(head, f"{PUT}Expect: wonders\r\nContent-Length: 4\r\n\r\n".encode())
            assert b" 417 " in answer

    run(scenario())


def test_a_body_that_only_drips_is_left(monkeypatch):
    monkeypatch.setattr(bodies, "RATE_GRACE", timedelta(0))
    monkeypatch.setattr(bodies, "MIN_BYTES_PER_SECOND", 1 << 40)

    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            assert b" 408 " in await exchange(head, f"{PUT}Content-Length: 90000\r\n\r\n".encode() + b"b" * 9)
            assert not head.body_capacity.reserved

    run(scenario())


def test_a_client_that_leaves_in_the_middle_of_its_body_gives_its_room_back():
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            _, writer = await asyncio.open_connection(HOST, head.platform.port)
            writer.write(f"{PUT}Content-Length: 90000\r\n\r\n".encode() + b"b" * 9)
            await until(lambda: head.body_capacity.reserved == 90000)
            writer.close()
            await until(lambda: not head.body_capacity.reserved)

    run(scenario())


def test_a_body_without_a_length_asks_for_no_more_room_than_there_is():
    async def scenario():
        node = Node("a", 0)
        async with started(node) as (head, _):
            head.body_capacity.limit = len(BODY)
            sent = f"{PUT}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n".encode() + chunked(BODY)
            assert (await exchange(head, sent)).startswith(b"HTTP/1.1 200") and node.pieces[KEY] == BODY

    run(scenario())


def test_without_a_place_to_keep_it_a_large_body_is_refused(tmp_path):
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            head.body_capacity.folder = str(tmp_path / "absent")
            sent = f"{PUT}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY
            answer = await exchange(head, sent)
            assert answer.startswith(b"HTTP/1.1 503") and not head.body_capacity.reserved
            assert sum(head.engine.reducer.counters.shed) == 1

    run(scenario())


def test_room_is_given_in_turn_and_nobody_waits_for_ever(monkeypatch):
    async def scenario():
        capacity = BodyCapacity(100)
        await capacity.reserve(60)
        large = asyncio.create_task(capacity.reserve(90))
        small = asyncio.create_task(capacity.reserve(10))
        await asyncio.sleep(0)
        assert capacity.reserved == 60 and not small.done()  # granting it would keep the large one waiting
        capacity.release(60)
        await asyncio.gather(large, small)
        assert capacity.reserved == 100
        monkeypatch.setattr(bodies, "CAPACITY_TIMEOUT", timedelta(0))
        with pytest.raises(NoCapacity):
            await capacity.reserve(1)
        with pytest.raises(TooLarge):
            await capacity.reserve(101)
        leaving = asyncio.create_task(capacity.reserve(1))
        await asyncio.sleep(0)
        leaving.cancel()
        capacity.release(100)
        await asyncio.gather(leaving, return_exceptions=True)
        assert capacity.reserved == 0 and not capacity.waiting

    run(scenario())


def test_trailers_of_one_request_are_no_headers_of_the_next():
    """Guards against aiohttp's parser, which puts trailers before the next request's own headers."""

    async def scenario():
        node = Node("a", 0)
        async with started(node) as (head, _):
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            body = b"4\r\nbody\r\n0\r\nReq-Id: other\r\nIdempotency-Key: other\r\n\r\n"
            for sent in PUT.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + body, GOOD:
                writer.write(sent)
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
                if sent is not GOOD:
                    await reader.readexactly(len(b"stored"))
            assert [r.headers["Req-Id"] for r in node.requests] == [HEADERS["Req-Id"]] * 2
            writer.close()

    run(scenario())


# -- nodes' answers ----------------------------------------------------------------------------------------
class RawNode(Node):
    """Answers with the given bytes, one part for each release of `go`; closes or resets after one more."""

    def __init__(self, *parts: bytes, reset: bool = False) -> None:
        super().__init__("a", 0)
        self.parts = parts
        self.reset = reset
        self.go = asyncio.Semaphore(0)
        self.attempts = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.attempts += 1
            for part in self.parts:
                await self.go.acquire()
                writer.write(part)
                await writer.drain()
            await self.go.acquire()
        if self.reset:
            handle = writer.get_extra_info("socket")
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()


@contextlib.asynccontextmanager
async def served_by(node: RawNode):
    server = await asyncio.start_server(node.serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with server, started(node) as (head, session):
        node.port = port
        # the list now holds the raw server's address instead of that of the ordinary stand-in
        head.engine.apply_node_list(ListKind.FULL, (read_node(node.entry()),))
        yield head, session


def with_status_line(fields: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"


ANSWERS = [
    with_status_line(b"Content-Length: %d\r\n" % len(BODY)) + BODY,
    with_status_line(b"Transfer-Encoding: chunked\r\n") + chunked(BODY),
    with_status_line(b"Connection: close\r\n") + BODY,
]


@pytest.mark.parametrize("answer", ANSWERS)
def test_a_large_answer_is_passed_on_as_it_comes(answer):
    """The client gets the first bytes before the node has sent the last."""

    async def scenario():
        node = RawNode(answer[:100_000], answer[100_000:])
        async with served_by(node) as (head, session):
            node.go.release()
            async with session.get(PATH, headers=HEADERS) as response:
                assert response.status == 200
                first = await response.content.readexactly(90_000)
                assert head.engine.reducer.counters.active == 1
                node.go.release()
                node.go.release()
                assert first + await response.read() == BODY
            await until(lambda: not head.engine.reducer.open)
            counters = head.engine.reducer.counters
            assert (counters.ok[0], counters.errors[0], counters.active) == (1, 0, 0)

    run(scenario())


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("answer", ANSWERS[:2])
def test_an_answer_that_breaks_off_is_never_ended_as_if_whole(answer, reset):
    async def scenario():
        node = RawNode(answer[:100_000], reset=reset)
        async with served_by(node) as (head, session):
            node.go.release()
            async with session.get(PATH, headers=HEADERS) as response:
                received = await response.content.readexactly(90_000)
                node.go.release()
                with pytest.raises(aiohttp.ClientPayloadError):
                    received += await response.read()
                assert BODY.startswith(received)
            await until(lambda: not head.engine.reducer.open)
            assert head.engine.reducer.counters.errors[0] == 1 and node.attempts == 1

    run(scenario())


def test_a_reset_is_no_end_of_an_answer_without_a_length():
    async def scenario():
        node = RawNode(ANSWERS[2][:100_000], reset=True)
        async with served_by(node) as (_, session):
            node.go.release()
            async with session.get(PATH, headers=HEADERS) as response:
                await response.content.readexactly(90_000)
                node.go.release()
                with pytest.raises(aiohttp.ClientPayloadError):
                    await response.read()

    run(scenario())


def test_a_client_that_leaves_a_large_answer_leaves_nothing_behind():
    async def scenario():
        node = RawNode(ANSWERS[0][:100_000])
        async with served_by(node) as (head, session):
            node.go.release()
            response = await session.get(PATH, headers=HEADERS)
            await response.content.readexactly(90_000)
            response.close()
            await until(lambda: not head.engine.reducer.open and not head.engine.nodes.pool.open_connections)
            assert head.engine.reducer.counters.active == 0

    run(scenario())


def test_an_id_stays_in_use_until_its_answer_has_ended():
    async def scenario():
        node = RawNode(ANSWERS[0][:100_000])
        async with served_by(node) as (_, session):
            node.go.release()
            async with session.get(PATH, headers=HEADERS):
                async with session.get(PATH, headers=HEADERS) as second:
                    assert second.status == 502
                node.go.release()

    run(scenario())


# -- slow request heads on a full server -------------------------------------------------------------------
def test_a_head_that_comes_slowly_is_heard(monkeypatch):
    """An idle connection may be closed long before; one on which a request has begun may not."""
    monkeypatch.setattr(client_table, "IDLE_TIMEOUT", timedelta(milliseconds=20))
    monkeypatch.setattr(client_table, "SWEEP_INTERVAL", timedelta(milliseconds=5))
    monkeypatch.setattr(client_table, "HEAD_TIMEOUT", timedelta(seconds=60))

    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            sweeps = 0
            sweep = head.clients.sweep

            def counted_sweep():
                nonlocal sweeps
                sweeps += 1
                sweep()

            monkeypatch.setattr(head.clients, "sweep", counted_sweep)
            reader, writer = await asyncio.open_connection(HOST, head.platform.port)
            for at in range(0, len(GOOD), 60):
                writer.write(GOOD[at : at + 60])
                sweeps_before = sweeps
                await until(lambda least=sweeps_before + 6: sweeps >= least)  # longer than IDLE_TIMEOUT
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run(scenario())


def test_heads_of_which_nothing_more_comes_make_room_for_those_that_go_on(monkeypatch):
    monkeypatch.setattr(client_table, "STALE_AFTER", timedelta(0))

    async def scenario():
        async with started(Node("a", 0), sockets=32) as (head, _), contextlib.AsyncExitStack() as stack:
            for _ in range(head.clients.max_connections - 1):
                _, stalled_writer = await asyncio.open_connection(HOST, head.platform.port)
                stack.callback(stalled_writer.close)
                stalled_writer.write(b"GET /")
            slow_reader, slow_writer = await asyncio.open_connection(HOST, head.platform.port)
            stack.callback(slow_writer.close)
            slow_writer.write(GOOD[:50])
            begun = head.clients.by_state[client_table.State.READING_HEAD]
            await until(lambda: len(begun) == head.clients.max_connections)
            for _ in range(head.clients.max_connections - 1):
                _, new_writer = await asyncio.open_connection(HOST, head.platform.port)
                stack.callback(new_writer.close)
                slow_writer.write(b"")
            slow_writer.write(GOOD[50:])
            assert (await slow_reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert len(head.clients) <= head.clients.max_connections + client_table.SPARE_CONNECTIONS

    run(scenario())
