"""What one head holds of the agreement, and what follows from it alone. No I/O, no clock of its own."""

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
    Voter,
    Write,
)

NO_TIME = timedelta(0)
MAX_UNCOMMITTED = 4_096  # entries; beyond, proposals are rejected
RETAINED_ENTRIES = 512  # entries kept before a snapshot, for heads a little behind


class Role(Enum):
    """The part that a head takes in the current term (thesis 3.3, and 9.6 for the pre-vote)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Spans of the agreement. A killed leader was replaced in 0.7 and 0.8 s, in two trials on processes."""

    heartbeat: timedelta = timedelta(milliseconds=100)
    election: timedelta = timedelta(milliseconds=600)  # each wait is drawn from this to twice as long


@dataclass(slots=True)
class Peer:
    """What a leader knows of another voter."""

    next_index: int  # the next entry to send it (thesis figure 3.1)
    match_index: int = 0  # the last entry known to be on its disk
    round: int = 0  # the latest round that it has answered
    heard_at: timedelta = NO_TIME
    sent_at: timedelta | None = None  # entries are under way
    answered_at: timedelta | None = None  # on its own clock, as its last answer has it


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits until a majority has answered a round.

    Attributes:
        id: The caller's id of the read.
        index: The commit index when the read was asked for.
        round: The round of heartbeats that a majority must have answered.
    """

    id: str
    index: int
    round: int


@dataclass(slots=True)
class RaftState:
    """One head's whole state of the agreement; the names are those of thesis figure 3.1 where it has them."""

    me: Voter
    disk: PersistentState
    seed: int
    timing: Timing = field(default_factory=Timing)
    now: timedelta = NO_TIME

    term: int = 0
    voted_for: str | None = None
    log: Log = field(init=False)
    role: Role = Role.FOLLOWER
    leader: Voter | None = None
    abstains: bool = False  # its disk broke a promise: it neither votes nor acknowledges
    disk_failed: bool = False  # it takes no writes, so none that is asked for ever ends
    commit_index: int = 0
    last_applied: int = 0
    durable_index: int = 0  # the last entry on this head's disk
    pending_writes: dict[int, int] = field(default_factory=dict)  # by number: the last index of each
    last_write_number: int = 0
    votes: set[str] = field(default_factory=set)  # identities that granted theirs
    peers: dict[str, Peer] = field(default_factory=dict)  # of a leader, by identity
    round: int = 0  # of heartbeats, the latest
    round_starts: RoundStarts = field(default_factory=RoundStarts)
    contact: MajorityContact = field(default_factory=MajorityContact)
    started_at: timedelta = field(init=False)
    pending_reads: list[PendingRead] = field(default_factory=list)
    election_at: timedelta | None = None
    leader_heard_at: timedelta | None = None
    heartbeat_at: timedelta = NO_TIME
    announced_leader: LeaderChanged | None = None  # the latest announcement
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Take up what the disk holds (term, vote, snapshot, entries) and seed the election timer's draws."""
        self.started_at = self.now
        self.rng = random.Random(f"agreement/{self.seed}/{self.me.identity}")
        self.term = self.disk.term
        self.voted_for = self.disk.voted_for
        self.log = Log(self.disk.snapshot, list(self.disk.entries))
        # A committed entry is never replaced, so what was committed before the start still is.
        self.commit_index = max(self.disk.snapshot.index, min(self.disk.commit, self.log.last))
        self.last_applied = self.commit_index
        self.durable_index = self.log.last

    # -- for callers --------------------------------------------------------------------------------------
    def restored_entries(self) -> tuple[Entry, ...]:
        """The entries after the snapshot that the disk holds as committed: the owner applies them first."""
        return self.log.entries_between(self.disk.snapshot.index, self.commit_index)

    @property
    def durable_commit_index(self) -> int:
        """Up to where the log is both committed and on this head's disk.

        Guards a head that starts again: beyond this its disk may hold entries that were never committed, at
        the indices of committed ones which are still to be written.
        """
        return min(self.commit_index, self.durable_index)

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Who votes, by the log; the latest entry counts, committed or not."""
        return self.log.voter_set().voters

    @property
    def votes_here(self) -> bool:
        """Whether this head's vote counts."""
        return self.me in self.voters and not self.abstains

    @property
    def leads(self) -> bool:
        """Whether this head leads, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def settled(self) -> bool:
        """A leader that has committed an entry of its own term: it knows all that was committed."""
        return self.leads and self.log.term_at(self.commit_index) == self.term

    def majority_heard(self, now: timedelta) -> bool:
        """Whether a leader heard a majority, itself counted, within two election timeouts."""
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
        """Draw the next election timeout; returns when it is over."""
        base = self.timing.election
        self.election_at = self.now + base + base * self.rng.random()
        return self.election_at

    def _become_follower(self, leader: Voter | None) -> None:
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes.clear()
        self.peers.clear()
        self.round_starts.starts.clear()  # they are of a leader alone
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
