"""Ten minutes of random faults on heads of the real program, and a check of the recorded history.

python -m benchmarks.heads_history --seconds 600 --heads 5 --seed 1 [--ledger] [--keep FOLDER]

With --ledger, customers are created and a volume moves during the faults, and heads start cut off or lose
their folders; the detector is not checked then.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path

from stoatrouter.lab.histories.checker import check_history, describe
from stoatrouter.lab.histories.history import Payment, RegisterLine, Request


async def run_history(folder: Path, heads: int, seed: int, seconds: float, ledger: bool) -> int:
    from tests.heads.chaos import CHAOS_SETTINGS, Chaos
    from tests.heads.ledger_chaos import LEDGER_CHAOS_SETTINGS, LedgerChaos
    from tests.heads.processes import running_heads
    from tests.heads.rules_clients import rules

    kind, more = (LedgerChaos, LEDGER_CHAOS_SETTINGS) if ledger else (Chaos, CHAOS_SETTINGS)
    async with running_heads(folder, count=heads, seed=seed, extra_settings=more, http=rules("own")) as fleet:
        chaos = kind(fleet, seed, folder / "history.jsonl")
        history = await chaos.run(seconds, detect=not ledger)
    violations = check_history(history)
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
    print(describe(violations))
    return 1 if violations else 0


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument("--heads", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", action="store_true")
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(
            run_history(arguments.keep, arguments.heads, arguments.seed, arguments.seconds, arguments.ledger)
        )
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(
            run_history(Path(folder), arguments.heads, arguments.seed, arguments.seconds, arguments.ledger)
        )


if __name__ == "__main__":
    raise SystemExit(main())
