"""Ends of heads as the platform specifies them: series of signals, open connections, a kill in the end."""

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
from tests.soak.plan import TERM, EndMode, draw_series
from tests.soak.report import Finding, SeedReport
from tests.soak.shims import SHIMS, ShimEnvironment
from tests.soak.stand_ins import HeadAddress, SoakClient, SoakNode, open_connections

KILL_TIMEOUT = DEADLINE + 0.7  # seconds after SIGTERM: the earliest kill by the platform's page
LATE_CONNECTION_SECONDS = (0.2, 0.4)  # range of how long new connections still arrive
READY_TIMEOUT = 30.0  # seconds
FIRST_LATE_CLIENT = 10_000  # other clients have lower numbers
NEW_PROCESS_ENDS_PROBABILITY = 0.4  # probability that an upgrade ends the new process
# delay after its start in which a process is signalled, its event loop running or not
MAX_EARLY_SECONDS = 0.4
NEVER_READY = "not ready within 30 s"


class SoakHead(ScenarioHead):
    """A head of the soak, with an address of its own or a socket that its processes inherit."""

    def __init__(
        self,
        name: str,
        folder: Path,
        nodes: list[SoakNode],
        history: History,
        prelude: str,
        inherits: bool,
        seed: int,
    ) -> None:
        super().__init__(name, folder, nodes, history, SHIMS + prelude)
        self.shims = ShimEnvironment(seed, name)
        self.socket = socket.create_server((self.host, self.port), backlog=1024) if inherits else None
        temporary = folder / f"{name}-tmp"
        temporary.mkdir()
        self.environ = {"TMPDIR": str(temporary)}
        self.spawned: list[asyncio.subprocess.Process] = []

    async def spawn(self, configuration: Path) -> asyncio.subprocess.Process:
        """Start a process without waiting until it is ready."""
        more: dict[str, Any] = {}
        self.environ |= self.shims.next()
        if self.socket is not None:
            self.management = f"127.0.0.1:{free_port()}"
            inherited = self.socket.fileno()
            self.environ |= {"NODE_INHERITED_FD": str(inherited), "NODE_MANAGEMENT": self.management}
            more["pass_fds"] = [inherited]
        process = await super().spawn(configuration, **more)
        self.spawned.append(process)
        return process

    async def is_ready_by_management(self) -> bool:
        """Return whether the latest process is ready, by its management call."""
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
        """Where its clients connect to it."""
        return HeadAddress(self.name, self.host, self.port)

    def close(self) -> None:
        """Close the inherited socket."""
        if self.socket is not None:
            self.socket.close()


class Signaller:
    """Ends processes of one seed by series of signals, and by SIGKILL if they have not ended in time."""

    def __init__(self, seed: int, report: SeedReport, kill_timeout: float = KILL_TIMEOUT) -> None:
        self.report = report
        self.kill_timeout = kill_timeout
        self.draws = random.Random(f"ends/{seed}")

    async def end_process(self, name: str, process: asyncio.subprocess.Process, mode: EndMode) -> None:
        """End a process of the head with this name."""
        self.report.ends += 1
        sigterm_at = await self.signal(process)
        await self.wait_or_kill(name, process, sigterm_at, mode)

    async def signal(self, process: asyncio.subprocess.Process) -> float:
        """Send a series of signals; return the time of the first SIGTERM."""
        began = time.monotonic()
        sigterm_at = 0.0
        for timed_signal in draw_series(self.draws):
            await asyncio.sleep(max(0.0, began + timed_signal.delay - time.monotonic()))
            if process.returncode is None:
                send_signal(process, timed_signal.signal_number)
            if timed_signal.signal_number is TERM and not sigterm_at:
                sigterm_at = time.monotonic()
        return sigterm_at

    async def wait_or_kill(
        self, name: str, process: asyncio.subprocess.Process, sigterm_at: float, mode: EndMode
    ) -> None:
        """Wait for the end of a process, and kill it at the earliest time that the platform's page allows."""
        left = sigterm_at + self.kill_timeout - time.monotonic()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), max(0.0, left))
        if process.returncode is None:
            self.report.killed_after_timeout += 1
            kill(process)  # not written into the history: this kill excuses no lost request
            await process.wait()
        else:
            self.judge_exit(name, process.returncode)
        self.report.add_end(mode, time.monotonic() - sigterm_at)

    def judge_exit(self, name: str, status: int | None) -> None:
        """Check that a signalled process ended with 0, or by the signal if its loop did not run yet."""
        if status not in (0, -signal.SIGTERM, -signal.SIGHUP):
            self.report.add(Finding.CRASHED, f"{name} ended with {status}")


class HeadRestarter(Signaller):
    """Ends the heads of one seed and restarts them."""

    def __init__(self, seed: int, history: History, report: SeedReport, heads: int) -> None:
        super().__init__(seed, report)
        self.seed = seed
        self.history = history
        self.heads = heads
        self.late_clients = 0
        self.questions: NodeQuestions  # set once the nodes run

    async def start(self, head: SoakHead) -> bool:
        """Start a head; return whether it became ready."""
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                await head.start(self.heads)
        except TimeoutError:
            self.report.add(Finding.NOT_READY, f"{head.name}: {NEVER_READY}")
            return False
        except AssertionError:
            self.report.add(Finding.CRASHED, f"{head.name} ended at its start")
            return False
        return True

    async def end(
        self, head: SoakHead, process: asyncio.subprocess.Process, mode: EndMode = EndMode.SERIES
    ) -> None:
        """End a process by a series of signals while clients connect, with SIGKILL after the timeout."""
        self.late_clients += 1
        seconds = self.draws.uniform(*LATE_CONNECTION_SECONDS)
        number = FIRST_LATE_CLIENT + self.late_clients
        client = SoakClient(number, head.address, self.seed, self.history, self.questions)
        connections = asyncio.create_task(open_connections(client, seconds))
        await self.end_process(head.name, process, mode)
        await connections

    async def end_early(self, head: SoakHead) -> None:
        """Start a process and signal it at once, whether or not its event loop runs."""
        process = await head.spawn(head.write_configuration(self.heads))
        await asyncio.sleep(self.draws.uniform(0.0, MAX_EARLY_SECONDS))
        await self.end_process(head.name, process, EndMode.EARLY)

    async def kill(self, head: SoakHead) -> None:
        """Kill a process, which excuses the requests that it held."""
        assert head.process is not None
        if head.process.returncode is not None:
            return self.judge_exit(head.name, head.process.returncode)
        self.history.write("killed", head=head.name)
        kill(head.process)
        await head.process.wait()

    async def upgrade(self, head: SoakHead) -> None:
        """Start a new process beside the present one, and end either or both at some moment of the handover.

        If only the new one ends, the old one goes on serving, or serves again; if both end, another is
        started.
        """
        old = head.process
        old_management = head.management
        assert old is not None
        new = await head.spawn(head.write_configuration(self.heads))
        ready = asyncio.create_task(self.until_ready_by_management(head, new))
        if self.draws.random() < 0.5:
            await asyncio.wait([ready])
        else:
            await asyncio.sleep(self.draws.uniform(0.0, 2 * MAX_EARLY_SECONDS))
        if self.draws.random() < NEW_PROCESS_ENDS_PROBABILITY:
            ready.cancel()
            await asyncio.wait([ready])
            if self.draws.random() < 0.5:
                await asyncio.gather(self.end(head, old, EndMode.OLD), self.end(head, new, EndMode.NEW))
                await self.start(head)
            else:
                await self.end(head, new, EndMode.NEW)
                head.management = old_management
                await self.until_ready_by_management(head, old)
            return
        await self.end(head, old, EndMode.OLD)
        await ready
        head.process = new

    async def until_ready_by_management(self, head: SoakHead, process: asyncio.subprocess.Process) -> None:
        """Wait until the process is ready by its management call."""
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                while not await head.is_ready_by_management():
                    if process.returncode is not None:
                        self.report.add(Finding.CRASHED, f"{head.name} ended with {process.returncode}")
                        return
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.report.add(Finding.NOT_READY, f"{head.name}: {NEVER_READY}")


def stop_all(heads: list[SoakHead]) -> None:
    """Kill all running processes and close the sockets, also after a failed run."""
    for head in heads:
        for process in head.spawned:
            if process.returncode is None:
                kill(process)
        head.close()
