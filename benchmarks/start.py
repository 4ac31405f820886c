"""Start time, CPU and memory of a head started as by the platform: this source tree compared with another.

    git worktree add /tmp/before REVISION && make -C /tmp/before build && make build
    python -m benchmarks.start --before /tmp/before [--runs 15]

All fronts but that of the platform are off. Runs alternate, so that other load of the machine affects both.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import statistics
import time
from pathlib import Path

from benchmarks.heads import free_ports, interpreter, process_usage, running_head, running_nodes, wait_ready


async def measure_start(tree: Path, python: str) -> tuple[float, float, float, int]:
    """Start a head; return the seconds until ready, and CPU seconds, MB and descriptors after that."""
    async with running_nodes(3) as known:
        (port,) = free_ports(1)
        started_at = time.perf_counter()
        with running_head(tree, python, known, port) as process:
            await wait_ready(port)
            ready_s = time.perf_counter() - started_at
            await asyncio.sleep(0.3)
            usage = process_usage(process.pid)
    return ready_s, usage.cpu_s, usage.rss_mb, usage.descriptors


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", type=Path, required=True)
    parser.add_argument("--runs", type=int, default=15)
    arguments = parser.parse_args()
    trees = {"before": arguments.before.resolve(), "now": Path(__file__).parents[1]}
    results: dict[str, list[tuple[float, float, float, int]]] = {name: [] for name in trees}
    for run in range(arguments.runs + 1):
        for name, tree in trees.items():
            measured = asyncio.run(measure_start(tree, interpreter(tree)))
            if run:  # the first run of each tree fills the file cache
                results[name].append(measured)
    print(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}")
    print(f"{arguments.runs} runs each, in turn")
    for i, what in enumerate(("seconds until ready", "CPU seconds", "MB", "descriptors")):
        for name, figures in results.items():
            values = sorted(f[i] for f in figures)
            spread = f"({values[0]:.3f} to {values[-1]:.3f})"
            print(f"{what:>20} {name:>7}: median {statistics.median(values):.3f} {spread}")
        paired = [b[i] - a[i] for a, b in zip(results["before"], results["now"], strict=True)]
        print(f"{'':>20} paired difference: median {statistics.median(paired):+.3f}")


if __name__ == "__main__":
    main()
