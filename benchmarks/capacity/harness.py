"""Code shared by all capacity benchmarks: arguments, measurements, fits, tables and capacity checks.

All commands take sizes and seeds in the same form (`--sizes 12,120 --seeds 1,2 --out FILE`), write each
measurement as a JSON line as soon as it is made, and end with a table and the fits. An interrupted run is
marked as such and has no fits. Sizes that exceed the machine's capacity are refused before anything starts.
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

MAX_EXTRAPOLATION = (
    4.0  # multiple of the largest measured size, beyond which figures are marked as extrapolated
)
MAX_MEMORY_SHARE = 0.5  # of the machine's memory that a run may use
REFERENCE_SIZE = 200_000  # function calls of the reference work
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MEMORY_INFO = Path("/proc/meminfo")


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure: its name, size, value, unit, seed and further details."""

    name: str
    size: float
    value: float
    unit: str
    seed: int = 0
    details: dict[str, float | int | str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line through measurements, and the range of their sizes."""

    name: str
    unit: str
    base: float
    slope: float
    residual: float  # root mean square of the residuals, in the unit
    smallest: float
    largest: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size, in the unit."""
        return self.base + self.slope * size

    def extrapolates(self, size: float) -> bool:
        """Return whether a size is so far beyond those measured that its figure must be marked."""
        return size > MAX_EXTRAPOLATION * self.largest


def fit_line(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line; raises ValueError unless there are two different sizes."""
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
    """Return the value of a fit at a size as text, marked if it is extrapolated."""
    mark = "extrapolated" if fit.extrapolates(size) else "within the range or near it"
    return f"at {size:g}: {fit.at(size):.4g} {fit.unit} ({mark})"


class Run:
    """Measurements of one command, written line by line and printed as a table at the end."""

    def __init__(self, command: str, out: Path | None, at: Sequence[float] = ()) -> None:
        self.command, self.out, self.at = command, out, at
        self.measurements: list[Measurement] = []
        self.interrupted = False
        if out is not None:
            out.parent.mkdir(parents=True, exist_ok=True)
            out.write_text("")

    def add(self, measurement: Measurement) -> None:
        """Add a measurement and write its JSON line at once."""
        self.measurements.append(measurement)
        line = json.dumps({"command": self.command, "at": round(time.time()), **asdict(measurement)})
        if self.out is not None:
            with self.out.open("a") as file:
                file.write(line + "\n")
        print(line, file=sys.stderr, flush=True)

    def fits(self) -> list[Fit]:
        """Return a fit for each name that was measured at two sizes or more."""
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
        """Print the measurements and, unless the run was interrupted, the fits."""
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
    """Record a run and print its table at the end, also after an interrupt, with fits at the given sizes."""
    run = Run(command, out, at)
    try:
        yield run
    except BaseException:
        run.interrupted = True
        raise
    finally:
        run.print_table()


def parser(description: str, sizes: str, seeds: str = "1") -> argparse.ArgumentParser:
    """Return a parser of the arguments that all capacity benchmarks take."""
    arguments_parser = argparse.ArgumentParser(description=description)
    arguments_parser.add_argument(
        "--sizes", type=parse_ints, default=parse_ints(sizes), help=f"default {sizes}"
    )
    arguments_parser.add_argument(
        "--seeds", type=parse_ints, default=parse_ints(seeds), help=f"default {seeds}"
    )
    arguments_parser.add_argument("--out", type=Path, help="also write the JSON lines to this file")
    arguments_parser.add_argument("--at", type=parse_ints, default=[], help="print the fits at these sizes")
    return arguments_parser


def parse_ints(text: str) -> list[int]:
    """Parse integers separated by commas; an empty text has none."""
    return [int(part) for part in text.split(",") if part]


class CapacityExceeded(Exception):
    """A size exceeds the capacity of the machine; the message gives the limit and a remedy."""


def require_capacity(descriptors: int = 0, memory_mb: int = 0, ports: int = 0) -> None:
    """Raise CapacityExceeded if this machine lacks the given resources; called before anything is started.

    Descriptors are those of one process, memory is that of all processes together, ports are connections from
    one loopback address to one other.
    """
    shortages = [
        _shortage("descriptors of one process", descriptors, _descriptors(), "raise `ulimit -n`"),
        _shortage("MB of memory", memory_mb, _memory_mb(), "a smaller size, or a larger machine"),
        _shortage("ports", ports, _ports(), "more addresses of 127.0.0.0/8, or a smaller size"),
    ]
    messages = [shortage for shortage in shortages if shortage]
    if messages:
        raise CapacityExceeded("; ".join(messages))


def _shortage(what: str, needed: int, available: int, remedy: str) -> str:
    if needed <= available:
        return ""
    return f"{needed:,} {what} are needed, {available:,} may be used: {remedy}"


def _descriptors() -> int:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _memory_mb() -> int:
    total_kb = int(MEMORY_INFO.read_text().split()[1])
    return int(total_kb / 1024 * MAX_MEMORY_SHARE)


def _ports() -> int:
    first, last = (int(part) for part in EPHEMERAL_RANGE.read_text().split())
    return last - first + 1


def processor_seconds(work: Callable[[], object]) -> float:
    """Return the processor time of this process that a function takes, in seconds."""
    before = time.process_time()
    work()
    return time.process_time() - before


def reference_ms() -> float:
    """Return the processor time of a fixed piece of work, in ms.

    All work takes longer on a busy machine; figures of different runs are compared relative to this one.
    """
    seconds = processor_seconds(lambda: min(range(REFERENCE_SIZE), key=lambda number: number % 1_000))
    return seconds * 1_000


def process_cpu(pid: int) -> float:
    """Return the user and system processor time of another process since its start, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def process_memory_mb(pid: int) -> float:
    """Return the resident memory of another process, in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


def process_descriptors(pid: int) -> int:
    """Return the number of open descriptors of another process."""
    return len(os.listdir(f"/proc/{pid}/fd"))
