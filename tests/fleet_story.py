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
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from stoatrouter.lab.histories.requests import Effect, RequestClass, Terms
from tests.addresses import free_ports, own_host
from tests.attempt_times import lines_written, recording
from tests.fleet_stand_ins import FaultyNode, History, PushingAgent
from tests.peers import SETTINGS, node_list, until
from tests.process_signals import kill, send_signal
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


class ScenarioHead:
    """One process, started again under its name after each end; a broken program runs `prelude` first."""

    def __init__(
        self, name: str, folder: Path, nodes: list[FaultyNode], history: History, prelude: str
    ) -> None:
        self.name, self.folder, self.nodes, self.history = name, folder, nodes, history
        self.prelude = prelude
        self.host, self.agent = own_host(), PushingAgent(name, nodes, history)
        self.port, self.at = free_ports(self.host, 2)
        self.process: asyncio.subprocess.Process | None = None
        self.environ: dict[str, str] = {}  # beside that of the tests

    async def start(self, heads: int) -> None:
        """Start the process, and wait until it serves."""
        path = self.write_configuration(heads)
        self.process = await self.spawn(path)
        while not await self.ready():
            assert self.process.returncode is None, (self.folder / f"{self.name}.log").read_text()[-2000:]
            await asyncio.sleep(0.02)

    def write_configuration(self, heads: int) -> Path:
        """Write what the process is told at its start."""
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
        return path

    async def spawn(self, configuration: Path, **more: Any) -> asyncio.subprocess.Process:
        """Start a process, without waiting for it."""
        environ = os.environ | {"NODE_CONFIG": str(configuration), "PYTHONPATH": str(ROOT)}
        for name in ("TMPDIR", "NODE_DISCOVERY"):
            environ.pop(name, None)
        environ |= self.environ
        with (self.folder / f"{self.name}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-c",
                recording(self.folder, self.name) + self.prelude + START,
                cwd=ROOT,
                env=environ,
                stderr=log,
                preexec_fn=end_with_parent,
                **more,
            )

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
        send_signal(self.process, sign)
        await self.process.wait()


class Addressed(Protocol):
    """What a client knows of its head."""

    name: str
    host: str
    port: int


class Client:
    """Sends requests to one head, on a persistent connection; now and then it leaves early."""

    leaves = 0.15  # of its requests

    def __init__(self, number: int, head: Addressed, seed: int, history: History) -> None:
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
        """Make one request; returns whether its connection goes on."""
        self.count += 1
        name, kind = self.next_name(), self.draws.choice(list(CLASSES_BY_NAME))
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
        """The name of the next request."""
        return f"c{self.number}-{self.count}"

    async def answer_of(self, name: str, reader: asyncio.StreamReader) -> Answer | None:
        """Wait for an answer; None where the connection ended without one."""
        try:
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        self.history.write("answered", request=name, status=answer.status)
        return answer

    async def end_without_answer(self, name: str, request: bytes, was_closed: bool) -> None:
        """Write what became of a request whose connection ended.

        A close that crossed a request which the head has not read: it is sent once more, under a new name
        here, so it counts as gone.
        """
        was_read = self.history.reached_a_node(name) and not was_closed
        self.history.write("ended" if was_read else "gone", request=name)

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


class Answer(NamedTuple):
    """A complete answer to a client."""

    status: int
    goes_on: bool  # whether its connection does
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
) -> tuple[list[dict[str, Any]], Terms]:
    """Play one story: what the stand-ins and clients saw, and the terms to judge it by."""
    history, draws = History(), random.Random(f"story/{seed}")
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
    return lines, Terms(CLASSES_BY_NAME, {node.name: node.cell for node in nodes}, GRACE, slack=0.4)


def recorded(fleet: Sequence[ScenarioHead]) -> list[dict[str, Any]]:
    """When heads that have ended wrote their attempts, as lines of the history."""
    names = [head.name for head in fleet]
    nodes = {node.address: node.name for node in fleet[0].nodes}
    return lines_written(fleet[0].folder, names, nodes)


@contextlib.asynccontextmanager
async def stand_ins(nodes: list[FaultyNode], fleet: list[ScenarioHead]) -> AsyncIterator[None]:
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
