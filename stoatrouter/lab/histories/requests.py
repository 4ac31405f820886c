"""Judges requests as clients, nodes and discovery wrote them down, by the rules of the platform's pages.

It knows nothing of the program: it imports no code of a head and reads nothing that one logs. A line is a
dict with "what" and "at" (seconds, one clock for all) and the fields of the record of that tag; the records
below say what each line means.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

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
class Terms:
    """What the platform promises; spans in seconds."""

    classes: dict[str, RequestClass]
    cells: dict[str, int]  # by node
    drain_grace: float
    cancel_within: float = 0.1  # an attempt may still begin so long after its client has gone
    slack: float = 0.05  # every limit is so much longer


# -- lines of the history ---------------------------------------------------------------------------------
class Line(msgspec.Struct, frozen=True, tag_field="what"):
    """A line of the history."""

    at: float


class Sent(Line, frozen=True, tag="sent"):
    """A client sent the last byte of its request."""

    request: str
    head: str
    kind: str  # the name of its class


class Answered(Line, frozen=True, tag="answered"):
    """A client got its one final answer, complete."""

    request: str
    status: int
    of: str | None = None  # the request that the body names; None: it names none


class Ended(Line, frozen=True, tag="ended"):
    """A request's connection ended without a complete answer."""

    request: str


class ClientGone(Line, frozen=True, tag="gone"):
    """A client closed its connection before any answer."""

    request: str


class Attempt(Line, frozen=True, tag="attempt"):
    """A node got a request."""

    request: str
    node: str
    first: float  # when its first byte came; `at` is that of the last


class AttemptEnded(Line, frozen=True, tag="over"):
    """An attempt ended at its node."""

    request: str
    node: str
    ran: bool  # whether it may have run


class LeavingNotified(Line, frozen=True, tag="told"):
    """From now on a head counts as notified that a node is draining."""

    head: str
    node: str


class ServingNotified(Line, frozen=True, tag="back"):
    """From now on a head counts as notified that a node serves."""

    head: str
    node: str


class Killed(Line, frozen=True, tag="killed"):
    """A head was killed outright."""

    head: str


RequestLine = Sent | Answered | Ended | ClientGone | Attempt | AttemptEnded
AnyLine = RequestLine | LeavingNotified | ServingNotified | Killed


@dataclass(slots=True)
class RequestHistory:
    """All lines of one request, in order."""

    id: str
    sent: list[Sent] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    clients_gone: list[ClientGone] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    attempt_ends: list[AttemptEnded] = field(default_factory=list)

    def add(self, line: RequestLine) -> None:
        """Add the next line."""
        match line:
            case Sent():
                self.sent.append(line)
            case Answered():
                self.answers.append(line)
            case Ended():
                self.ends.append(line)
            case ClientGone():
                self.clients_gone.append(line)
            case Attempt():
                self.attempts.append(line)
            case AttemptEnded():
                self.attempt_ends.append(line)

    def end_of(self, attempt: Attempt) -> AttemptEnded | None:
        """Return the end of an attempt at its node; None where it never ended."""
        ends = (end for end in self.attempt_ends if end.node == attempt.node and end.at >= attempt.at)
        return next(ends, None)


# -- the rules --------------------------------------------------------------------------------------------
def judge(lines: Iterable[dict[str, Any]], terms: Terms) -> list[str]:
    """Return all violations of a history; none where every rule is kept.

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
    violations: list[str] = []
    for request in requests.values():
        violations += check_answers(request, kills)
        violations += check_cancellation(request, terms)
        violations += check_retries(request, terms)
    return [*violations, *check_draining(ordered, terms)]


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


def check_cancellation(request: RequestHistory, terms: Terms) -> Iterator[str]:
    """Check that no attempt begins once the client has gone."""
    for gone in request.clients_gone:
        for attempt in request.attempts:
            late = attempt.first - gone.at
            if late > terms.cancel_within + terms.slack:
                yield f"{request.id}: an attempt {late:.3f} s after its client had gone"


def check_retries(request: RequestHistory, terms: Terms) -> Iterator[str]:
    """Check that no two attempts run at once, and that retries are as the class allows."""
    if not request.sent:
        if request.attempts:
            yield f"{request.id}: an attempt of what no client sent"
        return
    request_class = terms.classes[request.sent[0].kind]
    first_that_may_have_run: Attempt | None = None
    for number, attempt in enumerate(request.attempts):
        for earlier in request.attempts[:number]:
            end = request.end_of(earlier)
            if (end.at if end else NEVER) > attempt.first + terms.slack:
                yield f"{request.id}: two attempts at once"
        if first_that_may_have_run is not None:
            yield from check_retry(attempt, first_that_may_have_run, request_class, terms)
            continue
        end = request.end_of(attempt)
        if end is None or end.ran:
            first_that_may_have_run = attempt


def check_retry(attempt: Attempt, first: Attempt, request_class: RequestClass, terms: Terms) -> Iterator[str]:
    """Check an attempt after one that may have run."""
    if request_class.effect is Effect.UNSAFE:
        yield f"{attempt.request}: repeated, though it may have run and may not run twice"
    if request_class.effect is not Effect.IDEMPOTENT:
        return
    if attempt.first - first.first > request_class.window + terms.slack:
        yield f"{attempt.request}: repeated outside its window"
    if request_class.group == "cell" and terms.cells[attempt.node] != terms.cells[first.node]:
        yield f"{attempt.request}: repeated in another cell"


def check_draining(lines: list[AnyLine], terms: Terms) -> Iterator[str]:
    """Check that nothing goes to a draining node once the grace after its head's notification is over."""
    heads = {line.request: line.head for line in lines if isinstance(line, Sent)}
    notifications: dict[tuple[str, str], list[LeavingNotified | ServingNotified]] = defaultdict(list)
    for line in lines:
        if isinstance(line, LeavingNotified | ServingNotified):
            notifications[line.head, line.node].append(line)
    for attempt in lines:
        if not isinstance(attempt, Attempt):
            continue
        about = notifications[heads.get(attempt.request, ""), attempt.node]
        before = [line for line in about if line.at <= attempt.first]
        if not before or isinstance(before[-1], ServingNotified):
            continue
        late = attempt.first - before[-1].at
        if late > terms.drain_grace + terms.slack:
            yield f"{attempt.request}: sent to {attempt.node} {late:.3f} s after it was told as leaving"
