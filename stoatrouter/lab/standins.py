"""Stand-ins on loopback for tests, benchmarks and the demo: in-memory storage nodes and discovery."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from aiohttp import web

HOST = "127.0.0.1"
ANY_PORT = 0
PIECE = re.compile(r"/[^/]+/([0-9a-fA-F]{16}/[0-9a-fA-F]{16})")
MAX_BODY = 40 * 1024 * 1024  # bytes
MAX_STORED = 256 * 1024 * 1024  # bytes in a node; a write beyond this is rejected as by a full node
MAX_HOLD = timedelta(seconds=60)
SERVICE_SECONDS = (0.004, 0.02)  # minimum and maximum service time of a request
CLOSE_TIMEOUT = 0.1  # seconds for open connections to finish

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class StandInNode:
    """An in-memory storage node with a fixed number of slots, a bounded queue and seeded service times."""

    name: str
    shard: int
    seed: int
    slots: int = 4
    queue: int = 16
    stored: dict[str, bytes] = field(default_factory=dict)  # bodies by path, or by key of an object's piece
    waiting: int = 0  # requests in a slot or in the queue
    size: int = 0  # stored bytes
    served: int = 0
    port: int = 0
    free_slots: asyncio.Semaphore = field(init=False)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Create the semaphore of the slots, and seed the service times with the name of the node."""
        self.free_slots = asyncio.Semaphore(self.slots)
        self.rng = random.Random(f"{self.seed}/{self.name}")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of the node protocol, or a load probe."""
        if request.raw_path == "/load":
            return web.Response(text=self.load())
        if "Req-Id" not in request.headers:
            return web.Response(status=404)
        body = await read_body(request)
        if self.waiting >= self.slots + self.queue or self.size + len(body) > MAX_STORED:
            return web.Response(status=503, headers={"Srv-Declined": "1"})
        self.waiting += 1
        try:
            async with self.free_slots:
                await asyncio.sleep(self.rng.uniform(*SERVICE_SECONDS))
                return self.answer(request, body)
        finally:
            self.waiting -= 1

    def answer(self, request: web.BaseRequest, body: bytes) -> web.Response:
        """Store or return a body; a missing one is a 404, or an empty body for a piece of an object."""
        path = request.raw_path.partition("?")[0]
        piece = PIECE.fullmatch(path)
        key = piece[1] if piece is not None else path
        self.served += 1
        headers = {"Srv-Load": self.load()}
        if request.method in ("PUT", "POST"):
            self.size += len(body) - len(self.stored.get(key, b""))
            self.stored[key] = body
            return web.Response(body=b"", headers=headers)
        found = self.stored.get(key)
        if found is None and piece is None:
            return web.Response(status=404, text="nothing is kept here\n", headers=headers)
        return web.Response(body=found or b"", headers=headers)

    def load(self) -> str:
        """Return the load report in the format of the Srv-Load header."""
        return f"util={min(1.0, self.waiting / self.slots):.2f},inflight={self.waiting}"

    def entry(self) -> dict[str, object]:
        """Return the entry of the node in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "a",
            "machineType": "demo",
            "cell": self.shard,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }


class ListedNode(Protocol):
    """A node that discovery can list."""

    def entry(self) -> dict[str, object]:
        """Return the entry of the node in the list."""
        ...


class StandInDiscovery:
    """A discovery service that returns the full list and holds watches until the list changes."""

    def __init__(self, nodes: Sequence[ListedNode]) -> None:
        """Serve a list of these nodes, starting at generation 1."""
        self.nodes = nodes
        self.generation = 1
        self.changed = asyncio.Event()

    def full_list(self) -> dict[str, object]:
        """Return the full list as a discovery message."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [node.entry() for node in self.nodes],
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the full list; a watch of the current list is held until a change or its timeout."""
        if "from" in request.query and request.query["from"] == str(self.generation):
            hold = min(MAX_HOLD, timedelta(milliseconds=int(request.query.get("hold_ms", "0"))))
            try:
                await asyncio.wait_for(self.changed.wait(), hold.total_seconds())
            except TimeoutError:
                unchanged = {"generation": self.generation, "reset": False, "instances": []}
                return web.Response(body=json.dumps(unchanged).encode())
        return web.Response(body=json.dumps(self.full_list()).encode())


async def read_body(request: web.BaseRequest) -> bytes:
    """Read a request body.

    Raises:
        RequestPayloadError: The body is larger than MAX_BODY; aiohttp then closes the connection.
    """
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY:
            raise web.RequestPayloadError("request body is too large")
    return bytes(body)


class StandInServers:
    """HTTP servers of stand-ins on free loopback ports."""

    def __init__(self) -> None:
        """Create an empty set of servers."""
        self.servers: list[tuple[asyncio.Server, web.Server]] = []

    async def serve(self, handler: RequestHandler) -> int:
        """Start a server for a handler on a free loopback port; returns the port."""
        server = web.Server(handler, access_log=None)
        listener = await asyncio.get_running_loop().create_server(server, HOST, ANY_PORT)
        self.servers.append((listener, server))
        return int(listener.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close all listening sockets and open connections."""
        for listener, server in self.servers:
            listener.close()
            await server.shutdown(CLOSE_TIMEOUT)
