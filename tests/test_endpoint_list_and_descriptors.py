"""The endpoint list arrives in time whatever fails, and clients take no one else's descriptors.

All tests run on real sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
from dataclasses import replace
from datetime import timedelta

import aiohttp
import pytest

from stoatrouter import head as head_module
from stoatrouter.core.descriptors import divide_descriptors
from stoatrouter.core.discovery_timeouts import MAX_NOTIFICATION_DELAY, MS, discovery_timeouts
from stoatrouter.core.durations import to_microseconds
from stoatrouter.head import Head
from stoatrouter.net.discovery import Watch
from stoatrouter.policy.interface import Phase
from tests.addresses import free_ports, own_host
from tests.agent import Agent, agent_up
from tests.peers import (
    HOST,
    Discovery,
    Node,
    config_data,
    head_config,
    listening,
    node_list,
    nodes_up,
    run,
    until,
)
from tests.platform_client import HEADERS, PATH
from tests.process_signals import kill
from tests.program_process import end_with_parent, program_environ, start_program
from tests.test_program import wait_until_ready

SHORT_TIMES = replace(
    discovery_timeouts(True, 2000 * MS),
    hold=30 * MS,
    hold_grace=30 * MS,
    connect=30 * MS,
    answer=60 * MS,
    first_answer=50 * MS,
)


# -- the list ------------------------------------------------------------------------------------------------
@pytest.mark.parametrize("grace", [0, 250, 600, 1000, 2000, 10_000])
def test_the_budget_of_the_list_keeps_to_the_term(grace):
    for pushed in (True, False):
        times = discovery_timeouts(pushed, grace * MS)
        assert times.max_change_delay < MAX_NOTIFICATION_DELAY
        assert times.max_recovery_delay < MAX_NOTIFICATION_DELAY
        assert times.first_answer <= timedelta(seconds=1)
    if grace >= 1000:  # a change that an agent gets as it recovers counts at once: due within the grace
        assert discovery_timeouts(True, grace * MS).max_recovery_delay < grace * MS


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("fault", ["silent", "half", "trickle", "refused", "reset", "cut"])
def test_a_watch_that_goes_wrong_in_any_way_is_asked_anew_and_briefly(fault, pushed):
    async def scenario():
        node = Node("a", 0)
        received = []
        agent = Agent(
            json.dumps(node_list(2, node.entry())).encode(),
            fault,
            json.dumps(node_list(3, node.entry(lifecycle="DRAINING"), reset=False)).encode(),
            json.dumps(node_list(3, reset=False)).encode(),
        )
        async with agent_up(agent) as port:
            watch = Watch(
                f"{HOST}:{port}",
                node_list(1),
                pushed=pushed,
                times=SHORT_TIMES,
                on_list=lambda kind, nodes, age: received.append((nodes[0].phase, age)),
            )
            task = asyncio.create_task(watch.run())
            await until(lambda: len(received) == 2 and len(agent.calls) >= 4)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        hold_ms = SHORT_TIMES.hold / MS
        short_hold_ms = SHORT_TIMES.short_hold / MS
        holds = [int(call.partition("hold_ms=")[2] or 0) for call in agent.calls]
        assert holds[1] >= 0.7 * hold_ms and holds[2] == short_hold_ms and holds[3] >= 0.7 * hold_ms
        assert [phase for phase, _ in received] == [Phase.ON, Phase.DRAINING]
        # in pushed mode a change counts from when the agent may have got it: after the last complete answer
        ages = [age for _, age in received]
        assert (ages[1] > timedelta(0)) == pushed and ages[0] == (None if pushed else timedelta(0))

    run(scenario())


def test_a_connection_to_discovery_that_never_comes_up_costs_the_dial_alone():
    async def scenario():
        with socket.socket() as full, contextlib.ExitStack() as stack:
            full.bind((HOST, 0))
            full.listen(0)
            for _ in range(3):  # fill the accept queue, so that the next connection is never established
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(full.getsockname())
            agent = Agent()
            async with agent_up(agent) as port:
                watch = Watch(
                    f"{HOST}:{full.getsockname()[1]}", node_list(1), lambda *_: None, times=SHORT_TIMES
                )
                task = asyncio.create_task(watch.run())
                await until(lambda: watch.failures >= 2)
                watch.change_address(f"{HOST}:{port}")
                await until(lambda: agent.calls)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    run(scenario())


@pytest.mark.parametrize("discovery", ["answers", "silent"])
def test_a_new_process_asks_before_it_accepts_yet_does_not_wait_for_long(discovery, monkeypatch):
    monkeypatch.setattr(head_module, "discovery_timeouts", discovery_timeouts)  # the production times

    async def scenario():
        a = Node("a", 0)
        b = Node("b", 0)
        known_at_accept = []  # calls of discovery and the phase of node a
        script = [node_list(2, a.entry(lifecycle="DRAINING"), reset=False)] if discovery == "answers" else []
        peer = Discovery(*script)
        async with nodes_up(a, b), listening(peer.handle) as port:
            head = Head(head_config(a, b, discovery=port))
            accept = head.accept

            async def accepting():
                known_at_accept.append((len(peer.calls), head.engine.reducer.nodes["a"].phase))
                await accept()

            head.accept = accepting
            await head.start()
            try:
                if discovery == "answers":
                    # a change known before the process accepts counts from its start, so there is no grace
                    assert known_at_accept in ([(1, Phase.DRAINING)], [(2, Phase.DRAINING)])
                    assert not head.engine.reducer.scheduler.nodes["a"].accepts(
                        to_microseconds(head.engine.clock.now())
                    )
                else:
                    assert known_at_accept[0][1] is Phase.ON and len(known_at_accept) == 1 and head.serving
            finally:
                await head.stop()

    run(scenario())


# -- descriptors ---------------------------------------------------------------------------------------------
@pytest.mark.parametrize("sockets", [1, 96, 128, 256, 512, 640, 1024, 65536])
def test_what_all_may_hold_together_is_within_the_limit(sockets):
    budget = divide_descriptors(sockets)
    assert budget.clients >= 1 and budget.nodes >= 1
    assert budget.total <= max(sockets, 2)
    assert budget.fixed == 72 or sockets < 240


def test_idle_clients_that_fill_the_descriptors_leave_discovery_nodes_and_operators_theirs(tmp_path):
    """While discovery is down, idle clients connect; once it is back, it and a new node can be reached."""
    max_descriptors = 160

    async def scenario():
        a = Node("a", 0)
        b = Node("b", 1)
        async with nodes_up(a, b):
            host = own_host()
            port, management, discovery_port = free_ports(host, 3)
            data = config_data(
                node_list(1, a.entry()),
                discovery_port,
                port,
                f"{host}:{management}",
                sockets=max_descriptors,
            )
            data |= {"listen": f"{host}:{port}", "discovery": f"{host}:{discovery_port}"}
            (tmp_path / "config.json").write_text(json.dumps(data))

            def limit_descriptors():
                end_with_parent()
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

            process = await start_program(
                tmp_path,
                program_environ(tmp_path / "config.json"),
                preexec_fn=limit_descriptors,
                stderr=asyncio.subprocess.DEVNULL,
            )
            clients = []
            try:
                async with aiohttp.ClientSession() as session:
                    await wait_until_ready(session, f"http://{host}:{port}")
                    for _ in range(2 * max_descriptors):  # more than the limit, as fast as they are accepted
                        clients.append(await asyncio.open_connection(host, port))
                    open_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                    assert open_descriptors <= max_descriptors
                    async with session.get(f"http://{host}:{management}/control/ready") as answer:
                        assert answer.status == 200
                    agent = Agent(json.dumps(node_list(2, a.entry(), b.entry())).encode())
                    server = await asyncio.start_server(agent.serve, host, discovery_port)
                    await until(lambda: len(agent.calls) >= 2)  # the head has the list and asks for changes
                    headers = HEADERS | {"X-IO": "units=2,shard=1,hosts=1"}
                    async with (
                        aiohttp.ClientSession() as fresh,
                        fresh.get(f"http://{host}:{port}{PATH}", headers=headers) as answer,
                    ):
                        assert answer.status == 200 and len(b.seen) == 1
                    assert process.returncode is None
                    agent.ended.set()
                    server.close()
            finally:
                for _, writer in clients:
                    writer.close()
                kill(process)
                await process.wait()

    run(scenario())
