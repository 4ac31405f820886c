"""What one head holds of the agreement, and what follows from it alone. No I/O, no clock of its own."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.contact import MajorityContact, RoundStarts
from stoatrouter.agreement.log import Log
from stoatrouter.agreement.records import Apply, Disk, Durable, Effect, Rejected, Role, Send, Voter, Write

NO_TIME = timedelta(0)
MOST_UNCOMMITTED = 4_096  # entries; beyond, proposals are refused
KEEP = 512  # entries kept before a snapshot, for heads a little behind
# Roles of thesis 3.3 and 9.6; values as before: the fleet lab keys its states on them.
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follows", "asks", "stands", "leads"


@dataclass(slots=True, frozen=True)
class Timing:
    """Spans of the agreement. A killed leader was replaced in 0.7 and 0.8 s, in two tries on processes."""

    heartbeat: timedelta = timedelta(milliseconds=100)
    election: timedelta = timedelta(milliseconds=600)  # each wait is drawn from this to twice as long


@dataclass(slots=True)
class Peer:
    """What a leader knows of another voter."""

    next_index: int  # the next entry to send it (thesis figure 3.1)
    match_index: int = 0  # the last entry known to be on its disk
    round: int = 0
    heard: timedelta = NO_TIME
    sent_at: timedelta | None = None  # entries are under way
    answered_at: timedelta | None = None  # on its own clock, as its last answer said


@dataclass(slots=True)
class State:
    """One head's whole state of the agreement."""

    me: Voter
    disk: Disk
    seed: int
    timing: Timing = field(default_factory=Timing)
    now: timedelta = NO_TIME

    term: int = 0
    voted: str | None = None
    log: Log = field(init=False)
    role: str = FOLLOWER
    leader: Voter | None = None
    voiceless: bool = False  # its disk broke a promise: it neither votes nor acknowledges
    commit: int = 0
    applied: int = 0
    durable: int = 0
    writes: dict[int, int] = field(default_factory=dict)  # under way, and the last index of each
    number: int = 0
    votes: set[str] = field(default_factory=set)
    peers: dict[str, Peer] = field(default_factory=dict)  # of a leader, by identity
    round: int = 0
    round_starts: RoundStarts = field(default_factory=RoundStarts)
    contact: MajorityContact = field(default_factory=MajorityContact)
    began: timedelta = field(init=False)
    reads: list[tuple[str, int, int]] = field(default_factory=list)  # id, index, round
    election_at: timedelta | None = None
    heard_leader: timedelta | None = None
    heartbeat_at: timedelta = NO_TIME
    announced: Role | None = None  # the last one
    draws: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Take up what the disk holds (term, vote, snapshot, entries) and seed the election timer's draws."""
        self.began = self.now
        self.draws = random.Random(f"agreement/{self.seed}/{self.me.identity}")
        self.term, self.voted = self.disk.term, self.disk.voted
        self.log = Log(self.disk.snapshot, list(self.disk.entries))
        self.commit = self.applied = self.disk.snapshot.index
        self.durable = self.log.last

    # -- what is asked from outside -----------------------------------------------------------------------
    @property
    def voters(self) -> tuple[Voter, ...]:
        """Who votes, by the log; the latest entry counts, agreed on or not."""
        return self.log.voters()[1]

    @property
    def votes_here(self) -> bool:
        """Whether this head's vote counts."""
        return self.me in self.voters and not self.voiceless

    @property
    def leads(self) -> bool:
        """Whether this head leads, as far as it knows."""
        return self.role == LEADER

    @property
    def settled(self) -> bool:
        """A leader that has committed an entry of its own term: it knows all that was committed."""
        return self.leads and self.log.term(self.commit) == self.term

    def majority_heard(self, now: timedelta) -> bool:
        """A leader that heard a majority within an election's time, itself counted."""
        heard = sum(
            v == self.me or self.peers[v.identity].heard + 2 * self.timing.election > now
            for v in self.voters
            if v == self.me or v.identity in self.peers
        )
        return self.leads and 2 * heard > len(self.voters)

    # -- what several parts need ---------------------------------------------------------------------------
    def _wait(self) -> None:
        span = self.timing.election
        self.election_at = self.now + span + span * self.draws.random()

    def _follow(self, leader: Voter | None) -> None:
        self.role, self.leader = FOLLOWER, leader
        self.votes.clear()
        self.peers.clear()
        self._wait()

    def _drop_reads(self, why: str) -> list[Effect]:
        dropped: list[Effect] = [Rejected(id, why) for id, _, _ in self.reads]
        self.reads.clear()
        return dropped

    def _commit(self, index: int) -> list[Effect]:
        if index <= self.commit:
            return []
        self.commit = index
        entries = self.log.between(self.applied, index)
        self.applied = index
        return [Apply(entries)] if entries else []

    def _durable(self, write: Write, then: tuple[Send, ...] = ()) -> Durable:
        self.number += 1
        self.writes[self.number] = self.log.last
        return Durable(self.number, write, then)
