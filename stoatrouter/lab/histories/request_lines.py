"""Records of a request history, written by clients, nodes, discovery and the debug records of heads."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec


class Line(msgspec.Struct, frozen=True, tag_field="what"):
    """One line of the history."""

    at: float


class Sent(Line, frozen=True, tag="sent"):
    """A client sent the last byte of its request."""

    request: str
    head: str
    kind: str  # name of the request class


class Answered(Line, frozen=True, tag="answered"):
    """A client received a complete final answer."""

    request: str
    status: int
    of: str | None = None  # id of the request that the body names; None: it names none


class Ended(Line, frozen=True, tag="ended"):
    """The connection of a request ended without a complete answer."""

    request: str


class ClientGone(Line, frozen=True, tag="gone"):
    """A client closed its connection before any answer."""

    request: str


class Attempt(Line, frozen=True, tag="attempt"):
    """A node received a request."""

    request: str
    node: str
    first: float  # time of the first byte; `at` is the time of the last


class AttemptWritten(Line, frozen=True, tag="written"):
    """A debug record of a head: the kernel accepted the first byte of an attempt by the time `at`."""

    request: str
    node: str
    attempt: int  # number of the attempt at the head
    began: float  # time just before the byte was written


class AttemptEnded(Line, frozen=True, tag="over"):
    """An attempt ended at its node."""

    request: str
    node: str
    ran: bool  # whether it may have run


class DrainingNotified(Line, frozen=True, tag="told"):
    """From this time on, a head counts as notified that a node is draining."""

    head: str
    node: str


class ServingNotified(Line, frozen=True, tag="back"):
    """From this time on, a head counts as notified that a node serves again."""

    head: str
    node: str


class Killed(Line, frozen=True, tag="killed"):
    """A head was killed without a graceful shutdown."""

    head: str


RequestLine = Sent | Answered | Ended | ClientGone | Attempt | AttemptWritten | AttemptEnded
AnyLine = RequestLine | DrainingNotified | ServingNotified | Killed


@dataclass(slots=True)
class RequestHistory:
    """All lines of one request, in order."""

    id: str
    sent: list[Sent] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    clients_gone: list[ClientGone] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    attempts_written: list[AttemptWritten] = field(default_factory=list)
    attempt_ends: list[AttemptEnded] = field(default_factory=list)

    def add(self, line: RequestLine) -> None:
        """Add the next line to the list of its type."""
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
            case AttemptWritten():
                self.attempts_written.append(line)
            case AttemptEnded():
                self.attempt_ends.append(line)

    def end_of(self, attempt: Attempt) -> AttemptEnded | None:
        """Return the end of an attempt at its node; None if it never ended."""
        ends = (end for end in self.attempt_ends if end.node == attempt.node and end.at >= attempt.at)
        return next(ends, None)
