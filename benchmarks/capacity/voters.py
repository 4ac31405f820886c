"""Resource usage of a voter, by its followers, by commands a second and by the size of an edit.

    python -m benchmarks.capacity.voters --study bound  # one voter: number of followers at which it refuses
    python -m benchmarks.capacity.voters --study followers --voters 3
    python -m benchmarks.capacity.voters --study followers --voters 5 --gone 2
    python -m benchmarks.capacity.voters --study commands --rates 1,10,50,200 --followers 185
    python -m benchmarks.capacity.voters --study edits --rules 10,100,1000,10000 --followers 185

Voters are heads of the real program; followers are simulated (followers.py) and use the real protocol. CPU is
processor time. Sizes are total numbers of followers, which spread over the voters as heads do.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity import harness, voter_load
from benchmarks.capacity.followers import FollowerGroup, Totals, running_followers
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    Usage,
    direct_heads,
    fleet_key,
    open_streams,
    usage,
    voter_addresses,
)
from benchmarks.heads_rules import rules_text
from stoatrouter.peering.streams import MAX_IN_FLIGHT
from tests.heads.processes import ProcessFleet

SETTLE_S = 5.0  # for new followers to spread over the voters
# Upper estimates, for the check of the machine's memory.
MB_PER_VOTER = 120
MB_PER_FOLLOWER = 0.4


@dataclass(slots=True)
class Window:
    """Usage of voters and counts of followers over a span of time."""

    seconds: float
    before: list[Usage]
    after: list[Usage]
    totals_before: Totals
    totals: Totals
    terms: int  # elections that began
    streams: list[int]  # open to each voter at the end

    def followers_increase(self, name: str) -> int:
        return getattr(self.totals, name) - getattr(self.totals_before, name)

    def mean_rate(self, field: str) -> float:
        """Return the increase of a field per second, averaged over the voters."""
        pairs = list(zip(self.before, self.after, strict=True))
        return sum(after.rate(field, before) for before, after in pairs) / len(pairs)

    def max_rate(self, field: str) -> float:
        pairs = zip(self.before, self.after, strict=True)
        return max(after.rate(field, before) for before, after in pairs)

    def counted(self, name: str) -> int:
        """Return the increase of one of the voters' own counters, summed over the voters."""
        return sum(a.counted(name, b) for b, a in zip(self.before, self.after, strict=True))


async def measure_window(fleet: ProcessFleet, followers: FollowerGroup, seconds: float) -> Window:
    """Measure the running voters and the followers over a span of time."""
    voters = [head for head in fleet.up if head.name in fleet.voters]
    term = await max_term(fleet)
    totals_before = await followers.totals()
    before = [await usage(head) for head in voters]
    await asyncio.sleep(seconds)
    after = [await usage(head) for head in voters]
    totals = await followers.totals()
    terms = await max_term(fleet) - term
    streams = [open_streams(head) for head in voters]
    return Window(seconds, before, after, totals_before, totals, terms, streams)


async def max_term(fleet: ProcessFleet) -> int:
    statuses: list[dict[str, Any]] = [await head.status() for head in fleet.up]
    return max((each.get("term", 0) for each in statuses), default=0)


def record_window(run: Run, label: str, size: int, window: Window) -> None:
    """Record the figures of one number of followers."""
    asked = window.followers_increase("asked")
    details: dict[str, float | int | str] = {"voters_up": len(window.after), "seconds": window.seconds}

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, {label}", size, round(value, 4), unit, details=details))

    add("cpu of a voter, mean", 100 * window.mean_rate("cpu_s"), "% of a core")
    add("cpu of the busiest voter", 100 * window.max_rate("cpu_s"), "% of a core")
    add("memory of the largest voter", max(each.memory_mb for each in window.after), "MB")
    add("descriptors of a voter, most", max(each.descriptors for each in window.after), "count")
    add("open streams of a voter, most", max(window.streams), "count")
    add("bytes to a voter, mean", window.mean_rate("bytes_in"), "bytes/s")
    add("bytes from a voter, mean", window.mean_rate("bytes_out"), "bytes/s")
    add("disk writes of a voter, mean", window.mean_rate("writes"), "writes/s")
    add("messages of the agreement unreachable", window.counted("streams.unreachable"), "count")
    add("elections", window.terms, "count")
    if not size:
        return
    add("questions of a follower", asked / size / window.seconds, "1/s")
    add("answers with nothing new, of all served", share(window, "empty", "served"), "share")
    add("refused, of all asked", share(window, "refused", "asked"), "share")
    add("failed otherwise, of all asked", share(window, "failed", "asked"), "share")
    add("followers without an answer for 3 s", window.totals.cut_off, "count")
    if window.totals.reports:
        add("reports to the leader", window.followers_increase("reports") / window.seconds, "1/s")
        add("reports refused, of all", share(window, "reports_refused", "reports"), "share")
    add("longest wait of a follower", max(window.totals.longest_gap_s, window.totals.behind_s), "s")
    add(
        "body bytes of a follower out",
        window.followers_increase("body_bytes_out") / size / window.seconds,
        "B/s",
    )
    add(
        "body bytes of a follower in",
        window.followers_increase("body_bytes_in") / size / window.seconds,
        "B/s",
    )


def share(window: Window, part: str, whole: str) -> float:
    return window.followers_increase(part) / max(1, window.followers_increase(whole))


async def measure_followers(run: Run, arguments: argparse.Namespace) -> None:
    """Measure increasing numbers of followers; voters to be killed are killed before the first one starts."""
    sizes = sorted(arguments.sizes)
    harness.require_capacity(
        descriptors=2 * max(sizes) + 500,
        memory_mb=int(arguments.voters * MB_PER_VOTER + MB_PER_FOLLOWER * max(sizes)),
    )
    label = f"{arguments.voters} voters" + (f", {arguments.gone} gone" if arguments.gone else "")
    rules = (voter_load.RULES_ON, rules_text(1, "own")) if arguments.report_every else ("", "")
    async with (
        direct_heads(arguments.voters, arguments.voters, *rules) as fleet,
        running_followers(
            voter_addresses(fleet), fleet_key(fleet), FLEET, arguments.report_every
        ) as followers,
    ):
        label += f", reports each {arguments.report_every:g} s" if arguments.report_every else ""
        for name in fleet.voters[len(fleet.voters) - arguments.gone :]:
            await fleet[name].kill()
        for size in sizes:
            await followers.grow(size)
            await asyncio.sleep(SETTLE_S)
            record_window(run, label, size, await measure_window(fleet, followers, arguments.seconds))


def main() -> None:
    parser = harness.parser(__doc__ or "", "0,46,92,185,370,740")
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--study", choices=["bound", "followers", "commands", "edits"], required=True)
    parser.add_argument("--voters", type=int, default=3, choices=[1, 3, 5])
    parser.add_argument(
        "--gone", type=int, default=0, help="number of voters killed before the followers start"
    )
    parser.add_argument(
        "--report-every",
        type=float,
        default=0.0,
        help="seconds between rule reports of a follower: 2 at rest, 0.3 during an edit; 0: none",
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="length of the measurement at each size")
    parser.add_argument(
        "--followers", type=int, default=0, help="followers of the studies commands and edits"
    )
    parser.add_argument(
        "--rates", type=harness.parse_ints, default=[1, 10, 50, 200], help="commands a second"
    )
    parser.add_argument(
        "--rules", type=harness.parse_ints, default=[10, 100, 1000, 10000], help="rules in the set"
    )
    arguments = parser.parse_args()
    if arguments.study == "bound":
        arguments.voters, arguments.gone = 1, 0
        print(f"a voter answers {MAX_IN_FLIGHT} questions at once")
    studies = {"commands": voter_load.measure_commands, "edits": voter_load.measure_edits}
    with harness.recording(f"voters --study {arguments.study}", arguments.out) as run:
        asyncio.run(studies.get(arguments.study, measure_followers)(run, arguments))


if __name__ == "__main__":
    main()
