"""Runs hollow heads in worker processes and controls them through one object.

fleet = HollowFleet(folder, spec, workers=8)
async with fleet:
    await fleet.start(fleet.names)
    report = await fleet.report()
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from stoatrouter.lab.hollow.fleet_report import FleetReport
from stoatrouter.lab.hollow.messages import (
    MAX_LINE,
    Close,
    Command,
    Crash,
    NumberedCommand,
    Reply,
    Report,
    SetPartition,
    Spend,
    Start,
    WorkerSpec,
)

ROOT = Path(__file__).parent.parent.parent.parent
SHUTDOWN_TIMEOUT = 8.0  # seconds that a worker has to exit before it is killed
COMMAND_TIMEOUT = 30.0  # seconds
CRASH_TIMEOUT = 60.0  # seconds
START_TIMEOUT = 240.0  # seconds
LOG_TAIL = 400  # characters from the end of the log of an exited worker that an error shows
FIRST_HOST = 64  # worker W's address is 127.64.W.1 or above: no outgoing connection takes its ports


class WorkerLost(Exception):
    """A worker process has exited, did not reply in time, or failed a command; its heads count as died."""


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """The part of a worker specification that all workers share."""

    heads_file: Path
    config_file: Path
    http_file: Path | None
    names: tuple[str, ...]  # of all hollow heads
    addresses: dict[str, str]  # datagram addresses of real heads, as reached by hollow heads
    places: dict[str, tuple[int, int, int]]  # region, zone and rack of all heads
    watches: bool = True

    def for_worker(self, names: tuple[str, ...], hollow_addresses: dict[str, str], log: Path) -> WorkerSpec:
        """Return the specification of the worker that runs these heads."""
        return WorkerSpec(
            heads_file=str(self.heads_file),
            config_file=str(self.config_file),
            http_file=None if self.http_file is None else str(self.http_file),
            log_file=str(log),
            names=names,
            addresses=self.addresses | hollow_addresses,
            places=self.places,
            real=tuple(self.addresses),
            watches=self.watches,
        )


@dataclass(slots=True)
class WorkerProcess:
    """One worker process with the commands that it has not replied to yet."""

    number: int
    names: tuple[str, ...]
    process: asyncio.subprocess.Process
    log: Path
    pending: dict[int, asyncio.Future[Reply]] = field(default_factory=dict)  # by command number
    reader: asyncio.Task[None] | None = None
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def read_replies(self) -> None:
        """Pass each reply to its pending command, until the process exits."""
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            reply = msgspec.json.decode(line, type=Reply)
            waiting = self.pending.pop(reply.number, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(reply)
        await self.process.wait()
        lost = WorkerLost(self.describe_end())
        for waiting in self.pending.values():
            if not waiting.done():
                waiting.set_exception(lost)
        self.pending.clear()

    async def request(self, command: Command, timeout: float) -> Reply:
        """Send a command and wait for its reply.

        Args:
            command: The command for the worker to run.
            timeout: Seconds.

        Raises:
            WorkerLost: The process has exited, no reply arrived in time, or the command failed.
        """
        if self.process.returncode is not None or self.process.stdin is None:
            raise WorkerLost(self.describe_end())
        number = next(self.numbers)
        reply_future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.pending[number] = reply_future
        try:
            self.process.stdin.write(msgspec.json.encode(NumberedCommand(number, command)) + b"\n")
            async with asyncio.timeout(timeout):
                reply = await reply_future
        except (OSError, TimeoutError) as error:
            raise WorkerLost(f"worker {self.number} did not reply: {error!r}") from None
        if reply.error:
            raise WorkerLost(f"worker {self.number}: {reply.error}")
        return reply

    def describe_end(self) -> str:
        """Return a message with the exit code of the process and the end of its log."""
        tail = self.log.read_text(errors="replace").strip()[-LOG_TAIL:]
        return f"worker {self.number} exited with code {self.process.returncode}: {tail}"

    async def end(self) -> None:
        """End the process by closing its input; kill it if it does not exit in time."""
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(SHUTDOWN_TIMEOUT):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()
            await asyncio.gather(self.reader, return_exceptions=True)


class HollowFleet:
    """All hollow heads of a run; an asynchronous context manager that runs the worker processes."""

    def __init__(self, folder: Path, spec: FleetSpec, workers: int) -> None:
        """Assign heads to workers and choose their addresses; no process is started yet.

        Args:
            folder: The folder for the files and logs of the workers.
            spec: The heads, and the files that all of them read.
            workers: Maximum number of processes; there are no more than heads.
        """
        self.folder = folder
        self.spec = spec
        self.names = spec.names
        count = min(workers, len(spec.names))
        self.assignments = [spec.names[number::workers] for number in range(count)]
        self.hollow_addresses = choose_addresses(self.assignments)
        self.workers: list[WorkerProcess] = []
        self.replies: dict[int, Reply] = {}  # last reply by worker number

    @property
    def logs(self) -> list[Path]:
        """The event files of all workers, in order."""
        return [self.folder / f"worker-{number}.events" for number in range(len(self.assignments))]

    async def __aenter__(self) -> HollowFleet:
        """Start all worker processes, but not their heads."""
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            for number, names in enumerate(self.assignments):
                self.workers.append(await self._open(number, names))
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all worker processes."""
        await self.close()

    async def close(self) -> None:
        """End all worker processes."""
        await asyncio.gather(*(worker.end() for worker in self.workers))

    async def _open(self, number: int, names: tuple[str, ...]) -> WorkerProcess:
        """Start a worker process and a task that reads its replies."""
        spec = self.spec.for_worker(names, self.hollow_addresses, self.logs[number])
        file = self.folder / f"worker-{number}.json"
        file.write_bytes(msgspec.json.encode(spec))
        log_file = self.folder / f"worker-{number}.log"
        process = await open_process(file, log_file)
        worker = WorkerProcess(number, names, process, log_file)
        worker.reader = asyncio.get_running_loop().create_task(worker.read_replies())
        return worker

    # -- commands -----------------------------------------------------------------------------------------
    async def start(
        self, names: Iterable[str], timeout: float = START_TIMEOUT, concurrency: int = 16
    ) -> FleetReport:
        """Start heads, at most `concurrency` at a time in each worker; returns when all run or died."""
        return await self._request_each(lambda own: Start(own, concurrency), names, timeout)

    async def crash(self, names: Iterable[str], timeout: float = CRASH_TIMEOUT) -> FleetReport:
        """End heads like killed processes."""
        return await self._request_each(Crash, names, timeout)

    async def stop(self, names: Iterable[str], timeout: float = CRASH_TIMEOUT) -> FleetReport:
        """Shut heads down gracefully: each announces that it leaves."""
        return await self._request_each(Close, names, timeout)

    async def partition(
        self, sides: dict[str, int], cut_pairs: tuple[tuple[int, int], ...] = ()
    ) -> FleetReport:
        """Partition heads on different sides, or only the given pairs of sides; no sides: heal."""
        return await self._request_all(SetPartition(sides, cut_pairs), COMMAND_TIMEOUT)

    async def spend(self, volumes: tuple[str, ...], rate: float, seed: int) -> FleetReport:
        """Make requests of customers at each head at a rate per second; 0 stops them."""
        return await self._request_all(Spend(volumes, rate, seed), COMMAND_TIMEOUT)

    async def report(self, timeout: float = COMMAND_TIMEOUT) -> FleetReport:
        """Collect a report that contains every head, whatever its state."""
        return await self._request_all(Report(), timeout)

    async def _request_each(
        self, make_command: Callable[[tuple[str, ...]], Command], names: Iterable[str], timeout: float
    ) -> FleetReport:
        """Send each worker a command for those of the named heads that it runs."""
        wanted = set(names)
        commands = {}
        for worker in self.workers:
            own = tuple(name for name in worker.names if name in wanted)
            if own:
                commands[worker.number] = make_command(own)
        return await self._gather(commands, timeout)

    async def _request_all(self, command: Command, timeout: float) -> FleetReport:
        return await self._gather({worker.number: command for worker in self.workers}, timeout)

    async def _gather(self, commands: dict[int, Command], timeout: float) -> FleetReport:
        """Send commands and collect the reports of all workers; those without a command are sent `Report`."""
        report = FleetReport(self.names)

        async def request(worker: WorkerProcess) -> None:
            try:
                reply = await worker.request(commands.get(worker.number, Report()), timeout)
            except WorkerLost as lost:
                report.add_lost_process(worker.names, str(lost))
                return
            self.replies[worker.number] = reply
            report.add(reply.heads)

        await asyncio.gather(*(request(worker) for worker in self.workers))
        return report


async def open_process(spec_file: Path, log_file: Path) -> asyncio.subprocess.Process:
    """Start a worker process in its own session, so that Ctrl-C reaches only the launcher."""
    with log_file.open("wb") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-B",
            "-m",
            "stoatrouter.lab.hollow.worker",
            str(spec_file),
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            limit=MAX_LINE,
            start_new_session=True,
        )


def choose_addresses(assignments: list[tuple[str, ...]]) -> dict[str, str]:
    """Choose a datagram address for each hollow head.

    Each worker has its own loopback address, on which the ports of all its heads are bound at the same time
    and then released; no other process takes them before the heads bind them again.
    """
    addresses: dict[str, str] = {}
    for number, names in enumerate(assignments):
        host = f"127.{FIRST_HOST + os.getpid() % 128}.{number}.1"
        with contextlib.ExitStack() as sockets:
            for name in names:
                bound = sockets.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                bound.bind((host, 0))
                addresses[name] = f"{host}:{bound.getsockname()[1]}"
    return addresses
