"""One seed of the soak, whatever happens to it: an error of its story is a finding, with its traceback."""

from __future__ import annotations

import asyncio
import traceback
from pathlib import Path

from tests.soak.credit_story import play_credit
from tests.soak.plan import Kind, kind_of
from tests.soak.report import Finding, SeedReport
from tests.soak.story import CLIENTS_PER_HEAD, Soak

LIMIT_FACTOR, LIMIT_MARGIN = 3.0, 120.0  # a seed that takes this many times its span, and seconds, hangs


def play_seed(folder: Path, seed: int, seconds: float, clients: int = CLIENTS_PER_HEAD) -> SeedReport:
    """Play and judge one seed; one that does not end, or whose story fails, is a finding."""
    report = SeedReport(seed, kind_of(seed))
    try:
        asyncio.run(play_in_time(folder, report, seconds, clients))
    except Exception:  # of whatever kind: the next seed is played all the same
        report.add(Finding.STORY_FAILED, traceback.format_exc())
    return report


async def play_in_time(folder: Path, report: SeedReport, seconds: float, clients: int) -> None:
    """Play one seed into its report."""
    async with asyncio.timeout(LIMIT_FACTOR * seconds + LIMIT_MARGIN):
        if report.kind is Kind.CREDIT:
            await play_credit(folder, report, seconds)
        else:
            await Soak(folder, report, seconds, clients=clients).play()
