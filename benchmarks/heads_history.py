"""Ten minutes of random faults on heads of the real program, and the verdict on what clients and heads wrote.

python -m benchmarks.heads_history --seconds 600 --heads 5 --seed 1 [--keep FOLDER]
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path

from stoatrouter.lab.histories.history import Payment, RegisterLine, Request
from stoatrouter.lab.histories.judge import describe, judge


async def play(folder: Path, heads: int, seed: int, seconds: float) -> int:
    from tests.heads.chaos import MORE, Chaos
    from tests.heads.processes import heads_up
    from tests.heads.rules_clients import rules

    async with heads_up(folder, count=heads, seed=seed, more=MORE, http=rules("own")) as fleet:
        chaos = Chaos(fleet, seed, folder / "history.jsonl")
        history = await chaos.run(seconds, detect=True)
    wrong = judge(history)
    statuses = Counter(request.status for request in history.of(Request))
    print(
        f"seed {seed}, {heads} heads, {seconds:.0f} s, {len(chaos.faults)} faults: "
        f"{dict(Counter(fault.split()[1] for fault in chaos.faults))}"
    )
    print(
        f"requests by answer {dict(sorted(statuses.items()))}; {len(history.of(Payment))} top-ups asked, "
        f"{len(history.of(RegisterLine))} edits, undos and reads of the register"
    )
    for line in history.lines:
        if line["what"] in ("settled", "equal"):
            print({key: value for key, value in line.items() if key not in ("what", "at")})
    print(describe(wrong))
    return 1 if wrong else 0


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument("--heads", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=Path)
    given = parser.parse_args()
    if given.keep is not None:
        given.keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(given.keep, given.heads, given.seed, given.seconds))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Path(folder), given.heads, given.seed, given.seconds))


if __name__ == "__main__":
    raise SystemExit(main())
