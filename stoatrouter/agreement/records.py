"""What the log holds, what voters say to each other, and the events and effects of the agreement.

Names and rules are those of Raft (Ongaro's thesis, 2014, chapters 3, 4 and 6). What must be durable before a
message goes out is said by the type: `Durable` holds the messages that wait for it, `Send` waits for nothing.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

NOOP, COMMAND, VOTERS = "n", "c", "v"


class Voter(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A head under the identity that its disk gave it; a new disk is another voter."""

    name: str
    identity: str


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log."""

    index: int
    term: int
    kind: str
    body: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the entries up to an index came to."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    state: bytes


# -- messages -----------------------------------------------------------------------------------------------
class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What a voter says to another, in a term."""

    term: int


class RequestVote(Message, frozen=True, array_like=True, tag="ask"):
    """Asks for a vote, or whether it would be given."""

    last_index: int
    last_term: int
    pre_vote: bool  # only whether it would be given; nothing is promised (thesis 9.6)


class RequestVoteReply(Message, frozen=True, array_like=True, tag="vote"):
    """Answers to that."""

    granted: bool
    pre_vote: bool


class AppendEntries(Message, frozen=True, array_like=True, tag="append"):
    """The leader's entries, or its heartbeat where there are none."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int  # of asking all voters; a read waits for a majority of one
    acknowledged: int  # the last index that the receiver said is on its disk, in this term
    majority_age: timedelta | None = None  # since a majority was connected, as the leader knows
    answers: timedelta | None = None  # the latest `sent_at` that the leader has from the receiver


class AppendEntriesReply(Message, frozen=True, array_like=True, tag="appended"):
    """A follower's answer to entries, a heartbeat or a snapshot."""

    ok: bool
    match_index: int  # ok: on disk up to here; else where the leader may try next
    round: int
    sent_at: timedelta | None = None  # on the sender's clock; the leader sends it back


class InstallSnapshot(Message, frozen=True, array_like=True, tag="install"):
    """A snapshot for a follower that is behind the log's beginning."""

    snapshot: Snapshot
    round: int


AnyMessage = RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply | InstallSnapshot


# -- what a disk holds ------------------------------------------------------------------------------------
class Disk(msgspec.Struct, frozen=True):
    """What a head finds on its disk."""

    term: int = 0
    voted: str | None = None  # the identity that this head voted for in the term
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: tuple[Entry, ...] = ()


class Write(msgspec.Struct, frozen=True):
    """One transaction on the disk. Whatever is None stays as it is."""

    term: int | None = None
    voted: str | None = None  # counts where term is given
    cut_from: int | None = None  # entries from this index on go first
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    keep_from: int | None = None  # with a snapshot: entries before this index go
    origin: str | None = None  # the fleet that this disk belongs to from now on

    @property
    def empty(self) -> bool:
        """Whether nothing is written."""
        return self == EMPTY


EMPTY = Write()


# -- events -----------------------------------------------------------------------------------------------
class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""

    at: timedelta


class Received(msgspec.Struct, frozen=True):
    """A message has come."""

    at: timedelta
    sender: Voter
    message: AnyMessage


class Propose(msgspec.Struct, frozen=True):
    """Asks for an entry to be agreed on."""

    at: timedelta
    id: str
    body: bytes
    kind: str = COMMAND


class Read(msgspec.Struct, frozen=True):
    """Asks up to which index a read must have applied, confirmed by a majority."""

    at: timedelta
    id: str


class Wrote(msgspec.Struct, frozen=True):
    """A write is on the disk."""

    at: timedelta
    number: int


class Compact(msgspec.Struct, frozen=True):
    """What was applied up to an index, as one state: the entries before it may go."""

    at: timedelta
    index: int
    state: bytes


class Learnt(msgspec.Struct, frozen=True):
    """Entries that are known to be committed, from any voter: how heads without a vote follow."""

    at: timedelta
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    snapshot: Snapshot | None = None


class DiskFailed(msgspec.Struct, frozen=True):
    """The disk takes no more writes: what was promised cannot be kept from now on."""

    at: timedelta


Event = DiskFailed | Tick | Received | Propose | Read | Wrote | Compact | Learnt


# -- effects ----------------------------------------------------------------------------------------------
class Send(msgspec.Struct, frozen=True):
    """May go out at once: nothing in it is a promise."""

    to: Voter
    message: AnyMessage


class Durable(msgspec.Struct, frozen=True):
    """Write this, after all writes before it; only then send these. `Wrote` tells that it is done."""

    number: int
    write: Write
    then: tuple[Send, ...] = ()


class Apply(msgspec.Struct, frozen=True):
    """Committed entries, in order, each once."""

    entries: tuple[Entry, ...]


class Restore(msgspec.Struct, frozen=True):
    """All that was applied is replaced by this state."""

    snapshot: Snapshot


class Accepted(msgspec.Struct, frozen=True):
    """A proposal is in the log; it holds once that entry is applied with the same term."""

    id: str
    index: int
    term: int


# Why a proposal or read is rejected (`Rejected.why`). The texts reach callers as they are, so they stay.
NOT_LEADER = "not the leader"
TOO_MANY_UNCOMMITTED = "too much is not agreed on yet"
VOTER_CHANGE_UNDER_WAY = "another change of voters is under way"
LEADER_NOT_SETTLED = "the leader is not settled yet"
VOTER_CHANGE_NOT_SINGLE = "voters change one at a time, each name once"
NO_LONGER_VOTER = "this head votes no more"
MAJORITY_LOST = "the leader lost its majority"
TERM_ENDED = "another term began"
DISK_FAILED = "the disk failed"


class Rejected(msgspec.Struct, frozen=True):
    """A proposal or read that this head cannot take, and why."""

    id: str
    why: str


class Readable(msgspec.Struct, frozen=True):
    """A read holds once this index is applied."""

    id: str
    index: int


class Role(msgspec.Struct, frozen=True):
    """Who leads, as this head knows it."""

    term: int
    leader: str | None  # a name; None: nobody known
    mine: bool


class Forgot(msgspec.Struct, frozen=True):
    """This head's disk is older than what it acknowledged: it must not vote under this identity again."""

    last_on_disk: int
    acknowledged: int


Effect = Send | Durable | Apply | Restore | Accepted | Rejected | Readable | Role | Forgot
