"""One head's part in the agreement: reduce(event) -> effects. No socket, no file, no clock of its own.

Raft as published (Ongaro 2014): elections with a vote asked for before (9.6), terms, log matching (3.5),
commit by counting in the own term alone (3.6.2), reads confirmed by a majority (6.4), snapshots (5), voters
changed by one at a time and only after an entry of the own term is committed (4.1 and its correction). A
leader that hears no majority for an election's time stands down (6.2), and who hears a leader gives no vote
(4.2.3).
"""

from __future__ import annotations

from stoatrouter.agreement.leading import Leading
from stoatrouter.agreement.log import Log
from stoatrouter.agreement.records import (
    DISK_FAILED,
    MAJORITY_LOST,
    TERM_ENDED,
    AppendEntries,
    AppendEntriesReply,
    Compact,
    DiskFailed,
    Effect,
    Entry,
    Event,
    Forgot,
    InstallSnapshot,
    Learnt,
    Propose,
    Read,
    Received,
    RequestVote,
    RequestVoteReply,
    Restore,
    Role,
    Send,
    Snapshot,
    Tick,
    Voter,
    Write,
    Wrote,
)
from stoatrouter.agreement.state import CANDIDATE, KEEP, NO_TIME, PRE_CANDIDATE, Timing


class Raft(Leading):
    """One head: its state, and the one entrance to it."""

    __slots__ = ()

    def reduce(self, event: Event) -> list[Effect]:
        """Take one event in; the effects are to be run in order."""
        at = getattr(event, "at", self.now)
        self.now = max(self.now, at)
        match event:
            case Tick():
                effects = self._tick()
            case Received():
                effects = self._received(event.sender, event.message)
            case Propose():
                effects = self._propose(event)
            case Read():
                effects = self._read(event.id)
            case Wrote():
                effects = self._wrote(event.number)
            case Compact():
                effects = self._compact(event)
            case Learnt():
                effects = self._learnt(event)
            case DiskFailed():
                effects = self._lose_voice()
        return effects + self._announce_role()

    def _announce_role(self) -> list[Effect]:
        role = Role(self.term, self.leader.name if self.leader else None, self.leads)
        if role == self.announced:
            return []
        self.announced = role
        return [role]

    # -- time ---------------------------------------------------------------------------------------------
    def _tick(self) -> list[Effect]:
        if self.leads:
            if not self.majority_heard(self.now):
                self._follow(None)
                return self._drop_reads(MAJORITY_LOST)
            return self._broadcast() if self.now >= self.heartbeat_at else []
        if self.election_at is None:
            self._wait()
        if self.now < self.election_at or not self.votes_here:
            return []
        self._wait()
        return self._campaign(pre_vote=True)

    # -- elections ----------------------------------------------------------------------------------------
    def _campaign(self, pre_vote: bool) -> list[Effect]:
        self.leader = None
        self.role, self.votes = PRE_CANDIDATE if pre_vote else CANDIDATE, {self.me.identity}
        if pre_vote:
            asked = self._request_votes(self.term + 1, True)
            return [*asked, *(self._campaign(False) if self._won() else [])]
        self.term, self.voted = self.term + 1, self.me.identity
        # the own vote is a promise too: nobody is asked before it is on the disk
        return [self._durable(Write(term=self.term, voted=self.voted), self._request_votes(self.term, False))]

    def _request_votes(self, term: int, pre_vote: bool) -> tuple[Send, ...]:
        ask = RequestVote(term, self.log.last, self.log.last_term, pre_vote)
        return tuple(Send(v, ask) for v in self.voters if v != self.me)

    def _won(self) -> bool:
        return 2 * sum(v.identity in self.votes for v in self.voters) > len(self.voters)

    def _answer_vote_request(self, sender: Voter, ask: RequestVote) -> list[Effect]:
        """Answer a RequestVote, also from a head not known as a voter (thesis 4.2.2).

        A head that does not know of its vote yet gives it all the same: its own log may be behind the change.
        """
        if self.voiceless:
            return []
        newer = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last)
        # Guards a leader that is heard: a head that was cut off must not end its term.
        fresh = self.heard_leader is not None and self.now < self.heard_leader + self.timing.election
        if self.leads or (fresh and self.leader is not None and self.leader != sender):
            return []
        if ask.pre_vote:
            granted = newer and ask.term > self.term
            return [Send(sender, RequestVoteReply(ask.term if granted else self.term, granted, True))]
        effects: list[Effect] = []
        write = Write()
        if ask.term > self.term:
            effects += self._new_term(ask.term)
            write = Write(term=self.term)
        granted = ask.term == self.term and newer and self.voted in (None, sender.identity)
        if granted:
            self.voted = sender.identity
            write = Write(term=self.term, voted=self.voted)
            self._wait()
        return [*effects, self._durable(write, (Send(sender, RequestVoteReply(self.term, granted, False)),))]

    def _new_term(self, term: int) -> list[Effect]:
        """A later term is known: what was held of the one before is over."""
        dropped = self._drop_reads(TERM_ENDED) if self.leads else []
        self.term, self.voted = term, None
        self._follow(None)
        return dropped

    def _vote(self, sender: Voter, vote: RequestVoteReply) -> list[Effect]:
        if vote.pre_vote and vote.granted:
            if self.role != PRE_CANDIDATE or vote.term != self.term + 1:
                return []
            self.votes.add(sender.identity)
            return self._campaign(False) if self._won() else []
        if vote.term > self.term:
            dropped = self._new_term(vote.term)
            return [*dropped, self._durable(Write(term=self.term))]
        if self.role != CANDIDATE or vote.pre_vote or not vote.granted or vote.term != self.term:
            return []
        self.votes.add(sender.identity)
        return self._lead() if self._won() else []

    # -- the follower -------------------------------------------------------------------------------------
    def _received(self, sender: Voter, message: object) -> list[Effect]:
        # Guards against heads that were removed, or lost their disk: their votes do not count.
        if sender not in self.voters and isinstance(message, RequestVoteReply | AppendEntriesReply):
            return []
        match message:
            case RequestVote():
                return self._answer_vote_request(sender, message)
            case RequestVoteReply():
                return self._vote(sender, message)
            case AppendEntriesReply():
                if message.term > self.term:
                    dropped = self._new_term(message.term)
                    return [*dropped, self._durable(Write(term=self.term))]
                return self._appended(sender, message)
            case AppendEntries() | InstallSnapshot():
                return self._led_by(sender, message)
        return []

    def _led_by(self, sender: Voter, message: AppendEntries | InstallSnapshot) -> list[Effect]:
        if self.voiceless:
            return []
        if message.term < self.term:
            return [Send(sender, AppendEntriesReply(self.term, False, self.log.last, message.round))]
        effects: list[Effect] = []
        term: int | None = None
        if message.term > self.term:
            effects, term = self._new_term(message.term), message.term
        self._follow(sender)
        self.heard_leader = self.now
        if isinstance(message, InstallSnapshot):
            return effects + self._install(sender, message, term)
        self._learn_contact(message)
        # Guards the fleet's promises: a disk that lost what it acknowledged must not be counted again.
        if message.acknowledged > self.log.last:
            self.voiceless = True
            return [*effects, Forgot(self.log.last, message.acknowledged)]
        write, ok, match = self._match(message.prev_index, message.prev_term, message.entries)
        write = Write(term, self.voted, write.cut_from, write.entries) if term is not None else write
        then = (Send(sender, AppendEntriesReply(self.term, ok, match, message.round, self.now)),)
        effects.append(self._durable(write, then))
        return effects + (self._commit(min(message.leader_commit, match)) if ok else [])

    def _learn_contact(self, message: AppendEntries) -> None:
        """Learn when the leader's majority was connected, from an AppendEntries.

        The leader wrote this after it had what this head sent at `answers`, so that moment is when this
        head asked.
        """
        # Guards against what an earlier life of this head sent, by a clock that may have begun anew.
        if message.majority_age is None or message.answers is None:
            return
        if self.began <= message.answers <= self.now:
            self.contact.learned(message.answers, NO_TIME, message.majority_age)

    def _match(self, prev: int, prev_term: int, entries: tuple[Entry, ...]) -> tuple[Write, bool, int]:
        """Take entries in where they follow on what is held: the write, whether they do, and up to where."""
        if prev < self.log.snapshot.index:  # all before is committed, and so equal
            entries = tuple(e for e in entries if e.index > self.log.snapshot.index)
            prev, prev_term = self.log.snapshot.index, self.log.snapshot.term
        if self.log.term(prev) != prev_term:
            return Write(), False, min(self.log.last, prev - 1)
        match = entries[-1].index if entries else prev
        new = [e for e in entries if self.log.term(e.index) != e.term]
        if not new:
            return Write(), True, match
        cut = new[0].index if new[0].index <= self.log.last else None
        if cut is not None and cut <= self.commit:
            assert False, "a committed entry would go"  # noqa: B011 - in debug; else the sender is not believed
            return Write(), False, self.commit
        if cut is not None:
            self.log.cut(cut)
            self.durable = min(self.durable, cut - 1)
            self.writes = {n: min(last, cut - 1) for n, last in self.writes.items()}
        new = [e for e in entries if e.index >= new[0].index]
        self.log.add(new)
        return Write(cut_from=cut, entries=tuple(new)), True, match

    def _install(self, sender: Voter, message: InstallSnapshot, term: int | None) -> list[Effect]:
        snapshot, effects, write = message.snapshot, [], Write(term, self.voted)
        if snapshot.index > self.commit:
            effects, write = self._replace(snapshot, term)
        done = AppendEntriesReply(self.term, True, snapshot.index, message.round, self.now)
        return [self._durable(write, (Send(sender, done),)), *effects]

    def _replace(self, snapshot: Snapshot, term: int | None) -> tuple[list[Effect], Write]:
        """Everything held is replaced by a snapshot that is further than what is committed here."""
        self.log = Log(snapshot)
        self.commit = self.applied = snapshot.index
        self.durable = 0
        self.writes.clear()
        write = Write(term, self.voted, cut_from=1, snapshot=snapshot, keep_from=snapshot.index + 1)
        return [Restore(snapshot)], write

    def _learnt(self, event: Learnt) -> list[Effect]:
        """What is committed, from any voter; so a voter that was removed meanwhile learns of it too."""
        if self.leads:
            return []
        if event.snapshot is not None and event.snapshot.index <= self.commit:
            return []
        # Guards what is committed against a leader of an older term, who may count this head as a voter that
        # nobody else knows of: a term that something was agreed on in has begun, so the older one is over.
        term = max([event.snapshot.term if event.snapshot else 0, *(e.term for e in event.entries)])
        later = term if term > self.term else None
        if event.snapshot is not None:
            effects = self._new_term(term) if later else []
            restored, write = self._replace(event.snapshot, later)
            return [*effects, self._durable(write), *restored]
        write, ok, match = self._match(event.prev_index, event.prev_term, event.entries)
        if not ok:
            return []
        effects = self._new_term(term) if later else []
        write = Write(later, self.voted, write.cut_from, write.entries) if later else write
        return [*effects, self._durable(write), *self._commit(min(event.commit, match))]

    def _lose_voice(self) -> list[Effect]:
        """Neither vote nor acknowledge any more; a leader stands down."""
        dropped = self._drop_reads(DISK_FAILED) if self.leads else []
        self.voiceless = True
        self._follow(None)
        return dropped

    # -- the disk -----------------------------------------------------------------------------------------
    def _wrote(self, number: int) -> list[Effect]:
        last = self.writes.pop(number, None)
        if last is None:
            return []
        self.durable = max(self.durable, last)
        if self.role == CANDIDATE and self._won():  # the only voter: its own vote is the majority
            return self._lead()
        return self._count()

    def _compact(self, event: Compact) -> list[Effect]:
        if not self.log.snapshot.index < event.index <= self.applied:
            return []
        term = self.log.term(event.index)
        assert term is not None
        snapshot = Snapshot(event.index, term, self.log.voters(event.index)[1], event.state)
        retained_from = self.log.compact(snapshot, KEEP)
        return [self._durable(Write(snapshot=snapshot, keep_from=retained_from))]


__all__ = ["Raft", "Timing"]
