"""Hollow heads in worker processes, started, commanded and ended by one object.

fleet = HollowFleet(folder, spec, workers=8)
async with fleet:
    await fleet.start(fleet.names)
    census = await fleet.report()
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
SHUTDOWN_TIMEOUT = 8.0  # seconds that a worker has to end by itself; then it is killed
COMMAND_TIMEOUT = 30.0  # seconds
CRASH_TIMEOUT = 60.0  # seconds
START_TIMEOUT = 240.0  # seconds
LOG_TAIL = 400  # characters of a dead worker's log that an error shows
FIRST_HOST = 64  # 127.64.W.1 is the address of worker W: no connection that goes out takes a port of it


class WorkerLost(Exception):
    """A worker process has ended, or did not answer; its heads died with it."""


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """The part of the specification that all workers share."""

    heads_file: Path
    config_file: Path
    http_file: Path | None
    names: tuple[str, ...]  # of all hollow heads
    addresses: dict[str, str]  # of the datagrams of real heads, as hollow heads reach them
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
    """One worker process and the commands that it has not answered yet."""

    number: int
    names: tuple[str, ...]
    process: asyncio.subprocess.Process
    log: Path
    pending: dict[int, asyncio.Future[Reply]] = field(default_factory=dict)  # by the number of the command
    reading: asyncio.Task[None] | None = None
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def read_replies(self) -> None:
        """Hand each reply to whoever waits for it, until the process ends."""
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
        """Give a command and wait for its reply.

        Args:
            command: What the worker is to do.
            timeout: Seconds.

        Raises:
            WorkerLost: The process has ended, no reply came in time, or the command failed.
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
            raise WorkerLost(f"worker {self.number} gave no answer: {error!r}") from None
        if reply.error:
            raise WorkerLost(f"worker {self.number}: {reply.error}")
        return reply

    def describe_end(self) -> str:
        """Say how the process ended, with the end of what it wrote."""
        tail = self.log.read_text(errors="replace").strip()[-LOG_TAIL:]
        return f"worker {self.number} ended with {self.process.returncode}: {tail}"

    async def end(self) -> None:
        """End the process: by the end of its input, and by a kill where that does not help."""
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(SHUTDOWN_TIMEOUT):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)


class HollowFleet:
    """All hollow heads of a run; an asynchronous context manager that ends the worker processes."""

    def __init__(self, folder: Path, spec: FleetSpec, workers: int) -> None:
        """Spread the heads over workers, and choose their addresses; no process runs yet.

        Args:
            folder: Where the files and logs of the workers go.
            spec: The heads, and the files that all of them read.
            workers: How many processes there are; no more than heads.
        """
        self.folder = folder
        self.spec = spec
        self.names = spec.names
        count = min(workers, len(spec.names))
        self.assignments = [spec.names[number::workers] for number in range(count)]
        self.hollow_addresses = choose_addresses(self.assignments)
        self.workers: list[WorkerProcess] = []
        self.replies: dict[int, Reply] = {}  # the last of each worker

    @property
    def logs(self) -> list[Path]:
        """The files with the events of all hollow heads, by worker."""
        return [self.folder / f"worker-{number}.events" for number in range(len(self.assignments))]

    async def __aenter__(self) -> HollowFleet:
        """Start all worker processes; their heads are not started yet."""
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
        """Start a worker process, and read its replies from now on."""
        spec = self.spec.for_worker(names, self.hollow_addresses, self.logs[number])
        file = self.folder / f"worker-{number}.json"
        file.write_bytes(msgspec.json.encode(spec))
        log_file = self.folder / f"worker-{number}.log"
        process = await open_process(file, log_file)
        worker = WorkerProcess(number, names, process, log_file)
        worker.reading = asyncio.get_running_loop().create_task(worker.read_replies())
        return worker

    # -- commands -----------------------------------------------------------------------------------------
    async def start(
        self, names: Iterable[str], timeout: float = START_TIMEOUT, concurrency: int = 16
    ) -> FleetReport:
        """Start heads, so many at a time in each worker; returns when all run or died."""
        return await self._request_each(lambda own: Start(own, concurrency), names, timeout)

    async def crash(self, names: Iterable[str], timeout: float = CRASH_TIMEOUT) -> FleetReport:
        """End heads as killed processes end."""
        return await self._request_each(Crash, names, timeout)

    async def stop(self, names: Iterable[str], timeout: float = CRASH_TIMEOUT) -> FleetReport:
        """Shut heads down gracefully: each announces that it leaves."""
        return await self._request_each(Close, names, timeout)

    async def partition(
        self, sides: dict[str, int], cut_pairs: tuple[tuple[int, int], ...] = ()
    ) -> FleetReport:
        """Cut heads on different sides off from each other, or these pairs of sides alone; no sides: heal."""
        return await self._request_all(SetPartition(sides, cut_pairs), COMMAND_TIMEOUT)

    async def spend(self, volumes: tuple[str, ...], rate: float, seed: int) -> FleetReport:
        """Let each head have requests of customers at a rate a second; 0: no more."""
        return await self._request_all(Spend(volumes, rate, seed), COMMAND_TIMEOUT)

    async def report(self, timeout: float = COMMAND_TIMEOUT) -> FleetReport:
        """Make a round of reports, in which every head is named, whatever became of it."""
        return await self._request_all(Report(), timeout)

    async def _request_each(
        self, make_command: Callable[[tuple[str, ...]], Command], names: Iterable[str], timeout: float
    ) -> FleetReport:
        """Give each worker a command for those of the heads that are its own."""
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
        """Give commands to workers and make a census; workers without a command report too."""
        census = FleetReport(self.names)

        async def request(worker: WorkerProcess) -> None:
            try:
                reply = await worker.request(commands.get(worker.number, Report()), timeout)
            except WorkerLost as lost:
                census.add_lost_process(worker.names, str(lost))
                return
            self.replies[worker.number] = reply
            census.add(reply.heads)

        await asyncio.gather(*(request(worker) for worker in self.workers))
        return census


async def open_process(spec_file: Path, log_file: Path) -> asyncio.subprocess.Process:
    """Start a worker process in a session of its own, so that Ctrl-C reaches the launcher alone."""
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
    """Choose an address for the datagrams of each hollow head.

    Each worker has a loopback address of its own, where all ports are bound at once and then released: nobody
    else takes them meanwhile.
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
