"""Requests between heads over streams, besides the agreement's own messages.

Requests and answers are encoded as msgpack arrays, with fields identified by position. Heads of two releases
communicate, so a new field goes at the end and has a default.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from stoatrouter.agreement.records import AnyMessage, Entry, Snapshot, SnapshotPart, SnapshotPosition, Voter

# The kinds of sealed messages, as sent on the wire.
AGREE = "agree"  # a Batch of the agreement's messages, not answered
FETCH = "fetch"  # a Fetch, answered with Fetched
COMMAND = "command"  # a command for the log, answered with Answer
READ = "read"  # asks for the index that a read must have applied, answered with Answer
PROMISE = "promise"  # a founder's request, answered with agreement.founding.Promised
PROGRESS = "progress"  # asks what a head and its followers have applied, answered with Progress
FOUND = "found"  # agreement.founding.Founded, not answered

Batch = list[tuple[str, AnyMessage]]  # each message with the identity of the head that it is for


class Fetch(msgspec.Struct, frozen=True, array_like=True):
    """A long poll for the entries committed after an index."""

    after: int
    after_term: int
    position: SnapshotPosition | None = None  # in a snapshot that comes in parts; None: it is sent whole


class Fetched(msgspec.Struct, frozen=True, array_like=True):
    """The entries committed after an index, and how well the answering head is connected."""

    origin: str  # identity of the answering head's fleet; "": it belongs to none yet
    majority_connected: bool  # the answering head is connected to a majority of the voters
    leader: str | None
    prev_index: int = 0
    prev_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    snapshot: Snapshot | None = None
    voters: tuple[Voter, ...] = ()
    majority_age: timedelta | None = None  # since the last contact with a majority, at this answer
    waited: timedelta = timedelta(0)  # from the arrival of the poll to this answer
    behind: int = 0  # entries committed by that contact that the answering head lacks
    part: SnapshotPart | None = None  # in place of a snapshot that does not fit into one message


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """What a head has applied, and what its recent pollers had applied."""

    applied: int
    polls: tuple[tuple[str, int, int], ...] | None  # name, incarnation, applied; None: some may be missing


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """The leader's answer to a command or a read, or a refusal by a head that does not lead."""

    ok: bool
    body: bytes = b""
    index: int = 0
    reason: str = ""  # of a refusal
    leader: str | None = None  # the head to ask instead, if known
