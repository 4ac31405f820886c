"""Plays many seeds of the soak, one after the other, and says what was found.

python -m benchmarks.soak --seeds 60 --seconds 40 [--seed 1] [--clients 100] [--keep FOLDER]

Each seed is one line as it ends, with an estimate of what is left; then comes the sum. The exit status is 1
where anything was found, and 3 where nothing was, but a seed was not judged, as a loop of the soak itself
lagged by more than the judge's slack. Such a seed's folder stays, and the command is printed that plays it
again.
"""

from __future__ import annotations

import argparse
import shutil
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from tests.soak.report import SeedReport, summary
from tests.soak.seed import play_seed
from tests.soak.story import CLIENTS_PER_HEAD

FINDINGS_SHOWN = 5
FOUND, NOT_ALL_JUDGED = 1, 3  # exit statuses; 2 is that of a wrong argument


def play_all(
    folder: Path, first: int, seeds: int, seconds: float, clients: int = CLIENTS_PER_HEAD
) -> list[SeedReport]:
    """Play the seeds, and print each as it ends."""
    reports: list[SeedReport] = []
    began = time.monotonic()
    for seed in range(first, first + seeds):
        own = folder / str(seed)
        own.mkdir(parents=True)
        report = play_seed(own, seed, seconds, clients)
        reports.append(report)
        left = (time.monotonic() - began) / len(reports) * (seeds - len(reports))
        print(f"[{len(reports)}/{seeds}, {timedelta(seconds=round(left))} left] {report.line()}", flush=True)
        if not report.findings and report.was_judged:
            shutil.rmtree(own)
            continue
        for finding, text in report.findings[:FINDINGS_SHOWN]:
            print(f"  {finding}: {text}")
        for text in report.withheld[:FINDINGS_SHOWN]:
            print(f"  withheld, not judged: {text}")
        again = f"--seeds 1 --seconds {seconds:g} --clients {clients} --seed {seed}"
        print(f"  again: python -m benchmarks.soak {again}; kept: {own}")
    return reports


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--clients", type=int, default=100, help="of each head, in stories without credit")
    parser.add_argument("--keep", type=Path, help="where the folders of findings stay")
    given = parser.parse_args()
    folder = given.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    reports = play_all(folder, given.seed, given.seeds, given.seconds, given.clients)
    print(summary(reports))
    return exit_status(reports)


def exit_status(reports: list[SeedReport]) -> int:
    """0 only where every seed was judged and nothing was found."""
    if any(report.findings for report in reports):
        return FOUND
    return 0 if all(report.was_judged for report in reports) else NOT_ALL_JUDGED


if __name__ == "__main__":
    raise SystemExit(main())
