"""Seeds of faults in virtual time, on the heads' pure parts; each promise is checked after each step.

    python -m benchmarks.heads_virtual --seeds 2000 --heads 5 --workers 8 [--story agreement|credit|both]
    python -m benchmarks.heads_virtual --exhaustive

A failing seed is printed and replays byte for byte: `--from SEED --seeds 1`.
"""

from __future__ import annotations

import argparse
import os
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor

from stoatrouter.lab.fleet import scenarios
from stoatrouter.lab.fleet.exhaustive import search


def play(job: tuple[str, int, int]) -> tuple[str, int, str, int, int]:
    """One seed of one story: its fault (empty: none), what was acknowledged or taken, and steps."""
    story, seed, heads = job
    try:
        if story == "agreement":
            result = scenarios.run_agreement(seed, heads)
            return story, seed, "", result.acknowledged, result.events
        fleet = scenarios.run_credit(seed, heads, wipes=seed % 2 == 0)
        return story, seed, "", fleet.admitted, fleet.world.events
    except Exception as error:  # noqa: BLE001 - a seed's fault is the result
        return story, seed, f"{type(error).__name__}: {error}"[:300], 0, 0


def seeds(which: Iterable[str], first: int, count: int, heads: int, workers: int) -> int:
    wrong = 0
    for story in which:
        began, done, steps = time.perf_counter(), 0, 0
        with ProcessPoolExecutor(workers) as pool:
            jobs = [(story, seed, heads) for seed in range(first, first + count)]
            for _, seed, fault, acts, events in pool.map(play, jobs, chunksize=8):
                done, steps = done + acts, steps + events
                if fault:
                    wrong += 1
                    print(f"{story} seed {seed}: {fault}", flush=True)
        print(
            f"{story}: seeds {first} to {first + count - 1}, {heads} heads: {wrong} broken; "
            f"{done} acts, {steps} steps, {time.perf_counter() - began:.0f} s with {workers} workers",
            flush=True,
        )
    return wrong


def exhaustive() -> None:
    for voters, depth, crashes in ((2, 12, 1), (3, 7, 1), (3, 8, 0)):
        began = time.perf_counter()
        states, done = search(voters, depth, crashes=crashes, max_states=400_000)
        print(
            f"{voters} voters, {crashes} crash, depth {done}: {states} states, "
            f"{time.perf_counter() - began:.0f} s",
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
    given = parser.parse_args()
    if given.exhaustive:
        exhaustive()
        return 0
    which = ("agreement", "credit") if given.story == "both" else (given.story,)
    return 1 if seeds(which, given.first, given.seeds, given.heads, given.workers) else 0


if __name__ == "__main__":
    raise SystemExit(main())
