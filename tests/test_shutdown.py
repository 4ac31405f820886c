"""Tests of shutdown at critical points, on real sockets; stand-ins hold the head at each point."""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp
import pytest
from yarl import URL

from stoatrouter.net import disconnects
from tests.addresses import free_port
from tests.agent import Agent, agent_up
from tests.object_client import BODY, gateway
from tests.peers import HOST, Node, config_data, node_list, nodes_up, run, until
from tests.platform_client import HEADERS, PATH, WRITE
from tests.process_signals import send_signal
from tests.program_process import program_environ, start_program
from tests.test_program import program, read

LARGE_BODY_BYTES = 3 * 1024 * 1024
SLOW_PIECE_BYTES = 6_000
SLOW_PIECE_INTERVAL = 0.05  # seconds; faster than bodies have to be


def test_a_signal_while_the_head_waits_for_its_first_answer_ends_it_in_order(tmp_path):
    async def scenario():
        a = Node("a", 0)
        agent = Agent()  # never answers
        async with nodes_up(a), agent_up(agent) as at:
            data = config_data(node_list(1, a.entry()), at, free_port())
            (tmp_path / "config.json").write_text(json.dumps(data))
            environ = program_environ(tmp_path / "config.json")
            process = await start_program(tmp_path, environ, stderr=asyncio.subprocess.PIPE)
            await until(lambda: agent.calls)
            send_signal(process, signal.SIGTERM)
            _, stderr = await process.communicate()
            assert process.returncode == 0 and b"stop: all accepted requests are answered" in stderr

    run(scenario())


def test_a_large_answer_that_flows_as_the_head_is_asked_to_stop_comes_whole(tmp_path):
    async def scenario():
        class SlowNode(Node):
            async def handle(self, request):
                response = aiohttp.web.StreamResponse(headers={"Content-Length": str(LARGE_BODY_BYTES)})
                await response.prepare(request)
                await response.write(b"x" * (LARGE_BODY_BYTES // 2))
                self.halfway.set()
                await self.may_finish.wait()
                await response.write(b"x" * (LARGE_BODY_BYTES - LARGE_BODY_BYTES // 2))
                return response

        node = SlowNode("a", 0)
        node.halfway = asyncio.Event()
        node.may_finish = asyncio.Event()
        async with program(tmp_path, node) as (process, session, base, _):
            async with session.get(base + PATH, headers=HEADERS) as response:
                first = await response.content.read(1000)
                await node.halfway.wait()
                send_signal(process, signal.SIGTERM)
                await asyncio.sleep(0)
                node.may_finish.set()
                assert len(first) + len(await response.read()) == LARGE_BODY_BYTES
            assert await process.wait() == 0

    run(scenario())


def test_a_client_that_writes_slowly_does_not_hold_up_the_end(tmp_path):
    # Guards against a head that is killed with all it holds, as bodies that come slowly keep it from its end.
    async def scenario():
        node = Node("a", 0)
        async with program(tmp_path, node) as (process, _, base, _):
            address = URL(base)
            reader, writer = await asyncio.open_connection(address.host, address.port)
            fields = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
            length = f"Content-Length: {LARGE_BODY_BYTES}\r\n"
            writer.write(f"PUT {WRITE} HTTP/1.1\r\nHost: x\r\n{fields}{length}\r\n".encode())
            answer = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
            sent = 0
            while not answer.done():
                writer.write(bytes(SLOW_PIECE_BYTES))
                sent += SLOW_PIECE_BYTES
                await asyncio.sleep(SLOW_PIECE_INTERVAL)
                if sent == SLOW_PIECE_BYTES:
                    send_signal(process, signal.SIGTERM)
            assert answer.result().startswith(b"HTTP/1.1 503") and sent < LARGE_BODY_BYTES
            assert await process.wait() == 0
            writer.close()
        assert not node.seen

    run(scenario())


def test_a_head_that_is_out_of_service_still_answers_what_it_took_before_it_ends(tmp_path):
    async def scenario():
        node = Node("a", 0)
        management = f"{HOST}:{free_port()}"
        node_has_request = asyncio.Event()
        may_answer = asyncio.Event()

        async def hold(_):
            node_has_request.set()
            await may_answer.wait()

        node.gate = hold
        environ = {"NODE_MANAGEMENT": management}
        async with program(tmp_path, node, environ=environ) as (process, session, base, _):
            held = asyncio.create_task(read(session, base, "held"))
            await node_has_request.wait()
            async with session.post(f"http://{management}/control/out-of-service") as answer:
                assert answer.status == 200
            send_signal(process, signal.SIGTERM)
            may_answer.set()
            assert (await held)[0] == 200
            assert await process.wait() == 0

    run(scenario())


@pytest.mark.parametrize("pieces_before_close", [1, 2])
def test_a_client_of_the_object_front_that_left_gets_no_further_piece(pieces_before_close):
    """One call makes several requests of the core; the client leaves between two, with unread bytes."""

    async def scenario():
        nodes = Node("a", 0), Node("b", 1)

        def count_node_requests() -> int:
            return sum(len(node.seen) for node in nodes)

        async with gateway(*nodes) as client:
            assert (await client.call("PUT", "/footage/match", BODY))[0] == 200
            before = count_node_requests()
            nodes_reached = asyncio.Event()
            may_answer = asyncio.Event()

            async def hold(_):
                if count_node_requests() >= before + pieces_before_close:
                    nodes_reached.set()
                    await may_answer.wait()

            for node in nodes:
                node.gate = hold
            reader, writer = await asyncio.open_connection(HOST, client.head.objects.port)
            writer.write(b"GET /footage/match HTTP/1.1\r\nHost: x\r\n\r\n")
            await nodes_reached.wait()
            transport = next(iter(client.head.engine.client_transports.values()))
            transport.pause_reading()
            writer.write(b"y" * 1000)
            await writer.drain()
            writer.close()
            await until(lambda: disconnects.has_disconnected(transport))
            requests_at_nodes = count_node_requests()
            may_answer.set()
            await until(lambda: not client.head.engine.reducer.records)
            # requests that were at nodes are complete; nothing more was sent
            assert count_node_requests() == requests_at_nodes < before + 5

    run(scenario())
