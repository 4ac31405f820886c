"""Stand-ins and tools shared by the cases 6 to 10: bricks, discovery, heads, clients and the record.

Only the standard library is used. All addresses are loopback addresses with ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT = 110.0  # seconds of one run
READY_LIMIT = 30.0  # seconds that a head may take to be ready
US = 1_000_000


class CannotRun(Exception):
    """The case could not be played as meant, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with times in seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Start a new record in a case's folder."""
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, who: str, what: str, **more: object) -> float:
        """Write one line; returns its time."""
        now = self.now()
        details = "".join(f" {key}={value}" for key, value in more.items())
        self.file.write(f"{now:9.4f} {who} {what}{details}\n")
        return now


def settings(**changes: Any) -> dict[str, Any]:
    """Return a head's settings like those of jakarta-scores; `changes` replace whole top-level values."""
    base: dict[str, Any] = {
        "Areas": ["cikarang"],
        "Balancers": 1,
        "Classes": [
            request_class("score-read", "retryable", 2, 0.4, 2.0),
            request_class("event-write", "dedup", 3, 0.6, 3.0) | {"Group": "cell"},
            request_class("stats-export", "retryable", 1, 2.0, 6.0),
        ],
        "ClientHabits": {"MarksRetry": False},
        "Contract": {
            "AnswerSlack": 8000,
            "AskWithin": 10 * US,
            "Cold": 18 * US,
            "ColdFrom": 0.16,
            "DrainGrace": 2 * US,
            "Fall": 3 * US,
            "FallMultiple": 3.0,
        },
        "Contracts": [
            plan("basic", usual=4.7, reserve=1.4, price=0.72, limit=19.0, burst=48.0, tolerance=8.0),
            plan("premium", usual=7.1, reserve=7.1, price=0.9),
        ],
        "Extra": {
            "BeyondShare": 0.05,
            "ChangesData": [False, True, False],
            "ColdBears": 34.0,
            "FairWorth": 0.35,
            "Metering": 0,
            "MostUnits": 8,
            "SaysOthers": True,
            "Shards": 10,
            "UnitMean": 1.99,
        },
        "Family": "stores",
        "Flavors": ["node-fast", "node-std"],
        "Layers": ["score-store"],
        "Limits": {
            "Cancel": True,
            "ConnIdle": 30 * US,
            "ConnectTimeout": 250_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 600_000,
            "MaxOpen": 24_000,
            "MaxRetryAfter": 500_000,
            "MaxStreams": 32,
            "MostTries": 4,
            "ParallelTries": True,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
        },
        "Me": 0,
        "ObjectiveMix": {"Whole": 0.75, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "Prices": {"Probe": 0.01, "Waste": 0.05},
        "RegistryMode": "automatic",
        "Report": {"Fields": ["util", "inflight"], "How": "probe"},
        "Tick": 2000,
        "Tier": 0,
        "Weights": "none",
        "Zone": 0,
    }
    return base | changes


def request_class(name: str, effect: str, worth: float, aim: float, deadline: float) -> dict[str, Any]:
    """Return one class of the settings; times are in seconds."""
    return {
        "Effect": effect,
        "Group": "all",
        "HardLimit": int(deadline * US),
        "LateWorth": 0.2,
        "Name": name,
        "Points": float(worth),
        "Promise": int(aim * US),
        "Stream": False,
        "Window": 5 * US,
    }


def plan(
    name: str,
    usual: float,
    reserve: float,
    price: float,
    limit: float = 0.0,
    burst: float = 0.0,
    tolerance: float = 0.0,
) -> dict[str, Any]:
    """Return one plan of the settings."""
    return {
        "Burst": burst,
        "Guaranteed": reserve,
        "Limit": limit,
        "Name": name,
        "Price": price,
        "Shares": 1.0,
        "Tolerance": tolerance,
        "UsualRate": usual,
    }


@dataclass(slots=True)
class Message:
    """One HTTP message as it was read."""

    first: str  # its first line
    fields: dict[str, str]  # by lower-case name
    body: bytes
    began: float = 0.0  # when its first byte was read
    ended: float = 0.0  # when its last byte was read

    @property
    def path(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def id(self) -> str:
        """The id of a request."""
        return self.fields.get("req-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at a clean end before its first byte; raises OSError or EOFError."""
    first = await reader.read(1)
    if not first:
        return None
    began = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(lines[0], fields, body, began, time.monotonic())


def answer(status: str, body: bytes = b"", **fields: str) -> bytes:
    """Build an HTTP answer."""
    more = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


Serve = Callable[["Brick", Message, asyncio.StreamWriter], Awaitable[bytes]]


@dataclass(eq=False)
class Brick:
    """A stand-in of a storage node; `serve` gives the answer to a request that it has taken."""

    name: str
    shard: int
    record: Record
    serve: Serve
    zone: str = "cikarang"
    port: int = 0
    lifecycle: str = "SERVING"
    started_ms: int = 0
    taken: list[Message] = field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.server = await asyncio.start_server(self.connected, HOST, self.port, limit=1 << 20)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and reset all connections, as the end of its process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError):
            while (message := await read_message(reader)) is not None:
                await self.exchange(message, writer)
        self.writers.discard(writer)
        writer.close()

    async def exchange(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request or probe."""
        if message.path in ("/load", "/healthz"):
            load = b"util=0.10,inflight=0"
            writer.write(answer("200 OK", load, Srv_Load=load.decode()))
        elif not message.id:
            writer.write(answer("404 Not Found"))
        else:
            self.taken.append(message)
            self.record.note(
                self.name,
                "took",
                id=message.id,
                path=message.path,
                told_ms=message.fields.get("req-deadline-ms"),
            )
            reply = await self.serve(self, message, writer)
            self.record.note(self.name, "answers", id=message.id, body=reply[-24:])
            writer.write(reply)
        await writer.drain()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": self.zone,
            "machineType": "node-std",
            "cell": self.shard,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Discovery:
    """A stand-in of discovery that answers at once, and holds watches until something changes."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        """Start with an empty list, at generation 41."""
        self.record = record
        self.name = name
        self.generation = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.connected, HOST, 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def tell(self, *entries: dict[str, Any]) -> float:
        """Change entries of the list; returns when."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()
        shown = [(entry["instanceId"], entry["lifecycle"], entry["startedAtMs"]) for entry in entries]
        return self.record.note(self.name, "has", generation=self.generation, entries=shown)

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while (message := await read_message(reader)) is not None:
                writer.write(await self.reply(message))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def reply(self, message: Message) -> bytes:
        """Answer one call."""
        query = dict(pair.split("=") for pair in message.path.partition("?")[2].split("&") if pair)
        data = self.full()
        if query.get("from") == str(self.generation):
            hold = min(60.0, int(query.get("hold_ms", "0")) / 1000)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), hold)
            data = self.full()
            if query["from"] == str(self.generation):
                data = {"generation": self.generation, "reset": False, "instances": []}
        self.record.note(
            self.name, "tells", asked=message.path, generation=data["generation"], reset=data["reset"]
        )
        return answer("200 OK", json.dumps(data).encode(), Content_Type="application/json")


class Head:
    """One head, started with the `run` command of the deploy file."""

    def __init__(
        self, record: Record, name: str, known: dict[str, Any], discovery: Discovery, conf: dict[str, Any]
    ) -> None:
        """Prepare a head that serves at a free port; it runs once started.

        Args:
            record: The record of the case.
            name: The name of the head, the same after a restart.
            known: The list as the head last had it.
            discovery: Where the list is.
            conf: The settings.
        """
        self.record = record
        self.name = name
        self.port = free_port()
        self.conf = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": conf,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.folder = Path()

    async def start(self) -> None:
        """Start the process, with an empty folder of its own, and wait until it is ready."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.write_conf()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.conf["listen"],
            "NODE_DISCOVERY": self.conf["discovery"],
            "NODE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(self.name, "starts", pid=self.process.pid, port=self.port)
        until = time.monotonic() + READY_LIMIT
        while time.monotonic() < until and self.process.returncode is None:
            with contextlib.suppress(OSError, EOFError):
                reply = await exchange(self.port, b"GET /healthz HTTP/1.1\r\nHost: head\r\n\r\n", 2.0)
                if reply is not None and reply.status == 200:
                    self.record.note(self.name, "is ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready: {self.log()[-2000:]}")

    def write_conf(self) -> None:
        """Write the file that NODE_CONFIG names, in one step."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.conf))
        new.replace(self.folder / "config.json")

    def log(self) -> str:
        """Return what the head has logged."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.record.note(self.name, "gets", signal=number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it still runs, and drop its folder; its log goes to the record."""
        if self.process is None:
            return
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()
        self.record.note(self.name, "ended", code=self.process.returncode)
        for line in self.log().splitlines()[-60:]:
            self.record.note(self.name, "logged", line=line.replace(str(ROOT), ".")[:300])
        shutil.rmtree(self.folder, ignore_errors=True)
        self.process = None


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def ask(
    path: str,
    id: str,
    deadline_ms: int,
    *,
    plan: str = "premium",
    units: float = 1,
    shard: int = 0,
    hosts: int = 1,
    body: bytes | None = None,
    key: str | None = None,
) -> bytes:
    """Build a client's request; a write where there is a body."""
    method = "GET" if body is None else "PUT"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {id}",
        f"Req-Kind: {path.split('/')[1]}",
        f"X-Plan: {plan}",
        f"Req-Deadline-Ms: {deadline_ms}",
        f"X-IO: units={units},shard={shard},hosts={hosts}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Client:
    """A client's connection to one head, which sends one request at a time."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        """Connect at the first call."""
        self.record, self.name, self.port = record, name, port
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, request: bytes, wait: float) -> Message | None:
        """Send a request and return its answer; None if none comes in `wait` seconds.

        A request that crosses the close of a resting connection is sent once more, as the protocol says.
        """
        id = request.partition(b"Req-Id: ")[2].partition(b"\r\n")[0].decode()
        for fresh in (False, True):
            if self.streams is None or fresh:
                self.close()
                self.streams = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
                fresh = True
            reader, writer = self.streams
            self.record.note(self.name, "sends", id=id, line=request.partition(b"\r\n")[0].decode())
            try:
                writer.write(request)
                reply = await asyncio.wait_for(read_message(reader), wait)
            except TimeoutError:
                self.record.note(self.name, "has no answer", id=id)
                self.close()
                return None
            except (OSError, EOFError):
                reply = None
            if reply is not None:
                self.record.note(self.name, "is answered", id=id, status=reply.status, body=reply.body[:40])
                if reply.fields.get("connection", "").lower() == "close":
                    self.close()
                return reply
            if fresh:
                break
        self.record.note(self.name, "lost its connection", id=id)
        self.close()
        return None

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def exchange(port: int, request: bytes, wait: float) -> Message | None:
    """Send one request on a new connection and return its answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request)
        return await asyncio.wait_for(read_message(reader), wait)
    except TimeoutError:
        return None
    finally:
        writer.close()


Play = Callable[[Record, list[Head]], Coroutine[Any, Any, int]]


def run_case(folder: Path, play: Play) -> None:
    """Play a case, end all that it started, and exit with its verdict."""
    record = Record(folder)

    async def whole() -> int:
        heads: list[Head] = []
        playing = asyncio.current_task()
        assert playing is not None
        # a script that is told to end still ends what it started
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            return await asyncio.wait_for(play(record, heads), TIME_LIMIT)
        finally:
            for head in heads:
                await head.end()

    try:
        verdict = asyncio.run(whole())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.note("case", "cannot run", error=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        verdict = NOT_RUN
    record.note("case", {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[verdict])
    record.file.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict], flush=True)
    sys.stderr.flush()
    os._exit(verdict)  # connections of stand-ins may be open; the system closes them
