"""Answers that pause: reported once, not cut off, and not awaited beyond the client's time."""

from __future__ import annotations

import asyncio
import contextlib
import re
from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter.net.nodes import NodeClient
from stoatrouter.policy.interface import Outcome
from tests.peers import HOST, run
from tests.platform_client import attempt
from tests.test_pool import OK, STALL_TIMEOUT, ScriptedNode, address_of, client_of

INCOMPLETE_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nX: y\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"10000\r\n" + b"b" * 65536 + b"\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
]


@pytest.mark.parametrize("answer", INCOMPLETE_ANSWERS)
def test_an_incomplete_answer_is_reported_as_stalled_once_and_ends_with_the_clients_time(answer):
    async def scenario():
        node = ScriptedNode(answer, OK + b"good")
        stalls = []
        async with client_of(node) as (nodes, effect):
            short = replace(effect, timeout=4 * STALL_TIMEOUT)
            reply = await nodes.attempt(short, on_stall=lambda: stalls.append(1))
            assert reply.outcome is Outcome.TIMEOUT and stalls == [1]
            assert (await nodes.attempt(effect)).body == b"good"
            assert node.connections == 2

    run(scenario(), limit=10)


def test_an_answer_that_pauses_is_served_whole():
    async def scenario():
        node = ScriptedNode((b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", b"after"))
        async with client_of(node) as (nodes, effect):
            reply = await nodes.attempt(effect, on_stall=node.may_send_rest.set)
            assert reply.outcome is Outcome.OK and reply.body == b"bodyafter"

    run(scenario(), limit=10)


def test_the_time_told_to_a_node_is_what_is_left_at_the_first_byte():
    async def scenario():
        told = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    told.append(int(re.search(rb"Req-Deadline-Ms: (\d+)", head)[1]))
                    await asyncio.sleep(0.2)
                    writer.write(OK + b"body")
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        nodes = NodeClient(timedelta(milliseconds=250), timedelta(seconds=30), 1)
        effect = attempt(address_of(server), timeout=timedelta(seconds=20))
        async with server:
            await asyncio.gather(nodes.attempt(effect), nodes.attempt(effect))
            await nodes.close()
        first, second = told
        assert first <= 20_000 and second <= first - 200  # it waited for the only connection

    run(scenario())
