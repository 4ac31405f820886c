"""A forced scenario: clients leave while their first attempt is at a node, which declines it much later."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path
from typing import Any

from stoatrouter.lab.histories.requests import Guarantees
from tests.fleet_stand_ins import FaultyNode, History
from tests.fleet_story import Client, ScenarioHead, guarantees_of, recorded, stand_ins
from tests.peers import until
from tests.process_signals import kill

DEPARTURES = 4
DECLINED_AFTER = 0.6  # seconds after the client left: past the time at which an attempt may still begin
LIMIT = 60.0  # seconds: guards against a hang
RETRIES_WITHIN = 0.8  # seconds: more than the longest backoff of a retry


class HoldingNode(FaultyNode):
    """A node that holds attempts until it is released, then declines them; after that it serves."""

    def __init__(self, name: str, cell: int, history: History) -> None:
        super().__init__(name, cell, 0, history)
        self.released = asyncio.Event()

    async def answer(
        self, request: str, first_byte_at: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; returns whether its connection stays open."""
        self.history.write("attempt", request=request, node=self.name, first=first_byte_at)
        held = not self.released.is_set()
        disconnected = asyncio.ensure_future(reader.read(1))
        release = asyncio.ensure_future(self.released.wait())
        await asyncio.wait([disconnected, release], return_when=asyncio.FIRST_COMPLETED)
        self.end_attempt(request, ran=not held)
        was_cancelled = disconnected.done()
        for waiting in (disconnected, release):
            waiting.cancel()
        await asyncio.gather(disconnected, release, return_exceptions=True)
        if was_cancelled:
            return False
        if held:
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return True


async def play_departures(folder: Path, prelude: str = "") -> tuple[list[dict[str, Any]], Guarantees]:
    """Run the scenario; return what stand-ins and clients saw, and the terms to judge it by."""
    history = History()
    nodes = [HoldingNode(f"n{i}", i % 2, history) for i in range(4)]  # two shards
    head = ScenarioHead("h0", folder, nodes, history, prelude)
    async with stand_ins(nodes, [head]):
        await head.start(1)
        try:
            async with asyncio.timeout(LIMIT):
                for number in range(DEPARTURES):
                    await depart(Client(number, head, 0, history), f"d{number}", nodes)
        finally:
            kill(head.process)
            await head.process.wait()
        now = time.monotonic()
    lines = [line for line in history.lines if line["at"] <= now] + recorded([head])
    return lines, guarantees_of(nodes, slack=0.4)


async def depart(client: Client, name: str, nodes: list[HoldingNode]) -> None:
    """Send one request, leave once a node has it, and let the node decline it later."""
    for node in nodes:
        node.released.clear()
    history = client.history
    _, writer = await asyncio.open_connection(client.head.host, client.head.port)
    history.write("sent", request=name, head=client.head.name, kind="look")
    writer.write(client.encode(name, "look"))
    await until(lambda: history.reached_a_node(name))
    history.write("gone", request=name)
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    await asyncio.sleep(DECLINED_AFTER)
    for node in nodes:
        node.released.set()
    await asyncio.sleep(RETRIES_WITHIN)
