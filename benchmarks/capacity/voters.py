"""A control machine (voter): what it uses by its followers, by commands a second and by the size of an edit.

    python -m benchmarks.capacity.voters --study bound     # one voter: at how many followers it refuses
    python -m benchmarks.capacity.voters --study followers --voters 3
    python -m benchmarks.capacity.voters --study followers --voters 5 --gone 2
    python -m benchmarks.capacity.voters --study commands --rates 1,10,50,200 --followers 185
    python -m benchmarks.capacity.voters --study edits --rules 10,100,1000,10000 --followers 185

Voters are heads of the real program; followers are light ones (followers.py) on the real wire. CPU is
processor time. Sizes are followers in all, which spread over the voters as heads do.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity import harness, voter_load
from benchmarks.capacity.followers import Crowd, Totals, crowd
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    Usage,
    direct_heads,
    open_streams,
    secret_of,
    usage,
    voter_addresses,
)
from benchmarks.heads_rules import text_of
from stoatrouter.peering.streams import MAX_IN_FLIGHT
from tests.heads.processes import ProcessFleet

SETTLE_S = 5.0  # for new followers to spread over the voters
MB_OF_VOTER, MB_OF_FOLLOWER = 120, 0.4  # upper figures, for the check of the machine's memory


@dataclass(slots=True)
class Window:
    """What voters and followers did in a span of time."""

    seconds: float
    before: list[Usage]
    after: list[Usage]
    totals_before: Totals
    totals: Totals
    terms: int  # elections that began
    streams: list[int]  # open to each voter, at the end

    def followers_count(self, name: str) -> int:
        return getattr(self.totals, name) - getattr(self.totals_before, name)

    def mean(self, field: str) -> float:
        """A field's growth a second, averaged over the voters."""
        pairs = list(zip(self.before, self.after, strict=True))
        return sum(after.rate(field, before) for before, after in pairs) / len(pairs)

    def largest(self, field: str) -> float:
        pairs = zip(self.before, self.after, strict=True)
        return max(after.rate(field, before) for before, after in pairs)

    def counted(self, name: str) -> int:
        """How far one of the voters' own counts grew, over all of them."""
        return sum(a.counted(name, b) for b, a in zip(self.before, self.after, strict=True))


async def watch(fleet: ProcessFleet, followers: Crowd, seconds: float) -> Window:
    """Look at the voters that are up for a while."""
    voters = [head for head in fleet.up if head.name in fleet.voters]
    term = await newest_term(fleet)
    totals_before = await followers.totals()
    before = [await usage(head) for head in voters]
    await asyncio.sleep(seconds)
    after = [await usage(head) for head in voters]
    totals = await followers.totals()
    terms = await newest_term(fleet) - term
    streams = [open_streams(head) for head in voters]
    return Window(seconds, before, after, totals_before, totals, terms, streams)


async def newest_term(fleet: ProcessFleet) -> int:
    told: list[dict[str, Any]] = [await head.status() for head in fleet.up]
    return max((each.get("term", 0) for each in told), default=0)


def write_down(run: Run, label: str, size: int, window: Window) -> None:
    """The figures of one size."""
    asked = window.followers_count("asked")
    details: dict[str, float | int | str] = {"voters_up": len(window.after), "seconds": window.seconds}

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, {label}", size, round(value, 4), unit, details=details))

    add("cpu of a voter, mean", 100 * window.mean("cpu_s"), "% of a core")
    add("cpu of the busiest voter", 100 * window.largest("cpu_s"), "% of a core")
    add("memory of the largest voter", max(each.memory_mb for each in window.after), "MB")
    add("descriptors of a voter, most", max(each.descriptors for each in window.after), "count")
    add("open streams of a voter, most", max(window.streams), "count")
    add("bytes to a voter, mean", window.mean("bytes_in"), "bytes/s")
    add("bytes from a voter, mean", window.mean("bytes_out"), "bytes/s")
    add("disk writes of a voter, mean", window.mean("writes"), "writes/s")
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
        add("reports to the leader", window.followers_count("reports") / window.seconds, "1/s")
        add("reports refused, of all", share(window, "reports_refused", "reports"), "share")
    add("longest wait of a follower", max(window.totals.longest_gap_s, window.totals.behind_s), "s")
    add(
        "body bytes of a follower out",
        window.followers_count("body_bytes_out") / size / window.seconds,
        "B/s",
    )
    add("body bytes of a follower in", window.followers_count("body_bytes_in") / size / window.seconds, "B/s")


def share(window: Window, part: str, whole: str) -> float:
    return window.followers_count(part) / max(1, window.followers_count(whole))


async def by_followers(run: Run, given: argparse.Namespace) -> None:
    """Grow the crowd of followers; with voters gone, they end before the first is there."""
    sizes = sorted(given.sizes)
    harness.require(
        descriptors=2 * max(sizes) + 500,
        memory_mb=int(given.voters * MB_OF_VOTER + MB_OF_FOLLOWER * max(sizes)),
    )
    label = f"{given.voters} voters" + (f", {given.gone} gone" if given.gone else "")
    rules = (voter_load.RULES_ON, text_of(1, "own")) if given.report_every else ("", "")
    async with (
        direct_heads(given.voters, given.voters, *rules) as fleet,
        crowd(voter_addresses(fleet), secret_of(fleet), FLEET, given.report_every) as followers,
    ):
        label += f", reports each {given.report_every:g} s" if given.report_every else ""
        for name in fleet.voters[len(fleet.voters) - given.gone :]:
            await fleet[name].kill()
        for size in sizes:
            await followers.grow(size)
            await asyncio.sleep(SETTLE_S)
            write_down(run, label, size, await watch(fleet, followers, given.seconds))


def main() -> None:
    parser = harness.parser(__doc__ or "", "0,46,92,185,370,740")
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--study", choices=["bound", "followers", "commands", "edits"], required=True)
    parser.add_argument("--voters", type=int, default=3, choices=[1, 3, 5])
    parser.add_argument("--gone", type=int, default=0, help="voters that are killed first")
    parser.add_argument(
        "--report-every",
        type=float,
        default=0.0,
        help="seconds between a follower's reports of its rules: 2 at rest, 0.3 in an edit; 0: none",
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="watched at each size")
    parser.add_argument("--followers", type=int, default=0, help="of the studies of commands and edits")
    parser.add_argument("--rates", type=harness.numbers, default=[1, 10, 50, 200], help="commands a second")
    parser.add_argument("--rules", type=harness.numbers, default=[10, 100, 1000, 10000], help="in the set")
    given = parser.parse_args()
    if given.study == "bound":
        given.voters, given.gone = 1, 0
        print(f"a voter answers {MAX_IN_FLIGHT} questions at once")
    studies = {"commands": voter_load.by_commands, "edits": voter_load.by_edits}
    with harness.recording(f"voters --study {given.study}", given.out) as run:
        asyncio.run(studies.get(given.study, by_followers)(run, given))


if __name__ == "__main__":
    main()
