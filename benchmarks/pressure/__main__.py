"""Play pressure trials, a row each: `python -m benchmarks.pressure halting mixed --memory 96 192`."""

from __future__ import annotations

import argparse

from benchmarks.pressure.loads import MEMORY_LOADS
from benchmarks.pressure.trial import MB, play


def main() -> None:
    """Play the trials that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "loads", nargs="*", default=list(MEMORY_LOADS), help="names of loads; floods as NAME:COUNT"
    )
    parser.add_argument("--memory", type=int, nargs="+", default=[192], help="memory_mb of the settings")
    parser.add_argument("--sockets", type=int, nargs="+", default=[1024], help="descriptors of the settings")
    parser.add_argument("--seconds", type=float, default=6.0, help="how long each load lasts")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        "load | memory_mb | sockets | start | peak (files) | after | quiet: answers, not 200, worst ms, ends"
    )
    for memory in options.memory:
        for sockets in options.sockets:
            for load in options.loads:
                result = play(load, memory, sockets, options.seconds, options.seed)
                quiet = result.quiet
                print(
                    f"{load} | {memory} | {sockets} | {result.at_start / MB:.0f} | {result.peak / MB:.0f} "
                    f"({result.peak_files / MB:.0f}) | {result.after / MB:.0f} | {len(quiet.answers)}, "
                    f"{quiet.refused}, {quiet.worst * 1000:.0f}, {quiet.disconnects}"
                    + (f" | exit {result.exit_code}" if result.exit_code is not None else "")
                    + (f" | {result.faults()[0][:100]}" if result.faults() else ""),
                    flush=True,
                )


if __name__ == "__main__":
    main()
