"""The Raft state of one head, and operations common to all roles. No I/O; the time comes with the events."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from stoatrouter.agreement.contact import MajorityContact, RoundStarts
from stoatrouter.agreement.log import Log
from stoatrouter.agreement.records import (
    Apply,
    Effect,
    Entry,
    LeaderChanged,
    Persist,
    PersistentState,
    Rejected,
    RejectReason,
    Send,
    SnapshotPart,
    SnapshotPosition,
    Voter,
    Write,
)
from stoatrouter.agreement.snapshot_transfer import (
    NO_TIME,
    SNAPSHOT_PART_BYTES,
    START,
    IncomingSnapshot,
    OutgoingSnapshot,
)

MAX_UNCOMMITTED = 4_096  # uncommitted entries; at this number, proposals are rejected
RETAINED_ENTRIES = 512  # entries retained before a snapshot, for followers slightly behind


class Role(Enum):
    """The role of a head in the current term (thesis 3.3; 9.6 for the pre-vote)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Time settings. With the defaults a killed leader was replaced in 0.7 and 0.8 s (two runs on processes).

    Attributes:
        heartbeat: The interval between heartbeats.
        election: The minimum election timeout; each one is drawn between this and twice as long.
    """

    heartbeat: timedelta = timedelta(milliseconds=100)
    election: timedelta = timedelta(milliseconds=600)


@dataclass(slots=True)
class Peer:
    """A leader's state about another voter."""

    next_index: int  # the next entry to send to it (thesis figure 3.1)
    match_index: int = 0  # the last entry known to be on its disk
    round: int = 0  # the latest heartbeat round that it has answered
    heard_at: timedelta = NO_TIME
    sent_at: timedelta | None = None  # when the unanswered entries or snapshot were sent; None: no such
    sent_round: int = 0  # the heartbeat round in which the unanswered entries were sent
    awaited_match: int = 0  # its match index once the unanswered entries are on its disk
    position: SnapshotPosition = START  # what it holds of the snapshot that is sent in parts
    awaited: SnapshotPosition = START  # its position once it has received the part in flight
    answered_at: timedelta | None = None  # `sent_at` of its latest reply, on its own clock


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits for a majority to answer a heartbeat round.

    Attributes:
        id: The read's id, chosen by the caller.
        index: The commit index when the read was requested.
        round: The heartbeat round that a majority must answer.
    """

    id: str
    index: int
    round: int


@dataclass(slots=True)
class RaftState:
    """The complete Raft state of one head; names are those of thesis figure 3.1 where it has them."""

    me: Voter
    disk: PersistentState
    seed: int
    timing: Timing = field(default_factory=Timing)
    now: timedelta = NO_TIME
    part_size: int = SNAPSHOT_PART_BYTES  # bytes; a snapshot with a larger state is sent in parts

    term: int = 0
    voted_for: str | None = None
    log: Log = field(init=False)
    role: Role = Role.FOLLOWER
    leader: Voter | None = None
    abstains: bool = False  # the disk failed or lost acknowledged entries: no votes, no acknowledgements
    disk_failed: bool = False  # the disk accepts no writes, so no pending write will complete
    commit_index: int = 0
    last_applied: int = 0
    durable_index: int = 0  # the last entry on this head's disk
    pending_writes: dict[int, int] = field(default_factory=dict)  # the last log index, by write number
    last_write_number: int = 0
    votes: set[str] = field(default_factory=set)  # identities that granted their vote or pre-vote
    peers: dict[str, Peer] = field(default_factory=dict)  # by identity; only at a leader
    round: int = 0  # the latest heartbeat round
    round_starts: RoundStarts = field(default_factory=RoundStarts)
    contact: MajorityContact = field(default_factory=MajorityContact)
    started_at: timedelta = field(init=False)
    pending_reads: list[PendingRead] = field(default_factory=list)
    election_at: timedelta | None = None
    leader_heard_at: timedelta | None = None
    heartbeat_at: timedelta = NO_TIME
    announced_leader: LeaderChanged | None = None  # the latest LeaderChanged effect
    rng: random.Random = field(init=False)
    outgoing: OutgoingSnapshot = field(default_factory=OutgoingSnapshot)
    incoming: IncomingSnapshot = field(default_factory=IncomingSnapshot)

    def __post_init__(self) -> None:
        """Load the persistent state and seed the random election timeouts."""
        self.started_at = self.now
        self.rng = random.Random(f"agreement/{self.seed}/{self.me.identity}")
        self.term = self.disk.term
        self.voted_for = self.disk.voted_for
        self.log = Log(self.disk.snapshot, list(self.disk.entries))
        # Committed entries are never replaced, so the stored commit index is still valid.
        self.commit_index = max(self.disk.snapshot.index, min(self.disk.commit, self.log.last))
        self.last_applied = self.commit_index
        self.durable_index = self.log.last

    # -- for callers --------------------------------------------------------------------------------------
    def restored_entries(self) -> tuple[Entry, ...]:
        """Return the committed entries after the snapshot on disk, which the caller applies at start."""
        return self.log.entries_between(self.disk.snapshot.index, self.commit_index)

    def snapshot_part(self, position: SnapshotPosition) -> SnapshotPart:
        """Return the part of a snapshot that follows a receiver's position."""
        return self.outgoing.part_at(position, self.log, self.part_size, self.now)

    @property
    def sends_snapshot_whole(self) -> bool:
        """Return whether the present snapshot fits into one message."""
        return len(self.log.snapshot.state) <= self.part_size

    @property
    def durable_commit_index(self) -> int:
        """Return the last index that is both committed and on this head's disk.

        Only this index may be stored as committed. Beyond it, after a restart the disk may hold entries that
        were never committed, at indices whose committed entries were not yet written.
        """
        return min(self.commit_index, self.durable_index)

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Return the voters by the latest voter change in the log, committed or not."""
        return self.log.voter_set().voters

    @property
    def votes_here(self) -> bool:
        """Return whether this head's vote counts."""
        return self.me in self.voters and not self.abstains

    @property
    def leads(self) -> bool:
        """Return whether this head is the leader, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def settled(self) -> bool:
        """Return whether this head leads and has committed an entry of its term.

        Such a leader knows all committed entries.
        """
        return self.leads and self.log.term_at(self.commit_index) == self.term

    def majority_heard(self, now: timedelta) -> bool:
        """Return whether this leader heard a majority, including itself, within two election timeouts."""
        heard = sum(
            voter == self.me or self.peers[voter.identity].heard_at + 2 * self.timing.election > now
            for voter in self.voters
            if voter == self.me or voter.identity in self.peers
        )
        return self.leads and self._is_majority(heard)

    # -- for all roles ------------------------------------------------------------------------------------
    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)

    def _reset_election_timer(self) -> timedelta:
        """Draw a new election timeout; return when it expires."""
        base = self.timing.election
        self.election_at = self.now + base + base * self.rng.random()
        return self.election_at

    def _become_follower(self, leader: Voter | None) -> None:
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes.clear()
        self.peers.clear()
        self.round_starts.starts.clear()  # only a leader has heartbeat rounds
        self._reset_election_timer()

    def _reject_pending_reads(self, reason: RejectReason) -> list[Effect]:
        rejected: list[Effect] = [Rejected(read.id, reason) for read in self.pending_reads]
        self.pending_reads.clear()
        return rejected

    def _commit_up_to(self, index: int) -> list[Effect]:
        if index <= self.commit_index:
            return []
        self.commit_index = index
        entries = self.log.entries_between(self.last_applied, index)
        self.last_applied = index
        return [Apply(entries)] if entries else []

    def _persist(self, write: Write, then: tuple[Send, ...] = ()) -> Persist:
        self.last_write_number += 1
        if not self.disk_failed:
            self.pending_writes[self.last_write_number] = self.log.last
        return Persist(self.last_write_number, write, then)
