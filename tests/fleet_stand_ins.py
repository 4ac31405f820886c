"""Stand-ins for a story of several heads: the judged history, rough nodes, and agents of discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from typing import Any

from tests.peers import node_list


class History:
    """What clients, nodes and discovery saw, as stoatrouter/lab/histories/requests.py reads it."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.heads: dict[str, str] = {}  # that were asked, by request
        self.attempted: set[str] = set()
        self.at_nodes: Counter[str] = Counter()  # attempts that are open, by head

    def write(self, what: str, **more: Any) -> None:
        """Add a line, of now."""
        self.lines.append({"what": what, "at": time.monotonic(), **more})
        request = more.get("request", "")
        match what:
            case "sent":
                self.heads[request] = more["head"]
            case "attempt":
                self.attempted.add(request)
                self.at_nodes[self.heads.get(request, "")] += 1
            case "over":
                self.at_nodes[self.heads.get(request, "")] -= 1

    def reached_a_node(self, request: str) -> bool:
        """Whether a request was attempted."""
        return request in self.attempted

    def in_flight(self, head: str) -> int:
        """How many requests of a head are at nodes now."""
        return self.at_nodes[head]


class FaultyNode:
    """A node that serves, rejects, fails, resets after the last byte or is silent, as its seed has it."""

    def __init__(self, name: str, cell: int, seed: int, history: History) -> None:
        self.name, self.cell, self.history = name, cell, history
        self.draws = random.Random(f"{seed}/{name}")
        self.phase = "SERVING"
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while first := await reader.read(1):
                began = time.monotonic()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                fields = {name.lower(): value for name, value in fields.items()}
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.answer(fields.get("req-id", ""), began, reader, writer):
                    break
        writer.close()

    async def answer(
        self, request: str, began: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request, or not; returns whether its connection goes on."""
        self.history.write("attempt", request=request, node=self.name, first=began)
        fate = self.draws.random()
        if fate < 0.08:
            self.end_attempt(request, ran=False)
            self.send(writer, b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        # its end at the node is also that of the head's connection: nothing answers to nobody
        left = asyncio.ensure_future(reader.read(1))
        work = 3600.0 if fate < 0.12 else self.draws.uniform(0.002, 0.25)
        await asyncio.wait([left], timeout=work)
        if left.done():
            self.end_attempt(request, ran=True)
            return False
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        self.end_attempt(request, ran=True)
        if fate < 0.24:
            writer.transport.abort()
            return False
        if fate < 0.3:
            self.send(writer, b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        else:
            body = self.body_for(request)
            self.send(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True

    def body_for(self, request: str) -> bytes:
        """The body of a good answer."""
        return b"done"

    def send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write a whole answer."""
        writer.write(answer)

    def end_attempt(self, request: str, ran: bool) -> None:
        """Note that an attempt ended here, and whether it may have run."""
        self.history.write("over", request=request, node=self.name, ran=ran)

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "m",
            "cell": self.cell,
            "lifecycle": self.phase,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class PushingAgent:
    """The agent of one head: pushes changes, and may let the call that is open fall silent."""

    def __init__(self, head: str, nodes: list[FaultyNode], history: History) -> None:
        self.head, self.nodes, self.history = head, nodes, history
        self.generation, self.changed = 1, asyncio.Event()
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.pending: dict[str, float] = {}  # draining nodes, which a silent watch misses
        self.down = False  # whether it ends all connections

    def push(self, node: FaultyNode) -> None:
        """Push a node's change.

        The head counts as notified, unless the open watch has fallen silent; then it does 6 s later, and
        sooner where it polls anew.
        """
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()
        if node.phase == "SERVING":
            self.pending.pop(node.name, None)
            self.history.write("back", head=self.head, node=node.name)
        elif self.silent:
            self.pending[node.name] = time.monotonic() + 6.0
        else:
            self.history.write("told", head=self.head, node=node.name)

    def fall_silent(self) -> None:
        """Send nothing more on the watches that are open."""
        self.silent |= self.open

    def reset_watches(self) -> None:
        """Reset the watches that are open."""
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                if self.down:
                    writer.transport.abort()
                    break
                self.open.add(writer)
                query = head.split(" ")[1].partition("?")[2]
                asked = dict(pair.split("=") for pair in query.split("&")) if query else {}
                known = int(asked.get("from", -1))
                if known == self.generation:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(asked["hold_ms"]) / 1000):
                            await self.changed.wait()
                if writer in self.silent:
                    await reader.read()  # silent, up to the end of this connection
                    self.silent.discard(writer)
                    break
                changed = self.nodes if known != self.generation else []
                for node in changed:
                    if self.pending.pop(node.name, None) is not None:  # it polled anew, so it has it now
                        self.history.write("told", head=self.head, node=node.name)
                message = node_list(self.generation, *(n.entry() for n in changed), reset=known < 0)
                body = json.dumps(message).encode()
                self.open.discard(writer)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.open.discard(writer)
        writer.close()
