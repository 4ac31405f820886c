"""Scripted peers on loopback (storage nodes and discovery) and the configuration of a head for tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from aiohttp import web

from stoatrouter import config
from stoatrouter.net.listener import Handler
from tests.story_tasks import raise_failed, watch_tasks

HOST = "127.0.0.1"
SETTINGS: dict[str, Any] = {
    "Balancers": 1,
    "Me": 0,
    "Zone": 0,
    "Tick": 2000,
    "RegistryMode": "automatic",
    "Classes": [
        {
            "Effect": "retryable",
            "Group": "all",
            "HardLimit": 2000000,
            "LateWorth": 0.2,
            "Name": "score-read",
            "Points": 2.0,
            "Promise": 400000,
            "Stream": False,
            "Window": 5000000,
        },
        {
            "Effect": "dedup",
            "Group": "cell",
            "HardLimit": 3000000,
            "LateWorth": 0.1,
            "Name": "event-write",
            "Points": 3.0,
            "Promise": 600000,
            "Stream": False,
            "Window": 5000000,
        },
        {
            "Effect": "retryable",
            "Group": "all",
            "HardLimit": 6000000,
            "LateWorth": 0.3,
            "Name": "stats-export",
            "Points": 1.0,
            "Promise": 2000000,
            "Stream": False,
            "Window": 5000000,
        },
    ],
    "Contract": {
        "AnswerSlack": 8000,
        "AskWithin": 10000000,
        "Cold": 18000000,
        "ColdFrom": 0.16,
        "DrainGrace": 2000000,
        "Fall": 3000000,
        "FallMultiple": 3.0,
    },
    "Contracts": [
        {
            "Burst": 48.0,
            "Guaranteed": 1.4,
            "Limit": 19.0,
            "Name": "basic",
            "Price": 0.72,
            "Shares": 1.0,
            "Tolerance": 8.0,
            "UsualRate": 4.7,
        },
        {
            "Burst": 0.0,
            "Guaranteed": 7.1,
            "Limit": 0.0,
            "Name": "premium",
            "Price": 0.9,
            "Shares": 1.0,
            "Tolerance": 0.0,
            "UsualRate": 7.1,
        },
    ],
    "Extra": {
        "BeyondShare": 0.05,
        "ChangesData": [False, True, False],
        "ColdBears": 34.0,
        "FairWorth": 0.35,
        "Metering": 0,
        "MostUnits": 8,
        "SaysOthers": True,
        "Shards": 2,
        "UnitMean": 1.99,
    },
    "Limits": {
        "Cancel": True,
        "ConnIdle": 30000000,
        "ConnectTimeout": 250000,
        "MaxOpen": 24338,
        "MaxRetryAfter": 500000,
        "MostTries": 4,
        "ParallelTries": True,
        "Probes": True,
        "RetryAfter": True,
    },
    "Report": {"Fields": ["util", "inflight"], "How": "probe"},
}


PARALLEL_ATTEMPTS = bool(SETTINGS["Limits"]["ParallelTries"])

# Steps of a node's script that answer without running the request: status and headers.
FAULTS: dict[str, tuple[int, dict[str, str]]] = {
    "decline": (503, {"Srv-Declined": "1"}),
    "elsewhere": (504, {"Srv-Declined": "1"}),
    "error": (500, {}),
}


class Node:
    """A storage node that stores pieces and follows its script, one step for each request."""

    def __init__(self, name: str, shard: int, *script: str) -> None:
        self.name = name
        self.shard = shard
        self.script = deque(script)
        self.pieces: dict[str, bytes] = {}
        self.ran: Counter[str] = Counter()  # by Req-Id
        self.seen: list[tuple[str, str, float, int]] = []  # method, target, time, bytes of the piece
        self.requests: list[web.BaseRequest] = []
        self.lifecycle = "SERVING"
        self.port = 0
        self.gate: Callable[[web.BaseRequest], Awaitable[None]] | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        step = self.script.popleft() if self.script else "serve"
        self.requests.append(request)
        self.seen.append(
            (
                request.method,
                request.raw_path,
                asyncio.get_running_loop().time(),
                len(body or self.pieces.get(piece(request), b"")),
            )
        )
        if step == "reset":
            request.transport.abort()
        if step == "silent":
            await asyncio.sleep(3600)
        if step in FAULTS:
            status, headers = FAULTS[step]
            return web.Response(status=status, headers=headers)
        if self.gate is not None:
            await self.gate(request)
        self.ran[request.headers["Req-Id"]] += 1
        if request.method == "PUT":
            self.pieces[piece(request)] = body
            return web.Response(body=b"stored")
        response = web.Response(body=self.pieces.get(piece(request), b""))
        if step == "cut":  # announces 100 bytes, sends half of them and closes the connection
            response = web.StreamResponse(headers={"Content-Length": "100"})
            await response.prepare(request)
            await response.write(b"x" * 50)
            request.transport.close()
        return response

    def entry(self, **more: Any) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": self.shard,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        } | more


def piece(request: web.BaseRequest) -> str:
    """Return volume and data without the class, which differs between reads and writes of a piece."""
    return request.raw_path.partition("?")[0].split("/", 2)[2]


class Discovery:
    """Discovery with a list of messages: each call gets the next one; after the last, calls wait."""

    def __init__(self, *script: Any) -> None:
        self.script = asyncio.Queue()
        self.calls = []  # time and target of each
        for step in script:
            self.script.put_nowait(step)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append((asyncio.get_running_loop().time(), request.raw_path))
        step = await self.script.get()
        if isinstance(step, bytes):
            return web.Response(body=step)
        if isinstance(step, int):
            return web.Response(status=step)
        return web.Response(body=json.dumps(step).encode())


def node_list(generation: int, *entries: dict[str, Any], reset: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(entries)}


@contextlib.asynccontextmanager
async def listening(handler: Handler) -> AsyncIterator[int]:
    """Serve a handler on a port that the system chooses."""
    server = web.Server(handler, access_log=None)
    sockets = await asyncio.get_running_loop().create_server(server, HOST, 0)
    try:
        yield sockets.sockets[0].getsockname()[1]
    finally:
        sockets.close()
        await server.shutdown(0.05)


@contextlib.asynccontextmanager
async def nodes_up(*nodes: Node) -> AsyncIterator[list[Node]]:
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            node.port = await stack.enter_async_context(listening(node.handle))
        yield list(nodes)


def config_data(
    known: dict[str, Any], discovery: int = 9, listen: int = 0, management: str | None = None, **limits: Any
) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
        "known": known,
        "settings": SETTINGS,
        "management": management,
    }


def head_config(*nodes: Node, **more: Any) -> config.Config:
    return config.parse(config_data(node_list(1, *(n.entry() for n in nodes)), **more))


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, at most for the time limit of the test.

    A task of the test that has failed ends the wait with its error: the condition may depend on it.
    """
    while not holds():
        raise_failed()
        await asyncio.sleep(0.005)


def run(scenario: Awaitable[Any], limit: float = 30.0) -> Any:
    """Run one test scenario; the limit (seconds) only guards against a hang."""

    async def bounded() -> Any:
        watch_tasks(asyncio.get_running_loop())
        async with asyncio.timeout(limit):
            return await scenario

    return asyncio.run(bounded())
