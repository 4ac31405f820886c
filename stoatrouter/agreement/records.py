"""The log's entries, the messages between voters, and the events and effects of the consensus protocol.

Names and rules are those of Raft (Ongaro's thesis, 2014, chapters 3, 4 and 6). The types show which messages
depend on durable state: `Persist` holds the messages to send after its write, `Send` depends on no write.

Messages and the records in them are encoded as msgpack arrays (`array_like`): field order, types and tags are
part of the wire and disk formats.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec

# Entry kinds, as encoded on the wire and on disk.
NOOP = "n"
COMMAND = "c"
VOTERS = "v"


class Voter(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A head with the identity of its disk; the same head with a new disk is a different voter."""

    name: str
    identity: str


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry (thesis 3.5)."""

    index: int
    term: int
    kind: str
    body: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after applying all entries up to an index (thesis 5)."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    state: bytes


class SnapshotPosition(msgspec.Struct, frozen=True, array_like=True):
    """How much of a snapshot a receiver holds; index 0: of none."""

    index: int = 0
    offset: int = 0  # bytes of the state


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a snapshot's state, with what describes the snapshot."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    size: int  # bytes of the whole state
    offset: int  # of `data` in the state
    data: bytes


# -- messages -----------------------------------------------------------------------------------------------
class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A message between voters, sent in a term."""

    term: int


class RequestVote(Message, frozen=True, array_like=True, tag="ask"):
    """Requests a vote, or a pre-vote."""

    last_index: int
    last_term: int
    pre_vote: bool  # asks only whether a vote would be granted; grants no vote (thesis 9.6)


class RequestVoteReply(Message, frozen=True, array_like=True, tag="vote"):
    """The reply to a RequestVote."""

    granted: bool
    pre_vote: bool


class AppendEntries(Message, frozen=True, array_like=True, tag="append"):
    """Entries from the leader; a heartbeat if there are none."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int  # the heartbeat round; a read is confirmed when a majority has answered its round
    acknowledged: int  # the last index that the receiver has reported as on its disk, in this term
    majority_age: timedelta | None = None  # time since a majority was connected, as the leader knows it
    echoed_sent_at: timedelta | None = None  # the latest `sent_at` that the leader received from the receiver


class AppendEntriesReply(Message, frozen=True, array_like=True, tag="appended"):
    """A follower's reply to entries, a heartbeat or a snapshot."""

    ok: bool
    match_index: int  # if ok, the last matching index on disk; else the last index that may match
    round: int
    sent_at: timedelta | None = None  # on the sender's clock; the leader echoes it


class InstallSnapshot(Message, frozen=True, array_like=True, tag="install"):
    """A snapshot for a follower that needs entries from before the start of the leader's log."""

    snapshot: Snapshot
    round: int


class InstallSnapshotPart(Message, frozen=True, array_like=True, tag="part"):
    """A part of a snapshot that does not fit into one message; a release before it drops its batch."""

    part: SnapshotPart
    round: int


class InstallSnapshotPartReply(Message, frozen=True, array_like=True, tag="parted"):
    """A follower's reply to a part other than the last one, which is answered like a whole snapshot."""

    position: SnapshotPosition
    round: int
    sent_at: timedelta | None = None  # on the sender's clock; the leader echoes it


AnyMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotPart
    | InstallSnapshotPartReply
)
LeaderMessage = AppendEntries | InstallSnapshot | InstallSnapshotPart


# -- persistent state -------------------------------------------------------------------------------------
class PersistentState(msgspec.Struct, frozen=True):
    """The persistent state of Raft, as loaded from a head's disk (thesis figure 3.1)."""

    term: int = 0
    voted_for: str | None = None  # the identity that this head voted for in the term
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: tuple[Entry, ...] = ()
    commit: int = 0  # a lower bound of the commit index when the head stopped


class Write(msgspec.Struct, frozen=True):
    """One transaction on the disk; fields that are None leave the stored value unchanged."""

    term: int | None = None
    voted_for: str | None = None  # stored only if term is set
    cut_from: int | None = None  # before `entries` are written, those from this index on are removed
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    keep_from: int | None = None  # with a snapshot: entries before this index are removed
    origin: str | None = None  # the fleet that this disk belongs to from now on

    @property
    def empty(self) -> bool:
        """Return whether the transaction changes nothing."""
        return self == EMPTY


EMPTY = Write()


# -- events -----------------------------------------------------------------------------------------------
class TimedEvent(msgspec.Struct, frozen=True):
    """An event, and its time on this head's monotonic clock."""

    at: timedelta


class Tick(TimedEvent, frozen=True):
    """Time has passed."""


class Received(TimedEvent, frozen=True):
    """A message was received."""

    sender: Voter
    message: AnyMessage


class Propose(TimedEvent, frozen=True):
    """Requests that an entry be replicated and committed."""

    id: str
    body: bytes
    kind: str = COMMAND


class Read(TimedEvent, frozen=True):
    """Requests the index that must be applied before a read, confirmed by a majority."""

    id: str


class WriteCompleted(TimedEvent, frozen=True):
    """The write of a `Persist` effect is durable."""

    number: int


class Compact(TimedEvent, frozen=True):
    """The applied state at an index: the entries before it may be discarded."""

    index: int
    state: bytes


class CommittedReceived(TimedEvent, frozen=True):
    """Committed entries from any voter; heads without a vote follow the log through these."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    snapshot: Snapshot | None = None


class DiskFailed(TimedEvent, frozen=True):
    """The disk no longer accepts writes: votes and acknowledgements cannot be made durable from now on."""


Event = DiskFailed | Tick | Received | Propose | Read | WriteCompleted | Compact | CommittedReceived


# -- effects ----------------------------------------------------------------------------------------------
class Send(msgspec.Struct, frozen=True):
    """Send a message at once: it depends on no unfinished write."""

    to: Voter
    message: AnyMessage


class Persist(msgspec.Struct, frozen=True):
    """Perform a write, after all earlier writes, and then send the messages in `then`.

    The caller answers with `WriteCompleted`.
    """

    number: int
    write: Write
    then: tuple[Send, ...] = ()


class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine; each entry is passed once, in order."""

    entries: tuple[Entry, ...]


class Restore(msgspec.Struct, frozen=True):
    """Replace the state machine's whole state by a snapshot."""

    snapshot: Snapshot


class Accepted(msgspec.Struct, frozen=True):
    """A proposal was appended to the log; it is committed once the entry is applied with the same term."""

    id: str
    index: int
    term: int


class RejectReason(StrEnum):
    """Why a proposal or read is rejected; callers receive the texts, so they must not change."""

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
    """A proposal or read was rejected."""

    id: str
    reason: RejectReason


class ReadConfirmed(msgspec.Struct, frozen=True):
    """A majority confirmed a read: it may be answered once this index is applied (thesis 6.4)."""

    id: str
    index: int


class LeaderChanged(msgspec.Struct, frozen=True):
    """The leader has changed, as far as this head knows."""

    term: int
    leader: str | None  # the leader's name; None if unknown
    is_self: bool  # whether this head is the leader


class LogLost(msgspec.Struct, frozen=True):
    """This head's disk has lost acknowledged entries: it must not vote with this identity again."""

    last_on_disk: int
    acknowledged: int


Effect = Send | Persist | Apply | Restore | Accepted | Rejected | ReadConfirmed | LeaderChanged | LogLost
