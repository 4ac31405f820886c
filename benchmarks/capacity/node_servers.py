"""A child process: storage nodes as listening sockets, each answering after a drawn time.

Specification: `count`, `seed`, `fastest_ms`, `slowest_ms`. Says `ports` first; then, for each line, how many
connections were accepted and are open, how many requests were answered, and its processor time.
"""

from __future__ import annotations

import asyncio
import random
import time

from benchmarks.capacity.children import Message, say, serve, specification

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


class Counts:
    """What all nodes of this process have seen."""

    def __init__(self) -> None:
        self.accepted = self.open = self.answered = self.most_open = 0


class NodeConnection(asyncio.Protocol):
    """One connection of a head; its requests come one after the other."""

    def __init__(self, counts: Counts, latency: random.Random, fastest: float, slowest: float) -> None:
        self.counts, self.latency = counts, latency
        self.fastest, self.slowest = fastest, slowest
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.counts.accepted += 1
        self.counts.open += 1
        self.counts.most_open = max(self.counts.most_open, self.counts.open)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.counts.open -= 1

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(HEAD_END)
        if not end or len(body) < content_length(head):
            return
        self.buffer = b""
        delay = self.latency.uniform(self.fastest, self.slowest)
        asyncio.get_running_loop().call_later(delay, self.answer)

    def answer(self) -> None:
        """Answer the request that has come whole."""
        if self.transport is not None:
            self.counts.answered += 1
            self.transport.write(ANSWER)


def content_length(head: bytes) -> int:
    """How many bytes of body a head announces."""
    at = head.lower().find(LENGTH)
    return int(head[at + len(LENGTH) :].split(b"\r\n", 1)[0]) if at >= 0 else 0


async def main(told: Message) -> None:
    """Listen and answer until the command ends."""
    counts, latency = Counts(), random.Random(told["seed"])
    fastest, slowest = told["fastest_ms"] / 1000, told["slowest_ms"] / 1000
    loop, ports = asyncio.get_running_loop(), []
    for _ in range(told["count"]):
        server = await loop.create_server(lambda: NodeConnection(counts, latency, fastest, slowest), HOST, 0)
        ports.append(server.sockets[0].getsockname()[1])
    say({"ports": ports})

    async def answer(message: Message) -> Message:
        return {
            "accepted": counts.accepted,
            "open": counts.open,
            "most_open": counts.most_open,
            "answered": counts.answered,
            "cpu_s": time.process_time(),
        }

    await serve(answer)


if __name__ == "__main__":
    asyncio.run(main(specification()))
