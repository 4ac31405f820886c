"""One head's part in the agreement: reduce(event) -> effects. No socket, no file, no clock of its own.

Raft as published (Ongaro 2014): elections with a pre-vote (9.6), terms, log matching (3.5), commit by
counting in the own term alone (3.6.2), reads confirmed by a majority (6.4), snapshots (5), voters changed by
one at a time and only after an entry of the own term is committed (4.1 and its correction). A leader that
hears no majority for an election's time steps down (6.2), and who hears a leader gives no vote (4.2.3).

The parts are modules of their own, each a class over the one before: `state`, `leading` (the leader),
`voting` (elections), `replication` (the follower); here are the entrance, time and the disk.
"""

from __future__ import annotations

from stoatrouter.agreement.records import (
    AnyMessage,
    AppendEntries,
    AppendEntriesReply,
    CommittedReceived,
    Compact,
    DiskFailed,
    Effect,
    Event,
    InstallSnapshot,
    LeaderChanged,
    Propose,
    Read,
    Received,
    RejectReason,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    Tick,
    Voter,
    Write,
    WriteCompleted,
)
from stoatrouter.agreement.replication import Replication
from stoatrouter.agreement.state import RETAINED_ENTRIES, Role, Timing


class Raft(Replication):
    """One head: its state, and the one entrance to it."""

    __slots__ = ()

    def reduce(self, event: Event) -> list[Effect]:
        """Take in one event; the effects are to be run in order."""
        self.now = max(self.now, event.at)
        match event:
            case Tick():
                effects = self._tick()
            case Received():
                effects = self._receive(event.sender, event.message)
            case Propose():
                effects = self._propose(event)
            case Read():
                effects = self._request_read(event.id)
            case WriteCompleted():
                effects = self._complete_write(event.number)
            case Compact():
                effects = self._compact(event)
            case CommittedReceived():
                effects = self._receive_committed(event)
            case DiskFailed():
                effects = self._abstain()
        return effects + self._announce_leader()

    def _announce_leader(self) -> list[Effect]:
        announcement = LeaderChanged(self.term, self.leader.name if self.leader else None, self.leads)
        if announcement == self.announced_leader:
            return []
        self.announced_leader = announcement
        return [announcement]

    def _receive(self, sender: Voter, message: AnyMessage) -> list[Effect]:
        # Guards against heads that were removed, or lost their disk: their votes do not count.
        if sender not in self.voters and isinstance(message, RequestVoteReply | AppendEntriesReply):
            return []
        match message:
            case RequestVote():
                return self._answer_vote_request(sender, message)
            case RequestVoteReply():
                return self._receive_vote_reply(sender, message)
            case AppendEntriesReply():
                if message.term > self.term:
                    return self._enter_term_durably(message.term)
                return self._receive_append_reply(sender, message)
            case AppendEntries() | InstallSnapshot():
                return self._receive_from_leader(sender, message)

    # -- time ---------------------------------------------------------------------------------------------
    def _tick(self) -> list[Effect]:
        if self.leads:
            return self._tick_as_leader()
        election_at = self.election_at
        if election_at is None:
            election_at = self._reset_election_timer()
        if self.now < election_at or not self.votes_here:
            return []
        self._reset_election_timer()
        return self._campaign_for_pre_vote()

    def _tick_as_leader(self) -> list[Effect]:
        if not self.majority_heard(self.now):
            self._become_follower(None)
            return self._reject_pending_reads(RejectReason.MAJORITY_LOST)
        return self._broadcast() if self.now >= self.heartbeat_at else []

    # -- the disk -----------------------------------------------------------------------------------------
    def _complete_write(self, number: int) -> list[Effect]:
        last = self.pending_writes.pop(number, None)
        if last is None:
            return []
        self.durable_index = max(self.durable_index, last)
        # the only voter: its own vote is the majority
        if self.role is Role.CANDIDATE and self._has_won_election():
            return self._become_leader()
        return self._advance_commit_index()

    def _compact(self, event: Compact) -> list[Effect]:
        if not self.log.snapshot.index < event.index <= self.last_applied:
            return []
        term = self.log.require_term_at(event.index)
        voters = self.log.voter_set(event.index).voters
        snapshot = Snapshot(event.index, term, voters, event.state)
        retained_from = self.log.compact(snapshot, RETAINED_ENTRIES)
        return [self._persist(Write(snapshot=snapshot, keep_from=retained_from))]

    def _abstain(self) -> list[Effect]:
        """Neither vote nor acknowledge any more; a leader steps down."""
        rejected = self._reject_pending_reads(RejectReason.DISK_FAILED) if self.leads else []
        self.abstains = True
        self.disk_failed = True
        self.pending_writes.clear()
        self._become_follower(None)
        return rejected


__all__ = ["Raft", "Timing"]
