"""Durations computed from logs: when an edit was in force on all heads, when all saw a killed head as failed.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Any

from stoatrouter.lab.histories.history import Down, History, RegisterLine

NEVER = float("inf")


@dataclass(slots=True)
class ScenePart:
    """Part of a history that belongs to one scene, and the heads that were down or restarted in it."""

    name: str
    since: float
    until: float = NEVER
    interrupted: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class SeenFailed:
    """When the witnesses of a killed head first and last saw it as failed, in seconds since its death."""

    head: str
    first: float
    last: float
    witnesses: int


def accepted_edits(history: History, part: ScenePart) -> list[tuple[int, float]]:
    """Return the accepted edits of a scene: version number and time of the request."""
    return [
        (line.answer.number, line.at)
        for line in history.of(RegisterLine)
        if line.answer is not None and line.answer.outcome == "ok" and part.since <= line.at <= part.until
    ]


def in_force_spans(history: History, part: ScenePart) -> list[float]:
    """Return, for each edit of a scene, the seconds from its request until it is in force on all heads.

    Only heads that stayed up count; the span is infinite if one of them never applies the edit. Returns an
    empty list if no head stayed up.
    """
    heads = [name for name in history.logs if name not in part.interrupted]
    if not heads:
        return []
    return [
        max((in_force_at(history.logs[name], number, at) - at for name in heads), default=NEVER)
        for number, at in accepted_edits(history, part)
    ]


def in_force_at(log: Iterable[dict[str, Any]], number: int, asked_at: float) -> float:
    """Return when a version or a later one came into force on a head."""
    return min(
        (
            event["at"]
            for event in log
            if event["event"] == "rules.version" and event["number"] >= number and event["at"] >= asked_at
        ),
        default=NEVER,
    )


def seen_failed(history: History, part: ScenePart) -> list[SeenFailed]:
    """Return, for each head that was down in a scene, when its witnesses saw it as failed."""
    found = []
    for line in history.of(Down):
        if not part.since <= line.at <= part.until or not line.witnesses:
            continue
        detection_times = [
            first_seen_failed(history.logs[name], line.head, line.at, line.until) for name in line.witnesses
        ]
        delays = [detected_at - line.at for detected_at in detection_times if detected_at != NEVER]
        if delays:
            found.append(SeenFailed(line.head, min(delays), max(delays), len(delays)))
    return found


def first_seen_failed(log: Iterable[dict[str, Any]], head: str, since: float, until: float) -> float:
    """Return when a witness first saw a head as failed."""
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


def describe_spans(spans: Collection[float]) -> str:
    """Return the number of edits and their median time in force, as text."""
    ordered = sorted(spans)
    return f"{len(ordered)} edits, median {ordered[len(ordered) // 2]:.2f} s" if ordered else "no edits"
