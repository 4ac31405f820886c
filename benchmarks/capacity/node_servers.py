"""A child process: storage nodes as listening sockets that answer after a random delay.

Specification: `count`, `seed`, `fastest_ms`, `slowest_ms`. The first message is `ports`; then, for each
message to the child, the numbers of accepted and open connections and answered requests, and its processor
time.
"""

from __future__ import annotations

import asyncio
import random
import time

from benchmarks.capacity.children import Message, send_line, serve, specification

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


class Counts:
    """Counts of all nodes of this process."""

    def __init__(self) -> None:
        self.accepted = self.open = self.answered = self.most_open = 0


class NodeConnection(asyncio.Protocol):
    """One connection from a head, with one request at a time."""

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
        """Answer a complete request."""
        if self.transport is not None:
            self.counts.answered += 1
            self.transport.write(ANSWER)


def content_length(head: bytes) -> int:
    """Return the body length that a request header announces."""
    at = head.lower().find(LENGTH)
    return int(head[at + len(LENGTH) :].split(b"\r\n", 1)[0]) if at >= 0 else 0


async def main(spec: Message) -> None:
    """Listen and answer until the input ends."""
    counts, latency = Counts(), random.Random(spec["seed"])
    fastest, slowest = spec["fastest_ms"] / 1000, spec["slowest_ms"] / 1000
    loop, ports = asyncio.get_running_loop(), []
    for _ in range(spec["count"]):
        server = await loop.create_server(lambda: NodeConnection(counts, latency, fastest, slowest), HOST, 0)
        ports.append(server.sockets[0].getsockname()[1])
    send_line({"ports": ports})

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
