"""Ten minutes of random faults on heads of the real program, and the verdict on what clients and heads wrote.

python -m benchmarks.heads_history --seconds 600 --heads 5 --seed 1 [--ledger] [--keep FOLDER]

With --ledger customers are made and a volume moves during the faults, and heads start cut off or lose their
folders; the detector is not judged then.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path

from stoatrouter.lab.histories.history import Payment, RegisterLine, Request
from stoatrouter.lab.histories.judge import describe, judge


async def play(folder: Path, heads: int, seed: int, seconds: float, ledger: bool) -> int:
    from tests.heads.chaos import CHAOS_SETTINGS, Chaos
    from tests.heads.ledger_chaos import LEDGER_CHAOS_SETTINGS, LedgerChaos
    from tests.heads.processes import running_heads
    from tests.heads.rules_clients import rules

    kind, more = (LedgerChaos, LEDGER_CHAOS_SETTINGS) if ledger else (Chaos, CHAOS_SETTINGS)
    async with running_heads(folder, count=heads, seed=seed, extra_settings=more, http=rules("own")) as fleet:
        chaos = kind(fleet, seed, folder / "history.jsonl")
        history = await chaos.run(seconds, detect=not ledger)
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
    parser.add_argument("--ledger", action="store_true")
    parser.add_argument("--keep", type=Path)
    given = parser.parse_args()
    if given.keep is not None:
        given.keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(given.keep, given.heads, given.seed, given.seconds, given.ledger))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Path(folder), given.heads, given.seed, given.seconds, given.ledger))


if __name__ == "__main__":
    raise SystemExit(main())
