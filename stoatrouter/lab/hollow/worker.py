"""One process of hollow heads: does what the launcher says, line by line, and reports on each of its heads.

    python -m stoatrouter.lab.hollow.worker SPEC.json

It ends when its standard input ends, and with the process that started it.
"""

from __future__ import annotations

import asyncio
import ctypes
import gc
import random
import signal
import sys
import time
from pathlib import Path

import msgspec
from loguru import logger

from stoatrouter import config
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.lab.hollow.head import HollowHead, Life, Surroundings, settings_of
from stoatrouter.lab.hollow.logs import LABEL, write_events
from stoatrouter.lab.hollow.messages import (
    Answer,
    Close,
    Command,
    Crash,
    HeadReport,
    Ordered,
    Part,
    Spend,
    Start,
    Tell,
    WorkerSpec,
)
from stoatrouter.lab.hollow.network import Network
from stoatrouter.lab.hollow.places import Place
from stoatrouter.peering.head_calls import HeadCalls
from stoatrouter.peering.settings import load_heads

PR_SET_PDEATHSIG = 1
GARBAGE = (10_000, 20, 20)  # as a real head has it (stoatrouter/__main__.py)
LAG_EVERY = 0.1  # seconds
LATE = 0.1  # seconds; a wake later than this counts as late
LONGEST_LINE = 64 * 1024 * 1024  # bytes of one command


class Worker:
    """The hollow heads of this process."""

    def __init__(self, spec: WorkerSpec) -> None:
        environ = {"NODE_CONFIG": spec.config_file, "STOATROUTER_HEADS": spec.heads_file}
        conf = config.read(environ | {"STOATROUTER_HTTP": spec.http_file or ""}, {})
        http = None if spec.http_file is None else load_http(Path(spec.http_file))
        common = load_heads(Path(spec.heads_file), conf)
        self.network = Network(
            {name: Place(*place) for name, place in spec.places.items()},
            {address: name for name, address in spec.addresses.items()},
            frozenset(spec.real),
        )
        self.surroundings = Surroundings(conf, http, self.network, spec.watches)
        peers = tuple(spec.addresses.values())
        self.heads = {
            name: HollowHead(name, settings_of(common, name, spec.addresses[name], peers), self.surroundings)
            for name in spec.names
        }
        self.spending: list[asyncio.Task[None]] = []
        self.wakes = self.late = 0
        self.longest_lag = 0.0

    # -- commands -----------------------------------------------------------------------------------------
    async def do(self, command: Command) -> None:
        """Do one command; what fails at one head is that head's, and in the report."""
        match command:
            case Start():
                await self.start(command.names, command.at_once)
            case Crash():
                await asyncio.gather(*(self.heads[name].crash() for name in command.names))
            case Close():
                await asyncio.gather(*(self.heads[name].close() for name in command.names))
            case Part():
                self.network.sides, self.network.apart = command.sides, frozenset(command.apart)
            case Spend():
                self.spend(command)
            case Tell():
                pass

    async def start(self, names: tuple[str, ...], at_once: int) -> None:
        """Start heads, so many at a time; returns when all have begun to run or died."""
        gate = asyncio.Semaphore(at_once)

        async def start(head: HollowHead) -> None:
            async with gate:
                try:
                    await head.start()
                except Exception as error:  # noqa: BLE001 - it is that head's, and named in its report
                    if head.life is not Life.DIED and head.life is not Life.DOWN:
                        head.die(f"{type(error).__name__}: {error}")

        await asyncio.gather(*(asyncio.create_task(start(self.heads[name])) for name in names))

    def spend(self, command: Spend) -> None:
        """Give each head a customer's requests, or take them away."""
        for task in self.spending:
            task.cancel()
        self.spending = []
        if command.rate > 0:
            self.spending = [
                asyncio.create_task(self.spend_at(head, command)) for head in self.heads.values()
            ]

    async def spend_at(self, head: HollowHead, command: Spend) -> None:
        """One head's requests, at times drawn from the seed."""
        draws = random.Random(f"spend/{command.seed}/{head.name}")
        number = 0
        while True:
            await asyncio.sleep(draws.expovariate(command.rate))
            number += 1
            id = f"{head.name}/{command.seed}/{number}"
            at, volume, units = time.time(), draws.choice(command.volumes), draws.randint(1, 4)
            if head.life is not Life.RUNNING:
                continue
            served = await head.spend(id, volume, units)
            with logger.contextualize(**{LABEL: head.name}):
                logger.info(
                    "hollow: a request is {served}",
                    event="hollow.request",
                    id=id,
                    volume=volume,
                    units=units,
                    served=served,
                    asked_at=at,
                )

    # -- reports ------------------------------------------------------------------------------------------
    def answer(self, number: int, error: str = "") -> Answer:
        """The report of all heads: each by name, whatever became of it."""
        tables = self.surroundings.tables
        made = Answer(
            number,
            time.time(),
            tuple(report_of(head) for head in self.heads.values()),
            error,
            time.process_time(),
            self.longest_lag,
            self.late / self.wakes if self.wakes else 0.0,
            0 if tables is None else tables.compiled,
            self.network.cut_off,
        )
        self.longest_lag, self.wakes, self.late = 0.0, 0, 0
        return made

    async def watch_lag(self) -> None:
        """How late this loop wakes: beyond a tenth of a second its heads are not at their real cadence."""
        while True:
            due = time.monotonic() + LAG_EVERY
            await asyncio.sleep(LAG_EVERY)
            lag = time.monotonic() - due
            self.wakes += 1
            self.late += lag > LATE
            self.longest_lag = max(self.longest_lag, lag)

    async def serve(self) -> None:
        """Take commands until there are no more; several may be under way at once."""
        reader = asyncio.StreamReader(LONGEST_LINE)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        lag = loop.create_task(self.watch_lag())
        running: set[asyncio.Task[None]] = set()
        while line := await reader.readline():
            task = loop.create_task(self.take(msgspec.json.decode(line, type=Ordered)))
            running.add(task)
            task.add_done_callback(running.discard)
        lag.cancel()

    async def take(self, ordered: Ordered) -> None:
        """Do one command and answer it."""
        error = ""
        try:
            await self.do(ordered.command)
        except Exception as fault:  # noqa: BLE001 - told to the launcher, which asked
            error = f"{type(fault).__name__}: {fault}"
        sys.stdout.buffer.write(msgspec.json.encode(self.answer(ordered.number, error)) + b"\n")
        sys.stdout.buffer.flush()


def report_of(head: HollowHead) -> HeadReport:
    """One head's line of the report."""
    if head.heads is None or head.life not in (Life.STARTING, Life.RUNNING):
        return HeadReport(head.name, head.life.value, head.why, served=head.served, refused=head.refused)
    status = HeadCalls(head.heads.fleet).status()  # as an operator sees it
    rules = head.heads.rules
    return HeadReport(
        head.name,
        head.life.value,
        head.why,
        status.state,
        status.leader or "",
        status.applied,
        0 if rules is None else rules.active_version,
        head.listed,
        head.served,
        head.refused,
        dict(head.counts),
        {seen: list(status.seen.values()).count(seen) for seen in HeadReport.COUNTED},
    )


def end_with_parent() -> None:
    """This process ends with the one that started it, also when that one is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def run(spec: WorkerSpec) -> None:
    """Serve the launcher."""
    worker = Worker(spec)
    gc.freeze()
    gc.set_threshold(*GARBAGE)
    await worker.serve()


def main() -> None:
    """Start with the spec that the first argument names."""
    end_with_parent()
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C reaches the whole group; the launcher ends this
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerSpec)
    with Path(spec.log_file).open("a") as log:
        write_events(log)
        asyncio.run(run(spec))


if __name__ == "__main__":
    main()
