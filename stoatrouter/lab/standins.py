"""Stand-ins on loopback for tests and the demo: storage nodes in memory, and discovery."""

from __future__ import annotations

import asyncio
import json
import random
import re
from dataclasses import dataclass, field
from datetime import timedelta

from aiohttp import web

HOST = "127.0.0.1"
PIECE = re.compile(r"/[^/]+/([0-9a-fA-F]{16}/[0-9a-fA-F]{16})")
LARGEST = 40 * 1024 * 1024  # bytes of one body
MOST_KEPT = 256 * 1024 * 1024  # bytes in all; beyond, a write is told that the node is full
HELD = timedelta(seconds=60)


@dataclass(slots=True)
class StandInNode:
    """A storage node in memory, with slots, a queue, and service times drawn from a seed."""

    name: str
    shard: int
    seed: int
    slots: int = 4
    queue: int = 16
    kept: dict[str, bytes] = field(default_factory=dict)
    waiting: int = 0
    size: int = 0
    served: int = 0
    port: int = 0
    free_slots: asyncio.Semaphore = field(init=False)
    times: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.free_slots, self.times = asyncio.Semaphore(self.slots), random.Random(f"{self.seed}/{self.name}")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of the nodes' protocol, or a load probe."""
        if request.raw_path == "/load":
            return web.Response(text=self.load())
        if "Req-Id" not in request.headers:
            return web.Response(status=404)
        body = await read_body(request)
        if self.waiting >= self.slots + self.queue or self.size + len(body) > MOST_KEPT:
            return web.Response(status=503, headers={"Srv-Declined": "1"})
        self.waiting += 1
        try:
            async with self.free_slots:
                await asyncio.sleep(self.times.uniform(0.004, 0.02))
                return self.answer(request, body)
        finally:
            self.waiting -= 1

    def answer(self, request: web.BaseRequest, body: bytes) -> web.Response:
        """Store or return a body; where nothing is stored, 404, or an empty body for pieces of objects."""
        path = request.raw_path.partition("?")[0]
        piece = PIECE.fullmatch(path)
        place = piece[1] if piece is not None else path
        self.served += 1
        headers = {"Srv-Load": self.load()}
        if request.method in ("PUT", "POST"):
            self.size += len(body) - len(self.kept.get(place, b""))
            self.kept[place] = body
            return web.Response(body=b"", headers=headers)
        found = self.kept.get(place)
        if found is None and piece is None:
            return web.Response(status=404, text="nothing is kept here\n", headers=headers)
        return web.Response(body=found or b"", headers=headers)

    def load(self) -> str:
        """The load report, as nodes send it in Srv-Load."""
        return f"util={min(1.0, self.waiting / self.slots):.2f},inflight={self.waiting}"

    def entry(self) -> dict[str, object]:
        """The node's entry in discovery's list."""
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


class StandInDiscovery:
    """Discovery: the whole list, and watches that are held until it changes."""

    def __init__(self, nodes: list[StandInNode]) -> None:
        self.nodes, self.generation = nodes, 1
        self.changed = asyncio.Event()

    def full_list(self) -> dict[str, object]:
        """The whole list as discovery's message."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [node.entry() for node in self.nodes],
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call with the whole list; a watch is held until the list changes or its time is over."""
        if "from" in request.query and request.query["from"] == str(self.generation):
            hold = min(HELD, timedelta(milliseconds=int(request.query.get("hold_ms", "0"))))
            try:
                await asyncio.wait_for(self.changed.wait(), hold.total_seconds())
            except TimeoutError:
                unchanged = {"generation": self.generation, "reset": False, "instances": []}
                return web.Response(body=json.dumps(unchanged).encode())
        return web.Response(body=json.dumps(self.full_list()).encode())


async def read_body(request: web.BaseRequest) -> bytes:
    """Read a body of at most LARGEST bytes; a larger one breaks the connection."""
    body = bytearray()
    async for piece in request.content.iter_any():
        body += piece
        if len(body) > LARGEST:
            raise web.RequestPayloadError("a body over the bound")
    return bytes(body)


class StandInServers:
    """Runs stand-ins on free ports of loopback."""

    def __init__(self) -> None:
        self.open: list[tuple[asyncio.Server, web.Server]] = []

    async def serve(self, handler: object) -> int:
        """Serve a handler on a free port of loopback; returns the port."""
        server = web.Server(handler, access_log=None)  # type: ignore[arg-type]
        listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
        self.open.append((listener, server))
        return int(listener.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close all listening sockets and connections."""
        for listener, server in self.open:
            listener.close()
            await server.shutdown(0.1)
