"""What heads ask each other over streams, beside the agreement's own messages.

Requests and answers are encoded as msgpack arrays, by the position of their fields: heads of two releases
talk to each other, so a new field goes at the end and has a default.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from stoatrouter.agreement.records import AnyMessage, Entry, Snapshot, Voter

# The kinds of sealed messages, as they go over the wire.
AGREE = "agree"  # a Batch of the agreement's messages
FETCH = "fetch"  # a Fetch, answered with Fetched
COMMAND = "command"  # a command for the log, answered with Answer
READ = "read"  # up to which index a read must have applied, answered with Answer
PROMISE = "promise"  # a founder's request, answered with agreement.founding.Promised
PROGRESS = "progress"  # how far a head and its followers are, answered with Progress
FOUND = "found"  # agreement.founding.Founded, not answered

Batch = list[tuple[str, AnyMessage]]  # each message with the identity of the head that it is for


class Fetch(msgspec.Struct, frozen=True, array_like=True):
    """A poll for the entries committed after an index; answered late where there are none yet."""

    after: int
    after_term: int


class Fetched(msgspec.Struct, frozen=True, array_like=True):
    """The entries committed after an index, and how the answering head is connected."""

    origin: str  # "": the answering head belongs to no fleet yet
    majority_connected: bool  # the answering head is connected to a majority of the voters
    leader: str | None
    prev_index: int = 0
    prev_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    snapshot: Snapshot | None = None
    voters: tuple[Voter, ...] = ()
    majority_age: timedelta | None = None  # since a majority was connected, when this answer was given
    waited: timedelta = timedelta(0)  # from the poll's arrival to this answer
    behind: int = 0  # how many more entries were committed at that contact than the answering head holds


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """What a head has applied, and what those had that have polled it lately."""

    applied: int
    polls: tuple[tuple[str, int, int], ...] | None  # name, incarnation, applied; None: not all are known


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """The leader's answer to a command or a read, or a refusal by a head that does not lead."""

    ok: bool
    body: bytes = b""
    index: int = 0
    why: str = ""
    leader: str | None = None  # whom to ask instead, where known
