"""Checks the history of a run: one function for each invariant, which returns violations as texts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from stoatrouter.lab.histories.credit import check_charges, check_top_ups
from stoatrouter.lab.histories.history import (
    Contents,
    Down,
    FaultFree,
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

DOWN_STATUSES = ("failed", "left")  # statuses that detectors give to a head that is down


def check_history(history: History) -> list[str]:
    """Return all violations of a history; empty if every invariant holds."""
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
    """Format violations, one on each line, or state that there are none."""
    return "\n".join(violations) or "no violations found"


def check_election_safety(history: History) -> list[str]:
    """Check that every term has at most one leader."""
    leaders: dict[int, set[str]] = defaultdict(set)
    for name in history.logs:
        for event in history.events(name, RoleChanged):
            if event.leader == name:
                leaders[event.term].add(name)
    return [f"term {term} had leaders {sorted(names)}" for term, names in leaders.items() if len(names) > 1]


def check_versions(history: History) -> list[str]:
    """Check that versions never go back on a head, even over restarts, and that a number has one content.

    A head that has lost its folder starts again with its own files.
    """
    lost = history.of(FolderLost)
    violations = []
    digests: dict[int, str] = {}
    for name in history.logs:
        events = history.events(name, VersionInForce)
        for before, after in zip(events, events[1:], strict=False):
            folder_was_lost = any(line.head == name and before.at <= line.at <= after.at for line in lost)
            if after.number < before.number and not folder_was_lost:
                violations.append(f"{name} went from version {before.number} back to {after.number}")
        for event in events:
            known = digests.setdefault(event.number, event.digest)
            if known != event.digest:
                violations.append(f"version {event.number} is {event.digest} at {name} and {known} elsewhere")
    return violations


def check_register(history: History) -> list[str]:
    """Check that the register of versions is linearizable: edits against a base, reads of the newest."""
    calls = [register_call(line) for line in history.of(RegisterLine)]
    if linearizable(calls, RegisterState(), register_model):
        return []
    return [f"the history of {len(calls)} edits and reads has no order that a register allows"]


def register_call(line: RegisterLine) -> RegisterCall:
    """Convert a line of the history to a call to the register."""
    returned_at = line.until if line.answer is not None else NEVER
    return Call(line.at, returned_at, RegisterOperation(line.kind, line.id, line.base), line.answer)


def check_contents(history: History) -> list[str]:
    """Check that all heads end with the same rules, and that every undo restored the previous rules."""
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
    """Check that all witnesses saw a head that was down long enough as failed or left."""
    violations = []
    for down in history.of(Down):
        duration = down.until - down.at
        if duration < down.detect_within:
            continue
        for witness in down.witnesses:
            seen = [event for event in history.events(witness, HeadSeen) if event.head == down.head]
            if not any(event.status in DOWN_STATUSES and down.at <= event.at <= down.until for event in seen):
                violations.append(f"{witness} did not see within {duration:.1f} s that {down.head} was down")
    return violations


def check_accuracy(history: History) -> list[str]:
    """Check that no head reports another as failed in a span without faults."""
    return [
        f"{observer} reported {event.head} as failed while there was no fault"
        for span in history.of(FaultFree)
        for observer in history.logs
        for event in history.events(observer, HeadSeen)
        if event.status == "failed" and span.at <= event.at <= span.until
    ]
