"""Random faults in virtual time on the pure parts of heads, with all invariants checked after each step.

    python -m benchmarks.heads_virtual --seeds 2000 --heads 5 --workers 8 [--story agreement|credit|both]
    python -m benchmarks.heads_virtual --exhaustive

A failing seed is printed; it can be replayed exactly with `--from SEED --seeds 1`.
"""

from __future__ import annotations

import argparse
import os
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor

from stoatrouter.lab.fleet import scenarios
from stoatrouter.lab.fleet.exhaustive import search


def run_seed(job: tuple[str, int, int]) -> tuple[str, int, str, int, int]:
    """Run one seed of a story; return its error (empty: none), acknowledged or admitted calls, and steps."""
    story, seed, heads = job
    try:
        if story == "agreement":
            result = scenarios.run_agreement(seed, heads)
            return story, seed, "", result.acknowledged, result.events
        fleet = scenarios.run_credit(seed, heads, wipes=seed % 2 == 0)
        return story, seed, "", fleet.admitted, fleet.world.events
    except Exception as error:  # noqa: BLE001 - an error of the seed is the result
        return story, seed, f"{type(error).__name__}: {error}"[:300], 0, 0


def run_seeds(selected: Iterable[str], first: int, count: int, heads: int, workers: int) -> int:
    failures = 0
    for story in selected:
        started_at, done, steps = time.perf_counter(), 0, 0
        with ProcessPoolExecutor(workers) as pool:
            jobs = [(story, seed, heads) for seed in range(first, first + count)]
            for _, seed, fault, acts, events in pool.map(run_seed, jobs, chunksize=8):
                done, steps = done + acts, steps + events
                if fault:
                    failures += 1
                    print(f"{story} seed {seed}: {fault}", flush=True)
        print(
            f"{story}: seeds {first} to {first + count - 1}, {heads} heads: {failures} broken; "
            f"{done} acts, {steps} steps, {time.perf_counter() - started_at:.0f} s with {workers} workers",
            flush=True,
        )
    return failures


def exhaustive() -> None:
    for voters, depth, crashes in ((2, 12, 1), (3, 7, 1), (3, 8, 0)):
        started_at = time.perf_counter()
        states, done = search(voters, depth, crashes=crashes, max_states=400_000)
        print(
            f"{voters} voters, {crashes} crash, depth {done}: {states} states, "
            f"{time.perf_counter() - started_at:.0f} s",
            flush=True,
        )


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2000)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--heads", type=int, default=5)
    parser.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--story", choices=("agreement", "credit", "both"), default="both")
    parser.add_argument("--exhaustive", action="store_true")
    arguments = parser.parse_args()
    if arguments.exhaustive:
        exhaustive()
        return 0
    selected = ("agreement", "credit") if arguments.story == "both" else (arguments.story,)
    return (
        1 if run_seeds(selected, arguments.first, arguments.seeds, arguments.heads, arguments.workers) else 0
    )


if __name__ == "__main__":
    raise SystemExit(main())
