"""The Raft protocol at one head, as reduce(event) -> effects. No I/O; the time comes with the events.

It implements Raft as published (Ongaro 2014): elections with a pre-vote (9.6), terms, log matching (3.5),
commits counted only in the current term (3.6.2), reads confirmed by a majority (6.4), snapshots (5), and
voter changes of one voter at a time, only after an entry of the current term is committed (4.1 and its
correction). A leader that does not hear a majority for two election timeouts steps down (6.2), and a head
that hears a leader does not vote (4.2.3).

The implementation is a chain of classes, each in its own module: `state`, `leading` (the leader), `voting`
(elections) and `replication` (the follower). This module dispatches events and handles time and the disk.
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
    InstallSnapshotPart,
    InstallSnapshotPartReply,
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

REPLIES = RequestVoteReply | AppendEntriesReply | InstallSnapshotPartReply


class Raft(Replication):
    """The Raft state of one head; all changes go through `reduce`."""

    __slots__ = ()

    def reduce(self, event: Event) -> list[Effect]:
        """Process one event; return the effects, to be executed in order."""
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
        # Replies of removed heads, or of heads with a lost disk (a new identity), must not be counted.
        if sender not in self.voters and isinstance(message, REPLIES):
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
            case InstallSnapshotPartReply():
                if message.term > self.term:
                    return self._enter_term_durably(message.term)
                return self._receive_part_reply(sender, message)
            case AppendEntries() | InstallSnapshot() | InstallSnapshotPart():
                return self._receive_from_leader(sender, message)

    # -- time ---------------------------------------------------------------------------------------------
    def _tick(self) -> list[Effect]:
        self.outgoing.release_idle(self.now)
        self.incoming.clear_idle(self.now)
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
        # A single voter has a majority as soon as its own vote is durable.
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
        """Stop voting and acknowledging after a disk failure; a leader steps down."""
        rejected = self._reject_pending_reads(RejectReason.DISK_FAILED) if self.leads else []
        self.abstains = True
        self.disk_failed = True
        self.pending_writes.clear()
        self._become_follower(None)
        return rejected


__all__ = ["Raft", "Timing"]
