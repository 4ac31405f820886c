"""A worker process of hollow heads: runs the commands of the launcher and reports on its heads.

    python -m stoatrouter.lab.hollow.worker SPEC.json

It exits when its standard input is closed or when the process that started it ends.
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
GC_THRESHOLDS = (10_000, 20, 20)  # as in a real head (stoatrouter/__main__.py)
LAG_INTERVAL = 0.1  # seconds between measurements of the lag
LATE_AFTER = 0.1  # seconds; a wake-up with a longer delay counts as late
UNITS = (1, 4)  # minimum and maximum units of a request


@dataclass(slots=True)
class LoopLag:
    """Delays of the wake-ups of the event loop since the last report."""

    wakes: int = 0
    late_wakes: int = 0
    longest: float = 0.0  # seconds

    def add(self, seconds: float) -> None:
        """Add the delay of one wake-up."""
        self.wakes += 1
        self.late_wakes += seconds > LATE_AFTER
        self.longest = max(self.longest, seconds)

    @property
    def late_fraction(self) -> float:
        """The fraction of late wake-ups."""
        return self.late_wakes / self.wakes if self.wakes else 0.0


class Worker:
    """The hollow heads of this process."""

    def __init__(self, spec: WorkerSpec) -> None:
        """Read the files named in the specification, and create the heads without starting them.

        Raises:
            ConfigError: A file is missing or invalid.
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
        self.shared = SharedResources(conf, http, self.network, spec.watches)
        peers = tuple(spec.addresses.values())
        self.heads = {
            name: HollowHead(name, settings_of_head(common, name, spec.addresses[name], peers), self.shared)
            for name in spec.names
        }
        self.spend_tasks: list[asyncio.Task[None]] = []
        self.lag = LoopLag()

    # -- commands -----------------------------------------------------------------------------------------
    async def run_command(self, command: Command) -> None:
        """Run one command; if a head fails to start, its report contains the reason."""
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
                pass  # every reply contains the report

    async def start(self, names: tuple[str, ...], concurrency: int) -> None:
        """Start heads, at most `concurrency` at a time; returns when all are running or died."""
        semaphore = asyncio.Semaphore(concurrency)

        async def start(head: HollowHead) -> None:
            async with semaphore:
                try:
                    await head.start()
                except Exception as error:  # noqa: BLE001 - affects one head and is in its report
                    if head.lifecycle not in (Lifecycle.DIED, Lifecycle.DOWN):
                        head.mark_died(f"{type(error).__name__}: {error}")

        await asyncio.gather(*(asyncio.create_task(start(self.heads[name])) for name in names))

    def spend(self, command: Spend) -> None:
        """Start making requests at each head, and stop those of an earlier command."""
        for task in self.spend_tasks:
            task.cancel()
        self.spend_tasks = []
        if command.rate > 0:
            self.spend_tasks = [
                asyncio.create_task(self.spend_at_head(head, command)) for head in self.heads.values()
            ]

    async def spend_at_head(self, head: HollowHead, command: Spend) -> None:
        """Make the requests of one head, at times drawn from the seed."""
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
                    "hollow head: request served: {served}",
                    event="hollow.request",
                    id=id,
                    volume=volume,
                    units=units,
                    served=served,
                    asked_at=asked_at,
                )

    # -- reports ------------------------------------------------------------------------------------------
    def reply(self, number: int, error: str = "") -> Reply:
        """Create a reply with a report on all heads, whatever their state, and reset the lag."""
        tables = self.shared.tables
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
        """Measure the delay of wake-ups of the event loop: if it is late, so are the timers of heads."""
        while True:
            due = time.monotonic() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self.lag.add(time.monotonic() - due)

    async def serve(self) -> None:
        """Run commands until the input is closed; several may run concurrently."""
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
        except Exception as failure:  # noqa: BLE001 - reported to the launcher
            error = f"{type(failure).__name__}: {failure}"
        sys.stdout.buffer.write(msgspec.json.encode(self.reply(command.number, error)) + b"\n")
        sys.stdout.buffer.flush()


def report_of(head: HollowHead) -> HeadReport:
    """Report on one head; if it is not active, only its name, state, reason and request counts."""
    lifecycle = head.lifecycle.value
    if head.heads is None or not head.is_active():
        return HeadReport(head.name, lifecycle, head.death_reason, served=head.served, rejected=head.rejected)
    status = HeadCalls(head.heads.fleet).status()  # the status that operators see
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
    """Let the kernel kill this process when its parent ends, even if the parent is killed (prctl(2))."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def run(spec: WorkerSpec) -> None:
    """Run commands of the launcher until it closes the input of this process."""
    worker = Worker(spec)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await worker.serve()


def main() -> None:
    """Run the worker with the specification file given as the first argument."""
    end_with_parent()
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C signals the whole group; the launcher ends this
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerSpec)
    with Path(spec.log_file).open("a") as log:
        write_events(log)
        asyncio.run(run(spec))


if __name__ == "__main__":
    main()
