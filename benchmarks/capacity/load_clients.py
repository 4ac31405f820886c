"""A child process: clients of one head, whose requests come at a stated rate whatever becomes of them.

Specification: `port`, `connections`, `source` (the address that they come from), `name`, `seed`, `shards`,
`volumes` (asked for in turn), `process` of `processes`, `any_percent`, `choice` (which free connection asks
next: `oldest`, `newest` or `random`). Says `open` once all are connected. Each line is one phase, {"rate",
"seconds"}, answered with what became of its requests. A request's time counts from the moment in which it was
due, not from that in which it could be written.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass, field

from benchmarks.capacity.children import Message, say, serve, specification

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
WRITE_PERCENT = 15
BODY = b"y" * 200
DEADLINE_MS = {"score-read": 2000, "event-write": 3000}
AIM_S = {"score-read": 0.4, "event-write": 0.6}  # within which an answer comes in time
SETTLE_S = 4.0  # for what is still open at a phase's end: more than the longest deadline
DIAL_AT_ONCE = 50


@dataclass(slots=True)
class Phase:
    """What became of the requests of one phase."""

    due: int = 0
    ok: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    broken: int = 0
    waited: int = 0  # requests that found no free connection when they were due
    dialled: int = 0
    took_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Ask:
    """One request on its way."""

    due: float
    kind: str
    phase: Phase


class ClientConnection(asyncio.Protocol):
    """One client: at most one request at a time."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.transport: asyncio.Transport | None = None
        self.asked: Ask | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        asked, self.asked = self.asked, None
        if asked is not None:
            asked.phase.broken += 1
            self.clients.free.append(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(HEAD_END)
        if not end or len(body) < content_length(head):
            return
        self.buffer = b""
        asked, self.asked = self.asked, None
        if asked is None:
            return
        count(asked, head[9:12])
        self.clients.free.append(self)

    def write(self, asked: Ask, text: bytes) -> None:
        """Put a request."""
        assert self.transport is not None
        self.asked = asked
        self.transport.write(text)


def count(asked: Ask, status: bytes) -> None:
    """Count an answer."""
    phase, took = asked.phase, time.monotonic() - asked.due
    if status == b"200":
        phase.ok += 1
        phase.in_time += took <= AIM_S[asked.kind]
        phase.took_ms.append(round(took * 1000, 2))
    elif status == b"503":
        phase.refused += 1
    else:
        phase.failed += 1


def content_length(head: bytes) -> int:
    """How many bytes of body a head announces."""
    at = head.lower().find(b"content-length:")
    return int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0


class Clients:
    """All clients of this process."""

    def __init__(self, told: Message) -> None:
        self.told, self.chance = told, random.Random(told["seed"])
        self.free: deque[ClientConnection] = deque()
        self.count = 0
        self.dialling: set[asyncio.Task[None]] = set()

    async def open_all(self) -> None:
        """Open every connection, a few at once."""
        made = [ClientConnection(self) for _ in range(self.told["connections"])]
        for first in range(0, len(made), DIAL_AT_ONCE):
            await asyncio.gather(*(self.dial(each) for each in made[first : first + DIAL_AT_ONCE]))
        self.free.extend(made)

    async def dial(self, connection: ClientConnection) -> None:
        """Connect one client."""
        await asyncio.get_running_loop().create_connection(
            lambda: connection, HOST, self.told["port"], local_addr=(self.told["source"], 0)
        )

    async def phase(self, rate: float, seconds: float) -> Phase:
        """Requests at exponential gaps for so long, then wait for the answers that are still due."""
        phase, due = Phase(), time.monotonic()
        until, waiting = due + seconds, deque[Ask]()
        while due < until:
            due += self.chance.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            phase.due += 1
            writes = self.chance.randrange(100) < WRITE_PERCENT
            waiting.append(Ask(due, "event-write" if writes else "score-read", phase))
            phase.waited += not self.free
            self.put(waiting)
        settled = time.monotonic() + SETTLE_S
        while time.monotonic() < settled and (waiting or done(phase) < phase.due):
            await asyncio.sleep(0.01)
            self.put(waiting)
        phase.broken += phase.due - done(phase)  # no answer at all
        return phase

    def put(self, waiting: deque[Ask]) -> None:
        """Write what waits, as far as there are free connections."""
        while waiting and self.free:
            if self.told["choice"] == "random":
                self.free.rotate(self.chance.randrange(len(self.free)))
            newest = self.told["choice"] == "newest"
            connection = self.free.pop() if newest else self.free.popleft()
            asked = waiting.popleft()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.write(asked, self.text(asked.kind))
                continue
            asked.phase.dialled += 1
            task = asyncio.get_running_loop().create_task(self.put_anew(connection, asked))
            self.dialling.add(task)
            task.add_done_callback(self.dialling.discard)

    async def put_anew(self, connection: ClientConnection, asked: Ask) -> None:
        """Connect again, as the head ended the connection meanwhile, then write."""
        try:
            await self.dial(connection)
        except OSError:
            asked.phase.broken += 1
            self.free.append(connection)
            return
        connection.write(asked, self.text(asked.kind))

    def text(self, kind: str) -> bytes:
        """One request of the platform's protocol."""
        self.count += 1
        told, key = self.told, self.chance.randrange(1 << 60)
        volume = (self.count * told["processes"] + told["process"]) % told["volumes"] + 1
        shard = self.chance.randrange(told["shards"])
        if kind == "event-write" and self.chance.randrange(WRITE_PERCENT) < told["any_percent"]:
            shard = -1
        method, body = ("PUT", BODY) if kind == "event-write" else ("GET", b"")
        length = f"Content-Length: {len(body)}\r\nIdempotency-Key: {key}\r\n" if body else ""
        return (
            f"{method} /{kind}/{volume:016x}/{key:016x} HTTP/1.1\r\nHost: h\r\n"
            f"Req-Id: {told['name']}-{self.count}\r\nX-Plan: premium\r\n"
            f"Req-Deadline-Ms: {DEADLINE_MS[kind]}\r\nX-IO: units=1,shard={shard},hosts=2\r\n{length}\r\n"
        ).encode() + body


def done(phase: Phase) -> int:
    """How many requests of a phase have come to an end."""
    return phase.ok + phase.refused + phase.failed + phase.broken


async def main(told: Message) -> None:
    """Ask until the command ends."""
    clients = Clients(told)
    await clients.open_all()
    say({"open": len(clients.free)})

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
