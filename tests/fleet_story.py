"""Several heads of the real program before stand-ins that fail as a seed has it, and a history of what these
saw."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from stoatrouter.lab.histories.requests import Effect, RequestClass, Terms
from tests.addresses import free_ports, own_host
from tests.heads.processes import end_with_parent
from tests.peers import SETTINGS, told, until

ROOT = Path(__file__).parent.parent
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
    rules = SETTINGS["Contract"] | {"DrainGrace": int(GRACE * 1e6)}
    return SETTINGS | {
        "Classes": CLASSES,
        "Contract": rules,
        "Balancers": heads,
        "Extra": SETTINGS["Extra"] | {"ChangesData": [False, True, True]},
    }


class History:
    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, what: str, at: float | None = None, **more: Any) -> None:
        self.lines.append({"what": what, "at": time.monotonic() if at is None else at, **more})

    def in_flight(self, head: str) -> int:
        """How many requests of a head are at nodes now."""
        mine = {line["request"] for line in self.lines if line["what"] == "sent" and line["head"] == head}
        begun = [line["request"] for line in self.lines if line["what"] == "attempt"]
        ended = [line["request"] for line in self.lines if line["what"] == "over"]
        return sum(r in mine for r in begun) - sum(r in mine for r in ended)


class RoughNode:
    """A node that serves, declines, fails, resets after the last byte or says nothing, as its seed has it."""

    def __init__(self, name: str, cell: int, seed: int, history: History) -> None:
        self.name, self.cell, self.history = name, cell, history
        self.draws, self.phase, self.address = random.Random(f"{seed}/{name}"), "SERVING", ""

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
        self.history.write("attempt", request=request, node=self.name, first=began)
        fate = self.draws.random()
        if fate < 0.08:
            self.over(request, ran=False)
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        # its end at the node is also that of the head's connection: nothing answers to nobody
        left = asyncio.ensure_future(reader.read(1))
        work = 3600.0 if fate < 0.12 else self.draws.uniform(0.002, 0.25)
        await asyncio.wait([left], timeout=work)
        if left.done():
            self.over(request, ran=True)
            return False
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        self.over(request, ran=True)
        if fate < 0.24:
            writer.transport.abort()
            return False
        if fate < 0.3:
            writer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return True

    def over(self, request: str, ran: bool) -> None:
        self.history.write("over", request=request, node=self.name, ran=ran)

    def entry(self) -> dict[str, Any]:
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
        self.generation, self.changed, self.deaf = 1, asyncio.Event(), set[asyncio.StreamWriter]()
        self.open: set[asyncio.StreamWriter] = set()
        self.pending: dict[str, float] = {}  # nodes that leave, which a silent watch misses

    def news(self, node: RoughNode) -> None:
        """A change has come to the agent: it counts as told, unless the open watch has fallen silent; then it
        does 6 s later, and sooner where the head asks anew."""
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()
        if node.phase == "SERVING":
            self.pending.pop(node.name, None)
            self.history.write("back", head=self.head, node=node.name)
        elif self.deaf:
            self.pending[node.name] = time.monotonic() + 6.0
        else:
            self.history.write("told", head=self.head, node=node.name)

    def fall_silent(self) -> None:
        self.deaf |= self.open

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
                if writer in self.deaf:
                    await reader.read()  # silent, up to the end of this connection
                    self.deaf.discard(writer)
                    break
                fresh = self.nodes if known != self.generation else []
                for node in fresh:
                    if self.pending.pop(node.name, None) is not None:  # asked anew, the head has it now
                        self.history.write("told", head=self.head, node=node.name)
                message = told(self.generation, *(n.entry() for n in fresh), reset=known < 0)
                body = json.dumps(message).encode()
                self.open.discard(writer)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.open.discard(writer)
        writer.close()


class StoryHead:
    """One process, started again under its name after each end. prelude: what a broken program does first."""

    def __init__(
        self, name: str, folder: Path, nodes: list[RoughNode], history: History, prelude: str
    ) -> None:
        self.name, self.folder, self.nodes, self.history, self.prelude = name, folder, nodes, history, prelude
        self.host, self.agent = own_host(), PushingAgent(name, nodes, history)
        self.port, self.at = free_ports(self.host, 2)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, heads: int) -> None:
        data = {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": f"{self.host}:{self.at}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": told(1, *(n.entry() for n in self.nodes)),
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
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return b" 200 " in answer
        return False

    async def end(self, sign: signal.Signals) -> None:
        assert self.process is not None
        if sign is signal.SIGKILL:
            self.history.write("killed", head=self.name)
        self.process.send_signal(sign)
        await self.process.wait()


class Client:
    """Sends requests to one head, on a connection that it keeps; now and then it leaves early."""

    def __init__(self, number: int, head: StoryHead, seed: int, history: History) -> None:
        self.number, self.head, self.history = number, head, history
        self.draws, self.count = random.Random(f"client/{seed}/{number}"), 0

    async def run(self, over: asyncio.Event) -> None:
        while not over.is_set():
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.head.host, self.head.port)
                while not over.is_set() and await self.ask(reader, writer):
                    await asyncio.sleep(self.draws.uniform(0, 0.02))
                writer.close()
            await asyncio.sleep(0.02)

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request; whether its connection goes on. One whose connection had ended before it was read may
        be sent once more, under a new name here."""
        self.count += 1
        name, kind = f"c{self.number}-{self.count}", self.draws.choice(list(CLASSES_BY_NAME))
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
        method = "PUT" if body else "GET"
        resting = reader.at_eof()
        self.history.write("sent", request=name, head=self.head.name, kind=kind)
        line = f"{method} /{kind}/00000003b4d60021/{self.count:016x} HTTP/1.1\r\n"
        writer.write((line + text + "\r\n").encode() + body)
        if self.draws.random() < 0.15:
            await asyncio.sleep(self.draws.uniform(0, 0.1))
            if not reader._buffer:
                self.history.write("gone", request=name)
                writer.transport.abort() if self.draws.random() < 0.5 else writer.close()
                return False
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = next(
                int(line.split(":")[1])
                for line in head.lower().split("\r\n")
                if line.startswith("content-length")
            )
            await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            # a close that crossed a request which the head has not read: it is sent once more, so it counts
            # as gone
            attempted = any(
                seen["what"] == "attempt" and seen["request"] == name for seen in self.history.lines
            )
            self.history.write("ended" if attempted and not resting else "gone", request=name)
            return False
        self.history.write("answered", request=name, status=int(head.split(" ")[1]))
        return "connection: close" not in head.lower()


async def play(
    folder: Path, seed: int, heads: int = 3, turns: int = 5, prelude: str = ""
) -> tuple[list[dict[str, Any]], Terms]:
    """One story: what the stand-ins and clients saw, and the terms to judge it by."""
    history, draws = History(), random.Random(f"story/{seed}")
    nodes = [RoughNode(f"n{i}", i % 2, seed, history) for i in range(6)]
    fleet = [StoryHead(f"h{i}", folder, nodes, history, prelude) for i in range(heads)]
    over = asyncio.Event()
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            server = await asyncio.start_server(node.serve, "127.0.0.1", 0)
            stack.callback(server.close)
            node.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for head in fleet:
            server = await asyncio.start_server(head.agent.serve, head.host, head.at)
            stack.callback(server.close)
        await asyncio.gather(*(head.start(heads) for head in fleet))
        asking = [Client(i, fleet[i % heads], seed, history) for i in range(8 * heads)]
        clients = [asyncio.create_task(client.run(over)) for client in asking]
        try:
            await faults(fleet, nodes, draws, turns, history)
        finally:
            over.set()
            await asyncio.gather(*clients, return_exceptions=True)
            for head in fleet:
                if head.process is not None and head.process.returncode is None:
                    head.process.kill()
                    await head.process.wait()
        now = time.monotonic()
    lines = [line for line in history.lines if line["at"] <= now]
    return lines, Terms(CLASSES_BY_NAME, {n.name: n.cell for n in nodes}, GRACE, slack=0.4)


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
            head.agent.news(node)
        head = draws.choice(fleet)
        sign = signal.SIGKILL if turn == 3 else signal.SIGTERM
        # the crossing: requests of this head are at nodes
        await until(lambda head=head: history.in_flight(head.name) >= 2)
        await asyncio.gather(head.end(sign), asyncio.sleep(GRACE + 1.0))
        await head.start(len(fleet))
        node.phase = "SERVING"
        for other in fleet:
            other.agent.news(node)
