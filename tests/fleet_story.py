"""Several heads of the real program before stand-ins that fail as a seed has it, with a history of it all."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from stoatrouter.lab.histories.requests import Effect, RequestClass, Terms
from tests.addresses import free_ports, own_host
from tests.peers import SETTINGS, node_list, until
from tests.program_process import ROOT, end_with_parent

DEADLINE, WINDOW, GRACE = 1.2, 0.5, 0.5
CLASSES_BY_NAME = {
    "look": RequestClass(Effect.SAFE),
    "note": RequestClass(Effect.IDEMPOTENT, WINDOW),
    "lend": RequestClass(Effect.UNSAFE),
}
EFFECTS = {Effect.SAFE: "retryable", Effect.IDEMPOTENT: "dedup", Effect.UNSAFE: "fragile"}
CLASSES = [
    {
        "Name": name,
        "Effect": EFFECTS[request_class.effect],
        "Group": "cell",
        "Points": 2.0,
        "LateWorth": 0.2,
        "Promise": 400_000,
        "HardLimit": int(DEADLINE * 1e6),
        "Stream": False,
        "Window": int(request_class.window * 1e6),
    }
    for name, request_class in CLASSES_BY_NAME.items()
]
START = "from stoatrouter.__main__ import main\nimport sys\nsys.exit(main())\n"


def settings(heads: int) -> dict[str, Any]:
    """The settings of one of so many heads."""
    rules = SETTINGS["Contract"] | {"DrainGrace": int(GRACE * 1e6)}
    return SETTINGS | {
        "Classes": CLASSES,
        "Contract": rules,
        "Balancers": heads,
        "Extra": SETTINGS["Extra"] | {"ChangesData": [False, True, True]},
    }


class History:
    """What clients, nodes and discovery saw, as stoatrouter/lab/histories/requests.py reads it."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, what: str, **more: Any) -> None:
        """Add a line, of now."""
        self.lines.append({"what": what, "at": time.monotonic(), **more})

    def reached_a_node(self, request: str) -> bool:
        """Whether a request was attempted."""
        return any(line["what"] == "attempt" and line["request"] == request for line in self.lines)

    def in_flight(self, head: str) -> int:
        """How many requests of a head are at nodes now."""
        own = {line["request"] for line in self.lines if line["what"] == "sent" and line["head"] == head}
        begun = [line["request"] for line in self.lines if line["what"] == "attempt"]
        ended = [line["request"] for line in self.lines if line["what"] == "over"]
        return sum(request in own for request in begun) - sum(request in own for request in ended)


class RoughNode:
    """A node that serves, rejects, fails, resets after the last byte or is silent, as its seed has it."""

    def __init__(self, name: str, cell: int, seed: int, history: History) -> None:
        self.name, self.cell, self.history = name, cell, history
        self.draws = random.Random(f"{seed}/{name}")
        self.phase = "SERVING"
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while first := await reader.read(1):
                began = time.monotonic()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                fields = {name.lower(): value for name, value in fields.items()}
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.answer(fields.get("req-id", ""), began, reader, writer):
                    break
        writer.close()

    async def answer(
        self, request: str, began: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request, or not; returns whether its connection goes on."""
        self.history.write("attempt", request=request, node=self.name, first=began)
        fate = self.draws.random()
        if fate < 0.08:
            self.end_attempt(request, ran=False)
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        # its end at the node is also that of the head's connection: nothing answers to nobody
        left = asyncio.ensure_future(reader.read(1))
        work = 3600.0 if fate < 0.12 else self.draws.uniform(0.002, 0.25)
        await asyncio.wait([left], timeout=work)
        if left.done():
            self.end_attempt(request, ran=True)
            return False
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        self.end_attempt(request, ran=True)
        if fate < 0.24:
            writer.transport.abort()
            return False
        if fate < 0.3:
            writer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return True

    def end_attempt(self, request: str, ran: bool) -> None:
        """Note that an attempt ended here, and whether it may have run."""
        self.history.write("over", request=request, node=self.name, ran=ran)

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
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
    """The agent of one head: pushes changes, and may let the call that is open fall silent."""

    def __init__(self, head: str, nodes: list[RoughNode], history: History) -> None:
        self.head, self.nodes, self.history = head, nodes, history
        self.generation, self.changed = 1, asyncio.Event()
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.pending: dict[str, float] = {}  # draining nodes, which a silent watch misses

    def push(self, node: RoughNode) -> None:
        """Push a node's change.

        The head counts as notified, unless the open watch has fallen silent; then it does 6 s later, and
        sooner where it polls anew.
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

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                self.open.add(writer)
                query = head.split(" ")[1].partition("?")[2]
                asked = dict(pair.split("=") for pair in query.split("&")) if query else {}
                known = int(asked.get("from", -1))
                if known == self.generation:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(asked["hold_ms"]) / 1000):
                            await self.changed.wait()
                if writer in self.silent:
                    await reader.read()  # silent, up to the end of this connection
                    self.silent.discard(writer)
                    break
                changed = self.nodes if known != self.generation else []
                for node in changed:
                    if self.pending.pop(node.name, None) is not None:  # it polled anew, so it has it now
                        self.history.write("told", head=self.head, node=node.name)
                message = node_list(self.generation, *(n.entry() for n in changed), reset=known < 0)
                body = json.dumps(message).encode()
                self.open.discard(writer)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.open.discard(writer)
        writer.close()


class StoryHead:
    """One process, started again under its name after each end; a broken program runs `prelude` first."""

    def __init__(
        self, name: str, folder: Path, nodes: list[RoughNode], history: History, prelude: str
    ) -> None:
        self.name, self.folder, self.nodes, self.history = name, folder, nodes, history
        self.prelude = prelude
        self.host, self.agent = own_host(), PushingAgent(name, nodes, history)
        self.port, self.at = free_ports(self.host, 2)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, heads: int) -> None:
        """Start the process, and wait until it serves."""
        data = {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": f"{self.host}:{self.at}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": node_list(1, *(n.entry() for n in self.nodes)),
            "settings": settings(heads),
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(data))
        environ = os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        for name in ("TMPDIR", "NODE_DISCOVERY"):
            environ.pop(name, None)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-c",
                self.prelude + START,
                cwd=ROOT,
                env=environ,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        while not await self.ready():
            assert self.process.returncode is None, (self.folder / f"{self.name}.log").read_text()[-2000:]
            await asyncio.sleep(0.02)

    async def ready(self) -> bool:
        """Whether the process serves."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return b" 200 " in answer
        return False

    async def end(self, sign: signal.Signals) -> None:
        """End the process by a signal."""
        assert self.process is not None
        if sign is signal.SIGKILL:
            self.history.write("killed", head=self.name)
        self.process.send_signal(sign)
        await self.process.wait()


class Client:
    """Sends requests to one head, on a persistent connection; now and then it leaves early."""

    def __init__(self, number: int, head: StoryHead, seed: int, history: History) -> None:
        self.number, self.head, self.history = number, head, history
        self.draws, self.count = random.Random(f"client/{seed}/{number}"), 0

    async def run(self, over: asyncio.Event) -> None:
        """Make one request after the other until the story is over."""
        while not over.is_set():
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.head.host, self.head.port)
                while not over.is_set() and await self.ask(reader, writer):
                    await asyncio.sleep(self.draws.uniform(0, 0.02))
                writer.close()
            await asyncio.sleep(0.02)

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Make one request; returns whether its connection goes on.

        One whose connection had ended before it was read may be sent once more, under a new name here.
        """
        self.count += 1
        name, kind = f"c{self.number}-{self.count}", self.draws.choice(list(CLASSES_BY_NAME))
        request = self.encode(name, kind)
        was_closed = reader.at_eof()
        self.history.write("sent", request=name, head=self.head.name, kind=kind)
        writer.write(request)
        if self.draws.random() < 0.15 and await self.leave_early(name, reader, writer):
            return False
        try:
            status, goes_on = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            # a close that crossed a request which the head has not read: it is sent once more, so it counts
            # as gone
            was_read = self.history.reached_a_node(name) and not was_closed
            self.history.write("ended" if was_read else "gone", request=name)
            return False
        self.history.write("answered", request=name, status=status)
        return goes_on

    def encode(self, name: str, kind: str) -> bytes:
        """A request of a class; only those that change nothing have no body."""
        body = b"" if kind == "look" else b"new"
        fields = {
            "Host": "x",
            "Req-Id": name,
            "X-Plan": "premium",
            "Req-Deadline-Ms": str(int(DEADLINE * 1000)),
            "X-IO": f"units=1,shard={self.draws.randrange(2)},hosts=1",
            "Idempotency-Key": name,
            "Content-Length": str(len(body)),
        }
        text = "".join(f"{field}: {value}\r\n" for field, value in fields.items())
        line = f"{'PUT' if body else 'GET'} /{kind}/00000003b4d60021/{self.count:016x} HTTP/1.1\r\n"
        return (line + text + "\r\n").encode() + body

    async def leave_early(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Close the connection after a while, unless an answer has begun; returns whether it did."""
        await asyncio.sleep(self.draws.uniform(0, 0.1))
        if reader._buffer:
            return False
        self.history.write("gone", request=name)
        if self.draws.random() < 0.5:
            writer.transport.abort()
        else:
            writer.close()
        return True


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Read a complete answer: its status, and whether the connection goes on."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    await reader.readexactly(length)
    return int(head.split(" ")[1]), "connection: close" not in head.lower()


async def play(
    folder: Path, seed: int, heads: int = 3, turns: int = 5, prelude: str = ""
) -> tuple[list[dict[str, Any]], Terms]:
    """Play one story: what the stand-ins and clients saw, and the terms to judge it by."""
    history, draws = History(), random.Random(f"story/{seed}")
    nodes = [RoughNode(f"n{i}", i % 2, seed, history) for i in range(6)]
    fleet = [StoryHead(f"h{i}", folder, nodes, history, prelude) for i in range(heads)]
    async with stand_ins(nodes, fleet):
        await asyncio.gather(*(head.start(heads) for head in fleet))
        clients = [Client(i, fleet[i % heads], seed, history) for i in range(8 * heads)]
        async with running(clients, fleet):
            await faults(fleet, nodes, draws, turns, history)
        now = time.monotonic()
    lines = [line for line in history.lines if line["at"] <= now]
    return lines, Terms(CLASSES_BY_NAME, {node.name: node.cell for node in nodes}, GRACE, slack=0.4)


@contextlib.asynccontextmanager
async def stand_ins(nodes: list[RoughNode], fleet: list[StoryHead]) -> AsyncIterator[None]:
    """Serve all nodes, and the agent of each head."""
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            server = await asyncio.start_server(node.serve, "127.0.0.1", 0)
            stack.callback(server.close)
            node.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for head in fleet:
            server = await asyncio.start_server(head.agent.serve, head.host, head.at)
            stack.callback(server.close)
        yield


@contextlib.asynccontextmanager
async def running(clients: list[Client], fleet: list[StoryHead]) -> AsyncIterator[None]:
    """Run clients; at the end they finish their requests, and then the heads are killed."""
    over = asyncio.Event()
    tasks = [asyncio.create_task(client.run(over)) for client in clients]
    try:
        yield
    finally:
        over.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        for head in fleet:
            if head.process is not None and head.process.returncode is None:
                head.process.kill()
                await head.process.wait()


async def faults(
    fleet: list[StoryHead], nodes: list[RoughNode], draws: random.Random, turns: int, history: History
) -> None:
    """Drains, silent watches, restarts with requests in flight, kills, one after another and at once."""
    for turn in range(turns):
        node = nodes[draws.randrange(len(nodes))]
        if turn % 2:
            for head in fleet:
                head.agent.fall_silent()
        node.phase = "DRAINING"
        for head in fleet:
            head.agent.push(node)
        head = draws.choice(fleet)
        sign = signal.SIGKILL if turn == 3 else signal.SIGTERM
        # the crossing: requests of this head are at nodes
        await until(lambda head=head: history.in_flight(head.name) >= 2)
        await asyncio.gather(head.end(sign), asyncio.sleep(GRACE + 1.0))
        await head.start(len(fleet))
        node.phase = "SERVING"
        for other in fleet:
            other.agent.push(node)
