"""Judges a whole history: a file of what clients asked and were answered, and the logs of heads.

A line of the history is JSON: {"what", "at", "until", ...}. Logs are the heads' own JSON lines; of them only
events with their times and fields are read (docs/on-call.md). Each promise is one function that returns what
it found broken.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stoatrouter.lab.histories.linear import NEVER, Asked, Call, linearizable, register_step


@dataclass
class History:
    """What is judged."""

    lines: list[dict[str, Any]] = field(default_factory=list)
    logs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)  # events by head, in order

    def of(self, what: str) -> Iterator[dict[str, Any]]:
        return (line for line in self.lines if line["what"] == what)


def read(history: Path, logs: dict[str, Path]) -> History:
    lines = [json.loads(line) for line in history.read_text().splitlines() if line]
    return History(lines, {name: list(events(path)) for name, path in logs.items()})


def events(path: Path) -> Iterator[dict[str, Any]]:
    for line in path.read_text(errors="replace").splitlines():
        try:
            record = json.loads(line)["record"]
        except (ValueError, KeyError, TypeError):
            continue
        if event := record["extra"].get("event"):
            yield {**record["extra"], "event": event, "at": record["time"]["timestamp"]}


def judge(history: History) -> list[str]:
    """All that is broken; nothing where all promises are kept."""
    return [
        *one_leader(history),
        *versions_go_up(history),
        *credit(history),
        *entries(history),
        *register(history),
        *contents(history),
        *detector(history),
    ]


def one_leader(history: History) -> list[str]:
    """One leader for each term of a fleet."""
    leaders: dict[int, set[str]] = defaultdict(set)
    for name, log in history.logs.items():
        for event in log:
            if event["event"] == "heads.role" and event["leader"] == name:
                leaders[event["term"]].add(name)
    return [f"term {term} had leaders {sorted(names)}" for term, names in leaders.items() if len(names) > 1]


def versions_go_up(history: History) -> list[str]:
    """No head's version goes back, over its restarts too; and a number is the same content everywhere."""
    wrong, digests = [], {}
    for name, log in history.logs.items():
        numbers = [(e["number"], e["digest"]) for e in log if e["event"] == "rules.version"]
        for (before, _), (after, _) in zip(numbers, numbers[1:], strict=False):
            if after < before:
                wrong.append(f"{name} went from version {before} back to {after}")
        for number, digest in numbers:
            if digests.setdefault(number, digest) != digest:
                wrong.append(f"version {number} is {digest} at {name} and {digests[number]} elsewhere")
    return wrong


def credit(history: History) -> list[str]:
    """What was charged never passes what was paid in, at any moment; and the account agrees in the end.

    A served request is charged for sure; one that was refused or turned away is not, unless an attempt may
    have run; one without an answer may be. Paid in counts from when a top-up was asked, as it may act from
    then on.
    """
    wrong: list[str] = []
    paid: dict[str, list[tuple[float, int]]] = defaultdict(list)
    booked: set[str] = set()
    for line in history.of("pay"):
        if line["id"] not in booked:
            booked.add(line["id"])
            paid[line["customer"]].append((line["at"], line["amount"]))
    served: dict[str, list[tuple[float, int]]] = defaultdict(list)
    least: Counter[str] = Counter()
    most: Counter[str] = Counter()
    seen: Counter[str] = Counter()
    for line in history.of("request"):
        customer, charge = line["customer"], line["charge"]
        seen[line["id"]] += 1
        if line["status"] == 200:
            served[customer].append((line["until"], charge))
            least[customer] += charge
        if line["status"] != 503:
            most[customer] += charge
    wrong += [f"request {id} is in the history {n} times" for id, n in seen.items() if n > 1]
    for customer, charges in served.items():
        moments = sorted(
            [(at, 1, -amount) for at, amount in charges] + [(at, 0, amount) for at, amount in paid[customer]]
        )
        left = 0
        for at, _, amount in moments:
            left += amount
            if left < 0:
                wrong.append(f"{customer} was served {-left} more than was paid in, at {at:.3f}")
                break
    for line in history.of("settled"):
        customer = line["customer"]
        lost = line.get("lost", 0)  # what disks lost for good held, as the story knows
        if line["balance"] != line["paid"] - line["charged"]:
            wrong.append(f"{customer}: balance {line['balance']} of {line['paid']} less {line['charged']}")
        if not least[customer] <= line["charged"] <= most[customer] + lost:
            wrong.append(
                f"{customer}: charged {line['charged']}, clients say {least[customer]} to "
                f"{most[customer]}, and {lost} may be lost"
            )
    return wrong


def entries(history: History) -> list[str]:
    """No acknowledged top-up is lost, none is booked twice."""
    wrong = []
    for line in history.of("settled"):
        pays = [p for p in history.of("pay") if p["customer"] == line["customer"]]
        sure = {p["id"]: p["amount"] for p in pays if p["status"] == 200}
        perhaps = {p["id"]: p["amount"] for p in pays}
        if not sum(sure.values()) <= line["paid"] <= sum(perhaps.values()):
            wrong.append(
                f"{line['customer']}: {line['paid']} is booked, {sum(sure.values())} was "
                f"acknowledged and {sum(perhaps.values())} asked for"
            )
    return wrong


def register(history: History) -> list[str]:
    """The register of versions is linearizable, edits by their base and reads of the newest."""
    calls = []
    for line in history.of("register"):
        answer = tuple(line["answer"]) if line["answer"] is not None else None
        calls.append(
            Call(
                line["at"],
                line["until"] if answer is not None else NEVER,
                Asked(line["kind"], line["id"], line["base"]),
                answer,
            )
        )
    if linearizable(calls, (0, ()), register_step):
        return []
    return [f"the history of {len(calls)} edits and reads has no order that a register allows"]


def contents(history: History) -> list[str]:
    """After the faults all heads hold the same, byte for byte; after an undo, what was in force before."""
    wrong = []
    for line in history.of("contents"):
        if len(set(line["digests"].values())) > 1:
            wrong.append(f"heads hold different contents: {line['digests']}")
    for line in history.of("restored"):
        if line["now"] != line["before"]:
            wrong.append(f"undo of version {line['undone']} did not restore what was in force before")
    return wrong


def detector(history: History) -> list[str]:
    """Completeness: a head that was down for long was seen as failed (or left) by all that were up.
    Accuracy: one that was up, and had no fault near it, was taken for failed by nobody."""
    wrong = []
    for line in history.of("down"):
        name, since, until = line["head"], line["at"], line["until"]
        if until - since < line["detect_within"]:
            continue
        for other in line["witnesses"]:
            seen = [
                e
                for e in history.logs[other]
                if e["event"] == "heads.seen" and e["head"] == name and since <= e["at"] <= until
            ]
            if not any(e["status"] in ("failed", "left") for e in seen):
                wrong.append(f"{other} did not see within {until - since:.1f} s that {name} was down")
    for line in history.of("calm"):
        for other, log in history.logs.items():
            wrong += [
                f"{other} took {e['head']} for failed in calm times"
                for e in log
                if e["event"] == "heads.seen"
                and e["status"] == "failed"
                and line["at"] <= e["at"] <= line["until"]
            ]
    return wrong


def tell(wrong: Iterable[str]) -> str:
    return "\n".join(wrong) or "all promises are kept"
