"""One process of hollow heads: runs the launcher's commands, line by line, and reports on each of its heads.

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
from dataclasses import dataclass
from pathlib import Path

import msgspec
from loguru import logger

from stoatrouter import config
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.lab.hollow.head import HollowHead, Lifecycle, SharedResources, settings_of_head
from stoatrouter.lab.hollow.logs import HEAD_FIELD, write_events
from stoatrouter.lab.hollow.messages import (
    MAX_LINE,
    Close,
    Command,
    Crash,
    HeadReport,
    NumberedCommand,
    Reply,
    Report,
    SetPartition,
    Spend,
    Start,
    WorkerSpec,
)
from stoatrouter.lab.hollow.network import Network, Partition
from stoatrouter.lab.hollow.places import Place
from stoatrouter.peering.head_calls import HeadCalls
from stoatrouter.peering.settings import load_heads

PR_SET_PDEATHSIG = 1
GC_THRESHOLDS = (10_000, 20, 20)  # as a real head has them (stoatrouter/__main__.py)
LAG_INTERVAL = 0.1  # seconds
LATE_AFTER = 0.1  # seconds; a wake that is later counts as late
UNITS = (1, 4)  # of a request, at least and at most


@dataclass(slots=True)
class LoopLag:
    """How late the event loop woke since the last report."""

    wakes: int = 0
    late_wakes: int = 0
    longest: float = 0.0  # seconds

    def add(self, seconds: float) -> None:
        """Count one wake."""
        self.wakes += 1
        self.late_wakes += seconds > LATE_AFTER
        self.longest = max(self.longest, seconds)

    @property
    def late_fraction(self) -> float:
        """The late ones among the wakes."""
        return self.late_wakes / self.wakes if self.wakes else 0.0


class Worker:
    """The hollow heads of this process."""

    def __init__(self, spec: WorkerSpec) -> None:
        """Read the files that the specification names, and make the heads; none is started yet.

        Raises:
            ConfigError: A file is missing or wrong.
        """
        environ = {"NODE_CONFIG": spec.config_file, "STOATROUTER_HEADS": spec.heads_file}
        conf = config.read(environ | {"STOATROUTER_HTTP": spec.http_file or ""}, {})
        http = None if spec.http_file is None else load_http(Path(spec.http_file))
        common = load_heads(Path(spec.heads_file), conf)
        self.network = Network(
            {name: Place(*place) for name, place in spec.places.items()},
            {address: name for name, address in spec.addresses.items()},
            frozenset(spec.real),
        )
        self.surroundings = SharedResources(conf, http, self.network, spec.watches)
        peers = tuple(spec.addresses.values())
        self.heads = {
            name: HollowHead(
                name, settings_of_head(common, name, spec.addresses[name], peers), self.surroundings
            )
            for name in spec.names
        }
        self.spending: list[asyncio.Task[None]] = []
        self.lag = LoopLag()

    # -- commands -----------------------------------------------------------------------------------------
    async def run_command(self, command: Command) -> None:
        """Run one command; a failure of one head is that head's alone, and in its report."""
        match command:
            case Start():
                await self.start(command.names, command.concurrency)
            case Crash():
                await asyncio.gather(*(self.heads[name].crash() for name in command.names))
            case Close():
                await asyncio.gather(*(self.heads[name].close() for name in command.names))
            case SetPartition():
                self.network.partition = Partition(command.sides, frozenset(command.cut_pairs))
            case Spend():
                self.spend(command)
            case Report():
                pass  # the reply is the report

    async def start(self, names: tuple[str, ...], concurrency: int) -> None:
        """Start heads, so many at a time; returns when all run or died."""
        gate = asyncio.Semaphore(concurrency)

        async def start(head: HollowHead) -> None:
            async with gate:
                try:
                    await head.start()
                except Exception as error:  # noqa: BLE001 - it is that head's, and named in its report
                    if head.lifecycle not in (Lifecycle.DIED, Lifecycle.DOWN):
                        head.die(f"{type(error).__name__}: {error}")

        await asyncio.gather(*(asyncio.create_task(start(self.heads[name])) for name in names))

    def spend(self, command: Spend) -> None:
        """Begin to make requests at each head, in place of those of an earlier command."""
        for task in self.spending:
            task.cancel()
        self.spending = []
        if command.rate > 0:
            self.spending = [
                asyncio.create_task(self.spend_at_head(head, command)) for head in self.heads.values()
            ]

    async def spend_at_head(self, head: HollowHead, command: Spend) -> None:
        """Make one head's requests, at times drawn from the seed."""
        rng = random.Random(f"spend/{command.seed}/{head.name}")
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(command.rate))
            number += 1
            id = f"{head.name}/{command.seed}/{number}"
            asked_at = time.time()
            volume = rng.choice(command.volumes)
            units = rng.randint(*UNITS)
            if not head.is_running():
                continue
            served = await head.spend(id, volume, units)
            with logger.contextualize(**{HEAD_FIELD: head.name}):
                logger.info(
                    "hollow: a request is {served}",
                    event="hollow.request",
                    id=id,
                    volume=volume,
                    units=units,
                    served=served,
                    asked_at=asked_at,
                )

    # -- reports ------------------------------------------------------------------------------------------
    def reply(self, number: int, error: str = "") -> Reply:
        """Report on all heads, each by name, whatever became of it; the lag is counted anew."""
        tables = self.surroundings.tables
        lag, self.lag = self.lag, LoopLag()
        return Reply(
            number=number,
            at=time.time(),
            heads=tuple(report_of(head) for head in self.heads.values()),
            error=error,
            cpu_seconds=time.process_time(),
            longest_lag=lag.longest,
            late_fraction=lag.late_fraction,
            compiled=0 if tables is None else tables.compiled,
            dropped=self.network.dropped,
        )

    async def watch_lag(self) -> None:
        """Measure how late this loop wakes: where it is late, its heads are not at their real cadence."""
        while True:
            due = time.monotonic() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self.lag.add(time.monotonic() - due)

    async def serve(self) -> None:
        """Run commands until there are no more; several may run at once."""
        reader = asyncio.StreamReader(MAX_LINE)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        lag = loop.create_task(self.watch_lag())
        running: set[asyncio.Task[None]] = set()
        while line := await reader.readline():
            task = loop.create_task(self.handle(msgspec.json.decode(line, type=NumberedCommand)))
            running.add(task)
            task.add_done_callback(running.discard)
        lag.cancel()

    async def handle(self, command: NumberedCommand) -> None:
        """Run one command and reply to it."""
        error = ""
        try:
            await self.run_command(command.command)
        except Exception as fault:  # noqa: BLE001 - passed on to the launcher
            error = f"{type(fault).__name__}: {fault}"
        sys.stdout.buffer.write(msgspec.json.encode(self.reply(command.number, error)) + b"\n")
        sys.stdout.buffer.flush()


def report_of(head: HollowHead) -> HeadReport:
    """Report on one head; one that does not run has no more than its name, state and counts of requests."""
    lifecycle = head.lifecycle.value
    if head.heads is None or not head.is_active():
        return HeadReport(head.name, lifecycle, head.death_reason, served=head.served, rejected=head.rejected)
    status = HeadCalls(head.heads.fleet).status()  # as an operator sees it
    rules = head.heads.rules
    statuses = list(status.seen.values())
    return HeadReport(
        name=head.name,
        lifecycle=lifecycle,
        reason=head.death_reason,
        availability=status.state,
        leader=status.leader or "",
        applied=status.applied,
        version=0 if rules is None else rules.active_version,
        nodes=head.listed_nodes,
        served=head.served,
        rejected=head.rejected,
        counts=dict(head.counts),
        seen={name: statuses.count(name) for name in HeadReport.COUNTED},
    )


def end_with_parent() -> None:
    """End this process with the one that started it, also when that one is killed (prctl(2))."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def run(spec: WorkerSpec) -> None:
    """Run the launcher's commands until it closes this process's input."""
    worker = Worker(spec)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await worker.serve()


def main() -> None:
    """Run the worker whose specification the first argument names."""
    end_with_parent()
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C reaches the whole group; the launcher ends this
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerSpec)
    with Path(spec.log_file).open("a") as log:
        write_events(log)
        asyncio.run(run(spec))


if __name__ == "__main__":
    main()
