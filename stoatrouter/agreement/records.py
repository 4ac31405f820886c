"""The entries of the log, the messages between voters, and the events and effects of the agreement.

Names and rules are those of Raft (Ongaro's thesis, 2014, chapters 3, 4 and 6). What must be durable before a
message goes out shows in the type: `Persist` holds the messages that wait for it, `Send` waits for nothing.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec

# The kinds of entries, as they stand on the wire and on disk.
NOOP = "n"
COMMAND = "c"
VOTERS = "v"


class Voter(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A head under the identity that its disk gave it; a new disk is another voter."""

    name: str
    identity: str


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log (thesis 3.5)."""

    index: int
    term: int
    kind: str
    body: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after all entries up to an index (thesis 5)."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    state: bytes


# -- messages -----------------------------------------------------------------------------------------------
class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A message from one voter to another, in a term."""

    term: int


class RequestVote(Message, frozen=True, array_like=True, tag="ask"):
    """Asks for a vote, or whether it would be given."""

    last_index: int
    last_term: int
    pre_vote: bool  # only whether it would be given; nothing is promised (thesis 9.6)


class RequestVoteReply(Message, frozen=True, array_like=True, tag="vote"):
    """The answer to a RequestVote."""

    granted: bool
    pre_vote: bool


class AppendEntries(Message, frozen=True, array_like=True, tag="append"):
    """The leader's entries, or its heartbeat where there are none."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int  # of asking all voters; a read waits for a majority of one
    acknowledged: int  # the last index that the receiver reported as on its disk, in this term
    majority_age: timedelta | None = None  # since a majority was connected, as the leader knows
    echoed_sent_at: timedelta | None = None  # the latest `sent_at` that the leader has from the receiver


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
class PersistentState(msgspec.Struct, frozen=True):
    """What a head finds on its disk: the persistent state of Raft (thesis figure 3.1)."""

    term: int = 0
    voted_for: str | None = None  # the identity that this head voted for in the term
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: tuple[Entry, ...] = ()
    commit: int = 0  # entries up to here were committed when the head stopped; perhaps more


class Write(msgspec.Struct, frozen=True):
    """One transaction on the disk. Whatever is None stays as it is."""

    term: int | None = None
    voted_for: str | None = None  # counts where term is given
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
class TimedEvent(msgspec.Struct, frozen=True):
    """What has happened, and when on this head's monotonic clock."""

    at: timedelta


class Tick(TimedEvent, frozen=True):
    """Time has passed."""


class Received(TimedEvent, frozen=True):
    """A message was received."""

    sender: Voter
    message: AnyMessage


class Propose(TimedEvent, frozen=True):
    """Asks for an entry to be agreed on."""

    id: str
    body: bytes
    kind: str = COMMAND


class Read(TimedEvent, frozen=True):
    """Asks up to which index a read must have applied, confirmed by a majority."""

    id: str


class WriteCompleted(TimedEvent, frozen=True):
    """A write is on the disk."""

    number: int


class Compact(TimedEvent, frozen=True):
    """What was applied up to an index, as one state: the entries before it may go."""

    index: int
    state: bytes


class CommittedReceived(TimedEvent, frozen=True):
    """Entries that are committed, from any voter: how heads without a vote follow."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    snapshot: Snapshot | None = None


class DiskFailed(TimedEvent, frozen=True):
    """The disk takes no more writes: what was promised cannot be kept from now on."""


Event = DiskFailed | Tick | Received | Propose | Read | WriteCompleted | Compact | CommittedReceived


# -- effects ----------------------------------------------------------------------------------------------
class Send(msgspec.Struct, frozen=True):
    """May go out at once: nothing in it is a promise."""

    to: Voter
    message: AnyMessage


class Persist(msgspec.Struct, frozen=True):
    """Write this, after all writes before it; only then send these. `WriteCompleted` follows."""

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
    """A proposal is in the log; it is committed once that entry is applied with the same term."""

    id: str
    index: int
    term: int


class RejectReason(StrEnum):
    """Why a proposal or read is rejected. The texts reach callers as they are, so they stay."""

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
    reason: RejectReason


class ReadConfirmed(msgspec.Struct, frozen=True):
    """A majority has confirmed a read: it may be answered once this index is applied (thesis 6.4)."""

    id: str
    index: int


class LeaderChanged(msgspec.Struct, frozen=True):
    """Who leads, as this head knows it."""

    term: int
    leader: str | None  # a name; None: nobody known
    is_self: bool


class LogLost(msgspec.Struct, frozen=True):
    """This head's disk is older than what it acknowledged: it must not vote under this identity again."""

    last_on_disk: int
    acknowledged: int


Effect = Send | Persist | Apply | Restore | Accepted | Rejected | ReadConfirmed | LeaderChanged | LogLost
