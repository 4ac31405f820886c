"""A small scenario of one head in which the head, a node or the client stalls at a forced point."""

from __future__ import annotations

import asyncio
import time
from enum import StrEnum
from pathlib import Path
from typing import Any

from stoatrouter.lab.histories.requests import Guarantees
from tests.fleet_stand_ins import FaultyNode, History
from tests.fleet_story import Client, ScenarioHead, guarantees_of, read_answer, recorded, stand_ins
from tests.process_signals import kill

REQUESTS = 4
LIMIT = 60.0  # seconds: guards against a hang


class Held(StrEnum):
    """Which process stalls, and when."""

    HEAD_BEFORE_DECISION = "head, as it hears that an attempt has ended"
    HEAD_BEFORE_WRITING = "head, between its decision to repeat and the first byte"
    NODE = "node, as a repetition is on its way"
    CLIENT = "client, with its request sent"


HOLD_DECISION = """
import time
from stoatrouter.net.engine import Engine
attempt_ended = Engine.attempt_ended
def late(self, effect, task):
    time.sleep({seconds} if effect.attempt == 0 else 0)
    attempt_ended(self, effect, task)
Engine.attempt_ended = late
"""
HOLD_WRITING = """
import time
from stoatrouter.net.tracked_request import TrackedRequest
send = TrackedRequest.send
async def late(self, conn):
    time.sleep({seconds} if self.attempt_number else 0)
    return await send(self, conn)
TrackedRequest.send = late
"""
PRELUDES = {Held.HEAD_BEFORE_DECISION: HOLD_DECISION, Held.HEAD_BEFORE_WRITING: HOLD_WRITING}


class StallingNode(FaultyNode):
    """A node that resets the first attempt of a request and may then block its event loop."""

    stall = 0.0  # seconds

    async def answer(
        self, request: str, first_byte_at: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request, or reset its connection; returns whether the connection stays open."""
        is_first = not self.history.reached_a_node(request)
        self.history.write("attempt", request=request, node=self.name, first=first_byte_at)
        self.end_attempt(request, ran=True)
        if not is_first:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            return True
        writer.transport.abort()
        await asyncio.sleep(0.001)  # sends the reset before the stall
        time.sleep(self.stall)
        return False


async def play_stalls(
    folder: Path, held: Held, seconds: float, slack: float, prelude: str = ""
) -> tuple[list[dict[str, Any]], Guarantees]:
    """Run the scenario; return what stand-ins, client and head recorded, and the terms to judge it by."""
    history = History()
    nodes = [StallingNode(f"n{i}", i % 2, 0, history) for i in range(4)]  # two shards
    for node in nodes:
        node.stall = seconds if held is Held.NODE else 0.0
    prelude = PRELUDES.get(held, "").format(seconds=seconds) + prelude
    head = ScenarioHead("h0", folder, list(nodes), history, prelude)
    stall = seconds if held is Held.CLIENT else 0.0
    async with stand_ins(list(nodes), [head]):
        await head.start(1)
        try:
            async with asyncio.timeout(LIMIT):
                for number in range(REQUESTS):
                    client = Client(number, head, 0, history)
                    # an event loop of its own, so that a node that stalls does not stall the client
                    await asyncio.to_thread(asyncio.run, send_request(client, f"s{number}", stall))
        finally:
            assert head.process is not None
            kill(head.process)
            await head.process.wait()
    lines = [*history.lines, *recorded([head])]
    return lines, guarantees_of(nodes, slack=slack)


async def send_request(client: Client, name: str, stall: float) -> None:
    """Send one request that may be retried within its window, and wait for its answer."""
    reader, writer = await asyncio.open_connection(client.head.host, client.head.port)
    client.history.write("sent", request=name, head=client.head.name, kind="note")
    writer.write(client.encode(name, "note"))
    await writer.drain()
    time.sleep(stall)
    answer = await read_answer(reader)
    client.history.write("answered", request=name, status=answer.status)
    writer.close()
