"""Requests of the platform and a head on loopback, for tests of the network code."""

from __future__ import annotations

import contextlib
from datetime import timedelta

import aiohttp

from stoatrouter.core import model
from stoatrouter.head import Head
from stoatrouter.net.nodes import NodeClient
from tests.peers import HOST, Node, head_config, nodes_up

PATH = "/score-read/00000003b4d60021/7f3a9c21e0b4d655"
WRITE = "/event-write/00000003b4d60021/7f3a9c21e0b4d655"
HEADERS = {
    "Req-Id": "9b1f03aa5c7e2d41",
    "X-Plan": "premium",
    "Req-Deadline-Ms": "2000",
    "X-IO": "units=2,shard=0,hosts=1",
}


def attempt(
    address: str,
    method: str = "GET",
    body: bytes = b"",
    target: str = PATH,
    timeout: timedelta = timedelta(seconds=5),
) -> model.SendAttempt:
    request = model.Request(
        "id1",
        0,
        0,
        "v",
        "k",
        0,
        1.0,
        1,
        timeout,
        bool(body),
        method=method,
        target=target,
        body=body,
        idempotency_key="key1" if body else None,
    )
    return model.SendAttempt(request, 0, address, timeout)


@contextlib.asynccontextmanager
async def client(connect_timeout: timedelta = timedelta(milliseconds=250)):
    """Run a node client."""
    nodes = NodeClient(connect_timeout, timedelta(seconds=30), 16)
    try:
        yield nodes
    finally:
        await nodes.close()


@contextlib.asynccontextmanager
async def started(*nodes: Node, **settings):
    """Run a head in front of these nodes; yield it and a session with its platform front."""
    async with nodes_up(*nodes):
        head = Head(head_config(*nodes, **settings))
        await head.start()
        try:
            async with aiohttp.ClientSession(f"http://{HOST}:{head.platform.port}") as session:
                yield head, session
        finally:
            await head.stop()
