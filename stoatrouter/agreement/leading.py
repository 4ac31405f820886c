"""The leader: accepts proposals, replicates entries, advances the commit index and confirms reads."""

from __future__ import annotations

from stoatrouter.agreement.contact import RoundStarts
from stoatrouter.agreement.log import decode_voters
from stoatrouter.agreement.records import (
    NOOP,
    VOTERS,
    Accepted,
    AppendEntries,
    AppendEntriesReply,
    Effect,
    Entry,
    InstallSnapshot,
    InstallSnapshotPart,
    InstallSnapshotPartReply,
    LeaderMessage,
    Propose,
    ReadConfirmed,
    Rejected,
    RejectReason,
    Send,
    SnapshotPosition,
    Voter,
    Write,
)
from stoatrouter.agreement.snapshot_transfer import START
from stoatrouter.agreement.state import MAX_UNCOMMITTED, Peer, PendingRead, RaftState, Role

# Heartbeat intervals after which unanswered entries, or an unanswered snapshot, are sent again.
RESEND_AFTER_HEARTBEATS = 3
RESEND_SNAPSHOT_AFTER_HEARTBEATS = 10


class Leading(RaftState):
    """The behaviour of a leader, on the state of RaftState."""

    __slots__ = ()

    def _become_leader(self) -> list[Effect]:
        self.role = Role.LEADER
        self.leader = self.me
        self.incoming.clear()
        self.round_starts = RoundStarts()
        others = [voter for voter in self.voters if voter != self.me]
        self.peers = {voter.identity: Peer(self.log.last + 1, heard_at=self.now) for voter in others}
        return self._append_entry(NOOP, b"")

    # -- proposals ----------------------------------------------------------------------------------------
    def _propose(self, event: Propose) -> list[Effect]:
        if not self.leads:
            return [Rejected(event.id, RejectReason.NOT_LEADER)]
        # Bounds the memory used while no majority answers.
        if self.log.last - self.commit_index >= MAX_UNCOMMITTED:
            return [Rejected(event.id, RejectReason.TOO_MANY_UNCOMMITTED)]
        if event.kind == VOTERS and (reason := self._voter_change_fault(event.body)):
            return [Rejected(event.id, reason)]
        effects = self._append_entry(event.kind, event.body)
        return [Accepted(event.id, self.log.last, self.term), *effects]

    def _voter_change_fault(self, body: bytes) -> RejectReason | None:
        """Return why a voter change is not allowed at this time; None if it is (thesis 4.1)."""
        current = self.log.voter_set()
        proposed = decode_voters(body)
        if current.set_at > self.commit_index:
            return RejectReason.VOTER_CHANGE_UNDER_WAY
        # Prevents disjoint majorities of two voter sets: the 2015 correction to single-server changes.
        if not self.settled:
            return RejectReason.LEADER_NOT_SETTLED
        single = len(set(current.voters) ^ set(proposed)) == 1
        unique = len({voter.name for voter in proposed}) == len(proposed)
        if not single or not unique or not proposed:
            return RejectReason.VOTER_CHANGE_NOT_SINGLE
        return None

    def _append_entry(self, kind: str, body: bytes) -> list[Effect]:
        entry = Entry(self.log.last + 1, self.term, kind, body)
        self.log.append([entry])
        if kind == VOTERS:
            for voter in decode_voters(body):
                if voter != self.me:
                    self.peers.setdefault(voter.identity, Peer(entry.index, heard_at=self.now))
        return [self._persist(Write(entries=(entry,))), *self._broadcast()]

    # -- replication --------------------------------------------------------------------------------------
    def _broadcast(self) -> list[Effect]:
        """Send new entries, or a heartbeat without any, to all other voters."""
        self.round += 1
        self.round_starts.record(self.round, self.now)
        self._record_majority_contact()  # a leader that is the only voter is the majority
        self.heartbeat_at = self.now + self.timing.heartbeat
        return [self._append_entries_to(voter) for voter in self.voters if voter != self.me]

    def _append_entries_to(self, voter: Voter) -> Send:
        peer = self.peers[voter.identity]
        prev_term = self.log.term_at(peer.next_index - 1)
        if prev_term is None:
            return Send(voter, self._snapshot_message(peer))
        return Send(voter, self._append_entries(peer, peer.next_index - 1, prev_term, self._next_batch(peer)))

    def _append_entries(
        self, peer: Peer, prev_index: int, prev_term: int, entries: tuple[Entry, ...]
    ) -> AppendEntries:
        return AppendEntries(
            self.term,
            prev_index,
            prev_term,
            entries,
            self.commit_index,
            self.round,
            peer.match_index,
            self.contact.age(self.now) if self.settled else None,
            peer.answered_at,
        )

    def _next_batch(self, peer: Peer) -> tuple[Entry, ...]:
        """Return the entries to send to a voter; none while an earlier batch is in flight and not overdue."""
        if peer.next_index > self.log.last or self._in_flight(peer, RESEND_AFTER_HEARTBEATS):
            return ()
        entries = self.log.entries_from(peer.next_index)
        peer.sent_at = self.now
        peer.sent_round = self.round
        peer.awaited_match = entries[-1].index
        return entries

    def _in_flight(self, peer: Peer, heartbeats: int) -> bool:
        """Return whether an answer is awaited that is not overdue after this many heartbeat intervals."""
        return peer.sent_at is not None and self.now < peer.sent_at + heartbeats * self.timing.heartbeat

    # -- snapshots ----------------------------------------------------------------------------------------
    def _needs_snapshot(self, peer: Peer) -> bool:
        """Return whether the log no longer holds the entries that a voter needs next."""
        return self.log.term_at(peer.next_index - 1) is None

    def _snapshot_message(self, peer: Peer) -> LeaderMessage:
        """Return the snapshot or its next part; while one is in flight and not overdue, a heartbeat."""
        snapshot = self.log.snapshot
        if self._in_flight(peer, RESEND_SNAPSHOT_AFTER_HEARTBEATS):
            return self._append_entries(peer, snapshot.index, snapshot.term, ())
        peer.sent_at = self.now
        if self.sends_snapshot_whole:
            return InstallSnapshot(self.term, snapshot, self.round)
        part = self.snapshot_part(peer.position)
        peer.awaited = SnapshotPosition(part.index, part.offset + len(part.data))
        return InstallSnapshotPart(self.term, part, self.round)

    def _receive_part_reply(self, sender: Voter, reply: InstallSnapshotPartReply) -> list[Effect]:
        """Send the next part once the one in flight has arrived; after a lost part, once that is overdue."""
        peer = self.peers.get(sender.identity)
        if not self.leads or peer is None or reply.term != self.term:
            return []
        self._record_reply(peer, reply)
        peer.position = reply.position
        self._record_majority_contact()
        effects = self._confirm_reads()
        if self.leads and reply.position == peer.awaited and self._needs_snapshot(peer):
            peer.sent_at = None
            effects.append(self._append_entries_to(sender))
        return effects

    def _record_reply(self, peer: Peer, reply: AppendEntriesReply | InstallSnapshotPartReply) -> None:
        """Record that a voter has answered a message of this term."""
        peer.heard_at = self.now
        peer.round = max(peer.round, reply.round)
        peer.answered_at = reply.sent_at

    # -- replies ------------------------------------------------------------------------------------------

    def _receive_append_reply(self, sender: Voter, reply: AppendEntriesReply) -> list[Effect]:
        peer = self.peers.get(sender.identity)
        if not self.leads or peer is None or reply.term != self.term:
            return []
        self._record_reply(peer, reply)
        if self._answers_batch(peer, reply):
            peer.sent_at = None
        if reply.ok:
            peer.position = START
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        else:
            back_to = min(peer.next_index - 1, reply.match_index + 1)
            peer.next_index = max(peer.match_index + 1, back_to)
        self._record_majority_contact()
        effects = self._advance_commit_index() + self._confirm_reads()
        lacks_entries = peer.next_index <= self.log.last or not reply.ok
        if self.leads and lacks_entries and peer.sent_at is None:
            effects.append(self._append_entries_to(sender))
        return effects

    def _answers_batch(self, peer: Peer, reply: AppendEntriesReply) -> bool:
        """Return whether a reply answers the entries or the snapshot in flight, or shows that they were lost.

        Messages arrive in order: an answer to a later round shows that an unanswered batch was lost.
        """
        if self._needs_snapshot(peer):
            return reply.ok
        arrived = reply.match_index >= peer.awaited_match
        return not reply.ok or arrived or reply.round > peer.sent_round

    def _advance_commit_index(self) -> list[Effect]:
        """Commit what a majority has on disk; only an entry of the current term can be counted (3.6.2)."""
        if not self.leads:
            return []
        index = self._reached_by_majority(
            [
                self.durable_index if voter == self.me else self.peers[voter.identity].match_index
                for voter in self.voters
            ]
        )
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return []
        effects = self._commit_up_to(index)
        if self.me not in self.voters and self.log.voter_set().set_at <= self.commit_index:
            self._become_follower(None)  # a removed leader leads until its removal is committed
            return effects + self._reject_pending_reads(RejectReason.NO_LONGER_VOTER)
        return effects + self._broadcast()

    @staticmethod
    def _reached_by_majority(values: list[int]) -> int:
        """Return the largest value that a majority of the voters has reached, given one value per voter."""
        return sorted(values, reverse=True)[len(values) // 2]

    # -- reads (thesis 6.4) -------------------------------------------------------------------------------
    def _request_read(self, id: str) -> list[Effect]:
        if not self.settled:
            return [Rejected(id, RejectReason.LEADER_NOT_SETTLED if self.leads else RejectReason.NOT_LEADER)]
        effects = self._broadcast()
        self.pending_reads.append(PendingRead(id, self.commit_index, self.round))
        return effects + self._confirm_reads()

    def _confirm_reads(self) -> list[Effect]:
        """Confirm the reads whose heartbeat round, started after the request, a majority has answered."""
        if not self.leads:
            return []
        confirmed_round = self._confirmed_round()
        confirmed = [read for read in self.pending_reads if read.round <= confirmed_round]
        self.pending_reads = [read for read in self.pending_reads if read.round > confirmed_round]
        return [ReadConfirmed(read.id, read.index) for read in confirmed]

    def _confirmed_round(self) -> int:
        """Return the latest heartbeat round that a majority has answered, including this head."""
        return self._reached_by_majority(
            [self.round if voter == self.me else self.peers[voter.identity].round for voter in self.voters]
        )

    def _record_majority_contact(self) -> None:
        """Record a majority contact at the start of the latest round that a majority has answered."""
        if self.leads:
            self.contact.record(self.round_starts.start_of(self._confirmed_round()))
