"""A report on all hollow heads of a fleet, in which a missing head is never ignored. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stoatrouter.lab.hollow.messages import HeadReport

RUNNING = "running"
DIED = "died"
NO_REPORT = "its process sent no report"
MAX_NAMED = 20  # maximum number of heads that a message names


class IncompleteReport(Exception):
    """A mean was requested while some heads have no data; the message names the missing heads."""


@dataclass(slots=True)
class FleetReport:
    """The reports on all hollow heads of a fleet, from one round of requests to the workers."""

    expected: tuple[str, ...]
    reports: dict[str, HeadReport] = field(default_factory=dict)

    def add(self, reports: Iterable[HeadReport]) -> None:
        """Add the reports of one worker process."""
        self.reports |= {report.name: report for report in reports}

    def add_lost_process(self, names: Iterable[str], reason: str) -> None:
        """Add the heads of a worker process that has ended as died."""
        self.reports |= {name: HeadReport(name, DIED, reason) for name in names}

    @property
    def running(self) -> list[HeadReport]:
        """The reports of running heads, in order."""
        found = (self.reports.get(name) for name in self.expected)
        return [report for report in found if report is not None and report.lifecycle == RUNNING]

    @property
    def died(self) -> dict[str, str]:
        """The heads that failed or sent no report, each with the reason."""
        found = {name: self.reports.get(name) for name in self.expected}
        return {
            name: NO_REPORT if report is None else report.reason
            for name, report in found.items()
            if report is None or report.lifecycle == DIED
        }

    @property
    def lifecycles(self) -> Counter[str]:
        """The number of heads in each state; those without a report count as died."""
        return Counter(
            self.reports[name].lifecycle if name in self.reports else DIED for name in self.expected
        )

    def summary(self) -> str:
        """Describe in one line how many heads are running, and which ones died."""
        died = self.died
        named = "; ".join(f"{name}: {reason}" for name, reason in sorted(died.items())[:MAX_NAMED])
        more = f" and {len(died) - MAX_NAMED} more" if len(died) > MAX_NAMED else ""
        counts = f"{len(self.running)} of {len(self.expected)} hollow heads run, {len(died)} died"
        return f"{counts} ({named}{more})" if died else counts

    def mean_rates(self, before: FleetReport, seconds: float) -> dict[str, float]:
        """Return the mean rates of counters, for each head and second, since an earlier report.

        Raises:
            IncompleteReport: An expected head was not running in both reports.
        """
        both = {report.name for report in self.running} & {report.name for report in before.running}
        if missing := [name for name in self.expected if name not in both]:
            named = ", ".join(missing[:MAX_NAMED])
            raise IncompleteReport(
                f"{len(missing)} of {len(self.expected)} hollow heads have no data: {named}"
            )
        return rates(self, before, sorted(both), seconds)


def rates(after: FleetReport, before: FleetReport, names: list[str], seconds: float) -> dict[str, float]:
    """Return the mean rates of counters of some heads, for each head and second."""
    total: Counter[str] = Counter()
    for name in names:
        for kind, count in differences(after.reports[name].counts, before.reports[name].counts).items():
            total[kind] += count
    return {kind: count / seconds / len(names) for kind, count in sorted(total.items())}


def differences(after: Mapping[str, int], before: Mapping[str, int]) -> dict[str, int]:
    """Return the increments of counters between two reports of one head."""
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}
