"""Stand-ins for tests of several heads: the history to judge, faulty nodes, and discovery agents."""

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
    """Records what clients, nodes and discovery saw, in the form of stoatrouter/lab/histories/requests.py."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.heads: dict[str, str] = {}  # that each request was sent to, by request
        self.attempted: set[str] = set()
        self.at_nodes: Counter[str] = Counter()  # open attempts, by head

    def write(self, what: str, **more: Any) -> None:
        """Add a line with the current time."""
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
        """Return whether a request was attempted."""
        return request in self.attempted

    def in_flight(self, head: str) -> int:
        """Return how many requests of a head are at nodes now."""
        return self.at_nodes[head]


class FaultyNode:
    """A node that serves, rejects, fails, resets after the last byte or is silent, by its seed."""

    def __init__(self, name: str, cell: int, seed: int, history: History) -> None:
        self.name = name
        self.cell = cell
        self.history = history
        self.draws = random.Random(f"{seed}/{name}")
        self.phase = "SERVING"
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while first := await reader.read(1):
                first_byte_at = time.monotonic()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                fields = {name.lower(): value for name, value in fields.items()}
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.answer(fields.get("req-id", ""), first_byte_at, reader, writer):
                    break
        writer.close()

    async def answer(
        self, request: str, first_byte_at: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request or fail it; returns whether its connection stays open."""
        self.history.write("attempt", request=request, node=self.name, first=first_byte_at)
        draw = self.draws.random()
        if draw < 0.08:
            self.end_attempt(request, ran=False)
            self.send(writer, b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        # an attempt ends when the head closes the connection, since nobody would receive the answer
        disconnected = asyncio.ensure_future(reader.read(1))
        work = 3600.0 if draw < 0.12 else self.draws.uniform(0.002, 0.25)
        await asyncio.wait([disconnected], timeout=work)
        if disconnected.done():
            self.end_attempt(request, ran=True)
            return False
        disconnected.cancel()
        await asyncio.gather(disconnected, return_exceptions=True)
        self.end_attempt(request, ran=True)
        if draw < 0.24:
            writer.transport.abort()
            return False
        if draw < 0.3:
            self.send(writer, b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        else:
            body = self.body_for(request)
            self.send(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True

    def body_for(self, request: str) -> bytes:
        """Return the body of a successful answer."""
        return b"done"

    def send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write a complete answer."""
        writer.write(answer)

    def end_attempt(self, request: str, ran: bool) -> None:
        """Record that an attempt ended at this node, and whether it may have run."""
        self.history.write("over", request=request, node=self.name, ran=ran)

    def entry(self) -> dict[str, Any]:
        """Return the node's entry in the endpoint list."""
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
    """The discovery agent of one head: pushes changes, and may fall silent on the open calls."""

    def __init__(self, head: str, nodes: list[FaultyNode], history: History) -> None:
        self.head = head
        self.nodes = nodes
        self.history = history
        self.generation = 1
        self.changed = asyncio.Event()
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.pending: dict[str, float] = {}  # draining nodes that a silent watch does not report
        self.down = False  # whether the agent ends all connections

    def push(self, node: FaultyNode) -> None:
        """Push a node's change.

        The head counts as notified at once or, if the open watch has fallen silent, 6 s later or as soon as
        it polls again.
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
                parameters = dict(pair.split("=") for pair in query.split("&")) if query else {}
                known = int(parameters.get("from", -1))
                if known == self.generation:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(parameters["hold_ms"]) / 1000):
                            await self.changed.wait()
                if writer in self.silent:
                    await reader.read()  # silent until this connection ends
                    self.silent.discard(writer)
                    break
                changed = self.nodes if known != self.generation else []
                for node in changed:
                    if self.pending.pop(node.name, None) is not None:  # it polled again
                        self.history.write("told", head=self.head, node=node.name)
                message = node_list(self.generation, *(n.entry() for n in changed), reset=known < 0)
                body = json.dumps(message).encode()
                self.open.discard(writer)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.open.discard(writer)
        writer.close()
