"""What heads ask each other over streams, beside the agreement's own messages."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from stoatrouter.agreement.records import AnyMessage, Entry, Snapshot, Voter

AGREE, FETCH, COMMAND, READ, PROMISE, FOUND, REPORT = (
    "agree",
    "fetch",
    "command",
    "read",
    "promise",
    "found",
    "report",
)

Batch = list[tuple[str, AnyMessage]]  # each for a head of this identity


class Fetch(msgspec.Struct, frozen=True, array_like=True):
    """What was agreed on after an index? Waits a little where there is nothing."""

    after: int
    after_term: int


class Fetched(msgspec.Struct, frozen=True, array_like=True):
    """What was agreed on after an index, and how the answering head is connected."""

    origin: str  # "": the asked head belongs to no fleet yet
    in_touch: bool  # with a majority
    leader: str | None
    prev_index: int = 0
    prev_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    snapshot: Snapshot | None = None
    voters: tuple[Voter, ...] = ()
    majority_age: timedelta | None = None  # since a majority was connected, when this answer was given
    held_for: timedelta = timedelta(0)  # how long the question waited for news


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """To a command or a read."""

    ok: bool
    body: bytes = b""
    index: int = 0
    why: str = ""
    leader: str | None = None  # where it may be asked instead
