"""A fleet of head processes of the real program, with relays between them, stand-in nodes and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import signal
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import aiohttp

from tests.addresses import free_ports, own_host
from tests.heads.relay import Relay
from tests.peers import Discovery, Node, config_data, listening, node_list, nodes_up
from tests.process_signals import kill, send_signal
from tests.program_process import program_environ, start_program
from tests.story_tasks import raise_failed

STATE_TIMEOUT = 40.0  # seconds; only guards against a state that never comes about
LOG_TAIL_LINES = 8
SECRET = "s" * 40


class HeadsDownError(AssertionError):
    """Heads that have to be up are down."""


class HeadProcess:
    """One head: its files, its process, and calls to it. `host` and the ports are where it listens."""

    optimized = False  # run with assertions enabled

    def __init__(self, fleet: ProcessFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.host = own_host()
        self.port, self.management_port, self.datagram_port, self.stream_port, self.http_port = free_ports(
            self.host, 5
        )
        self.process: asyncio.subprocess.Process | None = None
        self.logs = self.folder / "log"
        self.paused = False

    def write(self) -> None:
        """Write the head's configuration and settings files."""
        fleet = self.fleet
        (self.folder / "config.json").write_text(json.dumps(self.configuration()))
        (self.folder / "heads.cue").write_text(self.heads_settings())
        (self.folder / "secret").write_text(SECRET)
        (self.folder / "tmp").mkdir(exist_ok=True)
        if fleet.http_rules:
            (self.folder / "http.cue").write_text(
                f'listen: "{self.host}:{self.http_port}"\nrules: "rules.cue"\n'
            )
            if not (self.folder / "rules.cue").exists():
                (self.folder / "rules.cue").write_text(fleet.http_rules)

    def configuration(self) -> dict[str, Any]:
        """Return its configuration, in which the other heads have the relay's addresses."""
        fleet = self.fleet
        relay = self.fleet.relay
        data = config_data(
            node_list(1, *(n.entry() for n in fleet.nodes)),
            fleet.discovery,
            self.port,
            f"{self.host}:{self.management_port}",
        ) | {"listen": f"{self.host}:{self.port}"}
        others = [name for name in fleet.names if name != self.name]
        return data | {
            "settings": self.platform_settings(data["settings"]),
            "name": self.name,
            "peer_listen": f"{self.host}:{self.datagram_port}",
            "peers": [relay.datagram_address(self.name, other) for other in others],
        }

    def platform_settings(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Return the platform's settings, with the fleet's deadline for all classes if it has one."""
        if self.fleet.class_deadline is None:
            return settings
        settings = copy.deepcopy(settings)
        for request_class in settings["Classes"]:
            request_class["HardLimit"] = self.fleet.class_deadline * 1_000
        return settings

    def heads_settings(self) -> str:
        """Return its fleet settings, in which the other heads have the relay's addresses."""
        fleet = self.fleet
        relay = self.fleet.relay
        own = f"{self.host}:{self.stream_port}"
        others = [name for name in fleet.names if name != self.name]
        streams = {name: relay.stream_address(self.name, name) for name in others} | {self.name: own}
        return (
            'fleet: "test"\nsecret_file: "secret"\nfolder: "disk"\n'
            f'listen: "{own}"\n'
            f"streams: {json.dumps(streams)}\n"
            f"voters: {json.dumps(fleet.voters)}\n{fleet.extra_settings}"
        )

    def settings_environ(self) -> dict[str, str]:
        """Return the environment variables that name the settings files of the enabled parts."""
        environ = {"STOATROUTER_HEADS": str(self.folder / "heads.cue")}
        if self.fleet.http_rules:
            environ["STOATROUTER_HTTP"] = str(self.folder / "http.cue")
        return environ

    async def start(self, ready: bool = True) -> None:
        """Write the files and start the process; return once it is ready, or at once without `ready`."""
        self.write()
        environ = program_environ(
            self.folder / "config.json",
            TMPDIR=str(self.folder / "tmp"),
            STOATROUTER_LOG_FORMAT="json",
            **self.settings_environ(),
        )
        with self.logs.open("ab") as logs:
            self.process = await start_program(
                self.folder, environ | self.fleet.environ, self.optimized, stderr=logs, stdout=logs
            )
        self.paused = False
        self.fleet.relay.addresses[self.name] = (self.host, self.datagram_port, self.stream_port)
        if ready:
            await self.until_ready()

    async def until_ready(self) -> None:
        await self.fleet.until(self.is_ready, f"{self.name} is ready")

    async def is_ready(self) -> bool:
        assert self.process is not None
        assert self.process.returncode is None, f"{self.name} ended:\n{self.logs.read_text()[-3000:]}"
        return (await self.call("GET", "/control/ready"))[0] == 200

    async def call(self, method: str, path: str, data: Any = None, timeout: float = 6.0) -> tuple[int, Any]:
        """Make a management call; return status and JSON (or text), status 0 if no answer came."""
        try:
            async with (
                asyncio.timeout(timeout),
                self.fleet.session.request(
                    method,
                    f"http://{self.host}:{self.management_port}{path}",
                    data=None if data is None else json.dumps(data),
                ) as response,
            ):
                text = await response.text()
                kind = response.headers.get("Content-Type", "")
                return response.status, json.loads(text) if "json" in kind else text
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, None

    async def status(self) -> dict[str, Any]:
        """Return its view of itself and the other heads; empty if it gives no answer."""
        code, status = await self.call("GET", "/control/heads")
        return status if code == 200 else {}

    async def send_request(
        self,
        name: str,
        volume: str = "00000003b4d60021",
        kind: str = "score-read",
        units: float = 2,
        deadline: int = 2000,
        method: str = "GET",
        **more: str,
    ) -> tuple[int, dict[str, str]]:
        """Send one request to the platform's front; return status (0 if no answer came) and headers."""
        url = f"http://{self.host}:{self.port}/{kind}/{volume}/7f3a9c21e0b4d655"
        body = b"x" if method == "PUT" else None
        headers = {
            "Req-Id": name,
            "X-Plan": "premium",
            "Req-Deadline-Ms": str(deadline),
            "X-IO": f"units={units:g},shard=0,hosts=1",
        } | more
        session = self.fleet.session
        try:
            async with (
                asyncio.timeout(deadline / 1000 + 1),
                session.request(method, url, headers=headers, data=body) as response,
            ):
                await response.read()
                return response.status, dict(response.headers)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    def signal(self, signal_number: signal.Signals) -> None:
        assert self.process is not None
        send_signal(self.process, signal_number)
        self.paused = signal_number is signal.SIGSTOP

    async def kill(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            kill(self.process)
        await self.process.wait()

    async def stop(self) -> int:
        assert self.process is not None
        send_signal(self.process, signal.SIGTERM)
        return await self.process.wait()

    @property
    def disk(self) -> Path:
        return self.folder / "disk" / self.name

    def log_tail(self) -> str:
        """Return the texts of the last lines of its log."""
        lines = self.logs.read_text().splitlines()[-LOG_TAIL_LINES:]
        return " | ".join(json.loads(line)["text"].strip() for line in lines if line.startswith("{"))

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return its log records of one event."""
        found = []
        for line in self.logs.read_text().splitlines():
            with contextlib.suppress(ValueError):
                extra = json.loads(line)["record"]["extra"]
                if extra.get("event") == name:
                    found.append(extra)
        return found


class ProcessFleet:
    """The head processes of one test."""

    def __init__(
        self,
        folder: Path,
        count: int,
        voters: int,
        seed: int,
        extra_settings: str,
        http: str,
        environ: dict[str, str],
        class_deadline: int | None = None,
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.extra_settings = extra_settings
        self.http_rules = http
        self.names = [f"h{i}" for i in range(count)]
        self.voters = self.names[:voters]
        self.environ = environ
        self.class_deadline = class_deadline
        self.relay = Relay(self.names, seed)
        self.heads: dict[str, HeadProcess] = {}
        self.required: list[str] = []  # heads that must be up while any state is awaited
        self.nodes: list[Node] = []
        self.discovery = 0
        self.session: aiohttp.ClientSession

    def __getitem__(self, name: str) -> HeadProcess:
        return self.heads[name]

    def __iter__(self):
        return iter(self.heads.values())

    @property
    def up(self) -> list[HeadProcess]:
        return [h for h in self if h.process is not None and h.process.returncode is None and not h.paused]

    def check_required(self) -> None:
        """Raise HeadsDownError if a required head is down: the awaited state might never come about."""
        down = [head for head in self if head.name in self.required and head not in self.up]
        if down:
            ends = [f"{head.name} ({head.process and head.process.returncode})" for head in down]
            raise HeadsDownError(f"not up: {', '.join(ends)}\n{self.log_tails()}")

    async def until(self, holds: Callable[[], Any], what: str, timeout: float = STATE_TIMEOUT) -> Any:
        """Wait until `holds` returns a true value, and return it; a timeout fails with the state's name."""
        deadline = time.monotonic() + timeout
        while True:
            raise_failed()
            self.check_required()
            result = holds()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            assert time.monotonic() < deadline, f"never came: {what}\n{self.log_tails()}"
            await asyncio.sleep(0.05)

    def log_tails(self) -> str:
        """Return the last lines of each head's log."""
        return "\n".join(f"{head.name}: {head.log_tail()}" for head in self if head.logs.exists())

    async def start_all(self) -> None:
        """Start all heads at once, and wait until they are ready and connected."""
        await asyncio.gather(*(head.start(ready=False) for head in self))
        await asyncio.gather(*(head.until_ready() for head in self))
        await self.until_all_connected()

    async def kill_all(self) -> None:
        """Kill all running heads, and wait until they have exited."""
        started = [head.process for head in self if head.process is not None]
        for process in started:
            if process.returncode is None:
                kill(process)
        for process in started:
            await process.wait()

    async def leader(self, among: list[str] | None = None) -> HeadProcess:
        """Wait for a head that leads and is connected to a majority, and return it."""

        async def look() -> HeadProcess | None:
            for head in self.up:
                if among is None or head.name in among:
                    status = await head.status()
                    if status.get("leads") and status["state"] == "in touch":
                        return head
            return None

        return await self.until(look, "a leader")

    async def until_all_connected(self, *names: str) -> None:
        """Wait until these heads, or all running ones, are connected to a majority."""

        async def look() -> bool:
            heads = [self[n] for n in names] if names else self.up
            statuses = [await head.status() for head in heads]
            return all(status.get("state") == "in touch" for status in statuses)

        await self.until(look, f"{names or 'all'} in touch")

    async def until_all_applied(self) -> None:
        """Wait until all running heads have applied the same index."""

        async def look() -> bool:
            applied = {(await h.status()).get("applied") for h in self.up}
            return len(applied) == 1 and None not in applied

        await self.until(look, "all have applied the same")


@contextlib.asynccontextmanager
async def running_heads(
    folder: Path,
    count: int = 5,
    voters: int = 3,
    seed: int = 1,
    extra_settings: str = "",
    http: str = "",
    nodes: tuple[Node, ...] = (),
    environ: dict[str, str] | None = None,
    start: bool = True,
    class_deadline: int | None = None,
) -> AsyncIterator[ProcessFleet]:
    """Run heads h0 to h(count-1), of which the first `voters` vote, ready to serve; kill them at the end.

    `class_deadline` is the deadline of every class, in milliseconds; it caps the deadlines of requests.
    """
    fleet = ProcessFleet(folder, count, voters, seed, extra_settings, http, environ or {}, class_deadline)
    fleet.nodes = list(nodes) or [Node("a", 0)]
    print(f"seed {seed}")
    async with (
        nodes_up(*fleet.nodes),
        listening(Discovery().handle) as discovery,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True)) as session,
    ):
        fleet.discovery = discovery
        fleet.session = session
        await fleet.relay.start()
        fleet.heads = {name: HeadProcess(fleet, name) for name in fleet.names}
        try:
            if start:
                await fleet.start_all()
            yield fleet
        finally:
            await fleet.kill_all()
            await fleet.relay.close()
