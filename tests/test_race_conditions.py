"""Race conditions on real sockets, each forced at a named point.

They are between a decision and its first byte, between a change of the endpoint list and its delivery, and at
the end of connections. docs/design/races.md has the table.
"""

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
from tests.scheduler_driver import MS as DRIVER_MS
from tests.scheduler_driver import SECOND, SchedulerDriver
from tests.test_core import START, node, reducer, request
from tests.test_program import program, read


class HeldConnects:
    """Holds connection attempts to nodes until they are released."""

    def __init__(self, head: Head) -> None:
        self.waiting = 0
        self.released = asyncio.Event()
        pool = head.engine.nodes.pool
        self.create_connection = pool._create_connection
        pool._create_connection = self.create_once_released

    async def create_once_released(self, *args):
        self.waiting += 1
        await self.released.wait()
        return await self.create_connection(*args)


async def connect(head: Head) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(HOST, head.platform.port)


def encode_request(
    headers: dict[str, str], method: str = "GET", path: str = PATH, body: bytes = b""
) -> bytes:
    fields = {"Host": "x", "Content-Length": str(len(body))} | headers
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


# -- from a decision to its first byte -----------------------------------------------------------------------
@pytest.mark.parametrize("change", ["draining", "gone", "restarted"])
def test_a_node_that_is_told_as_leaving_while_its_connection_comes_up_gets_nothing(change):
    async def scenario():
        a = Node("a", 0)
        b = Node("b", 0)
        async with started(a, b) as (head, session):
            connects = HeldConnects(head)
            response_task = asyncio.create_task(session.get(PATH, headers=HEADERS))
            await until(lambda: connects.waiting == 1)
            (name,) = head.engine.reducer.nodes_in_flight()
            changed_node, other_node = (a, b) if name == "a" else (b, a)
            now = int(head.engine.clock.now() / MS)
            entry = {
                "draining": {"lifecycle": "DRAINING"},
                "gone": {"lifecycle": "DELETED"},
                "restarted": {"startedAtMs": now + 1},
            }[change]
            # the change happened long ago, as when the agent sent nothing for a while
            head.watch.apply(node_list(2, changed_node.entry(**entry), reset=False), None)
            await asyncio.sleep(0.005)  # the listed start of the node is in the past by then
            connects.released.set()
            answer = await response_task
            assert answer.status == 200 and connects.waiting >= 1
            if change != "restarted":
                assert not changed_node.seen and len(other_node.seen) == 1
            # the connection went back to the pool intact, for the next decision to use
            assert head.engine.reducer.tally.counts["not_begun"] == 1
            assert len(head.engine.nodes.pool.open_connections) == connects.waiting

    run(scenario())


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent():
    async def scenario():
        a = Node("a", 0, "reset")
        async with started(a) as (head, session):
            keyed = HEADERS | {"Idempotency-Key": "k"}
            response_task = asyncio.create_task(session.put(WRITE, data=b"x", headers=keyed))
            await until(lambda: len(a.seen) == 1)
            connects = HeldConnects(head)
            await until(lambda: connects.waiting == 1)  # the retry's connection
            window = timedelta(microseconds=head.conf.settings.classes[1].repeat_window)
            now = head.engine.clock.now
            base = now()
            (request,) = head.engine.reducer.scheduler.requests.values()
            # as for a class whose clients wait longer
            request.deadline += 10 * window // timedelta(microseconds=1)
            head.engine.clock.now = lambda: now() + window
            connects.released.set()
            answer = await response_task
            # it may have run, so it fails, and it was sent once
            assert answer.status == 502 and len(a.seen) == 1 and now() >= base

    run(scenario())


@pytest.mark.parametrize("other_zone", ["south", "not named"])
def test_a_repeat_that_only_a_zone_drops_stays_in_it(other_zone):
    async def scenario():
        nodes = [Node(f"n{i}", i, *["reset"] * 50) for i in range(6)]
        zones = {node.name: "north" if i % 2 else other_zone for i, node in enumerate(nodes)}
        settings = SETTINGS | {
            "Areas": ["north", "south"],
            "Classes": [
                entry | {"Group": "zone"} if entry["Name"] == "event-write" else entry
                for entry in SETTINGS["Classes"]
            ],
        }
        async with nodes_up(*nodes):
            endpoints = node_list(1, *(n.entry(zone=zones[n.name]) for n in nodes))
            head = Head(config.parse(config_data(endpoints) | {"settings": settings}))
            await head.start()
            try:
                async with aiohttp.ClientSession(f"http://{HOST}:{head.platform.port}") as session:
                    for i in range(6):
                        changed = {
                            "X-IO": "units=1,shard=-1,hosts=1",
                            "Idempotency-Key": "k",
                            "Req-Id": f"r{i}",
                        }
                        async with session.put(WRITE, data=b"x", headers=HEADERS | changed) as answer:
                            assert answer.status == 502
            finally:
                await head.stop()
        attempts = [
            (request.headers["Req-Id"], zones[node.name]) for node in nodes for request in node.requests
        ]
        assert len(attempts) > 12 and len(set(attempts)) == 6  # each request was retried, in one zone

    run(scenario())


@pytest.mark.parametrize("way", ["closed", "reset"])
def test_a_client_that_left_behind_unread_bytes_gets_no_attempt(way):
    async def scenario():
        a = Node("a", 0)
        async with started(a) as (head, _):
            connects = HeldConnects(head)
            reader, writer = await connect(head)
            writer.write(encode_request(HEADERS))
            await until(lambda: connects.waiting == 1)
            (client,) = head.engine.client_transports.values()
            client.pause_reading()  # as for a body that waits for capacity or a client that sent much
            writer.write(b"y" * 1000)
            await writer.drain()
            if way == "reset":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.close()
            await until(lambda: disconnects.has_disconnected(client))
            connects.released.set()
            await until(lambda: not head.engine.reducer.records)
            assert not a.seen and head.engine.reducer.tally.counts["client_gone"] == 1

    run(scenario())


def test_an_outcome_not_begun_proves_that_nothing_ran():
    assert Outcome.NOT_BEGUN.never_ran


# -- what the end of a connection proves ---------------------------------------------------------------------
def test_a_reset_between_the_last_byte_and_its_noting_proves_nothing():
    async def scenario():
        a = Node("a", 0)
        a.gate = lambda _: asyncio.sleep(3600)
        async with nodes_up(a):
            nodes = NodeClient(timedelta(seconds=1), timedelta(seconds=30), 4)
            drain = StreamWriter.drain
            try:

                async def reset_after(writer):
                    await drain(writer)
                    # the node has begun the request; its reset is read before the writing task resumes
                    await until(lambda: a.seen)
                    writer.transport.abort()

                StreamWriter.drain = reset_after
                reply = await nodes.attempt(attempt(f"{HOST}:{a.port}", "PUT", b"x", WRITE))
            finally:
                StreamWriter.drain = drain
                await nodes.close()
            assert a.seen and reply.outcome is Outcome.RESET and not reply.outcome.never_ran

    run(scenario())


# -- ends of clients' connections ----------------------------------------------------------------------------
@pytest.mark.parametrize("ends", ["sweep", "shutdown"])
def test_a_request_that_has_come_and_was_not_read_yet_is_answered_not_reset(ends):
    async def scenario():
        a = Node("a", 0)
        async with started(a) as (head, _):
            reader, writer = await connect(head)
            writer.write(encode_request(HEADERS))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            await until(lambda: head.clients.by_state[State.IDLE_AFTER_FIRST])
            (connection,) = head.clients.by_state[State.IDLE_AFTER_FIRST]
            # it has long been idle, and its next request arrives as it is to be closed: the event loop has
            # not read it yet
            sock = connection.transport.get_extra_info("socket")
            os.write(writer.get_extra_info("socket").fileno(), encode_request(HEADERS | {"Req-Id": "second"}))
            select.select([sock], [], [])
            assert connection.state is State.IDLE_AFTER_FIRST
            if ends == "sweep":
                head.clients.by_state[State.IDLE_AFTER_FIRST][connection] -= 3600
                head.clients.sweep()
            else:
                head.clients.close_idle()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200") and len(a.seen) == 2
            await until(lambda: connection.state is State.IDLE)
            head.clients.close_idle()  # with nothing unread the connection is closed
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_a_connection_that_has_just_come_is_heard_by_a_head_that_ends():
    async def scenario():
        a = Node("a", 0)
        async with started(a) as (head, _):
            reader, writer = await connect(head)
            await until(lambda: head.clients.by_state[State.NEW])
            assert head.clients.any_just_connected()
            head.clients.close_idle()
            writer.write(encode_request(HEADERS))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()
            reader, writer = await connect(head)
            await until(lambda: head.clients.by_state[State.NEW])
            (connection,) = head.clients.by_state[State.NEW]
            connection.state_since -= 3600  # past the time in which a first request is expected
            assert not head.clients.any_just_connected()
            head.clients.close_idle()
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_a_signal_twice_and_one_while_starting_end_the_head_once(tmp_path):
    async def scenario():
        a = Node("a", 0)
        async with program(tmp_path, a) as (process, session, base, _):
            assert (await read(session, base, "one"))[0] == 200
            send_signal(process, signal.SIGTERM)
            send_signal(process, signal.SIGTERM)
            assert (await read(session, base, "two"))[0] == 200
            assert await process.wait() == 0

    run(scenario())


# -- limits --------------------------------------------------------------------------------------------------
def test_units_that_never_came_to_a_node_are_taken_when_they_come():
    """Units have to be charged again when the request reaches a node.

    The platform's token bucket stays full until then. Charged at the decision alone, the head's bucket would
    refill meanwhile, and the limit be exceeded by as much as it refilled.
    """
    plan = api.Plan("basic", usual_rate=4, limit=4.0, burst=8.0, tolerance=0.0)
    for on_arrival in (True, False):
        driver = SchedulerDriver(
            plans=[plan], rules={"charged_on_arrival": on_arrival}, nodes=[api.NodeEntry("n1", 0)]
        )
        driver.wait(10 * SECOND)  # the bucket is full
        driver.request("late", units=7)
        volume = driver.scheduler.volumes["v1"]
        assert volume.refill(driver.now).limit_tokens == pytest.approx(1.0)
        driver.wait(100 * DRIVER_MS)
        driver.end("late", Outcome.CONNECT_FAILED)
        driver.wait(100 * DRIVER_MS)
        assert len(driver.sends("late")) == 2
        # the second attempt is charged as it is sent, from a bucket that was full again
        elapsed_s = (driver.now - driver.sends("late")[1][0]) / SECOND
        tokens = 8.0 - 7 + 4.0 * elapsed_s if on_arrival else 1.0 + 4.0 * 0.2
        assert volume.refill(driver.now).limit_tokens == pytest.approx(tokens)


def test_a_limit_keeps_what_it_fills_while_a_connection_comes_up():
    plan = api.Plan("p", 4, limit=10.0, burst=20.0, tolerance=8.0)
    settings = replace(head_config().settings, plans=(plan,))
    tolerance = config.adapt_to_sockets(settings, timedelta(milliseconds=350)).plans[0].tolerance
    assert tolerance == pytest.approx(8.0 - 10.0 * 0.2)
    assert config.adapt_to_sockets(settings, timedelta(milliseconds=100)).plans[0].tolerance == 8.0


# -- a reused request id -----------------------------------------------------------------------------------
@pytest.mark.parametrize("first_leaves", [False, True])
def test_a_request_admitted_as_another_one_of_its_id_is_answered_gets_its_own_answer(first_leaves):
    """Guards clients that reuse an id: the end of the first request removed the waiter of the second."""

    async def scenario():
        clock = SimpleNamespace(now=lambda: START + timedelta(seconds=asyncio.get_running_loop().time()))
        unanswering_nodes = SimpleNamespace(
            attempt=lambda effect, may_begin, on_stall: asyncio.Event().wait()
        )
        engine = Engine(reducer(node()), clock, unanswering_nodes, AdministrativeStateFile(None))
        first = asyncio.create_task(engine.serve(request()))
        await asyncio.sleep(0)
        # the first step of the second request runs before the last step of the first
        second = asyncio.create_task(engine.serve(request()))
        engine.dispatch(model.AttemptEnded(clock.now(), "r", 0, Outcome.OK, b"1"))
        if first_leaves:
            first.cancel()
        await asyncio.wait([first])
        engine.dispatch(model.AttemptEnded(clock.now(), "r", 0, Outcome.OK, b"2"))
        assert await asyncio.wait_for(second, 1) == model.Served(b"2", 0)
        assert not engine.waiters and not engine.client_transports
        for attempt_task in engine.attempts.values():
            attempt_task.cancel()

    run(scenario())
