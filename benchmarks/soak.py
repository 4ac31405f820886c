"""Plays many seeds of the soak, one after the other, and says what was found.

python -m benchmarks.soak --seeds 60 --seconds 40 [--seed 1] [--keep FOLDER]

Each seed is one line as it ends, with an estimate of what is left; then comes the sum. The exit status is 1
where anything was found: such a seed's folder stays, and the command is printed that plays it again.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from tests.soak.credit_story import play_credit
from tests.soak.plan import Kind, kind_of
from tests.soak.report import Finding, SeedReport, summary
from tests.soak.story import Soak

LIMIT_FACTOR, LIMIT_MARGIN = 3.0, 120.0  # a seed that takes this many times its span, and seconds, hangs
FINDINGS_SHOWN = 5


async def play_seed(folder: Path, seed: int, seconds: float) -> SeedReport:
    """Play and judge one seed; one that does not end, or whose story fails, is a finding."""
    try:
        async with asyncio.timeout(LIMIT_FACTOR * seconds + LIMIT_MARGIN):
            if kind_of(seed) is Kind.CREDIT:
                return await play_credit(folder, seed, seconds)
            return await Soak(folder, seed, seconds).play()
    except (TimeoutError, AssertionError) as error:
        report = SeedReport(seed, kind_of(seed))
        report.add(Finding.UNKNOWN, f"the story failed: {error!r}")
        return report


def play_all(folder: Path, first: int, seeds: int, seconds: float) -> list[SeedReport]:
    """Play the seeds, and print each as it ends."""
    reports: list[SeedReport] = []
    began = time.monotonic()
    for seed in range(first, first + seeds):
        own = folder / str(seed)
        own.mkdir(parents=True)
        report = asyncio.run(play_seed(own, seed, seconds))
        reports.append(report)
        left = (time.monotonic() - began) / len(reports) * (seeds - len(reports))
        print(f"[{len(reports)}/{seeds}, {timedelta(seconds=round(left))} left] {report.line()}", flush=True)
        if not report.findings:
            shutil.rmtree(own)
            continue
        for finding, text in report.findings[:FINDINGS_SHOWN]:
            print(f"  {finding}: {text}")
        print(
            f"  again: python -m benchmarks.soak --seeds 1 --seconds {seconds:g} --seed {seed}; kept: {own}"
        )
    return reports


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--keep", type=Path, help="where the folders of findings stay")
    given = parser.parse_args()
    folder = given.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    reports = play_all(folder, given.seed, given.seeds, given.seconds)
    print(summary(reports))
    return 1 if any(report.findings for report in reports) else 0


if __name__ == "__main__":
    raise SystemExit(main())
