"""The report of a seed of the soak in one line, and the summary of all seeds."""

from __future__ import annotations

import math
import stat
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from tests.fleet_story import MEMORY_MB
from tests.soak.lag import Lag
from tests.soak.plan import JUDGE_SLACK, EndMode, Kind, pressure_of

MEGABYTE = 1 << 20
PAGE_SIZE = 4096
MAX_MEMORY = 9 * MEMORY_MB * MEGABYTE // 10  # of the limit in the settings of the heads
NOT_JUDGED = "NOT JUDGED (a loop of the soak lagged {:.2f} s, {} violations withheld)"


class Finding(StrEnum):
    """A kind of violation or failure."""

    LOST = "lost"
    RUN_TWICE = "run twice"
    SENT_TO_DRAINED = "sent to a drained node"
    SENT_FOR_NOBODY = "sent for a client that had gone"
    ANOTHERS_ANSWER = "another's answer"
    UNCHARGED = "served uncharged"
    CREDIT = "another promise of heads that know each other"
    TRACEBACK = "traceback"
    CRASHED = "crashed"
    NOT_READY = "not ready"
    OVER_MEMORY = "over its memory"
    MISRECORDED = "seen before it was written"
    UNKNOWN = "another rule"
    STORY_FAILED = "the story failed"


# Findings by texts of the judges' violations.
FINDING_BY_TEXT = {
    "lost by": Finding.LOST,
    "never answered": Finding.LOST,
    " answers": Finding.LOST,
    "an answer after": Finding.LOST,
    "may not run twice": Finding.RUN_TWICE,
    "outside its window": Finding.RUN_TWICE,
    "in another cell": Finding.RUN_TWICE,
    "two attempts at once": Finding.RUN_TWICE,
    "told as leaving": Finding.SENT_TO_DRAINED,
    "after its client had gone": Finding.SENT_FOR_NOBODY,
    "answered with the answer to": Finding.ANOTHERS_ANSWER,
    "before its head began to write it": Finding.MISRECORDED,
}

# The texts among them that compare times recorded by the stand-ins: a stand-in that ran late reports them of
# a correct program.
CLOCK_DEPENDENT_TEXTS = (
    "outside its window",
    "two attempts at once",
    "told as leaving",
    "after its client had gone",
)
# Except for this text, whose times both come from the head's own record.
HEAD_RECORDED_TEXT = "outside its window (written"


def classify(violation: str) -> Finding:
    """Return the finding as which a violation of the requests' judge is counted."""
    return next((found for text, found in FINDING_BY_TEXT.items() if text in violation), Finding.UNKNOWN)


@dataclass(slots=True, frozen=True)
class Usage:
    """The resource usage of a process."""

    memory: int  # bytes, resident or in unnamed files
    descriptors: int

    @staticmethod
    def of(process: int) -> Usage:
        """Read the usage of a process; zeros if it has ended."""
        try:
            pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
            descriptors = list(Path(f"/proc/{process}/fd").iterdir())
        except OSError:
            return Usage(0, 0)
        files = sum(unnamed_file_size(descriptor) for descriptor in descriptors)
        return Usage(pages * PAGE_SIZE + files, len(descriptors))


def unnamed_file_size(descriptor: Path) -> int:
    """Return the bytes on disk of the file behind a descriptor if it has no name, else 0."""
    try:
        status = descriptor.stat()
    except OSError:
        return 0
    return status.st_blocks * 512 if stat.S_ISREG(status.st_mode) and not status.st_nlink else 0


@dataclass(slots=True)
class SeedReport:
    """The results of one seed."""

    seed: int
    kind: Kind
    answers: Counter[str] = field(default_factory=Counter)
    findings: list[tuple[Finding, str]] = field(default_factory=list)
    ends: int = 0  # of processes
    killed_after_timeout: int = 0  # of these, killed as they had not ended in time
    # seconds from the first SIGTERM to each end
    end_durations: dict[EndMode, list[float]] = field(default_factory=dict)
    second_answers: int = 0  # second answers that nodes wrote
    before: list[Usage] = field(default_factory=list)  # of each head, once all are ready
    after: list[Usage] = field(default_factory=list)  # of the heads that run at the end
    max_memory: int = 0  # bytes that a process of a head held
    max_descriptors: int = 0  # of a head at the begin of a disturbance
    lags: dict[str, Lag] = field(default_factory=dict)  # of the event loops whose times are judged
    withheld: list[str] = field(default_factory=list)  # violations by times of a loop that lagged
    read_late: list[str] = field(default_factory=list)  # requests that nodes saw late, by the heads' records

    def add(self, finding: Finding, text: str) -> None:
        """Add a finding."""
        self.findings.append((finding, text))

    def add_violation(self, text: str) -> None:
        """Add a violation of the requests' judge; withhold it if it depends on times of a lagging loop."""
        by_clock = HEAD_RECORDED_TEXT not in text and any(part in text for part in CLOCK_DEPENDENT_TEXTS)
        if not self.was_judged and by_clock:
            self.withheld.append(text)
        else:
            self.add(classify(text), text)

    def note_memory(self, memory: int) -> None:
        """Record what a process of a head holds, in bytes."""
        self.max_memory = max(self.max_memory, memory)

    def judge_memory(self) -> None:
        """Check that no process held more than its part of `memory_mb`."""
        if self.max_memory > MAX_MEMORY:
            text = f"{self.max_memory // MEGABYTE} MB, allowed {MAX_MEMORY // MEGABYTE}"
            self.add(Finding.OVER_MEMORY, text)

    def add_end(self, mode: EndMode, seconds: float) -> None:
        """Add the duration of an end."""
        self.end_durations.setdefault(mode, []).append(seconds)

    @property
    def slowest_end(self) -> float:
        """The longest duration of an end, in seconds."""
        return max(
            (seconds for durations in self.end_durations.values() for seconds in durations),
            default=0.0,
        )

    def lag_of(self, loop: str) -> Lag:
        """Return the lag record of an event loop, for its measurement."""
        return self.lags.setdefault(loop, Lag())

    @property
    def worst_lag(self) -> float:
        """The worst lag of any event loop, in seconds."""
        return max((lag.worst for lag in self.lags.values()), default=0.0)

    @property
    def was_judged(self) -> bool:
        """Whether the lag of all event loops was measured and is within the judge's slack."""
        return bool(self.lags) and self.worst_lag <= JUDGE_SLACK

    def verdict(self) -> str:
        """Return the findings as text; a seed that was not judged never reads "nothing found"."""
        found = [f"{count} {name}" for name, count in self.found().items()]
        if not self.was_judged:
            found.append(NOT_JUDGED.format(self.worst_lag, len(self.withheld)))
        return ", ".join(found) or "nothing found"

    def line(self) -> str:
        """Return the report in one line."""
        return (
            f"seed {self.seed} {self.kind}, pressure {pressure_of(self.seed)}: {self.ends} ends "
            f"(slowest {self.slowest_end:.1f} s, "
            f"{self.killed_after_timeout} killed), {sum(self.answers.values())} answers "
            f"{dict(sorted(self.answers.items()))}, {self.second_answers} second answers, "
            f"{usage_text(self.before)} before, {self.max_memory // MEGABYTE} MB at most, "
            f"{self.max_descriptors} descriptors between, "
            f"{usage_text(self.after)} after, lag {self.worst_lag:.2f} s "
            f"({sum(lag.long for lag in self.lags.values())} over 50 ms), "
            f"{len(self.read_late)} read late: {self.verdict()}"
        )

    def found(self) -> Counter[str]:
        """Return the number of findings of each kind."""
        return Counter(str(finding) for finding, _ in self.findings)


def usage_text(usages: Iterable[Usage]) -> str:
    """Return the maximum usage of any process as text."""
    held = list(usages) or [Usage(0, 0)]
    memory = max(usage.memory for usage in held) // MEGABYTE
    return f"{memory} MB and {max(usage.descriptors for usage in held)} descriptors"


def end_times(reports: list[SeedReport]) -> list[str]:
    """Return a line on the durations of ends for each kind of seed and mode."""
    end_durations: dict[tuple[str, str], list[float]] = defaultdict(list)
    for report in reports:
        for mode, seconds in report.end_durations.items():
            end_durations[report.kind, mode] += seconds
    return [
        f"ends, {kind}, {mode}: {spread(seconds)}" for (kind, mode), seconds in sorted(end_durations.items())
    ]


def spread(seconds: list[float]) -> str:
    """Return count, median, 95th percentile (by nearest rank) and maximum as text."""
    ordered = sorted(seconds)
    median, percentile = (ordered[math.ceil(part * len(ordered)) - 1] for part in (0.5, 0.95))
    return f"{len(ordered)}, median {median:.2f} s, 95th {percentile:.2f} s, slowest {ordered[-1]:.2f} s"


def summary(reports: list[SeedReport]) -> str:
    """Return the summary of all seeds in a few lines."""
    answers = Counter[str]()
    found = Counter[str]()
    kinds = Counter[str]()
    for report in reports:
        answers += report.answers
        found += report.found()
        kinds[report.kind] += 1
    withheld = sum(len(report.withheld) for report in reports)
    judged = sum(report.was_judged for report in reports)
    played = ", ".join(f"{count} {kind}" for kind, count in kinds.items())
    lines = [
        f"{len(reports)} seeds ({played}), {sum(report.ends for report in reports)} ends, "
        f"slowest {max((report.slowest_end for report in reports), default=0.0):.2f} s, "
        f"{sum(report.killed_after_timeout for report in reports)} killed at the page's earliest",
        f"judged: {judged}, NOT JUDGED: {len(reports) - judged}, of them {withheld} violations withheld; "
        f"worst lag {max((report.worst_lag for report in reports), default=0.0):.2f} s",
        f"requests by answer {dict(sorted(answers.items()))}; "
        f"{sum(report.second_answers for report in reports)} second answers",
        f"most held by a head: {usage_text(u for r in reports for u in r.before)} before, "
        f"{max((r.max_descriptors for r in reports), default=0)} descriptors between, "
        f"{usage_text(u for r in reports for u in r.after)} after",
    ]
    return "\n".join([*lines, *end_times(reports), *(f"{finding}: {found[finding]}" for finding in Finding)])
