"""Ends of heads as the platform's pages have them: signals in series, clients that stay, a kill in time."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import time
from pathlib import Path
from typing import Any

from tests.addresses import free_port
from tests.fleet_stand_ins import History
from tests.fleet_story import DEADLINE, ScenarioHead
from tests.process_signals import kill, send_signal
from tests.soak.node_questions import NodeQuestions
from tests.soak.plan import TERM, Way, draw_series
from tests.soak.report import Finding, SeedReport
from tests.soak.stand_ins import HeadAddress, SoakClient, SoakNode, knock

KILL_AFTER = DEADLINE + 0.7  # seconds after SIGTERM: the page's earliest
KNOCKING = (0.2, 0.4)  # seconds in which new connections go on to come
READY_WITHIN = 30.0  # seconds
FIRST_KNOCKER = 10_000  # clients have numbers below
NEW_ENDS = 0.4  # of the upgrades end the new process
EARLY = 0.4  # seconds after its start in which a process is signalled, running its loop or not
NEVER_READY = "not ready within 30 s"


class SoakHead(ScenarioHead):
    """A head of the soak: at an address of its own, or on a socket that its processes inherit."""

    def __init__(
        self, name: str, folder: Path, nodes: list[SoakNode], history: History, prelude: str, inherits: bool
    ) -> None:
        super().__init__(name, folder, nodes, history, prelude)
        self.socket = socket.create_server((self.host, self.port), backlog=1024) if inherits else None
        temporary = folder / f"{name}-tmp"
        temporary.mkdir()
        self.environ = {"TMPDIR": str(temporary)}
        self.spawned: list[asyncio.subprocess.Process] = []

    async def spawn(self, configuration: Path) -> asyncio.subprocess.Process:
        """Start a process, without waiting for it."""
        more: dict[str, Any] = {}
        if self.socket is not None:
            self.management = f"127.0.0.1:{free_port()}"
            inherited = self.socket.fileno()
            self.environ |= {"NODE_INHERITED_FD": str(inherited), "NODE_MANAGEMENT": self.management}
            more["pass_fds"] = [inherited]
        process = await super().spawn(configuration, **more)
        self.spawned.append(process)
        return process

    async def is_managed_ready(self) -> bool:
        """Whether the process that was started last serves, by the operators' call."""
        host, _, port = self.management.partition(":")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return b" 200 " in answer
        return False

    @property
    def address(self) -> HeadAddress:
        """Where its clients find it."""
        return HeadAddress(self.name, self.host, self.port)

    def close(self) -> None:
        """Close the inherited socket."""
        if self.socket is not None:
            self.socket.close()


class Signaller:
    """Ends processes of one seed by series of signals, and by SIGKILL where they have not ended in time."""

    def __init__(self, seed: int, report: SeedReport, kill_after: float = KILL_AFTER) -> None:
        self.report, self.kill_after = report, kill_after
        self.draws = random.Random(f"ends/{seed}")

    async def end_process(self, name: str, process: asyncio.subprocess.Process, way: Way) -> None:
        """End a process of a head of this name."""
        self.report.ends += 1
        termed = await self.signal(process)
        await self.wait_or_kill(name, process, termed, way)

    async def signal(self, process: asyncio.subprocess.Process) -> float:
        """Send a series of signals; the time of the first SIGTERM."""
        began, termed = time.monotonic(), 0.0
        for signalled in draw_series(self.draws):
            await asyncio.sleep(max(0.0, began + signalled.after - time.monotonic()))
            if process.returncode is None:
                send_signal(process, signalled.sign)
            if signalled.sign is TERM and not termed:
                termed = time.monotonic()
        return termed

    async def wait_or_kill(
        self, name: str, process: asyncio.subprocess.Process, termed: float, way: Way
    ) -> None:
        """Wait for the end of a process, and kill it at the page's earliest."""
        left = termed + self.kill_after - time.monotonic()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), max(0.0, left))
        if process.returncode is None:
            self.report.killed_at_the_end += 1
            kill(process)  # no excuse for what is lost: it is not written into the history
            await process.wait()
        else:
            self.judge_exit(name, process.returncode)
        self.report.add_end(way, time.monotonic() - termed)

    def judge_exit(self, name: str, status: int | None) -> None:
        """A process that was told to end does so with 0, or by the signal where its loop did not run yet."""
        if status not in (0, -signal.SIGTERM, -signal.SIGHUP):
            self.report.add(Finding.CRASHED, f"{name} ended with {status}")


class Ender(Signaller):
    """Ends the heads of one seed, and starts them again."""

    def __init__(self, seed: int, history: History, report: SeedReport, heads: int) -> None:
        super().__init__(seed, report)
        self.seed, self.history, self.heads = seed, history, heads
        self.knockers = 0
        self.questions: NodeQuestions  # once the nodes run

    async def start(self, head: SoakHead) -> bool:
        """Start a head; whether it got ready."""
        try:
            async with asyncio.timeout(READY_WITHIN):
                await head.start(self.heads)
        except TimeoutError:
            self.report.add(Finding.NOT_READY, f"{head.name}: {NEVER_READY}")
            return False
        except AssertionError:
            self.report.add(Finding.CRASHED, f"{head.name} ended at its start")
            return False
        return True

    async def end(self, head: SoakHead, process: asyncio.subprocess.Process, way: Way = Way.SERIES) -> None:
        """End a process as planned: a series of signals, clients that come and stay, SIGKILL in time."""
        self.knockers += 1
        seconds = self.draws.uniform(*KNOCKING)
        number = FIRST_KNOCKER + self.knockers
        client = SoakClient(number, head.address, self.seed, self.history, self.questions)
        knocker = asyncio.create_task(knock(client, seconds))
        await self.end_process(head.name, process, way)
        await knocker

    async def end_early(self, head: SoakHead) -> None:
        """Start a process and signal it within moments, its loop running or not."""
        process = await head.spawn(head.write_configuration(self.heads))
        await asyncio.sleep(self.draws.uniform(0.0, EARLY))
        await self.end_process(head.name, process, Way.EARLY)

    async def kill(self, head: SoakHead) -> None:
        """Kill a process outright, which excuses what it held."""
        assert head.process is not None
        if head.process.returncode is not None:
            return self.judge_exit(head.name, head.process.returncode)
        self.history.write("killed", head=head.name)
        kill(head.process)
        await head.process.wait()

    async def upgrade(self, head: SoakHead) -> None:
        """Start a new process beside the present one; at some moment of the handover either ends, or both.

        Where the new one alone ends, the old one serves on, or again; where both do, the next one is started.
        """
        old, old_management = head.process, head.management
        assert old is not None
        new = await head.spawn(head.write_configuration(self.heads))
        ready = asyncio.create_task(self.until_managed_ready(head, new))
        if self.draws.random() < 0.5:
            await asyncio.wait([ready])
        else:
            await asyncio.sleep(self.draws.uniform(0.0, 2 * EARLY))
        if self.draws.random() < NEW_ENDS:
            ready.cancel()
            await asyncio.wait([ready])
            if self.draws.random() < 0.5:
                await asyncio.gather(self.end(head, old, Way.OLD), self.end(head, new, Way.NEW))
                await self.start(head)
            else:
                await self.end(head, new, Way.NEW)
                head.management = old_management
                await self.until_managed_ready(head, old)
            return
        await self.end(head, old, Way.OLD)
        await ready
        head.process = new

    async def until_managed_ready(self, head: SoakHead, process: asyncio.subprocess.Process) -> None:
        """Wait until the new process serves."""
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not await head.is_managed_ready():
                    if process.returncode is not None:
                        self.report.add(Finding.CRASHED, f"{head.name} ended with {process.returncode}")
                        return
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.report.add(Finding.NOT_READY, f"{head.name}: {NEVER_READY}")


def stop_all(heads: list[SoakHead]) -> None:
    """Kill what still runs and close the sockets; for a story that failed, too."""
    for head in heads:
        for process in head.spawned:
            if process.returncode is None:
                kill(process)
        head.close()
