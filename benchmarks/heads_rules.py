"""Time from acceptance of an undo until it is in force on every head, by the number of rules.

    python -m benchmarks.heads_rules [--rules 10,100,1000,10000] [--times 12] [--heads 5]

The baseline in the same run is the time that a single head takes to load the same files after SIGHUP.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any


def rules_text(count: int, mark: str) -> str:
    from tests.heads.rules_clients import rules

    lines = "".join(
        f'\t\t{{name: "r{i}", when: #"request.path == "/p{i}""#, refuse: {{status: 410, reason: "gone"}}}},\n'
        for i in range(count)
    )
    return rules(mark).replace('\t\t{name: "reads"', lines + '\t\t{name: "reads"')


async def wait_in_force(fleet: Any, number: int, since: float) -> float:
    """Wait until a version is in force on all heads; return the seconds since a time, from their logs."""

    async def latest_in_force() -> float | None:
        at = []
        for head in fleet:
            in_force_at = [event_time(head, e) for e in head.events("rules.version") if e["number"] == number]
            if not in_force_at:
                return None
            at.append(in_force_at[0])
        return max(at)

    return await fleet.until(latest_in_force, f"version {number} on all heads", timeout=200) - since


def event_time(head: Any, event: dict[str, Any]) -> float:
    import json

    for line in head.logs.read_text().splitlines():
        record = json.loads(line)["record"] if line.startswith("{") else {"extra": {}}
        extra = record["extra"]
        if extra.get("event") == event["event"] and extra.get("number") == event["number"]:
            return record["time"]["timestamp"]
    raise AssertionError("the log has no line for the event")


async def measure_undos(count: int, times: int, heads: int) -> str:
    from tests.heads.processes import running_heads
    from tests.heads.rules_clients import edit, undo

    more = 'rules: {check_within: "120s", largest: 16Mi}\n'
    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(
            Path(folder), count=heads, extra_settings=more, http=rules_text(1, "own")
        ) as fleet:
            head, delays = fleet["h0"], []
            newest = 0
            for n in range(2):
                status, answer = await edit(head, f"e{n}", newest, rules_text(count, f"v{n}"))
                assert status == 202, answer
                newest = answer["number"]
                await wait_in_force(fleet, newest, 0)
            for n in range(times):
                status, answer = await undo(head, f"u{n}", newest)
                accepted = time.time()
                assert status == 202, answer
                newest = answer["number"]
                delays.append(await wait_in_force(fleet, newest, accepted))
        delays.sort()
        single_head_s = await measure_single_head(Path(folder) / "alone", count)
        slowest = delays[min(len(delays) - 1, len(delays) * 99 // 100)]
        return (
            f"| {count} | {statistics.median(delays):.2f} | {slowest:.2f} | {times} | {single_head_s:.2f} |"
        )


async def measure_single_head(folder: Path, count: int) -> float:
    """Return the seconds from SIGHUP until a single head has new files of this size in force."""
    import signal

    from tests.heads.processes import running_heads
    from tests.heads.rules_clients import active_mark

    folder.mkdir()
    async with running_heads(folder, count=1, voters=1, http=rules_text(count, "one")) as fleet:
        head = fleet["h0"]
        (head.folder / "rules.cue").write_text(rules_text(count, "two"))
        started_at = time.monotonic()
        head.signal(signal.SIGHUP)
        while await active_mark(head) != "two":
            await asyncio.sleep(0.01)
        return time.monotonic() - started_at


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rules", default="10,100,1000,10000")
    parser.add_argument("--times", type=int, default=12)
    parser.add_argument("--heads", type=int, default=5)
    arguments = parser.parse_args()
    print(
        f"{arguments.heads} heads\n\n| rules | p50, s | slowest, s | undos | one head by itself, s |\n"
        "| --- | --- | --- | --- | --- |",
        flush=True,
    )
    for count in [int(c) for c in arguments.rules.split(",")]:
        print(
            asyncio.run(
                measure_undos(
                    count,
                    arguments.times if count < 10_000 else max(3, arguments.times // 4),
                    arguments.heads,
                )
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
