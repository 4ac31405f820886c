"""The follower: processes entries and snapshots from the leader, and committed entries from any voter."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stoatrouter.agreement.errors import CommittedEntryConflict
from stoatrouter.agreement.log import Log
from stoatrouter.agreement.records import (
    AppendEntries,
    AppendEntriesReply,
    CommittedReceived,
    Effect,
    Entry,
    InstallSnapshot,
    InstallSnapshotPart,
    InstallSnapshotPartReply,
    LeaderMessage,
    LogLost,
    Persist,
    Restore,
    Send,
    Snapshot,
    Voter,
    Write,
)
from stoatrouter.agreement.snapshot_transfer import NO_TIME
from stoatrouter.agreement.voting import Voting


@dataclass(slots=True, frozen=True)
class MatchResult:
    """The result of matching received entries against the log (log matching, thesis 3.5).

    Attributes:
        ok: Whether the log holds the entry that precedes them.
        index: If ok, the last index at which the log matches the sender's; else the last that may match,
            after which the sender retries.
        write: The write that makes the change of the log durable.
    """

    ok: bool
    index: int
    write: Write = Write()


class Replication(Voting):
    """The behaviour of a follower, on the state of RaftState."""

    __slots__ = ()

    # -- from the leader ----------------------------------------------------------------------------------
    def _receive_from_leader(self, sender: Voter, message: LeaderMessage) -> list[Effect]:
        if self.abstains:
            return []
        if message.term < self.term:
            return [Send(sender, AppendEntriesReply(self.term, False, self.log.last, message.round))]
        effects: list[Effect] = []
        new_term: int | None = None
        if message.term > self.term:
            effects = self._enter_term(message.term)
            new_term = message.term
        self._become_follower(sender)
        self.leader_heard_at = self.now
        if isinstance(message, InstallSnapshot):
            return effects + self._install_snapshot(sender, message.snapshot, message.round, new_term)
        if isinstance(message, InstallSnapshotPart):
            return effects + self._receive_part(sender, message, new_term)
        return effects + self._receive_entries(sender, message, new_term)

    def _receive_entries(self, sender: Voter, message: AppendEntries, new_term: int | None) -> list[Effect]:
        self._learn_contact(message)
        # A head whose disk lost acknowledged entries must not be counted in a majority again.
        if message.acknowledged > self.log.last:
            self.abstains = True
            return [LogLost(self.log.last, message.acknowledged)]
        match = self._match_entries(message.prev_index, message.prev_term, message.entries)
        reply = AppendEntriesReply(self.term, match.ok, match.index, message.round, self.now)
        persist = self._persist(self._with_term(match.write, new_term), (Send(sender, reply),))
        committed = self._commit_up_to(min(message.leader_commit, match.index)) if match.ok else []
        return [persist, *committed]

    def _with_term(self, write: Write, new_term: int | None) -> Write:
        """Return the write, extended by the new term and its vote if a term begins with it."""
        if new_term is None:
            return write
        return msgspec.structs.replace(write, term=new_term, voted_for=self.voted_for)

    def _learn_contact(self, message: AppendEntries) -> None:
        """Record the leader's majority contact from an AppendEntries.

        The leader sent it after it had received what this head sent at `echoed_sent_at`, so that time counts
        as the time of this head's request.
        """
        # Ignores times sent by an earlier process of this head, whose clock may have had another origin.
        if message.majority_age is None or message.echoed_sent_at is None:
            return
        if self.started_at <= message.echoed_sent_at <= self.now:
            self.contact.record_report(message.echoed_sent_at, NO_TIME, message.majority_age)

    # -- the log ------------------------------------------------------------------------------------------
    def _match_entries(self, prev_index: int, prev_term: int, entries: tuple[Entry, ...]) -> MatchResult:
        """Append received entries if they match the log, and remove conflicting ones (thesis 3.5)."""
        snapshot = self.log.snapshot
        if prev_index < snapshot.index:  # entries up to the snapshot are committed, so they are equal
            entries = tuple(entry for entry in entries if entry.index > snapshot.index)
            prev_index = snapshot.index
            prev_term = snapshot.term
        if self.log.term_at(prev_index) != prev_term:
            return MatchResult(False, min(self.log.last, prev_index - 1))
        index = entries[-1].index if entries else prev_index
        first_new = next(
            (entry.index for entry in entries if self.log.term_at(entry.index) != entry.term), None
        )
        if first_new is None:
            return MatchResult(True, index)
        cut_from = first_new if first_new <= self.log.last else None
        if cut_from is not None and cut_from <= self.commit_index:
            if __debug__:
                raise CommittedEntryConflict(cut_from, self.commit_index)
            return MatchResult(False, self.commit_index)  # with python -O the entries are rejected
        if cut_from is not None:
            self._truncate_log(cut_from)
        new = [entry for entry in entries if entry.index >= first_new]
        self.log.append(new)
        return MatchResult(True, index, Write(cut_from=cut_from, entries=tuple(new)))

    def _truncate_log(self, index: int) -> None:
        """Remove the entries from an index on, because they conflict with a leader's entries."""
        self.log.truncate_from(index)
        self.durable_index = min(self.durable_index, index - 1)
        self.pending_writes = {number: min(last, index - 1) for number, last in self.pending_writes.items()}

    # -- snapshots ----------------------------------------------------------------------------------------
    def _install_snapshot(
        self, sender: Voter, snapshot: Snapshot, message_round: int, new_term: int | None
    ) -> list[Effect]:
        if snapshot.index <= self.commit_index:
            return [self._acknowledge_snapshot(sender, snapshot.index, message_round, new_term)]
        write = self._replace_log(snapshot, new_term)
        reply = AppendEntriesReply(self.term, True, snapshot.index, message_round, self.now)
        return [self._persist(write, (Send(sender, reply),)), Restore(snapshot)]

    def _acknowledge_snapshot(
        self, sender: Voter, index: int, message_round: int, new_term: int | None
    ) -> Persist:
        """Report that this head holds all entries up to a snapshot's index."""
        reply = AppendEntriesReply(self.term, True, index, message_round, self.now)
        return self._persist(Write(new_term, self.voted_for), (Send(sender, reply),))

    def _receive_part(
        self, sender: Voter, message: InstallSnapshotPart, new_term: int | None
    ) -> list[Effect]:
        """Collect the parts of a snapshot, and install it once it is complete."""
        if message.part.index <= self.commit_index:
            return [self._acknowledge_snapshot(sender, message.part.index, message.round, new_term)]
        snapshot = self.incoming.add(sender, message.part, self.now)
        if snapshot is not None:
            return self._install_snapshot(sender, snapshot, message.round, new_term)
        position = self.incoming.position_for(sender)
        reply = InstallSnapshotPartReply(self.term, position, message.round, self.now)
        return [self._persist(Write(new_term, self.voted_for), (Send(sender, reply),))]

    def _replace_log(self, snapshot: Snapshot, new_term: int | None) -> Write:
        """Replace the log by a snapshot beyond this head's commit index; return the write."""
        self.log = Log(snapshot)
        self.commit_index = snapshot.index
        self.last_applied = snapshot.index
        self.durable_index = 0
        self.pending_writes.clear()
        return Write(new_term, self.voted_for, cut_from=1, snapshot=snapshot, keep_from=snapshot.index + 1)

    # -- from any voter -----------------------------------------------------------------------------------
    def _receive_committed(self, event: CommittedReceived) -> list[Effect]:
        """Process committed entries from any voter; a removed voter follows the log this way too."""
        if self.leads:
            return []
        snapshot = event.snapshot
        if snapshot is not None and snapshot.index <= self.commit_index:
            return []
        # Enters the term of the committed entries. Otherwise a leader of an older term could overwrite them:
        # its uncommitted configuration may count this head as a voter that no other head knows of.
        term = max([snapshot.term if snapshot else 0, *(entry.term for entry in event.entries)])
        new_term = term if term > self.term else None
        if snapshot is not None:
            effects = self._enter_term(new_term) if new_term is not None else []
            write = self._replace_log(snapshot, new_term)
            return [*effects, self._persist(write), Restore(snapshot)]
        match = self._match_entries(event.prev_index, event.prev_term, event.entries)
        if not match.ok:
            return []
        effects = self._enter_term(new_term) if new_term is not None else []
        persist = self._persist(self._with_term(match.write, new_term))
        return [*effects, persist, *self._commit_up_to(min(event.commit, match.index))]
