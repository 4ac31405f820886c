"""What all commands of this family share: arguments, measurements, fits, tables and refusals.

A command names its sizes and seeds in one way (`--sizes 12,120 --seeds 1,2 --out FILE`), writes one JSON line
for each measurement as soon as it is there, and closes with a table and the fits. A run that was interrupted
says so and fits nothing. What the machine cannot hold is refused before anything starts.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

MOST_EXTRAPOLATED = 4.0  # times the largest size measured; beyond, a figure is marked as extrapolated
MEMORY_SHARE = 0.5  # of the machine's memory, at most
REFERENCE_SIZE = 200_000  # calls of a function
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MEMORY_INFO = Path("/proc/meminfo")


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure: what was measured, at which size and seed, its unit, and what else was so."""

    name: str
    size: float
    value: float
    unit: str
    seed: int = 0
    details: dict[str, float | int | str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measurements by least squares, and where it was measured."""

    name: str
    unit: str
    base: float
    slope: float
    residual: float  # root of the mean square of what the line leaves, in the unit
    smallest: float
    largest: float

    def at(self, size: float) -> float:
        """The line's value at a size, in the unit."""
        return self.base + self.slope * size

    def extrapolates(self, size: float) -> bool:
        """Whether a size lies so far beyond those measured that its figure has to be marked."""
        return size > MOST_EXTRAPOLATED * self.largest


def fit_line(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line; needs two different sizes, else raises ValueError."""
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 2:
        raise ValueError(f"{name}: a fit needs two different sizes, found {sorted(set(sizes))}")
    mean_size = sum(sizes) / len(points)
    mean_value = sum(value for _, value in points) / len(points)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    base = mean_value - slope * mean_size
    squares = sum((value - base - slope * size) ** 2 for size, value in points)
    return Fit(name, unit, base, slope, (squares / len(points)) ** 0.5, min(sizes), max(sizes))


def prediction(fit: Fit, size: float) -> str:
    """A fit's value at a size, marked where nothing near it was measured."""
    mark = "extrapolated" if fit.extrapolates(size) else "within the range or near it"
    return f"at {size:g}: {fit.at(size):.4g} {fit.unit} ({mark})"


class Run:
    """The measurements of one command: written line by line, shown as a table at the end."""

    def __init__(self, command: str, out: Path | None, at: Sequence[float] = ()) -> None:
        self.command, self.out, self.at = command, out, at
        self.measurements: list[Measurement] = []
        self.interrupted = False
        if out is not None:
            out.parent.mkdir(parents=True, exist_ok=True)
            out.write_text("")

    def add(self, measurement: Measurement) -> None:
        """Keep a measurement and write it down at once."""
        self.measurements.append(measurement)
        line = json.dumps({"command": self.command, "at": round(time.time()), **asdict(measurement)})
        if self.out is not None:
            with self.out.open("a") as file:
                file.write(line + "\n")
        print(line, file=sys.stderr, flush=True)

    def fits(self) -> list[Fit]:
        """A line for each name that was measured at two sizes or more."""
        found: dict[tuple[str, str], list[tuple[float, float]]] = {}
        for measurement in self.measurements:
            points = found.setdefault((measurement.name, measurement.unit), [])
            points.append((measurement.size, measurement.value))
        return [
            fit_line(name, unit, points)
            for (name, unit), points in found.items()
            if len({size for size, _ in points}) > 1
        ]

    def print_table(self) -> None:
        """The measurements and, of a whole run, the fits."""
        for m in self.measurements:
            details = ", ".join(f"{key} {value}" for key, value in m.details.items())
            print(f"{m.name:40} {m.size:>8g} {m.value:>12.4g} {m.unit:20} seed {m.seed}  {details}")
        if self.interrupted:
            print("INTERRUPTED: these are parts of a run; nothing is fitted")
            return
        for fit in self.fits():
            print(
                f"fit {fit.name}: {fit.base:.4g} + {fit.slope:.4g} x size {fit.unit}, residual "
                f"{fit.residual:.3g}, measured from {fit.smallest:g} to {fit.largest:g}"
            )
            for size in self.at:
                print(f"    {prediction(fit, size)}")


@contextmanager
def recording(command: str, out: Path | None, at: Sequence[float] = ()) -> Iterator[Run]:
    """A run whose table is printed at its end, also when it was interrupted; fits are told at these sizes."""
    run = Run(command, out, at)
    try:
        yield run
    except BaseException:
        run.interrupted = True
        raise
    finally:
        run.print_table()


def parser(description: str, sizes: str, seeds: str = "1") -> argparse.ArgumentParser:
    """The arguments that all commands of the family take."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--sizes", type=numbers, default=numbers(sizes), help=f"default {sizes}")
    made.add_argument("--seeds", type=numbers, default=numbers(seeds), help=f"default {seeds}")
    made.add_argument("--out", type=Path, help="write JSON lines here too")
    made.add_argument("--at", type=numbers, default=[], help="tell the fits at these sizes")
    return made


def numbers(text: str) -> list[int]:
    """Whole numbers between commas; none of an empty text."""
    return [int(part) for part in text.split(",") if part]


class CapacityExceeded(Exception):
    """The machine cannot hold a size; says what is there and what would do."""


def require_capacity(descriptors: int = 0, memory_mb: int = 0, ports: int = 0) -> None:
    """Refuse a size that this machine cannot hold before anything is started; raises CapacityExceeded.

    Descriptors are those of one process, memory is that of all of them together, ports are connections to one
    address of loopback from one other.
    """
    lacks = [
        _lack("descriptors of one process", descriptors, _descriptors(), "raise `ulimit -n`"),
        _lack("MB of memory", memory_mb, _memory_mb(), "a smaller size, or a larger machine"),
        _lack("ports", ports, _ports(), "more addresses of 127.0.0.0/8, or a smaller size"),
    ]
    found = [lack for lack in lacks if lack]
    if found:
        raise CapacityExceeded("; ".join(found))


def _lack(what: str, wanted: int, there: int, remedy: str) -> str:
    if wanted <= there:
        return ""
    return f"{wanted:,} {what} are needed, {there:,} may be used: {remedy}"


def _descriptors() -> int:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _memory_mb() -> int:
    total_kb = int(MEMORY_INFO.read_text().split()[1])
    return int(total_kb / 1024 * MEMORY_SHARE)


def _ports() -> int:
    first, last = (int(part) for part in EPHEMERAL_RANGE.read_text().split())
    return last - first + 1


def processor_seconds(work: Callable[[], object]) -> float:
    """The processor time of this process that a piece of work takes, in seconds."""
    before = time.process_time()
    work()
    return time.process_time() - before


def reference_ms() -> float:
    """The processor time of a fixed piece of work, in ms.

    Where others use the machine all work takes longer: figures of different runs are held against each other
    by this.
    """
    took = processor_seconds(lambda: min(range(REFERENCE_SIZE), key=lambda number: number % 1_000))
    return took * 1_000


def process_cpu(pid: int) -> float:
    """The processor time that another process has used since its start, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def process_memory_mb(pid: int) -> float:
    """What another process holds of memory now (resident), in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


def process_descriptors(pid: int) -> int:
    """How many descriptors another process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))
