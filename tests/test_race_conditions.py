"""Crossings on real sockets, each forced at a named point: what comes between a decision and its first byte,
between a change of the list and its telling. docs/design/races.md has the table."""

from __future__ import annotations

import asyncio
import os
import select
import signal
import socket
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp.http_writer import StreamWriter

from stoatrouter import config
from stoatrouter.core import model
from stoatrouter.core.discovery_timeouts import MS
from stoatrouter.head import Head
from stoatrouter.net import disconnects
from stoatrouter.net.client_table import State
from stoatrouter.net.engine import Engine
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome
from tests.peers import HOST, SETTINGS, Node, config_data, head_config, node_list, nodes_up, run, until
from tests.platform_client import HEADERS, PATH, WRITE, attempt, started
from tests.process_signals import send_signal
from tests.scheduler_driver import MS as MS_
from tests.scheduler_driver import SECOND, SchedulerDriver
from tests.test_core import START, node, reducer, request
from tests.test_program import program, read


class Dials:
    """Holds connections to nodes that are coming up, until they are let through."""

    def __init__(self, head: Head) -> None:
        self.pool, self.waiting, self.let = head.engine.nodes.pool, 0, asyncio.Event()
        self.create, self.pool._create_connection = self.pool._create_connection, self.come_up

    async def come_up(self, *args):
        self.waiting += 1
        await self.let.wait()
        return await self.create(*args)


async def raw(head: Head) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(HOST, head.platform.port)


def text(headers: dict[str, str], method: str = "GET", path: str = PATH, body: bytes = b"") -> bytes:
    fields = {"Host": "x", "Content-Length": str(len(body))} | headers
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


# -- from a decision to its first byte -----------------------------------------------------------------------
@pytest.mark.parametrize("change", ["draining", "gone", "restarted"])
def test_a_node_that_is_told_as_leaving_while_its_connection_comes_up_gets_nothing(change):
    async def story():
        a, b = Node("a", 0), Node("b", 0)
        async with started(a, b) as (head, session):
            dials = Dials(head)
            asked = asyncio.create_task(session.get(PATH, headers=HEADERS))
            await until(lambda: dials.waiting == 1)
            (name,) = head.engine.reducer.nodes_in_flight()
            left, right = (a, b) if name == "a" else (b, a)
            now = int(head.engine.clock.now() / MS)
            entry = {
                "draining": {"lifecycle": "DRAINING"},
                "gone": {"lifecycle": "DELETED"},
                "restarted": {"startedAtMs": now + 1},
            }[change]
            # a long while ago, as where an agent was silent
            head.watch.apply(node_list(2, left.entry(**entry), reset=False), None)
            await asyncio.sleep(0.005)  # the start that was told is over
            dials.let.set()
            answer = await asked
            assert answer.status == 200 and dials.waiting >= 1
            if change != "restarted":
                assert not left.seen and len(right.seen) == 1
            # the connection went back whole: it is there for what is decided next
            assert head.engine.reducer.tally.counts["not_begun"] == 1
            assert len(head.engine.nodes.pool.open_connections) == dials.waiting

    run(story())


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent():
    async def story():
        a = Node("a", 0, "reset")
        async with started(a) as (head, session):
            keyed = HEADERS | {"Idempotency-Key": "k"}
            asked = asyncio.create_task(session.put(WRITE, data=b"x", headers=keyed))
            await until(lambda: len(a.seen) == 1)
            dials = Dials(head)
            await until(lambda: dials.waiting == 1)  # for the repeat
            window = timedelta(microseconds=head.conf.settings.classes[1].repeat_window)
            now, base = head.engine.clock.now, head.engine.clock.now()
            (request,) = head.engine.reducer.scheduler.requests.values()
            request.deadline += 10 * window // timedelta(microseconds=1)  # a class whose clients wait longer
            head.engine.clock.now = lambda: now() + window
            dials.let.set()
            answer = await asked
            # it may have run, so it has failed, and was sent once
            assert answer.status == 502 and len(a.seen) == 1 and now() >= base

    run(story())


@pytest.mark.parametrize("elsewhere", ["south", "not named"])
def test_a_repeat_that_only_a_zone_drops_stays_in_it(elsewhere):
    async def story():
        nodes = [Node(f"n{i}", i, *["reset"] * 50) for i in range(6)]
        zones = {node.name: "north" if i % 2 else elsewhere for i, node in enumerate(nodes)}
        settings = SETTINGS | {
            "Areas": ["north", "south"],
            "Classes": [
                c | {"Group": "zone"} if c["Name"] == "event-write" else c for c in SETTINGS["Classes"]
            ],
        }
        async with nodes_up(*nodes):
            known = node_list(1, *(n.entry(zone=zones[n.name]) for n in nodes))
            head = Head(config.parse(config_data(known) | {"settings": settings}))
            await head.start()
            try:
                async with aiohttp.ClientSession(f"http://{HOST}:{head.platform.port}") as session:
                    for i in range(6):
                        new = {"X-IO": "units=1,shard=-1,hosts=1", "Idempotency-Key": "k", "Req-Id": f"r{i}"}
                        async with session.put(WRITE, data=b"x", headers=HEADERS | new) as answer:
                            assert answer.status == 502
            finally:
                await head.stop()
        came = [(request.headers["Req-Id"], zones[node.name]) for node in nodes for request in node.requests]
        assert len(came) > 12 and len(set(came)) == 6  # repeated, each request in one zone

    run(story())


@pytest.mark.parametrize("way", ["closed", "reset"])
def test_a_client_that_left_behind_unread_bytes_gets_no_attempt(way):
    async def story():
        a = Node("a", 0)
        async with started(a) as (head, _):
            dials = Dials(head)
            reader, writer = await raw(head)
            writer.write(text(HEADERS))
            await until(lambda: dials.waiting == 1)
            (client,) = head.engine.client_transports.values()
            client.pause_reading()  # as for a body that waits for room, or a client that sent much at once
            writer.write(b"y" * 1000)
            await writer.drain()
            if way == "reset":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.close()
            await until(lambda: disconnects.has_disconnected(client))
            dials.let.set()
            await until(lambda: not head.engine.reducer.records)
            assert not a.seen and head.engine.reducer.tally.counts["client_gone"] == 1

    run(story())


def test_an_outcome_not_begun_proves_that_nothing_ran():
    assert Outcome.NOT_BEGUN.never_ran


# -- what an end of a connection proves ----------------------------------------------------------------------
def test_a_reset_between_the_last_byte_and_its_noting_proves_nothing():
    async def story():
        a = Node("a", 0)
        a.gate = lambda _: asyncio.sleep(3600)
        async with nodes_up(a):
            nodes = NodeClient(timedelta(seconds=1), timedelta(seconds=30), 4)
            drain = StreamWriter.drain
            try:

                async def reset_after(writer):
                    await drain(writer)
                    # the node has begun the request; its reset is read before the task that wrote goes on
                    await until(lambda: a.seen)
                    writer.transport.abort()

                StreamWriter.drain = reset_after
                reply = await nodes.attempt(attempt(f"{HOST}:{a.port}", "PUT", b"x", WRITE))
            finally:
                StreamWriter.drain = drain
                await nodes.close()
            assert a.seen and reply.outcome is Outcome.RESET and not reply.outcome.never_ran

    run(story())


# -- ends of clients' connections ----------------------------------------------------------------------------
@pytest.mark.parametrize("ends", ["sweep", "shutdown"])
def test_a_request_that_has_come_and_was_not_read_yet_is_answered_not_reset(ends):
    async def story():
        a = Node("a", 0)
        async with started(a) as (head, _):
            reader, writer = await raw(head)
            writer.write(text(HEADERS))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            await until(lambda: head.clients.by_state[State.IDLE_AFTER_FIRST])
            (connection,) = head.clients.by_state[State.IDLE_AFTER_FIRST]
            # it has rested for long, and its next request comes as it is to be ended: the loop has not read
            # it
            sock = connection.transport.get_extra_info("socket")
            os.write(writer.get_extra_info("socket").fileno(), text(HEADERS | {"Req-Id": "second"}))
            select.select([sock], [], [])
            assert connection.state is State.IDLE_AFTER_FIRST
            if ends == "sweep":
                head.clients.by_state[State.IDLE_AFTER_FIRST][connection] -= 3600
                head.clients.sweep()
            else:
                head.clients.close_idle()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200") and len(a.seen) == 2
            await until(lambda: connection.state is State.IDLE)
            head.clients.close_idle()  # with nothing unread it ends
            assert await reader.read() == b""
            writer.close()

    run(story())


def test_a_connection_that_has_just_come_is_heard_by_a_head_that_ends():
    async def story():
        a = Node("a", 0)
        async with started(a) as (head, _):
            reader, writer = await raw(head)
            await until(lambda: head.clients.by_state[State.NEW])
            assert head.clients.any_just_connected()
            head.clients.close_idle()
            writer.write(text(HEADERS))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()
            reader, writer = await raw(head)
            await until(lambda: head.clients.by_state[State.NEW])
            (connection,) = head.clients.by_state[State.NEW]
            connection.state_since -= 3600  # it has had its time
            assert not head.clients.any_just_connected()
            head.clients.close_idle()
            assert await reader.read() == b""
            writer.close()

    run(story())


def test_a_signal_twice_and_one_while_starting_end_the_head_once(tmp_path):
    async def story():
        a = Node("a", 0)
        async with program(tmp_path, a) as (process, session, base, _):
            assert (await read(session, base, "one"))[0] == 200
            send_signal(process, signal.SIGTERM)
            send_signal(process, signal.SIGTERM)
            assert (await read(session, base, "two"))[0] == 200
            assert await process.wait() == 0

    run(story())


# -- limits --------------------------------------------------------------------------------------------------
def test_units_that_never_came_to_a_node_are_taken_when_they_come():
    """The platform's store is full until a request comes to a node. Taken at the decision alone, ours would
    have filled again by then, and the limit be passed by what it fills meanwhile."""
    plan = api.Plan("basic", usual_rate=4, limit=4.0, burst=8.0, tolerance=0.0)
    for on_arrival in (True, False):
        driver = SchedulerDriver(
            plans=[plan], rules={"charged_on_arrival": on_arrival}, nodes=[api.NodeEntry("n1", 0)]
        )
        driver.wait(10 * SECOND)  # the store is full
        driver.request("late", units=7)
        store = driver.scheduler.volumes["v1"]
        assert store.refill(driver.now).limit_tokens == pytest.approx(1.0)
        driver.wait(100 * MS_)
        driver.end("late", Outcome.CONNECT_FAILED)
        driver.wait(100 * MS_)
        assert len(driver.sends("late")) == 2
        # sent anew it takes them in that moment, from a store that was full again
        passed = (driver.now - driver.sends("late")[1][0]) / SECOND
        left = 8.0 - 7 + 4.0 * passed if on_arrival else 1.0 + 4.0 * 0.2
        assert store.refill(driver.now).limit_tokens == pytest.approx(left)


def test_a_limit_keeps_what_it_fills_while_a_connection_comes_up():
    plan = api.Plan("p", 4, limit=10.0, burst=20.0, tolerance=8.0)
    settings = replace(head_config().settings, plans=(plan,))
    kept = config.adapt_to_sockets(settings, timedelta(milliseconds=350)).plans[0].tolerance
    assert kept == pytest.approx(8.0 - 10.0 * 0.2)
    assert config.adapt_to_sockets(settings, timedelta(milliseconds=100)).plans[0].tolerance == 8.0


# -- an id that is used again ----------------------------------------------------------------------------
@pytest.mark.parametrize("first_leaves", [False, True])
def test_a_request_admitted_as_another_one_of_its_id_is_answered_gets_its_own_answer(first_leaves):
    """Guards clients that use an id again: the end of the first one took the waiter of the second."""

    async def story():
        clock = SimpleNamespace(now=lambda: START + timedelta(seconds=asyncio.get_running_loop().time()))
        never = SimpleNamespace(attempt=lambda effect, may_begin: asyncio.Event().wait())
        engine = Engine(reducer(node()), clock, never, AdministrativeStateFile(None))
        first = asyncio.create_task(engine.serve(request()))
        await asyncio.sleep(0)
        second = asyncio.create_task(engine.serve(request()))  # its first step comes before the first's last
        engine.dispatch(model.AttemptEnded(clock.now(), "r", 0, Outcome.OK, b"1"))
        if first_leaves:
            first.cancel()
        await asyncio.wait([first])
        engine.dispatch(model.AttemptEnded(clock.now(), "r", 0, Outcome.OK, b"2"))
        assert await asyncio.wait_for(second, 1) == model.Served(b"2", 0)
        assert not engine.waiters and not engine.client_transports
        for left in engine.attempts.values():
            left.cancel()

    run(story())
