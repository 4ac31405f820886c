"""Run many seeds of the soak one after the other, and report findings.

python -m benchmarks.soak --seeds 60 --seconds 40 [--seed 1] [--clients 100] [--keep FOLDER]

Each seed prints one line when it ends, with an estimate of the remaining time; a summary follows at the end.
The exit status is 1 if anything was found, and 3 if nothing was found but some seed was not judged, because a
loop of the soak itself lagged by more than the judge's slack. The folder of a seed with findings or without
judgement is kept, and the command to replay it is printed.
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

MAX_FINDINGS_PRINTED = 5
# Exit statuses; argparse exits with 2 for invalid arguments.
EXIT_FINDINGS = 1
EXIT_UNJUDGED = 3


def run_seeds(
    folder: Path, first: int, seeds: int, seconds: float, clients: int = CLIENTS_PER_HEAD
) -> list[SeedReport]:
    """Run the seeds, and print the report of each as it ends."""
    reports: list[SeedReport] = []
    started_at = time.monotonic()
    for seed in range(first, first + seeds):
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True)
        report = play_seed(seed_folder, seed, seconds, clients)
        reports.append(report)
        remaining_s = (time.monotonic() - started_at) / len(reports) * (seeds - len(reports))
        print(
            f"[{len(reports)}/{seeds}, {timedelta(seconds=round(remaining_s))} left] {report.line()}",
            flush=True,
        )
        if not report.findings and report.was_judged:
            shutil.rmtree(seed_folder)
            continue
        for finding, text in report.findings[:MAX_FINDINGS_PRINTED]:
            print(f"  {finding}: {text}")
        for text in report.withheld[:MAX_FINDINGS_PRINTED]:
            print(f"  withheld, not judged: {text}")
        replay_arguments = f"--seeds 1 --seconds {seconds:g} --clients {clients} --seed {seed}"
        print(f"  replay: python -m benchmarks.soak {replay_arguments}; folder: {seed_folder}")
    return reports


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument(
        "--clients", type=int, default=100, help="clients of each head, in stories without credit"
    )
    parser.add_argument("--keep", type=Path, help="folder in which those of findings are kept")
    arguments = parser.parse_args()
    folder = arguments.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    reports = run_seeds(folder, arguments.seed, arguments.seeds, arguments.seconds, arguments.clients)
    print(summary(reports))
    return exit_status(reports)


def exit_status(reports: list[SeedReport]) -> int:
    """Return 0 only if every seed was judged and nothing was found."""
    if any(report.findings for report in reports):
        return EXIT_FINDINGS
    return 0 if all(report.was_judged for report in reports) else EXIT_UNJUDGED


if __name__ == "__main__":
    raise SystemExit(main())
