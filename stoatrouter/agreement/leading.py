"""The leader's part: taking proposals, copying entries, counting what a majority has, confirming reads."""

from __future__ import annotations

from stoatrouter.agreement.contact import RoundStarts
from stoatrouter.agreement.log import read_voters
from stoatrouter.agreement.records import (
    LEADER_NOT_SETTLED,
    NO_LONGER_VOTER,
    NOOP,
    NOT_LEADER,
    TOO_MANY_UNCOMMITTED,
    VOTER_CHANGE_NOT_SINGLE,
    VOTER_CHANGE_UNDER_WAY,
    VOTERS,
    Accepted,
    AppendEntries,
    AppendEntriesReply,
    Effect,
    Entry,
    InstallSnapshot,
    Propose,
    Readable,
    Rejected,
    Send,
    Voter,
    Write,
)
from stoatrouter.agreement.state import LEADER, MOST_UNCOMMITTED, Peer, State


class Leading(State):
    """What a head does while it leads. Its state is State's."""

    __slots__ = ()

    def _lead(self) -> list[Effect]:
        self.role, self.leader = LEADER, self.me
        self.round_starts = RoundStarts()
        others = [v for v in self.voters if v != self.me]
        self.peers = {v.identity: Peer(self.log.last + 1, heard=self.now) for v in others}
        return self._add(NOOP, b"")

    # -- the leader ---------------------------------------------------------------------------------------
    def _propose(self, event: Propose) -> list[Effect]:
        if not self.leads:
            return [Rejected(event.id, NOT_LEADER)]
        # Guards memory while no majority answers.
        if self.log.last - self.commit >= MOST_UNCOMMITTED:
            return [Rejected(event.id, TOO_MANY_UNCOMMITTED)]
        if event.kind == VOTERS and (why := self._unfit(event.body)):
            return [Rejected(event.id, why)]
        effects = self._add(event.kind, event.body)
        return [Accepted(event.id, self.log.last, self.term), *effects]

    def _unfit(self, body: bytes) -> str | None:
        """Why voters cannot be changed so, now."""
        at, voters = self.log.voters()
        after = read_voters(body)
        if at > self.commit:
            return VOTER_CHANGE_UNDER_WAY
        # Guards two majorities of different sets: the correction of 2015 to Raft's single changes.
        if not self.settled:
            return LEADER_NOT_SETTLED
        if len(set(voters) ^ set(after)) != 1 or len({v.name for v in after}) != len(after) or not after:
            return VOTER_CHANGE_NOT_SINGLE
        return None

    def _add(self, kind: str, body: bytes) -> list[Effect]:
        entry = Entry(self.log.last + 1, self.term, kind, body)
        self.log.add([entry])
        if kind == VOTERS:
            for voter in read_voters(body):
                if voter != self.me:
                    self.peers.setdefault(voter.identity, Peer(entry.index, heard=self.now))
        return [self._durable(Write(entries=(entry,))), *self._broadcast()]

    def _broadcast(self) -> list[Effect]:
        """To all voters: new entries, or that the leader is there."""
        self.round += 1
        self.round_starts.began(self.round, self.now)
        self._see_majority()  # a leader that is the only voter is the majority
        self.heartbeat_at = self.now + self.timing.heartbeat
        return [self._to(v) for v in self.voters if v != self.me]

    def _to(self, voter: Voter) -> Send:
        peer = self.peers[voter.identity]
        prev = self.log.term(peer.next_index - 1)
        if prev is None:
            return Send(voter, InstallSnapshot(self.term, self.log.snapshot, self.round))
        entries: tuple[Entry, ...] = ()
        # one batch is under way at a time; it is sent again when no answer came for a while
        if peer.next_index <= self.log.last and (
            peer.sent_at is None or self.now >= peer.sent_at + 3 * self.timing.heartbeat
        ):
            entries, peer.sent_at = self.log.since(peer.next_index), self.now
        append = AppendEntries(
            self.term,
            peer.next_index - 1,
            prev,
            entries,
            self.commit,
            self.round,
            peer.match_index,
            self.contact.age(self.now) if self.settled else None,
            peer.answered_at,
        )
        return Send(voter, append)

    def _appended(self, sender: Voter, said: AppendEntriesReply) -> list[Effect]:
        peer = self.peers.get(sender.identity)
        if not self.leads or peer is None or said.term != self.term:
            return []
        peer.heard, peer.sent_at = self.now, None
        peer.round = max(peer.round, said.round)
        peer.answered_at = said.sent_at
        if said.ok:
            peer.match_index = max(peer.match_index, said.match_index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        else:
            peer.next_index = max(peer.match_index + 1, min(peer.next_index - 1, said.match_index + 1))
        self._see_majority()
        effects = self._count() + self._confirm()
        if self.leads and (peer.next_index <= self.log.last or not said.ok):
            effects.append(self._to(sender))
        return effects

    def _count(self) -> list[Effect]:
        """Commit what a majority has on disk. Only entries of the own term count (3.6.2)."""
        if not self.leads:
            return []
        at = sorted(
            (self.durable if v == self.me else self.peers[v.identity].match_index for v in self.voters),
            reverse=True,
        )[len(self.voters) // 2]
        if at <= self.commit or self.log.term(at) != self.term:
            return []
        effects = self._commit(at)
        if self.me not in self.voters and self.log.voters()[0] <= self.commit:
            self._follow(None)  # it led until its own removal was agreed on
            return effects + self._drop_reads(NO_LONGER_VOTER)
        return effects + self._broadcast()

    def _read(self, id: str) -> list[Effect]:
        if not self.settled:
            return [Rejected(id, NOT_LEADER if not self.leads else LEADER_NOT_SETTLED)]
        effects = self._broadcast()
        self.reads.append((id, self.commit, self.round))
        return effects + self._confirm()

    def _confirm(self) -> list[Effect]:
        """Reads hold once a majority answered a round that began after they were asked."""
        if not self.leads:
            return []
        confirmed = self._confirmed_round()
        done = [(id, index) for id, index, round in self.reads if round <= confirmed]
        self.reads = [read for read in self.reads if read[2] > confirmed]
        return [Readable(id, index) for id, index in done]

    def _confirmed_round(self) -> int:
        """The latest round that a majority has answered, this head counted."""
        rounds = [self.round if v == self.me else self.peers[v.identity].round for v in self.voters]
        return sorted(rounds, reverse=True)[len(rounds) // 2]

    def _see_majority(self) -> None:
        """A majority answered a round: it was connected when that round began, or later."""
        if self.leads:
            self.contact.seen(self.round_starts.start_of(self._confirmed_round()))
