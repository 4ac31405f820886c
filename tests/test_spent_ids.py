"""An id of a request that may not be repeated is run once, whoever sends it again, and wherever."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import socket
from dataclasses import replace
from datetime import timedelta

import pytest

from benchmarks.pressure.stand_ins import Nodes, serve_nodes
from benchmarks.pressure.trial import SETTINGS, configuration, receive, running, running_head
from stoatrouter.core import model
from stoatrouter.core.reducer import Reducer
from stoatrouter.core.spent_ids import SpentIds
from stoatrouter.net.handover import Handover, hear_other_process
from stoatrouter.net.state_format import OpenResources, read_open_resources, write_open_resources
from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome
from tests.peers import HOST, run

START = timedelta(days=20_000)
NODE = model.NodeInfo("n0", "127.0.0.1:1", 0, api.Phase.ON)


def reducer_of(effect: api.Effect, group: api.Group = api.Group.ALL, **more) -> Reducer:
    """Return a reducer with one class of this effect and one node."""
    request_class = api.RequestClass(
        "c", 1, 400_000, 2_000_000, effect=effect, group=group, repeat_window=3_000_000
    )
    reducer = Reducer(api.Settings((request_class,), (api.Plan("p", 7),), max_attempts=3), 1, **more)
    reducer.reduce(model.EndpointListReceived(START, api.ListKind.FULL, (NODE,)))
    return reducer


def arrive(reducer: Reducer, at: float, name: str = "r") -> list[model.Effect]:
    """Let a request arrive `at` seconds after the start."""
    left = timedelta(seconds=2)
    request = model.Request(name, 0, 0, "v", "k", 0, 1.0, 1, left, True)
    return reducer.reduce(model.Arrived(START + timedelta(seconds=at), request))


def is_sent(effects: list[model.Effect]) -> bool:
    return any(isinstance(effect, model.SendAttempt) for effect in effects)


def end(reducer: Reducer, at: float, how: str) -> None:
    """End the request's only attempt."""
    now = START + timedelta(seconds=at)
    if how == "client leaves":
        reducer.reduce(model.ClientLeft(now, "r"))
        reducer.reduce(model.AttemptEnded(now, "r", 0, Outcome.CANCELLED))
    else:
        reducer.reduce(model.AttemptEnded(now, "r", 0, Outcome[how]))


REFUSED, FAILED = model.Refused, model.Failed


@pytest.mark.parametrize("how", ["client leaves", "OK", "RESET"])
@pytest.mark.parametrize(
    ("effect", "group", "answer"),
    [
        (api.Effect.SAFE, api.Group.ALL, None),
        (api.Effect.UNSAFE, api.Group.ALL, FAILED),
        (api.Effect.IDEMPOTENT, api.Group.SHARD, FAILED),
        (api.Effect.IDEMPOTENT, api.Group.ALL, REFUSED),
    ],
)
def test_an_id_that_may_have_run_is_not_run_again_where_its_class_forbids_it(how, effect, group, answer):
    reducer = reducer_of(effect, group)
    assert is_sent(arrive(reducer, 0.0))
    end(reducer, 0.01, how)
    if reducer.records:  # it is tried again, and its client leaves
        end(reducer, 0.01, "client leaves")
    again = arrive(reducer, 0.02)
    assert is_sent(again) is (answer is None)
    if answer is not None:
        assert isinstance(again[0], model.RejectRequest) and isinstance(again[0].answer, answer)
        assert is_sent(arrive(reducer, 5.1))  # the deadline and the window have passed


def test_an_id_that_proved_not_to_have_run_may_run():
    reducer = reducer_of(api.Effect.UNSAFE)
    assert is_sent(arrive(reducer, 0.0))
    reducer.reduce(model.AttemptEnded(START + timedelta(seconds=0.01), "r", 0, Outcome.NOT_BEGUN))
    reducer.reduce(model.ClientLeft(START + timedelta(seconds=0.02), "r"))
    assert not reducer.spent and is_sent(arrive(reducer, 0.03))


def test_ids_are_bounded_and_a_request_whose_id_cannot_be_remembered_is_refused():
    reducer = reducer_of(api.Effect.UNSAFE, max_spent=2)
    assert is_sent(arrive(reducer, 0.0, "a")) and is_sent(arrive(reducer, 0.0, "b"))
    refused = arrive(reducer, 0.0, "c")
    assert isinstance(refused[0], model.RejectRequest) and isinstance(refused[0].answer, REFUSED)


def test_ids_pass_to_the_next_process_as_ages():
    old, new = SpentIds(timedelta(seconds=5), 9), SpentIds(timedelta(seconds=5), 9)
    old.add("r", START)
    new.restore(json.loads(json.dumps(old.written(START + timedelta(seconds=4)))), timedelta(0))
    assert "r" in new
    new.forget_old(timedelta(seconds=1.1))
    assert "r" not in new


def test_an_older_version_reads_what_is_open_beside_the_ids():
    told = OpenResources(1, 2, {"n": 3}, 4, ("r",))
    data = json.loads(json.dumps(write_open_resources(told)))
    assert read_open_resources(data) == told
    assert read_open_resources(
        {key: data[key] for key in ("clients", "connections", "out", "busy")}
    ) == replace(told, spent=())


def test_what_the_other_process_wrote_before_is_heard_before_a_request_is_admitted():
    async def scenario():
        heard = []
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours)
        process = Handover.__new__(Handover)
        process.learn_spent = heard.extend
        reading = asyncio.create_task(process.read_spent(reader))
        await asyncio.sleep(0)
        theirs.send(b'{"spent": ["r"]}\n' * 100)
        await hear_other_process()
        assert heard == ["r"] * 100
        theirs.close()
        await reading
        writer.close()

    run(scenario())


# -- real processes ----------------------------------------------------------------------------------------
def fragile_settings() -> dict:
    """Return the demo's settings with writes that may not be repeated."""
    settings = json.loads(SETTINGS.read_text())
    settings["Classes"][1]["Effect"] = "fragile"
    return settings


def fragile_write(name: str, late: float) -> bytes:
    """Return a write whose node answers `late` seconds after it has begun to run it."""
    return (
        f"PUT /event-write/00000000b4d60021/{name}?late={late} HTTP/1.1\r\nHost: h\r\nReq-Id: {name}\r\n"
        "X-Plan: premium\r\nReq-Deadline-Ms: 2000\r\nX-IO: units=1,shard=0,hosts=1\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()


async def leave_and_come_again(first_port: int, second_port: int, name: str, pause: float) -> None:
    """Send a write, leave after `pause` seconds, and send the same id again on a new connection."""
    _, writer = await asyncio.open_connection(HOST, first_port)
    writer.write(fragile_write(name, 0.1))
    await asyncio.sleep(pause)
    writer.transport.abort()
    reader, writer = await asyncio.open_connection(HOST, second_port)
    writer.write(fragile_write(name, 0.0))
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    writer.close()


def test_an_id_whose_client_left_is_not_run_again_when_it_comes_again():
    async def scenario(port: int) -> None:
        for number in range(40):
            await leave_and_come_again(port, port, secrets.token_hex(8), 0.0003 * number)

    with running(serve_nodes) as nodes:
        ports, discovery = receive(nodes)
        with running_head(configuration(ports, discovery, 192, 1024, fragile_settings())) as head:
            run(scenario(head.port), limit=60)
        nodes.send(None)
        ran: Nodes = receive(nodes)
    assert ran.ran and max(ran.ran.values()) == 1


def test_an_id_is_not_run_again_at_the_other_process_of_an_upgrade_nor_after_that_has_died(tmp_path):
    """Clients leave a process and come again at the other: from old to new, back, and after the new died."""

    async def crossings(first: int, second: int, count: int = 15) -> list[str]:
        names = [secrets.token_hex(8) for _ in range(count)]
        for number, name in enumerate(names):
            await leave_and_come_again(first, second, name, 0.001 + 0.0005 * number)
        return names

    async def hold(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(HOST, port)

    with running(serve_nodes) as nodes:
        ports, discovery = receive(nodes)
        first, second = (configuration(ports, discovery, 192, 1024, fragile_settings()) for _ in range(2))
        with running_head(first, folder=tmp_path) as old:

            async def scenario() -> None:
                kept = [await hold(old.port) for _ in range(15)]  # the old process serves on these
                with running_head(second, folder=tmp_path) as new:
                    for number, (_, writer) in enumerate(kept):
                        name = secrets.token_hex(8)
                        writer.write(fragile_write(name, 0.1))
                        await asyncio.sleep(0.002 + 0.0005 * number)
                        writer.transport.abort()
                        reader, again = await hold(new.port)
                        again.write(fragile_write(name, 0.0))
                        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
                        again.close()
                    names = await crossings(new.port, new.port)
                    new.end_now()
                for name in names:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        reader, writer = await connect_again(old.port)
                        writer.write(fragile_write(name, 0.0))
                        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
                        writer.close()

            run(scenario(), limit=60)
        nodes.send(None)
        ran: Nodes = receive(nodes)
    assert len(ran.ran) >= 20 and max(ran.ran.values()) == 1


async def connect_again(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a process that accepts again in a moment."""
    while True:
        with contextlib.suppress(OSError):
            return await asyncio.open_connection(HOST, port)
        await asyncio.sleep(0.01)
