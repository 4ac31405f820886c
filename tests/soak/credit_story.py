"""A seed of the soak with a fleet of heads: credit and rules under faults and cut-offs."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from stoatrouter.lab.histories.checker import check_history
from stoatrouter.lab.histories.history import Request
from tests.heads.ledger_chaos import LEDGER_CHAOS_SETTINGS, LedgerChaos
from tests.heads.processes import HeadProcess, ProcessFleet, running_heads
from tests.heads.rules_clients import rules
from tests.soak.ends import Signaller
from tests.soak.lag import measured
from tests.soak.plan import EndMode
from tests.soak.report import Finding, SeedReport, Usage
from tests.soak.story import add_tracebacks

HEADS = 5
KILL_FAULTS = ("kill", "kill_leader", "lose_folder", "start_cut_off")  # faults that kill a process
SERIES = "series"
KILL_TIMEOUT = 2.7  # seconds after SIGTERM: 0.7 s after the longest deadline of a request of this run
UNCHARGED_WORDS = ("served", "paid in", "charged")  # words of the checker that mark uncharged requests


class SeriesChaos(LedgerChaos):
    """Random faults that include heads ended by a series of signals."""

    fault_kinds = [*LedgerChaos.fault_kinds, SERIES, SERIES, SERIES]
    signaller: Signaller  # of the seed
    has_ended_one = False  # whether a head was ended by a series

    async def inject(self, fault: str, head: HeadProcess | None, duration: float) -> None:
        """Inject one fault; the first that can be ends a head, so that each seed has an end to judge."""
        can_end = head in self.fleet.up and len(self.fleet.up) > 2 and head.process is not None
        if can_end and not self.has_ended_one and SERIES in self.fault_kinds:
            fault = SERIES
        if fault != SERIES:
            return await super().inject(fault, head, duration)
        if can_end:
            self.has_ended_one = True
            await self.signaller.end_process(head.name, head.process, EndMode.SERIES)
            self.restarts.append(asyncio.create_task(self.start_after(duration, head)))


async def play_credit(
    folder: Path, report: SeedReport, seconds: float, settings: str = LEDGER_CHAOS_SETTINGS
) -> None:
    """Run and check_history one seed."""
    up = running_heads(folder, count=HEADS, seed=report.seed, extra_settings=settings, http=rules("own"))
    async with measured(report.lag_of("stand-ins")), up as fleet:
        report.before = usage(fleet)
        chaos = SeriesChaos(fleet, report.seed, folder / "history.jsonl")
        chaos.signaller = Signaller(report.seed, report, KILL_TIMEOUT)
        history = await chaos.run(seconds, detect=False)
        report.after = usage(fleet)
    for violation in check_history(history):
        text = str(violation)
        uncharged = any(word in text for word in UNCHARGED_WORDS)
        report.add(Finding.UNCHARGED if uncharged else Finding.CREDIT, text)
    add_tracebacks(report, [head.logs for head in fleet])
    report.answers = Counter(str(request.status) for request in history.of(Request))
    report.ends += sum(fault.split()[1] in KILL_FAULTS for fault in chaos.faults)


def usage(fleet: ProcessFleet) -> list[Usage]:
    """Return the present resource usage of the running heads."""
    return [Usage.of(head.process.pid) for head in fleet.up if head.process is not None]
