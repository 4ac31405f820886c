"""Stand-ins and helpers that the cases share: heads as processes, nodes, discovery, clients, the record."""

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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TIME_LIMIT = 114  # seconds; a case that takes longer could not run


class CannotRun(Exception):
    """The case could not be brought about, so nothing is judged."""


def trouble() -> bool:
    """Return whether the disruption takes place: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record in the case's folder."""
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self.file.write(f"{self.now():8.3f} {text}\n")


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]


def demo_settings() -> dict[str, Any]:
    """Return the settings of the project's demo: those of the small deployment on the WIRE page."""
    path = ROOT / "stoatrouter" / "lab" / "demo_files" / "settings.json"
    settings: dict[str, Any] = json.loads(path.read_text())
    return settings


# -- heads ------------------------------------------------------------------------------------------------
@dataclass
class Head:
    """One process of the program."""

    name: str
    process: asyncio.subprocess.Process
    management: str
    record: Record

    async def call(self, method: str, path: str, body: Any = None, timeout: float = 10) -> tuple[int, Any]:
        """Make an operator's call; the status is 0 if no answer came."""
        data = None if body is None else json.dumps(body).encode()
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with (
                aiohttp.ClientSession(timeout=limit) as session,
                session.request(method, f"http://{self.management}{path}", data=data) as response,
            ):
                text = await response.text()
                try:
                    return response.status, json.loads(text)
                except ValueError:
                    return response.status, text.strip()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, repr(error)

    async def ready(self, within: float = 20) -> None:
        """Wait until the process serves."""
        until = time.monotonic() + within
        while (await self.call("GET", "/control/ready"))[0] != 200:
            if self.process.returncode is not None or time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready (returncode {self.process.returncode})")
            await asyncio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.record.write(f"{number.name} to {self.name} (pid {self.process.pid})")
        self.process.send_signal(number)


class Case:
    """One run of a case: its temporary folder, its processes and its servers."""

    def __init__(self, folder: Path) -> None:
        """Start without processes and servers."""
        self.record = Record(folder)
        self.place = Path(tempfile.mkdtemp(prefix="review-"))
        self.heads: list[Head] = []
        self.servers: list[tuple[asyncio.Server, web.Server]] = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command: str = tomllib.load(file)["run"]

    async def start_head(self, name: str, config: dict[str, Any], **environ: str) -> Head:
        """Start a process of the program by the command of the deploy file."""
        number = len(self.heads)
        path = self.place / f"{name}-{number}.json"
        path.write_text(json.dumps(config))
        inherited = {"PATH", "HOME", "LANG"}
        environment = {key: value for key, value in os.environ.items() if key in inherited}
        environment |= {"NODE_CONFIG": str(path), "TMPDIR": str(self.place)} | environ
        with (self.place / f"{name}-{number}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"start {name} (pid {process.pid})")
        head = Head(name, process, config["management"], self.record)
        self.heads.append(head)
        return head

    async def serve(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]) -> int:
        """Serve a stand-in on a free loopback port; return the port."""
        server = web.Server(handler, access_log=None)
        listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
        self.servers.append((listener, server))
        return int(listener.sockets[0].getsockname()[1])

    def log(self, pattern: str) -> list[str]:
        """Return the lines of all heads' logs that contain a pattern."""
        found = []
        for path in sorted(self.place.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()
            found += [f"{path.stem}: {line}" for line in lines if pattern in line]
        return found

    async def close(self) -> None:
        """End all processes that this case started, and remove its folder."""
        for head in self.heads:
            if head.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    head.process.send_signal(signal.SIGCONT)
                    head.process.kill()
            await head.process.wait()
        for listener, server in self.servers:
            listener.close()
            await server.shutdown(0.1)
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.place, ignore_errors=True)


def run_case(folder: Path, scenario: Callable[[Case], Awaitable[int]]) -> None:
    """Run a case and exit with its code."""

    async def bounded() -> int:
        case = Case(folder)
        this = asyncio.current_task()
        if this is not None:  # a script that is told to end ends its processes first
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        case.record.write(f"disruption: {'on' if trouble() else 'off'}")
        try:
            async with asyncio.timeout(TIME_LIMIT):
                code = await scenario(case)
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            case.record.write(f"could not run: {error!r}")
            code = NOT_RUN
        finally:
            for line in case.log("ERROR") + case.log("Traceback"):
                case.record.write(f"log: {line[:300]}")
            await case.close()
        case.record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[code])
        return code

    sys.exit(asyncio.run(bounded()))


# -- nodes and discovery ----------------------------------------------------------------------------------
@dataclass
class Node:
    """A sound storage node that answers at once; notes what arrived."""

    name: str
    shard: int
    record: Record
    port: int = 0
    started_ms: int = 0  # 0: long ago
    keeps: bool = False  # whether reads give what was written; else each read gets content of its own
    arrived: list[tuple[float, str]] = field(default_factory=list)  # time and Req-Id
    stored: dict[str, bytes] = field(default_factory=dict)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of the node protocol."""
        if request.raw_path == "/load":
            return web.Response(text="util=0.05,inflight=0")
        if request.raw_path == "/healthz":
            return web.Response(text="ok")
        request_id = request.headers.get("Req-Id")
        if request_id is None:
            return web.Response(status=404)
        body = await request.read()
        self.arrived.append((self.record.now(), request_id))
        self.record.write(f"{self.name} runs {request_id} {request.method} {request.raw_path}")
        piece = request.raw_path.partition("?")[0].split("/", 2)[2]  # the path less the class
        if request.method == "PUT":
            self.stored[piece] = body
            return web.Response(body=b"")
        if self.keeps:
            return web.Response(body=self.stored.get(piece, b""))  # empty: never written (README.md)
        return web.Response(body=f"content of {request.raw_path}".encode())

    def entry(self, phase: str = "SERVING") -> dict[str, Any]:
        """Return the entry of the node in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": self.shard,
            "lifecycle": phase,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    def start_now(self) -> None:
        """Note that the node has just been switched on."""
        self.started_ms = time.time_ns() // 1_000_000


class Discovery:
    """A sound agent: the full list, and watches that are held until a change."""

    def __init__(self, nodes: list[Node]) -> None:
        """List these nodes as generation 1."""
        self.nodes = nodes
        self.generation = 1

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        entries = [node.entry() for node in self.nodes]
        return {"generation": self.generation, "reset": True, "instances": entries}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call; a watch is held until a change, or for as long as it asks."""
        until = time.monotonic() + min(60.0, int(request.query.get("hold_ms", "0")) / 1000)
        while request.query.get("from") == str(self.generation):
            if time.monotonic() >= until:
                return web.json_response({"generation": self.generation, "reset": False, "instances": []})
            await asyncio.sleep(0.01)
        return web.json_response(self.full())


async def start_nodes(case: Case, count: int) -> tuple[list[Node], int]:
    """Start nodes, one for each shard, and discovery; return the nodes and discovery's port."""
    nodes = [Node(f"s-{shard}", shard, case.record) for shard in range(count)]
    for node in nodes:
        node.port = await case.serve(node.handle)
    return nodes, await case.serve(Discovery(nodes).handle)


def head_config(name: str, listen: int, management: int, discovery: int, nodes: list[Node]) -> dict[str, Any]:
    """Return a head's configuration, as the DEPLOY page has it."""
    return {
        "name": name,
        "listen": f"{HOST}:{listen}",
        "management": f"{HOST}:{management}",
        "discovery": f"{HOST}:{discovery}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": Discovery(nodes).full(),
        "settings": demo_settings(),
    }


# -- clients ----------------------------------------------------------------------------------------------
class Client:
    """A client of the platform's protocol; each request has a fresh id."""

    def __init__(self, record: Record) -> None:
        """Start without a request."""
        self.record = record
        self.units: dict[str, float] = {}  # by Req-Id
        self.number = 0

    async def read(
        self, session: aiohttp.ClientSession, port: int, volume: str, key: int, **more: Any
    ) -> tuple[int, bytes]:
        """Send one read; return status and body, status 0 if the connection failed."""
        units, shard, plan = more.get("units", 1), more.get("shard", 0), more.get("plan", "premium")
        self.number += 1
        request_id = f"{self.number:08x}{os.urandom(4).hex()}"
        self.units[request_id] = units
        headers = {
            "Req-Id": request_id,
            "Req-Kind": "score-read",
            "X-Plan": plan,
            "Req-Deadline-Ms": str(more.get("deadline_ms", 2000)),
            "X-IO": f"units={units},shard={shard},hosts={more.get('hosts', 1)}",
        }
        url = f"http://{HOST}:{port}/score-read/{volume}/{key:016x}"
        self.record.write(f"client sends {request_id} volume {volume} units {units}")
        try:
            async with session.get(url, headers=headers) as response:
                body = await response.read()
                self.record.write(f"client got {response.status} for {request_id}")
                return response.status, body
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.write(f"client got {error!r} for {request_id}")
            return 0, b""


# -- heads that know each other ---------------------------------------------------------------------------
@dataclass
class Peer:
    """One head of a fleet: its name, addresses and files. It outlives its processes."""

    name: str
    listen: int
    management: int
    stream: int
    datagram: int
    http: int
    folder: Path
    head: Head | None = None

    @property
    def running(self) -> Head:
        """The process that was started last."""
        if self.head is None:
            raise CannotRun(f"{self.name} was not started")
        return self.head


class Fleet:
    """Heads that know each other, set up as docs/heads.md does it on one machine."""

    def __init__(self, case: Case, names: list[str], voters: list[str], extra: str, rules: str = "") -> None:
        """Give each head addresses of its own; nothing is started.

        Args:
            case: The case that the processes belong to.
            names: The heads; all are in `streams`.
            voters: The first voters.
            extra: More lines of heads.cue, such as the parts `credit` and `rules`.
            rules: The head's own rule file; "": the HTTP front is off.
        """
        self.case = case
        self.voters = voters
        self.extra = extra
        self.rules = rules
        self.peers: dict[str, Peer] = {}
        for name in names:
            folder = case.place / name
            folder.mkdir()
            self.peers[name] = Peer(name, *free_ports(5), folder)

    def __getitem__(self, name: str) -> Peer:
        """Return one head."""
        return self.peers[name]

    def settings_file(self, peer: Peer) -> Path:
        """Write heads.cue and the secret; return the path."""
        streams = {name: f"{HOST}:{other.stream}" for name, other in self.peers.items()}
        path = peer.folder / "heads.cue"
        (peer.folder / "heads.secret").write_text("review" * 8)
        path.write_text(
            f'fleet: "review"\nsecret_file: "heads.secret"\nfolder: "disk"\n'
            f"streams: {json.dumps(streams)}\nvoters: {json.dumps(self.voters)}\n{self.extra}\n"
        )
        return path

    async def start(self, name: str, nodes: list[Node], discovery: int) -> Head:
        """Start a head's process with its files, and return it at once."""
        peer = self.peers[name]
        config = head_config(name, peer.listen, peer.management, discovery, nodes)
        config["peer_listen"] = f"{HOST}:{peer.datagram}"
        config["peers"] = [f"{HOST}:{other.datagram}" for other in self.peers.values() if other is not peer]
        environ = {"STOATROUTER_HEADS": str(self.settings_file(peer))}
        if self.rules:
            (peer.folder / "http.cue").write_text(f'listen: "{HOST}:{peer.http}"\nrules: "rules.cue"\n')
            (peer.folder / "rules.cue").write_text(self.rules)
            environ["STOATROUTER_HTTP"] = str(peer.folder / "http.cue")
        (peer.folder / "tmp").mkdir(exist_ok=True)
        peer.head = await self.case.start_head(name, config, TMPDIR=str(peer.folder / "tmp"), **environ)
        return peer.head

    async def start_all(self, nodes: list[Node], discovery: int) -> None:
        """Start all heads, and wait until each is in touch."""
        for name in self.peers:
            await self.start(name, nodes, discovery)
        for name in self.peers:
            await self.until_state(name, "in touch")

    async def status(self, name: str) -> dict[str, Any]:
        """Return a head's view of the fleet; empty if it gives none."""
        status, body = await self.peers[name].running.call("GET", "/control/heads")
        return body if status == 200 else {}

    async def until_state(self, name: str, state: str, within: float = 30) -> None:
        """Wait until a head is in a state."""
        until = time.monotonic() + within
        while (await self.status(name)).get("state") != state:
            if time.monotonic() > until:
                raise CannotRun(f"{name} is not {state} after {within} s")
            await asyncio.sleep(0.05)

    async def leader(self) -> str:
        """Return the name of the leader."""
        for name in self.peers:
            if (status := await self.status(name)).get("leads"):
                return str(status["name"])
        raise CannotRun("no head leads")
