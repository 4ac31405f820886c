"""Spans that only logs can tell: when an edit was in force everywhere, who saw a dead head last. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Any

from stoatrouter.lab.histories.history import Down, History, RegisterLine

NEVER = float("inf")


@dataclass(slots=True)
class ScenePart:
    """One scene's part of a history: its times, and the heads that were down or began anew meanwhile."""

    name: str
    since: float
    until: float = NEVER
    interrupted: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class SeenFailed:
    """When a dead head was first and last seen as failed, in seconds since its death, and by how many."""

    head: str
    first: float
    last: float
    witnesses: int


def accepted_edits(history: History, part: ScenePart) -> list[tuple[int, float]]:
    """The edits asked for within a scene that came in force: number, and when they were asked for."""
    return [
        (line.answer.number, line.at)
        for line in history.of(RegisterLine)
        if line.answer is not None and line.answer.outcome == "ok" and part.since <= line.at <= part.until
    ]


def in_force_spans(history: History, part: ScenePart) -> list[float]:
    """For each edit of a scene, seconds from the asking until the last head that was up all the while decides
    by it; infinite where one never does. Nothing where no head was up all the while."""
    heads = [name for name in history.logs if name not in part.interrupted]
    if not heads:
        return []
    return [
        max((in_force_at(history.logs[name], number, at) - at for name in heads), default=NEVER)
        for number, at in accepted_edits(history, part)
    ]


def in_force_at(log: Iterable[dict[str, Any]], number: int, asked_at: float) -> float:
    """When a head decided by a version or a later one."""
    return min(
        (
            event["at"]
            for event in log
            if event["event"] == "rules.version" and event["number"] >= number and event["at"] >= asked_at
        ),
        default=NEVER,
    )


def seen_failed(history: History, part: ScenePart) -> list[SeenFailed]:
    """For each head that was down within a scene, what its witnesses saw."""
    found = []
    for line in history.of(Down):
        if not part.since <= line.at <= part.until or not line.witnesses:
            continue
        moments = [
            first_seen_failed(history.logs[name], line.head, line.at, line.until) for name in line.witnesses
        ]
        seen = [moment - line.at for moment in moments if moment != NEVER]
        if seen:
            found.append(SeenFailed(line.head, min(seen), max(seen), len(seen)))
    return found


def first_seen_failed(log: Iterable[dict[str, Any]], head: str, since: float, until: float) -> float:
    """When a witness took a head for failed."""
    return min(
        (
            event["at"]
            for event in log
            if event["event"] == "heads.seen"
            and event["head"] == head
            and event["status"] in ("failed", "left")
            and since <= event["at"] <= until
        ),
        default=NEVER,
    )


def worst(spans: Collection[float]) -> str:
    """Median and slowest of some spans, in words."""
    ordered = sorted(spans)
    return f"{len(ordered)} edits, median {ordered[len(ordered) // 2]:.2f} s" if ordered else "no edits"
