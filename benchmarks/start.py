"""Start time, CPU and memory of a head as the platform starts it: this tree against another, in turn.

    git worktree add /tmp/before REVISION && make -C /tmp/before build && make build
    python -m benchmarks.start --before /tmp/before [--runs 15]

All fronts but the platform's are off. Runs alternate, so that what the machine does else meets both.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import statistics
import time
from pathlib import Path

from benchmarks.heads import free_ports, head, interpreter, nodes, ready, used


async def once(tree: Path, python: str) -> tuple[float, float, float, int]:
    """Seconds until ready, CPU seconds, MB and descriptors then."""
    async with nodes(3) as known:
        (port,) = free_ports(1)
        began = time.perf_counter()
        with head(tree, python, known, port) as process:
            await ready(port)
            took = time.perf_counter() - began
            await asyncio.sleep(0.3)
            now = used(process.pid)
    return took, now.cpu_s, now.rss_mb, now.descriptors


def main() -> None:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--before", type=Path, required=True)
    options.add_argument("--runs", type=int, default=15)
    chosen = options.parse_args()
    trees = {"before": chosen.before.resolve(), "now": Path(__file__).parents[1]}
    found: dict[str, list[tuple[float, float, float, int]]] = {name: [] for name in trees}
    for run in range(chosen.runs + 1):
        for name, tree in trees.items():
            made = asyncio.run(once(tree, interpreter(tree)))
            if run:  # the first of each fills the file cache
                found[name].append(made)
    print(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}")
    print(f"{chosen.runs} runs each, in turn")
    for i, what in enumerate(("seconds until ready", "CPU seconds", "MB", "descriptors")):
        for name, figures in found.items():
            values = sorted(f[i] for f in figures)
            spread = f"({values[0]:.3f} to {values[-1]:.3f})"
            print(f"{what:>20} {name:>7}: median {statistics.median(values):.3f} {spread}")
        paired = [b[i] - a[i] for a, b in zip(found["before"], found["now"], strict=True)]
        print(f"{'':>20} paired difference: median {statistics.median(paired):+.3f}")


if __name__ == "__main__":
    main()
