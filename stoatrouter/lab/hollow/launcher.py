"""Hollow heads in worker processes: started, told and ended by one object.

fleet = HollowFleet(folder, spec, workers=8)
async with fleet:
    await fleet.start(fleet.names)
    census = await fleet.tell()
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

from stoatrouter.lab.hollow.census import Census
from stoatrouter.lab.hollow.messages import (
    Answer,
    Close,
    Command,
    Crash,
    Ordered,
    Part,
    Spend,
    Start,
    Tell,
    WorkerSpec,
)

ROOT = Path(__file__).parent.parent.parent.parent
LONGEST_LINE = 64 * 1024 * 1024  # bytes of one answer
ENDS_WITHIN = 8.0  # seconds that a worker has to end by itself; then it is killed
LAST_WORDS = 400  # characters
FIRST_HOST = 64  # 127.64.W.1 is the address of worker W: no connection that goes out takes a port of it


class WorkerLost(Exception):
    """A worker process has ended, or did not answer; its heads died with it."""


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """What all workers are told."""

    heads_file: Path
    config_file: Path
    http_file: Path | None
    names: tuple[str, ...]  # of all hollow heads
    addresses: dict[str, str]  # of the datagrams of real heads, as hollow heads reach them
    places: dict[str, tuple[int, int, int]]
    watches: bool = True


@dataclass(slots=True)
class WorkerProcess:
    """One worker and what it was asked."""

    number: int
    names: tuple[str, ...]
    process: asyncio.subprocess.Process
    log: Path
    asked: dict[int, asyncio.Future[Answer]] = field(default_factory=dict)
    reading: asyncio.Task[None] | None = None
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def read(self) -> None:
        """Hand on each answer to whoever waits for it."""
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            answer = msgspec.json.decode(line, type=Answer)
            if (waiting := self.asked.pop(answer.number, None)) is not None and not waiting.done():
                waiting.set_result(answer)
        await self.process.wait()
        lost = WorkerLost(self.last_words())
        for waiting in self.asked.values():
            if not waiting.done():
                waiting.set_exception(lost)
        self.asked.clear()

    async def ask(self, command: Command, within: float) -> Answer:
        """Give a command; raises WorkerLost where no answer comes."""
        if self.process.returncode is not None or self.process.stdin is None:
            raise WorkerLost(self.last_words())
        number = next(self.numbers)
        waiting = self.asked[number] = asyncio.get_running_loop().create_future()
        try:
            self.process.stdin.write(msgspec.json.encode(Ordered(number, command)) + b"\n")
            async with asyncio.timeout(within):
                answer = await waiting
        except (OSError, TimeoutError) as error:
            raise WorkerLost(f"worker {self.number} gave no answer: {error!r}") from None
        if answer.error:
            raise WorkerLost(f"worker {self.number}: {answer.error}")
        return answer

    def last_words(self) -> str:
        """How the process ended, with the end of what it wrote."""
        words = self.log.read_text(errors="replace").strip()[-LAST_WORDS:]
        return f"worker {self.number} ended with {self.process.returncode}: {words}"

    async def end(self) -> None:
        """End the process: by the end of its input, and by a kill where that does not help."""
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(ENDS_WITHIN):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)


class HollowFleet:
    """All hollow heads of a run."""

    def __init__(self, folder: Path, spec: FleetSpec, workers: int) -> None:
        self.folder, self.spec, self.names = folder, spec, spec.names
        self.shares = [spec.names[number::workers] for number in range(min(workers, len(spec.names)))]
        self.hollow_addresses = choose_addresses(self.shares)
        self.workers: list[WorkerProcess] = []
        self.answers: dict[int, Answer] = {}  # the last of each worker

    @property
    def logs(self) -> list[Path]:
        """Where the events of all hollow heads are."""
        return [self.folder / f"worker-{number}.events" for number in range(len(self.shares))]

    async def __aenter__(self) -> HollowFleet:
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            for number, names in enumerate(self.shares):
                self.workers.append(await self._open(number, names))
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """End all workers."""
        await asyncio.gather(*(worker.end() for worker in self.workers))

    async def _open(self, number: int, names: tuple[str, ...]) -> WorkerProcess:
        spec = self.spec
        told = WorkerSpec(
            str(spec.heads_file),
            str(spec.config_file),
            None if spec.http_file is None else str(spec.http_file),
            str(self.logs[number]),
            names,
            spec.addresses | self.hollow_addresses,
            spec.places,
            tuple(spec.addresses),
            spec.watches,
        )
        file = self.folder / f"worker-{number}.json"
        file.write_bytes(msgspec.json.encode(told))
        written = self.folder / f"worker-{number}.log"
        with written.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-B",
                "-m",
                "stoatrouter.lab.hollow.worker",
                str(file),
                env=os.environ | {"PYTHONPATH": str(ROOT)},
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=LONGEST_LINE,
                start_new_session=True,
            )
        worker = WorkerProcess(number, names, process, written)
        worker.reading = asyncio.get_running_loop().create_task(worker.read())
        return worker

    # -- commands -----------------------------------------------------------------------------------------
    async def start(self, names: Iterable[str], within: float = 240.0, at_once: int = 16) -> Census:
        """Start heads, so many at a time in each worker; returns when all run or died."""
        return await self._ask_each(lambda share: Start(share, at_once), names, within)

    async def crash(self, names: Iterable[str], within: float = 60.0) -> Census:
        """End heads as killed processes end."""
        return await self._ask_each(Crash, names, within)

    async def stop(self, names: Iterable[str], within: float = 60.0) -> Census:
        """End heads as processes that are asked to: each says that it leaves."""
        return await self._ask_each(Close, names, within)

    async def part(self, sides: dict[str, int], apart: tuple[tuple[int, int], ...] = ()) -> Census:
        """Put a partition between heads on different sides, or these pairs of sides alone; none heals it."""
        return await self._ask_all(Part(sides, apart), 30.0)

    async def spend(self, volumes: tuple[str, ...], rate: float, seed: int) -> Census:
        """Let each head have requests of customers at a rate a second; 0: no more."""
        return await self._ask_all(Spend(volumes, rate, seed), 30.0)

    async def tell(self, within: float = 30.0) -> Census:
        """A round of reports: every head by name, whatever became of it."""
        return await self._ask_all(Tell(), within)

    async def _ask_each(
        self, make: Callable[[tuple[str, ...]], Command], names: Iterable[str], within: float
    ) -> Census:
        wanted = set(names)
        shares = {
            worker.number: tuple(name for name in worker.names if name in wanted) for worker in self.workers
        }
        commands = {number: make(share) for number, share in shares.items() if share}
        return await self._gather(commands, within)

    async def _ask_all(self, command: Command, within: float) -> Census:
        return await self._gather({worker.number: command for worker in self.workers}, within)

    async def _gather(self, commands: dict[int, Command], within: float) -> Census:
        """Give commands to workers and make a census; workers that are not asked report too."""
        census = Census(self.names)

        async def ask(worker: WorkerProcess) -> None:
            try:
                answer = await worker.ask(commands.get(worker.number, Tell()), within)
            except WorkerLost as lost:
                census.lost_process(worker.names, str(lost))
                return
            self.answers[worker.number] = answer
            census.add(answer.heads)

        await asyncio.gather(*(ask(worker) for worker in self.workers))
        return census


def choose_addresses(shares: list[tuple[str, ...]]) -> dict[str, str]:
    """An address for the datagrams of each hollow head. Each worker has a loopback address of its own, where
    ports are held together and then let go: nobody else takes them meanwhile.
    """
    found: dict[str, str] = {}
    for number, names in enumerate(shares):
        host = f"127.{FIRST_HOST + os.getpid() % 128}.{number}.1"
        with contextlib.ExitStack() as held:
            for name in names:
                made = held.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                made.bind((host, 0))
                found[name] = f"{host}:{made.getsockname()[1]}"
    return found
