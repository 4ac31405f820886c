"""One head of the real program, started as by the platform, with selected parts on, to measure its usage."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from benchmarks.capacity.head_processes import FLEET, Usage, process_usage
from tests.addresses import free_ports, own_host
from tests.peers import config_data, node_list
from tests.process_signals import kill
from tests.program_process import program_environ, start_program

SECRET = "s" * 40  # as tests/heads/processes.py writes it
START_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class HeadPlan:
    """Configuration of one head."""

    name: str
    nodes: tuple[dict[str, Any], ...] = ()
    discovery: int = 9  # port; nothing listens at 9
    streams: dict[str, str] | None = None  # addresses of voters by name; None: no peering
    peers: tuple[str, ...] = ()  # datagram addresses of peers; empty: no detector
    more: str = ""  # additional lines of the peering settings
    rules: str = ""  # of the HTTP front; empty: no HTTP front


class OneHead:
    """The files and process of a head, and calls to it."""

    def __init__(self, folder: Path, plan: HeadPlan, session: aiohttp.ClientSession) -> None:
        self.folder, self.plan, self.session = folder / plan.name, plan, session
        self.host = own_host()
        self.port, self.management, self.datagrams, self.http = free_ports(self.host, 4)
        self.process: asyncio.subprocess.Process | None = None

    @property
    def disk(self) -> Path:
        return self.folder / "disk" / self.plan.name

    @property
    def pid(self) -> int:
        assert self.process is not None, "the head was not started"
        return self.process.pid

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return its datagram address."""
        return self.host, self.datagrams

    def write(self) -> None:
        """Write its configuration and settings."""
        plan = self.plan
        self.folder.mkdir(parents=True)
        (self.folder / "tmp").mkdir()
        data = config_data(
            node_list(1, *plan.nodes), plan.discovery, self.port, f"{self.host}:{self.management}"
        )
        data |= {"name": plan.name, "listen": f"{self.host}:{self.port}"}
        if plan.peers:
            data |= {"peer_listen": f"{self.host}:{self.datagrams}", "peers": list(plan.peers)}
        (self.folder / "config.json").write_text(json.dumps(data))
        if plan.streams is not None:
            (self.folder / "heads.cue").write_text(
                f'fleet: "{FLEET}"\nsecret_file: "secret"\nfolder: "disk"\n'
                f"streams: {json.dumps(plan.streams)}\nvoters: {json.dumps(list(plan.streams))}\n{plan.more}"
            )
            (self.folder / "secret").write_text(SECRET)
        if plan.rules:
            (self.folder / "http.cue").write_text(f'listen: "{self.host}:{self.http}"\nrules: "rules.cue"\n')
            (self.folder / "rules.cue").write_text(plan.rules)

    async def start(self) -> None:
        """Start the head and wait until it is ready."""
        self.write()
        environ = program_environ(
            self.folder / "config.json",
            TMPDIR=str(self.folder / "tmp"),
            STOATROUTER_HEADS="" if self.plan.streams is None else str(self.folder / "heads.cue"),
            STOATROUTER_HTTP=str(self.folder / "http.cue") if self.plan.rules else "",
        )
        with (self.folder / "log").open("ab") as logs:
            self.process = await start_program(self.folder, environ, optimized=True, stdout=logs, stderr=logs)
        async with asyncio.timeout(START_TIMEOUT_S):
            while (await self.call("/control/ready"))[0] != 200:
                assert self.process.returncode is None, (self.folder / "log").read_text()[-2000:]
                await asyncio.sleep(0.05)

    async def call(self, path: str) -> tuple[int, Any]:
        """Make a management call; return status and body, with status 0 if no answer came."""
        try:
            async with (
                asyncio.timeout(5),
                self.session.get(f"http://{self.host}:{self.management}{path}") as response,
            ):
                text = await response.text()
                content_type = response.headers.get("Content-Type", "")
                return response.status, json.loads(text) if "json" in content_type else text
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, None

    async def usage(self) -> Usage:
        """Return its usage so far; it listens for no streams, so stream bytes are 0."""
        counts: dict[str, int] = {}
        if self.plan.streams is not None:
            counts = (await self.call("/control/heads"))[1]["counts"]
        return process_usage(self.pid, counts)

    async def end(self) -> None:
        """Kill the head; its shutdown is not measured."""
        if self.process is not None and self.process.returncode is None:
            kill(self.process)
        if self.process is not None:
            await self.process.wait()
