"""A child process: clients of one head that send requests at a fixed rate, independent of the answers.

Specification: `port`, `connections`, `source` (their local address), `name`, `seed`, `shards`, `volumes`
(requested in turn), `process` of `processes`, `any_percent`, `choice` (which free connection is used next:
`oldest`, `newest` or `random`). The first message is `open`, once all are connected. Each message to the
child is one phase, {"rate", "seconds"}, answered with the outcomes of its requests. The latency of a request
counts from the time at which it was due, not from that at which it was sent.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass, field

from benchmarks.capacity.children import Message, send_line, serve, specification

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
WRITE_PERCENT = 15
BODY = b"y" * 200
DEADLINE_MS = {"score-read": 2000, "event-write": 3000}
LATENCY_TARGET_S = {"score-read": 0.4, "event-write": 0.6}  # latency up to which an answer counts as in time
SETTLE_S = 4.0  # to wait for open requests at the end of a phase; more than the longest deadline
MAX_CONCURRENT_DIALS = 50


@dataclass(slots=True)
class Phase:
    """Outcomes of the requests of one phase."""

    due: int = 0
    ok: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    broken: int = 0
    waited: int = 0  # requests without a free connection when they were due
    dialled: int = 0
    took_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class OpenRequest:
    """One request that is due or open."""

    due: float
    kind: str
    phase: Phase


class ClientConnection(asyncio.Protocol):
    """One client connection, with at most one request at a time."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.transport: asyncio.Transport | None = None
        self.request: OpenRequest | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        request, self.request = self.request, None
        if request is not None:
            request.phase.broken += 1
            self.clients.free.append(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(HEAD_END)
        if not end or len(body) < content_length(head):
            return
        self.buffer = b""
        request, self.request = self.request, None
        if request is None:
            return
        count(request, head[9:12])
        self.clients.free.append(self)

    def write(self, request: OpenRequest, text: bytes) -> None:
        """Send a request."""
        assert self.transport is not None
        self.request = request
        self.transport.write(text)


def count(request: OpenRequest, status: bytes) -> None:
    """Count an answer."""
    phase, latency = request.phase, time.monotonic() - request.due
    if status == b"200":
        phase.ok += 1
        phase.in_time += latency <= LATENCY_TARGET_S[request.kind]
        phase.took_ms.append(round(latency * 1000, 2))
    elif status == b"503":
        phase.refused += 1
    else:
        phase.failed += 1


def content_length(head: bytes) -> int:
    """Return the body length that a response header announces."""
    at = head.lower().find(b"content-length:")
    return int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0


class Clients:
    """All clients of this process."""

    def __init__(self, spec: Message) -> None:
        self.spec, self.rng = spec, random.Random(spec["seed"])
        self.free: deque[ClientConnection] = deque()
        self.count = 0
        self.dialling: set[asyncio.Task[None]] = set()

    async def open_all(self) -> None:
        """Open all connections, 50 at once."""
        connections = [ClientConnection(self) for _ in range(self.spec["connections"])]
        for first in range(0, len(connections), MAX_CONCURRENT_DIALS):
            await asyncio.gather(
                *(self.dial(each) for each in connections[first : first + MAX_CONCURRENT_DIALS])
            )
        self.free.extend(connections)

    async def dial(self, connection: ClientConnection) -> None:
        """Connect one client."""
        await asyncio.get_running_loop().create_connection(
            lambda: connection, HOST, self.spec["port"], local_addr=(self.spec["source"], 0)
        )

    async def phase(self, rate: float, seconds: float) -> Phase:
        """Send requests at exponential intervals for a time, then wait for open answers."""
        phase, due = Phase(), time.monotonic()
        ends_at, waiting = due + seconds, deque[OpenRequest]()
        while due < ends_at:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            phase.due += 1
            is_write = self.rng.randrange(100) < WRITE_PERCENT
            waiting.append(OpenRequest(due, "event-write" if is_write else "score-read", phase))
            phase.waited += not self.free
            self.send_waiting(waiting)
        deadline = time.monotonic() + SETTLE_S
        while time.monotonic() < deadline and (waiting or finished_count(phase) < phase.due):
            await asyncio.sleep(0.01)
            self.send_waiting(waiting)
        phase.broken += phase.due - finished_count(phase)  # no answer at all
        return phase

    def send_waiting(self, waiting: deque[OpenRequest]) -> None:
        """Send waiting requests while there are free connections."""
        while waiting and self.free:
            if self.spec["choice"] == "random":
                self.free.rotate(self.rng.randrange(len(self.free)))
            newest = self.spec["choice"] == "newest"
            connection = self.free.pop() if newest else self.free.popleft()
            request = waiting.popleft()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.write(request, self.text(request.kind))
                continue
            request.phase.dialled += 1
            task = asyncio.get_running_loop().create_task(self.reconnect_and_send(connection, request))
            self.dialling.add(task)
            task.add_done_callback(self.dialling.discard)

    async def reconnect_and_send(self, connection: ClientConnection, request: OpenRequest) -> None:
        """Reconnect, because the head has closed the connection, then send the request."""
        try:
            await self.dial(connection)
        except OSError:
            request.phase.broken += 1
            self.free.append(connection)
            return
        connection.write(request, self.text(request.kind))

    def text(self, kind: str) -> bytes:
        """Return one request of the platform's protocol."""
        self.count += 1
        spec, key = self.spec, self.rng.randrange(1 << 60)
        volume = (self.count * spec["processes"] + spec["process"]) % spec["volumes"] + 1
        shard = self.rng.randrange(spec["shards"])
        if kind == "event-write" and self.rng.randrange(WRITE_PERCENT) < spec["any_percent"]:
            shard = -1
        method, body = ("PUT", BODY) if kind == "event-write" else ("GET", b"")
        length = f"Content-Length: {len(body)}\r\nIdempotency-Key: {key}\r\n" if body else ""
        return (
            f"{method} /{kind}/{volume:016x}/{key:016x} HTTP/1.1\r\nHost: h\r\n"
            f"Req-Id: {spec['name']}-{self.count}\r\nX-Plan: premium\r\n"
            f"Req-Deadline-Ms: {DEADLINE_MS[kind]}\r\nX-IO: units=1,shard={shard},hosts=2\r\n{length}\r\n"
        ).encode() + body


def finished_count(phase: Phase) -> int:
    """Return the number of finished requests of a phase."""
    return phase.ok + phase.refused + phase.failed + phase.broken


async def main(spec: Message) -> None:
    """Serve phases until the input ends."""
    clients = Clients(spec)
    await clients.open_all()
    send_line({"open": len(clients.free)})

    async def answer(message: Message) -> Message:
        before = time.process_time()
        phase = await clients.phase(message["rate"], message["seconds"])
        return {
            "due": phase.due,
            "ok": phase.ok,
            "in_time": phase.in_time,
            "refused": phase.refused,
            "failed": phase.failed,
            "broken": phase.broken,
            "waited": phase.waited,
            "dialled": phase.dialled,
            "took_ms": phase.took_ms,
            "cpu_s": time.process_time() - before,
        }

    await serve(answer)


if __name__ == "__main__":
    asyncio.run(main(specification()))
