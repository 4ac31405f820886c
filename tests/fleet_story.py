"""Several heads of the real program, with stand-ins that fail as drawn from a seed, and a history."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from stoatrouter.lab.histories.requests import Effect, Guarantees, RequestClass
from tests.addresses import free_ports, own_host
from tests.attempt_times import lines_written, recording
from tests.fleet_stand_ins import FaultyNode, History, PushingAgent
from tests.peers import PARALLEL_ATTEMPTS, SETTINGS, node_list, until
from tests.process_signals import kill, send_signal
from tests.program_process import ROOT, end_with_parent

DEADLINE = 1.2  # seconds
WINDOW = 0.5  # seconds in which an idempotent request may be retried
MEMORY_MB = 192
GRACE = 0.5  # seconds of the drain grace
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
RUN_MAIN = "from stoatrouter.__main__ import main\nimport sys\nsys.exit(main())\n"


def settings(heads: int) -> dict[str, Any]:
    """Return the settings of one of so many heads."""
    rules = SETTINGS["Contract"] | {"DrainGrace": int(GRACE * 1e6)}
    return SETTINGS | {
        "Classes": CLASSES,
        "Contract": rules,
        "Balancers": heads,
        "Extra": SETTINGS["Extra"] | {"ChangesData": [False, True, True]},
    }


class ScenarioHead:
    """One head, started again under its name after each end; `prelude` runs first, to break the program."""

    def __init__(
        self, name: str, folder: Path, nodes: list[FaultyNode], history: History, prelude: str
    ) -> None:
        self.name = name
        self.folder = folder
        self.nodes = nodes
        self.history = history
        self.prelude = prelude
        self.host = own_host()
        self.agent = PushingAgent(name, nodes, history)
        self.port, self.at = free_ports(self.host, 2)
        self.process: asyncio.subprocess.Process | None = None
        self.environ: dict[str, str] = {}  # added to that of the tests

    async def start(self, heads: int) -> None:
        """Start the process, and wait until it serves."""
        path = self.write_configuration(heads)
        self.process = await self.spawn(path)
        while not await self.ready():
            assert self.process.returncode is None, (self.folder / f"{self.name}.log").read_text()[-2000:]
            await asyncio.sleep(0.02)

    def write_configuration(self, heads: int) -> Path:
        """Write the configuration of the process."""
        data = {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": f"{self.host}:{self.at}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": node_list(1, *(n.entry() for n in self.nodes)),
            "settings": settings(heads),
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(data))
        return path

    async def spawn(self, configuration: Path, **more: Any) -> asyncio.subprocess.Process:
        """Start a process without waiting until it serves."""
        environ = os.environ | {"NODE_CONFIG": str(configuration), "PYTHONPATH": str(ROOT)}
        for name in ("TMPDIR", "NODE_DISCOVERY"):
            environ.pop(name, None)
        environ |= self.environ
        with (self.folder / f"{self.name}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-c",
                recording(self.folder, self.name) + self.prelude + RUN_MAIN,
                cwd=ROOT,
                env=environ,
                stderr=log,
                preexec_fn=end_with_parent,
                **more,
            )

    async def ready(self) -> bool:
        """Return whether the process serves."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return b" 200 " in answer
        return False

    async def end(self, sign: signal.Signals) -> None:
        """Send a signal to the process and wait for its end."""
        assert self.process is not None
        if sign is signal.SIGKILL:
            self.history.write("killed", head=self.name)
        send_signal(self.process, sign)
        await self.process.wait()


class Addressed(Protocol):
    """The name and address of a head."""

    name: str
    host: str
    port: int


class Client:
    """Sends requests to one head on a persistent connection; leaves some of them early."""

    leaves = 0.15  # part of its requests

    def __init__(self, number: int, head: Addressed, seed: int, history: History) -> None:
        self.number = number
        self.head = head
        self.history = history
        self.draws = random.Random(f"client/{seed}/{number}")
        self.count = 0  # of requests

    async def run(self, over: asyncio.Event) -> None:
        """Send one request after another until `over` is set."""
        while not over.is_set():
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.head.host, self.head.port)
                while not over.is_set() and await self.ask(reader, writer):
                    await asyncio.sleep(self.draws.uniform(0, 0.02))
                writer.close()
            await asyncio.sleep(0.02)

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request; returns whether its connection stays open."""
        self.count += 1
        name = self.next_name()
        kind = self.draws.choice(list(CLASSES_BY_NAME))
        request = self.encode(name, kind)
        was_closed = reader.at_eof()
        self.history.write("sent", request=name, head=self.head.name, kind=kind)
        writer.write(request)
        if self.draws.random() < self.leaves and await self.leave_early(name, reader, writer):
            return False
        answer = await self.answer_of(name, reader)
        if answer is None:
            await self.end_without_answer(name, request, was_closed)
            return False
        return answer.goes_on

    def next_name(self) -> str:
        """Return the name of the next request."""
        return f"c{self.number}-{self.count}"

    async def answer_of(self, name: str, reader: asyncio.StreamReader) -> Answer | None:
        """Wait for an answer; None if the connection ended without one."""
        try:
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        self.history.write("answered", request=name, status=answer.status)
        return answer

    async def end_without_answer(self, name: str, request: bytes, was_closed: bool) -> None:
        """Record the result of a request whose connection ended.

        If the close crossed a request that the head has not read, a client sends it once more. Here that is
        done under a new name, so the first one counts as gone.
        """
        was_read = self.history.reached_a_node(name) and not was_closed
        self.history.write("ended" if was_read else "gone", request=name)

    def encode(self, name: str, kind: str) -> bytes:
        """Return the bytes of a request of a class; only requests that change nothing have no body."""
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
        """Close the connection after a while unless an answer has begun; returns whether it was closed."""
        await asyncio.sleep(self.draws.uniform(0, 0.1))
        if reader._buffer:
            return False
        self.history.write("gone", request=name)
        if self.draws.random() < 0.5:
            writer.transport.abort()
        else:
            writer.close()
        return True


class Answer(NamedTuple):
    """A complete answer to a client."""

    status: int
    goes_on: bool  # whether its connection stays open
    body: bytes


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a complete answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    body = await reader.readexactly(length)
    return Answer(int(head.split(" ")[1]), "connection: close" not in head.lower(), body)


async def play(
    folder: Path, seed: int, heads: int = 3, turns: int = 5, prelude: str = ""
) -> tuple[list[dict[str, Any]], Guarantees]:
    """Run one scenario; return what stand-ins and clients saw, and the terms to judge it by."""
    history = History()
    draws = random.Random(f"story/{seed}")
    nodes = [FaultyNode(f"n{i}", i % 2, seed, history) for i in range(6)]
    fleet = [ScenarioHead(f"h{i}", folder, nodes, history, prelude) for i in range(heads)]
    async with stand_ins(nodes, fleet):
        await asyncio.gather(*(head.start(heads) for head in fleet))
        clients = [Client(i, fleet[i % heads], seed, history) for i in range(8 * heads)]
        async with running(clients, fleet):
            await faults(fleet, nodes, draws, turns, history)
        now = time.monotonic()
    lines = [line for line in history.lines if line["at"] <= now]
    lines += recorded(fleet)
    return lines, guarantees_of(nodes, slack=0.4)


def guarantees_of(nodes: Sequence[FaultyNode], slack: float) -> Guarantees:
    """Return the terms of this story's classes and nodes, with a tolerance in seconds."""
    cells = {node.name: node.cell for node in nodes}
    return Guarantees(CLASSES_BY_NAME, cells, GRACE, slack=slack, parallel_attempts=PARALLEL_ATTEMPTS)


def recorded(fleet: Sequence[ScenarioHead]) -> list[dict[str, Any]]:
    """Return when heads that have ended wrote their attempts, as lines of the history."""
    names = [head.name for head in fleet]
    nodes = {node.address: node.name for node in fleet[0].nodes}
    return lines_written(fleet[0].folder, names, nodes)


@contextlib.asynccontextmanager
async def stand_ins(nodes: list[FaultyNode], fleet: list[ScenarioHead]) -> AsyncIterator[None]:
    """Run all nodes and the agent of each head."""
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
async def running(clients: list[Client], fleet: list[ScenarioHead]) -> AsyncIterator[None]:
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
                kill(head.process)
                await head.process.wait()


async def faults(
    fleet: list[ScenarioHead], nodes: list[FaultyNode], draws: random.Random, turns: int, history: History
) -> None:
    """Drain nodes, silence watches, and restart or kill heads with requests in flight, also at once."""
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
        # the head ends while requests of it are at nodes
        await until(lambda head=head: history.in_flight(head.name) >= 2)
        await asyncio.gather(head.end(sign), asyncio.sleep(GRACE + 1.0))
        await head.start(len(fleet))
        node.phase = "SERVING"
        for other in fleet:
            other.agent.push(node)
