"""Checks the recorded history of requests against the documented guarantees of the platform.

The check is independent of the program: it imports no code of a head and reads none of its logs. The only
exception is the debug record of when attempts were written, which distinguishes a head that wrote late from a
node that read late. A line is a dict with "what", "at" (seconds, on one clock for all) and the fields of the
record with that tag; `request_lines` documents the records.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from stoatrouter.lab.histories.request_lines import (
    AnyLine,
    DrainingNotified,
    Killed,
    RequestHistory,
    RequestLine,
    ServingNotified,
)
from stoatrouter.lab.histories.written_times import Delay, TimedAttempt, check_order, timed_attempts

NEVER = float("inf")
KILL_MARGIN = 1.0  # seconds; a lost request is attributed to a kill that is at most this far from it


class Effect(StrEnum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # read-only
    IDEMPOTENT = "keyed"  # repeatable with its idempotency key, within a window
    UNSAFE = "unsafe"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What a class of requests permits."""

    effect: Effect
    window: float = 0.0  # seconds for which an idempotency key is remembered
    group: str = "cell"  # scope in which a key is remembered: "cell", or otherwise all nodes


@dataclass(slots=True, frozen=True)
class Guarantees:
    """The documented guarantees of the platform; durations in seconds."""

    classes: dict[str, RequestClass]
    cells: dict[str, int]  # cell number by node
    drain_grace: float
    cancel_within: float = 0.1  # an attempt may begin up to this long after its client has disconnected
    slack: float = 0.05  # tolerance added to every limit
    parallel_attempts: bool = False  # whether the settings allow two attempts of a request at once


@dataclass(slots=True)
class CheckResult:
    """The result of checking a history."""

    violations: list[str] = field(default_factory=list)
    read_late: list[str] = field(default_factory=list)  # written in time, seen too late by nodes

    def add(self, findings: Iterable[str | Delay]) -> None:
        """Add violations, and delays that exceed their limit."""
        for finding in findings:
            if isinstance(finding, str) or finding.is_violation:
                self.violations.append(str(finding))
            elif finding.is_read_late:
                self.read_late.append(f"read late, written in time: {finding}")


# -- checks -----------------------------------------------------------------------------------------------
def find_violations(lines: Iterable[dict[str, Any]], limits: Guarantees) -> list[str]:
    """Return the violations that `check_requests` finds; empty if there are none."""
    return check_requests(lines, limits).violations


def check_requests(lines: Iterable[dict[str, Any]], limits: Guarantees) -> CheckResult:
    """Find all violations in a history, and delays for which only the node was responsible.

    Args:
        lines: The history, in any order.
        limits: The guarantees to check.

    Raises:
        msgspec.ValidationError: A line is malformed or of an unknown kind.
    """
    ordered = sorted((msgspec.convert(line, AnyLine) for line in lines), key=lambda line: line.at)
    requests: dict[str, RequestHistory] = {}
    for line in ordered:
        if isinstance(line, RequestLine):
            requests.setdefault(line.request, RequestHistory(line.request)).add(line)
    kills = [line for line in ordered if isinstance(line, Killed)]
    result = CheckResult()
    notifications = Notifications(ordered)
    for request in requests.values():
        attempts = timed_attempts(request)
        result.add(check_answers(request, kills))
        result.add(check_order(request))
        result.add(check_cancellation(request, attempts, limits))
        result.add(check_retries(request, attempts, limits))
        result.add(check_draining(request, attempts, notifications, limits))
    return result


def check_answers(request: RequestHistory, kills: list[Killed]) -> Iterator[str]:
    """Check that a request has one final answer, unless its client disconnected or its head was killed."""
    answers = request.answers
    if len(answers) > 1:
        yield f"{request.id}: {len(answers)} answers"
    if answers and any(end.at < answers[0].at for end in request.ends):
        yield f"{request.id}: an answer after its connection had ended"
    for answer in answers:
        if answer.of is not None and answer.of != request.id:
            yield f"{request.id}: answered with the answer to {answer.of}"
    for end in request.ends:
        sent = request.sent[0]
        since, until = sent.at - KILL_MARGIN, end.at + KILL_MARGIN
        if not any(kill.head == sent.head and since <= kill.at <= until for kill in kills):
            yield f"{request.id}: lost by {sent.head}, which ended its connection with no whole answer"
    if request.sent and not (answers or request.ends or request.clients_gone):
        yield f"{request.id}: never answered"


def check_cancellation(
    request: RequestHistory, attempts: list[TimedAttempt], limits: Guarantees
) -> Iterator[Delay]:
    """Check that no attempt begins after the client has disconnected."""
    for disconnect in request.clients_gone:
        for attempt in attempts:
            yield Delay(
                f"{request.id}: an attempt after its client had gone",
                limits.cancel_within + limits.slack,
                attempt.seen.first - disconnect.at,
                attempt.record.at - disconnect.at if attempt.record else None,
            )


def check_retries(
    request: RequestHistory, attempts: list[TimedAttempt], limits: Guarantees
) -> Iterator[str | Delay]:
    """Check that attempts run concurrently only as allowed, and that the class permits each retry."""
    if not request.sent:
        if attempts:
            yield f"{request.id}: an attempt of what no client sent"
        return
    request_class = limits.classes[request.sent[0].kind]
    first_that_may_have_run: TimedAttempt | None = None
    for number, attempt in enumerate(attempts):
        beside = 0
        for earlier in attempts[:number]:
            end = request.end_of(earlier.seen)
            beside += (end.at if end else NEVER) > attempt.seen.first + limits.slack
        if beside > (limits.parallel_attempts and request_class.effect is not Effect.UNSAFE):
            yield f"{request.id}: two attempts at once, or more"
        if first_that_may_have_run is not None:
            yield from check_retry(attempt, first_that_may_have_run, request_class, limits)
            continue
        end = request.end_of(attempt.seen)
        if end is None or end.ran:
            first_that_may_have_run = attempt


def check_retry(
    attempt: TimedAttempt, first: TimedAttempt, request_class: RequestClass, limits: Guarantees
) -> Iterator[str | Delay]:
    """Check an attempt that follows one that may have run."""
    request = attempt.seen.request
    if request_class.effect is Effect.UNSAFE:
        yield f"{request}: repeated, though it may have run and may not run twice"
    if request_class.effect is not Effect.IDEMPOTENT:
        return
    recorded = attempt.record is not None and first.record is not None
    yield Delay(
        f"{request}: repeated outside its window",
        request_class.window + limits.slack,
        attempt.seen.first - first.seen.first,
        attempt.latest_write - first.earliest_effect if recorded else None,
    )
    if request_class.group == "cell" and limits.cells[attempt.seen.node] != limits.cells[first.seen.node]:
        yield f"{request}: repeated in another cell"


class Notifications:
    """Times at which heads were notified that nodes are draining or serve again."""

    def __init__(self, lines: list[AnyLine]) -> None:
        """Collect the notifications from an ordered history."""
        self.by_head: dict[tuple[str, str], list[DrainingNotified | ServingNotified]] = defaultdict(list)
        for line in lines:
            if isinstance(line, DrainingNotified | ServingNotified):
                self.by_head[line.head, line.node].append(line)

    def draining_for(self, head: str, node: str, at: float) -> float:
        """Return for how many seconds a head had known at a time that a node is draining; 0: it serves."""
        before = [line for line in self.by_head[head, node] if line.at <= at]
        if not before or isinstance(before[-1], ServingNotified):
            return 0.0
        return at - before[-1].at


def check_draining(
    request: RequestHistory, attempts: list[TimedAttempt], notifications: Notifications, limits: Guarantees
) -> Iterator[Delay]:
    """Check that no attempt goes to a draining node once the drain grace since the notification is over."""
    head = request.sent[0].head if request.sent else ""
    for attempt in attempts:
        node = attempt.seen.node
        yield Delay(
            f"{request.id}: sent to {node} after it was told as leaving",
            limits.drain_grace + limits.slack,
            notifications.draining_for(head, node, attempt.seen.first),
            notifications.draining_for(head, node, attempt.record.at) if attempt.record else None,
        )
