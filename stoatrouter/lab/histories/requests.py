"""Judges requests as clients, nodes and discovery wrote them down, by the rules of the platform's pages.

It knows nothing of the program: it imports no code of a head and reads nothing that one logs, but for the
debug record of when attempts were written, which tells a head that wrote late from a node that read late. A
line is a dict with "what" and "at" (seconds, one clock for all) and the fields of the record of that tag; the
records of `request_lines` say what each line means.
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
    Killed,
    LeavingNotified,
    RequestHistory,
    RequestLine,
    ServingNotified,
)
from stoatrouter.lab.histories.written_times import Delay, TimedAttempt, check_order, timed_attempts

NEVER = float("inf")
KILL_MARGIN = 1.0  # seconds; a request is lost by a kill that is at most so far from it


class Effect(StrEnum):
    """Whether a request may run twice."""

    SAFE = "safe"  # it changes nothing
    IDEMPOTENT = "keyed"  # by its idempotency key, within a window
    UNSAFE = "unsafe"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What a class of requests allows."""

    effect: Effect
    window: float = 0.0  # seconds in which an idempotency key is known
    group: str = "cell"  # where a key is known: in one "cell", or else everywhere


@dataclass(slots=True, frozen=True)
class Guarantees:
    """What the platform promises; spans in seconds."""

    classes: dict[str, RequestClass]
    cells: dict[str, int]  # by node
    drain_grace: float
    cancel_within: float = 0.1  # an attempt may still begin so long after its client has gone
    slack: float = 0.05  # every limit is so much longer


@dataclass(slots=True)
class CheckResult:
    """What was found in a history."""

    violations: list[str] = field(default_factory=list)
    read_late: list[str] = field(default_factory=list)  # attempts written in time that nodes saw too late

    def add(self, findings: Iterable[str | Delay]) -> None:
        """Add violations, and delays that may be one."""
        for finding in findings:
            if isinstance(finding, str) or finding.is_violation:
                self.violations.append(str(finding))
            elif finding.is_read_late:
                self.read_late.append(f"read late, written in time: {finding}")


# -- the rules --------------------------------------------------------------------------------------------
def find_violations(lines: Iterable[dict[str, Any]], terms: Guarantees) -> list[str]:
    """Return all violations of a history, as `check_requests` does; none where every rule is kept."""
    return check_requests(lines, terms).violations


def check_requests(lines: Iterable[dict[str, Any]], terms: Guarantees) -> CheckResult:
    """Return all violations of a history, and what was no violation as its node alone was late.

    Args:
        lines: The history, in any order.
        terms: What is promised.

    Raises:
        msgspec.ValidationError: A line is malformed, or of an unknown kind.
    """
    ordered = sorted((msgspec.convert(line, AnyLine) for line in lines), key=lambda line: line.at)
    requests: dict[str, RequestHistory] = {}
    for line in ordered:
        if isinstance(line, RequestLine):
            requests.setdefault(line.request, RequestHistory(line.request)).add(line)
    kills = [line for line in ordered if isinstance(line, Killed)]
    verdict = CheckResult()
    notifications = Notifications(ordered)
    for request in requests.values():
        attempts = timed_attempts(request)
        verdict.add(check_answers(request, kills))
        verdict.add(check_order(request))
        verdict.add(check_cancellation(request, attempts, terms))
        verdict.add(check_retries(request, attempts, terms))
        verdict.add(check_draining(request, attempts, notifications, terms))
    return verdict


def check_answers(request: RequestHistory, kills: list[Killed]) -> Iterator[str]:
    """Check that a request has one final answer, unless its client left or its head was killed."""
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
        from_, until = sent.at - KILL_MARGIN, end.at + KILL_MARGIN
        if not any(kill.head == sent.head and from_ <= kill.at <= until for kill in kills):
            yield f"{request.id}: lost by {sent.head}, which ended its connection with no whole answer"
    if request.sent and not (answers or request.ends or request.clients_gone):
        yield f"{request.id}: never answered"


def check_cancellation(
    request: RequestHistory, attempts: list[TimedAttempt], terms: Guarantees
) -> Iterator[Delay]:
    """Check that no attempt begins once the client has gone."""
    for gone in request.clients_gone:
        for attempt in attempts:
            yield Delay(
                f"{request.id}: an attempt after its client had gone",
                terms.cancel_within + terms.slack,
                attempt.seen.first - gone.at,
                attempt.record.at - gone.at if attempt.record else None,
            )


def check_retries(
    request: RequestHistory, attempts: list[TimedAttempt], terms: Guarantees
) -> Iterator[str | Delay]:
    """Check that no two attempts run at once, and that retries are as the class allows."""
    if not request.sent:
        if attempts:
            yield f"{request.id}: an attempt of what no client sent"
        return
    request_class = terms.classes[request.sent[0].kind]
    first_that_may_have_run: TimedAttempt | None = None
    for number, attempt in enumerate(attempts):
        for earlier in attempts[:number]:
            end = request.end_of(earlier.seen)
            if (end.at if end else NEVER) > attempt.seen.first + terms.slack:
                yield f"{request.id}: two attempts at once"
        if first_that_may_have_run is not None:
            yield from check_retry(attempt, first_that_may_have_run, request_class, terms)
            continue
        end = request.end_of(attempt.seen)
        if end is None or end.ran:
            first_that_may_have_run = attempt


def check_retry(
    attempt: TimedAttempt, first: TimedAttempt, request_class: RequestClass, terms: Guarantees
) -> Iterator[str | Delay]:
    """Check an attempt after one that may have run."""
    request = attempt.seen.request
    if request_class.effect is Effect.UNSAFE:
        yield f"{request}: repeated, though it may have run and may not run twice"
    if request_class.effect is not Effect.IDEMPOTENT:
        return
    recorded = attempt.record is not None and first.record is not None
    yield Delay(
        f"{request}: repeated outside its window",
        request_class.window + terms.slack,
        attempt.seen.first - first.seen.first,
        attempt.last_moment - first.first_moment if recorded else None,
    )
    if request_class.group == "cell" and terms.cells[attempt.seen.node] != terms.cells[first.seen.node]:
        yield f"{request}: repeated in another cell"


class Notifications:
    """When heads were notified that nodes drain, or serve again."""

    def __init__(self, lines: list[AnyLine]) -> None:
        """Take the notifications out of a history that is in order."""
        self.by_head: dict[tuple[str, str], list[LeavingNotified | ServingNotified]] = defaultdict(list)
        for line in lines:
            if isinstance(line, LeavingNotified | ServingNotified):
                self.by_head[line.head, line.node].append(line)

    def draining_for(self, head: str, node: str, at: float) -> float:
        """For how many seconds a head had been notified at some moment that a node drains; 0: it serves."""
        before = [line for line in self.by_head[head, node] if line.at <= at]
        if not before or isinstance(before[-1], ServingNotified):
            return 0.0
        return at - before[-1].at


def check_draining(
    request: RequestHistory, attempts: list[TimedAttempt], notifications: Notifications, terms: Guarantees
) -> Iterator[Delay]:
    """Check that nothing goes to a draining node once the grace after its head's notification is over."""
    head = request.sent[0].head if request.sent else ""
    for attempt in attempts:
        node = attempt.seen.node
        yield Delay(
            f"{request.id}: sent to {node} after it was told as leaving",
            terms.drain_grace + terms.slack,
            notifications.draining_for(head, node, attempt.seen.first),
            notifications.draining_for(head, node, attempt.record.at) if attempt.record else None,
        )
