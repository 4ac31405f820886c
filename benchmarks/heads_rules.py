"""From an undo's acceptance to its being in force on every head, by the number of rules.

    python -m benchmarks.heads_rules [--rules 10,100,1000,10000] [--times 12] [--heads 5]

The baseline in the same run is what one head needs to load the same files by itself after SIGHUP.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any


def text_of(count: int, mark: str) -> str:
    from tests.heads.rules_clients import rules

    lines = "".join(
        f'\t\t{{name: "r{i}", when: #"request.path == "/p{i}""#, refuse: {{status: 410, reason: "gone"}}}},\n'
        for i in range(count)
    )
    return rules(mark).replace('\t\t{name: "reads"', lines + '\t\t{name: "reads"')


async def last_in_force(fleet: Any, number: int, since: float) -> float:
    """When the last head put a version in force, in seconds since, by the heads' logs."""

    async def look() -> float | None:
        at = []
        for head in fleet:
            found = [time_of(head, e) for e in head.events("rules.version") if e["number"] == number]
            if not found:
                return None
            at.append(found[0])
        return max(at)

    return await fleet.until(look, f"version {number} on all heads", timeout=200) - since


def time_of(head: Any, event: dict[str, Any]) -> float:
    import json

    for line in head.logs.read_text().splitlines():
        record = json.loads(line)["record"] if line.startswith("{") else {"extra": {}}
        extra = record["extra"]
        if extra.get("event") == event["event"] and extra.get("number") == event["number"]:
            return record["time"]["timestamp"]
    raise AssertionError("the event has no line")


async def play(count: int, times: int, heads: int) -> str:
    from tests.heads.processes import running_heads
    from tests.heads.rules_clients import edit, undo

    more = 'rules: {check_within: "120s", largest: 16Mi}\n'
    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(
            Path(folder), count=heads, extra_settings=more, http=text_of(1, "own")
        ) as fleet:
            head, spans = fleet["h0"], []
            newest = 0
            for n in range(2):
                status, told = await edit(head, f"e{n}", newest, text_of(count, f"v{n}"))
                assert status == 202, told
                newest = told["number"]
                await last_in_force(fleet, newest, 0)
            for n in range(times):
                status, told = await undo(head, f"u{n}", newest)
                accepted = time.time()
                assert status == 202, told
                newest = told["number"]
                spans.append(await last_in_force(fleet, newest, accepted))
        spans.sort()
        alone = await alone_after_hangup(Path(folder) / "alone", count)
        slowest = spans[min(len(spans) - 1, len(spans) * 99 // 100)]
        return f"| {count} | {statistics.median(spans):.2f} | {slowest:.2f} | {times} | {alone:.2f} |"


async def alone_after_hangup(folder: Path, count: int) -> float:
    """Seconds from SIGHUP until one head without others decides by new files of this size."""
    import signal

    from tests.heads.processes import running_heads
    from tests.heads.rules_clients import active_mark

    folder.mkdir()
    async with running_heads(folder, count=1, voters=1, http=text_of(count, "one")) as fleet:
        head = fleet["h0"]
        (head.folder / "rules.cue").write_text(text_of(count, "two"))
        began = time.monotonic()
        head.signal(signal.SIGHUP)
        while await active_mark(head) != "two":
            await asyncio.sleep(0.01)
        return time.monotonic() - began


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rules", default="10,100,1000,10000")
    parser.add_argument("--times", type=int, default=12)
    parser.add_argument("--heads", type=int, default=5)
    given = parser.parse_args()
    print(
        f"{given.heads} heads\n\n| rules | p50, s | slowest, s | undos | one head by itself, s |\n"
        "| --- | --- | --- | --- | --- |",
        flush=True,
    )
    for count in [int(c) for c in given.rules.split(",")]:
        print(
            asyncio.run(
                play(count, given.times if count < 10_000 else max(3, given.times // 4), given.heads)
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
