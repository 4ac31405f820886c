"""Judges a whole history of heads: every invariant is one function that returns its violations as texts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from stoatrouter.lab.histories.credit import check_charges, check_top_ups
from stoatrouter.lab.histories.history import (
    Calm,
    Contents,
    Down,
    FolderLost,
    HeadSeen,
    History,
    RegisterLine,
    Restored,
    RoleChanged,
    VersionInForce,
)
from stoatrouter.lab.histories.linear import (
    NEVER,
    Call,
    RegisterCall,
    RegisterOperation,
    RegisterState,
    linearizable,
    register_model,
)

GONE = ("failed", "left")  # statuses of a head that is down


def check_history(history: History) -> list[str]:
    """Return all violations of a history; none where every invariant holds."""
    return [
        *check_election_safety(history),
        *check_versions(history),
        *check_charges(history),
        *check_top_ups(history),
        *check_register(history),
        *check_contents(history),
        *check_completeness(history),
        *check_accuracy(history),
    ]


def describe(violations: Iterable[str]) -> str:
    """Write violations one a line, or that there are none."""
    return "\n".join(violations) or "all promises are kept"


def check_election_safety(history: History) -> list[str]:
    """Check that every term has at most one leader."""
    leaders: dict[int, set[str]] = defaultdict(set)
    for name in history.logs:
        for event in history.events(name, RoleChanged):
            if event.leader == name:
                leaders[event.term].add(name)
    return [f"term {term} had leaders {sorted(names)}" for term, names in leaders.items() if len(names) > 1]


def check_versions(history: History) -> list[str]:
    """Check that no head's version goes back, also over restarts, and that a number names one content.

    A head whose folder is lost begins with its own files again.
    """
    lost = history.of(FolderLost)
    violations = []
    digests: dict[int, str] = {}
    for name in history.logs:
        events = history.events(name, VersionInForce)
        for before, after in zip(events, events[1:], strict=False):
            began_anew = any(line.head == name and before.at <= line.at <= after.at for line in lost)
            if after.number < before.number and not began_anew:
                violations.append(f"{name} went from version {before.number} back to {after.number}")
        for event in events:
            known = digests.setdefault(event.number, event.digest)
            if known != event.digest:
                violations.append(f"version {event.number} is {event.digest} at {name} and {known} elsewhere")
    return violations


def check_register(history: History) -> list[str]:
    """Check that the register of versions is linearizable: edits by their base, reads of the newest."""
    calls = [register_call(line) for line in history.of(RegisterLine)]
    if linearizable(calls, RegisterState(), register_model):
        return []
    return [f"the history of {len(calls)} edits and reads has no order that a register allows"]


def register_call(line: RegisterLine) -> RegisterCall:
    """Return a line of the history as a call to the register."""
    returned_at = line.until if line.answer is not None else NEVER
    return Call(line.at, returned_at, RegisterOperation(line.kind, line.id, line.base), line.answer)


def check_contents(history: History) -> list[str]:
    """Check that all heads end with the same rules, and that every undo restored what was in force before."""
    violations = [
        f"heads hold different contents: {line.digests}"
        for line in history.of(Contents)
        if len(set(line.digests.values())) > 1
    ]
    violations += [
        f"undo of version {line.undone} did not restore what was in force before"
        for line in history.of(Restored)
        if line.now != line.before
    ]
    return violations


def check_completeness(history: History) -> list[str]:
    """Check that a head that was down for long was seen as failed (or left) by all that were up."""
    violations = []
    for down in history.of(Down):
        duration = down.until - down.at
        if duration < down.detect_within:
            continue
        for witness in down.witnesses:
            seen = [event for event in history.events(witness, HeadSeen) if event.head == down.head]
            if not any(event.status in GONE and down.at <= event.at <= down.until for event in seen):
                violations.append(f"{witness} did not see within {duration:.1f} s that {down.head} was down")
    return violations


def check_accuracy(history: History) -> list[str]:
    """Check that nobody takes a head for failed while all are up and no fault is near."""
    return [
        f"{observer} took {event.head} for failed in calm times"
        for calm in history.of(Calm)
        for observer in history.logs
        for event in history.events(observer, HeadSeen)
        if event.status == "failed" and calm.at <= event.at <= calm.until
    ]
