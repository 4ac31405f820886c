"""Run one seed of the soak; an error of the run is a finding, with its traceback."""

from __future__ import annotations

import asyncio
import traceback
from pathlib import Path

from tests.soak.credit_story import play_credit
from tests.soak.plan import Kind, kind_of
from tests.soak.report import Finding, SeedReport
from tests.soak.story import CLIENTS_PER_HEAD, Soak

# A seed that takes longer than its span times the factor plus the margin is considered to hang.
TIMEOUT_FACTOR = 3.0
TIMEOUT_MARGIN = 120.0  # seconds


def play_seed(folder: Path, seed: int, seconds: float, clients: int = CLIENTS_PER_HEAD) -> SeedReport:
    """Run and judge one seed; a hang or an error of the run is a finding."""
    report = SeedReport(seed, kind_of(seed))
    try:
        asyncio.run(play_in_time(folder, report, seconds, clients))
    except Exception:  # any error: the next seed must still run
        report.add(Finding.STORY_FAILED, traceback.format_exc())
    return report


async def play_in_time(folder: Path, report: SeedReport, seconds: float, clients: int) -> None:
    """Run one seed within its timeout and fill its report."""
    async with asyncio.timeout(TIMEOUT_FACTOR * seconds + TIMEOUT_MARGIN):
        if report.kind is Kind.CREDIT:
            await play_credit(folder, report, seconds)
        else:
            await Soak(folder, report, seconds, clients=clients).play()
