"""Samples of a running fleet, one a second: bytes, processor time, availability and rule versions."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from benchmarks.capacity.capacity_fleet import CapacityFleet, cpu_seconds_by_process
from stoatrouter.lab.hollow.fleet_report import FleetReport

INTERVAL = 1.0  # seconds
SENT_BYTES = ("datagrams.bytes", "streams.bytes")
SENT_AND_ANSWERED_BYTES = (*SENT_BYTES, "hollow.answered_bytes")


@dataclass(slots=True)
class Sample:
    """State of all heads at one time."""

    at: float  # seconds of the monotonic clock
    census: FleetReport
    cpu: dict[str, float]
    lag: float  # seconds, the longest of any worker

    @property
    def states(self) -> Counter[str]:
        """Count hollow heads by availability, and those not running by lifecycle."""
        return Counter(
            report.availability if report.lifecycle == "running" else report.lifecycle
            for report in self.census.reports.values()
        )

    @property
    def versions(self) -> Counter[int]:
        """Count running hollow heads by the version of the rules in force."""
        return Counter(report.version for report in self.census.running)


@dataclass(slots=True)
class Window:
    """Summary of the samples of a span of time."""

    mean_bytes: float  # sent per head and second
    peak_bytes: float  # mean over the heads in the worst second
    busiest_bytes: float  # of the busiest head in its worst second
    mean_bytes_answered: float  # as mean_bytes, with the bytes of answers
    hollow_cpu: float  # % of a core, per head
    hollow_cpu_peak: float
    voter_cpu: float  # % of a core, mean of the busiest voter
    voter_cpu_peak: float
    cut_off_most: int
    longest_lag: float
    died: dict[str, str]
    asked_of: dict[str, int]
    unanswered: dict[str, int]


@dataclass
class Sampler:
    """Takes samples until it is stopped; windows of them are summarized afterwards."""

    fleet: CapacityFleet
    samples: list[Sample] = field(default_factory=list)
    task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sampling."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop sampling."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            sampled_at = time.monotonic()
            census = await self.fleet.hollow.report()
            answers = self.fleet.hollow.replies.values()
            lag = max((answer.longest_lag for answer in answers), default=0.0)
            self.samples.append(Sample(sampled_at, census, cpu_seconds_by_process(self.fleet), lag))
            await asyncio.sleep(max(0.0, INTERVAL - (time.monotonic() - sampled_at)))

    def window(self, since: float) -> Window:
        """Summarize all samples since a time of the monotonic clock."""
        samples = [sample for sample in self.samples if sample.at >= since - INTERVAL]
        intervals = list(zip(samples, samples[1:], strict=False))
        sent = [rates(before, after, SENT_BYTES) for before, after in intervals]
        answered = [rates(before, after, SENT_AND_ANSWERED_BYTES) for before, after in intervals]
        hollow = [hollow_cpu(before, after) for before, after in intervals]
        voters = [voter_cpu(before, after, self.fleet.real.voters) for before, after in intervals]
        last = samples[-1].census
        return Window(
            mean(mean(each) for each in sent),
            max((mean(each) for each in sent), default=0.0),
            max((max(each, default=0.0) for each in sent), default=0.0),
            mean(mean(each) for each in answered),
            mean(hollow),
            max(hollow, default=0.0),
            max(mean(each.get(name, 0.0) for each in voters) for name in self.fleet.real.voters),
            max((max(each.values(), default=0.0) for each in voters), default=0.0),
            max(sample.states["cut off"] for sample in samples),
            max(sample.lag for sample in samples),
            last.died,
            increases_by_suffix(samples, "hollow.asked_of."),
            increases_by_suffix(samples, "hollow.unanswered."),
        )


def mean(values: Iterable[float]) -> float:
    """Return the mean, or 0 for no values."""
    held = list(values)
    return sum(held) / len(held) if held else 0.0


def increase(before: int, after: int) -> int:
    """Return the increase of a counter; a restarted head counts from 0 again."""
    return after - before if after >= before else after


def rates(before: Sample, after: Sample, kinds: tuple[str, ...]) -> list[float]:
    """Return the rate per second of each hollow head that runs at both samples."""
    span = after.at - before.at
    reports_before = {report.name: report for report in before.census.running}
    return [
        sum(
            increase(reports_before[report.name].counts.get(kind, 0), report.counts.get(kind, 0))
            for kind in kinds
        )
        / span
        for report in after.census.running
        if report.name in reports_before
    ]


def hollow_cpu(before: Sample, after: Sample) -> float:
    """Return the processor time of all workers per hollow head, running or not, in % of a core."""
    workers = [name for name in after.cpu if name.startswith("worker")]
    cpu_seconds = sum(after.cpu[name] - before.cpu.get(name, 0.0) for name in workers)
    return cpu_seconds / (after.at - before.at) / len(after.census.expected) * 100


def voter_cpu(before: Sample, after: Sample, voters: list[str]) -> dict[str, float]:
    """Return the processor time of each voter that runs at both samples, in % of a core."""
    return {
        name: max(0.0, after.cpu[name] - before.cpu[name]) / (after.at - before.at) * 100
        for name in voters
        if name in after.cpu and name in before.cpu
    }


def increases_by_suffix(samples: list[Sample], prefix: str) -> dict[str, int]:
    """Sum the increases of counters with a prefix over all hollow heads, by the rest of the name."""
    total: Counter[str] = Counter()
    for before, after in zip(samples, samples[1:], strict=False):
        counts_before = {report.name: report.counts for report in before.census.reports.values()}
        for report in after.census.reports.values():
            previous = counts_before.get(report.name, {})
            for kind, count in report.counts.items():
                if kind.startswith(prefix):
                    total[kind.removeprefix(prefix)] += increase(previous.get(kind, 0), count)
    return dict(total.most_common())
