"""A client of the HTTP front, and a head with that front, rules of three teams and scripted nodes."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

import aiohttp
from aiohttp import web

from stoatrouter.fronts.http.settings import load_http
from stoatrouter.head import Head
from tests.peers import HOST, Node, head_config, nodes_up
from tests.rules import write_rules


class WebNode(Node):
    """A node that answers as any HTTP server may and records its requests."""

    def __init__(self, name, shard, *script):
        super().__init__(name, shard, *script)
        self.asked = []  # method, target, fields, body, time

    async def handle(self, request):
        body = await request.read()
        step = self.script.popleft() if self.script else "serve"
        now = asyncio.get_running_loop().time()
        self.asked.append((request.method, request.raw_path, request.headers.copy(), body, now))
        if step == "reset":
            request.transport.abort()
        if step == "error":
            return web.Response(status=500)
        if step == "silent":
            await asyncio.sleep(3600)
        if self.gate is not None:
            await self.gate(request)
        self.ran[request.headers["Req-Id"]] += 1
        path = request.raw_path.partition("?")[0]
        if path.endswith("/missing"):
            return web.Response(status=404, text="nothing here", headers={"X-Kind": "none"})
        if path.endswith("/same"):
            return web.Response(status=304, headers={"ETag": '"1"'})
        if path.endswith("/large"):
            return web.Response(
                body=b"z" * 3_000_000, headers={"Content-Type": "video/mp4", "Srv-Load": "util=0.1"}
            )
        if path.endswith("/moved"):
            return web.Response(
                status=302, headers={"Location": "/elsewhere", "Connection": "x-hop", "X-Hop": "1"}
            )
        return web.Response(
            body=body or self.name.encode(), headers={"Content-Type": "text/x-node", "ETag": '"7"'}
        )


def two_nodes(*script):
    return WebNode("a", 0, *script), WebNode("b", 1, *script)


@contextlib.asynccontextmanager
async def gateway(folder, *nodes, settings='listen: "127.0.0.1:0"\nrules: "rules.cue"\n', **teams):
    """Run a head with the HTTP front in front of these nodes."""
    write_rules(folder, **teams)
    (folder / "http.cue").write_text(settings)
    async with nodes_up(*nodes):
        head = Head(head_config(*nodes), http=load_http(folder / "http.cue"))
        await head.start()
        try:
            yield head
        finally:
            await head.stop()


class Client:
    """A client that counts the final answer of each request."""

    def __init__(self, session, head):
        self.session = session
        self.base = f"http://{HOST}:{head.http.port}"
        self.answers = Counter()

    async def ask(self, method, target, body=None, host="scores.example", **fields):
        number = len(self.answers)
        self.answers[number] = 0
        url = aiohttp.client.URL(self.base + target, encoded=True)
        headers = {"Host": host, **{name.replace("_", "-"): value for name, value in fields.items()}}
        async with self.session.request(
            method, url, data=body, headers=headers, allow_redirects=False
        ) as response:
            data = await response.read()
            self.answers[number] += 1
            return response.status, response.headers, data


@contextlib.asynccontextmanager
async def client_of(head):
    async with aiohttp.ClientSession(
        auto_decompress=False, connector=aiohttp.TCPConnector(limit=64)
    ) as session:
        yield Client(session, head)


def check_settled(head, client):
    """Check that each request had exactly one final answer and that the head keeps no state of it."""
    assert set(client.answers.values()) <= {1}
    assert not head.engine.waiters and not head.engine.attempts
