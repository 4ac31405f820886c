"""Who of the hollow heads is there: each is named, and none is silently missing from a mean. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stoatrouter.lab.hollow.messages import HeadReport

RUNS = "running"
DIED = "died"
NO_WORD = "its process gave no report"


class Incomplete(Exception):
    """A mean was asked for over heads that are not all there; the text names the missing ones."""


@dataclass(slots=True)
class Census:
    """All hollow heads of a fleet by name, as one round of reports has them."""

    expected: tuple[str, ...]
    reports: dict[str, HeadReport] = field(default_factory=dict)

    def add(self, reports: Iterable[HeadReport]) -> None:
        """Take one process's report in."""
        self.reports |= {report.name: report for report in reports}

    def lost_process(self, names: Iterable[str], why: str) -> None:
        """A worker process has ended: its heads died with it."""
        self.reports |= {name: HeadReport(name, DIED, why) for name in names}

    @property
    def running(self) -> list[HeadReport]:
        """The heads that run, in order."""
        found = (self.reports.get(name) for name in self.expected)
        return [report for report in found if report is not None and report.life == RUNS]

    @property
    def died(self) -> dict[str, str]:
        """Heads that ended by themselves or gave no report, each with the reason."""
        found = {name: self.reports.get(name) for name in self.expected}
        return {
            name: NO_WORD if report is None else report.why
            for name, report in found.items()
            if report is None or report.life == DIED
        }

    @property
    def lives(self) -> Counter[str]:
        """How many heads are in which state of life; those without a report count as died."""
        return Counter(self.reports[name].life if name in self.reports else DIED for name in self.expected)

    def tell(self) -> str:
        """One line: how many run of how many, and the names of those that died."""
        died = self.died
        named = "; ".join(f"{name}: {why}" for name, why in sorted(died.items())[:20])
        more = f" and {len(died) - 20} more" if len(died) > 20 else ""
        return f"{len(self.running)} of {len(self.expected)} hollow heads run, {len(died)} died" + (
            f" ({named}{more})" if died else ""
        )

    def mean_rates(self, before: Census, seconds: float) -> dict[str, float]:
        """Counts a head and second between two rounds, over all heads; raises Incomplete where a head that is
        expected did not run at both.
        """
        both = {report.name for report in self.running} & {report.name for report in before.running}
        if missing := [name for name in self.expected if name not in both]:
            named = ", ".join(missing[:20])
            raise Incomplete(f"{len(missing)} of {len(self.expected)} hollow heads have no figure: {named}")
        return rates(self, before, sorted(both), seconds)


def rates(after: Census, before: Census, names: list[str], seconds: float) -> dict[str, float]:
    """Counts a head and second of the heads named."""
    total: Counter[str] = Counter()
    for name in names:
        for kind, count in differences(after.reports[name].counts, before.reports[name].counts).items():
            total[kind] += count
    return {kind: count / seconds / len(names) for kind, count in sorted(total.items())}


def differences(after: Mapping[str, int], before: Mapping[str, int]) -> dict[str, int]:
    """What was counted between two reports of one head."""
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}
