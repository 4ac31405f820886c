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
    Propose,
    ReadConfirmed,
    Rejected,
    RejectReason,
    Send,
    Voter,
    Write,
)
from stoatrouter.agreement.state import MAX_UNCOMMITTED, Peer, PendingRead, RaftState, Role

RESEND_AFTER_HEARTBEATS = 3  # heartbeat intervals after which an unanswered batch is sent again


class Leading(RaftState):
    """The behaviour of a leader, on the state of RaftState."""

    __slots__ = ()

    def _become_leader(self) -> list[Effect]:
        self.role = Role.LEADER
        self.leader = self.me
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
            return Send(voter, InstallSnapshot(self.term, self.log.snapshot, self.round))
        append = AppendEntries(
            self.term,
            peer.next_index - 1,
            prev_term,
            self._next_batch(peer),
            self.commit_index,
            self.round,
            peer.match_index,
            self.contact.age(self.now) if self.settled else None,
            peer.answered_at,
        )
        return Send(voter, append)

    def _next_batch(self, peer: Peer) -> tuple[Entry, ...]:
        """Return the entries to send to a voter; none while an earlier batch is in flight and not overdue."""
        overdue = RESEND_AFTER_HEARTBEATS * self.timing.heartbeat
        under_way = peer.sent_at is not None and self.now < peer.sent_at + overdue
        if peer.next_index > self.log.last or under_way:
            return ()
        peer.sent_at = self.now
        return self.log.entries_from(peer.next_index)

    def _receive_append_reply(self, sender: Voter, reply: AppendEntriesReply) -> list[Effect]:
        peer = self.peers.get(sender.identity)
        if not self.leads or peer is None or reply.term != self.term:
            return []
        peer.heard_at = self.now
        peer.sent_at = None
        peer.round = max(peer.round, reply.round)
        peer.answered_at = reply.sent_at
        if reply.ok:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        else:
            back_to = min(peer.next_index - 1, reply.match_index + 1)
            peer.next_index = max(peer.match_index + 1, back_to)
        self._record_majority_contact()
        effects = self._advance_commit_index() + self._confirm_reads()
        if self.leads and (peer.next_index <= self.log.last or not reply.ok):
            effects.append(self._append_entries_to(sender))
        return effects

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
