"""Elections: candidates and voters, with the pre-vote (thesis 3.4, 4.2.3, 9.6)."""

from __future__ import annotations

from stoatrouter.agreement.leading import Leading
from stoatrouter.agreement.records import (
    Effect,
    RejectReason,
    RequestVote,
    RequestVoteReply,
    Send,
    Voter,
    Write,
)
from stoatrouter.agreement.state import Role


class Voting(Leading):
    """The behaviour of candidates and voters, on the state of RaftState."""

    __slots__ = ()

    # -- the candidate ------------------------------------------------------------------------------------
    def _campaign_for_pre_vote(self) -> list[Effect]:
        self._become_candidate(Role.PRE_CANDIDATE)
        requests = self._request_votes(self.term + 1, pre_vote=True)
        return [*requests, *(self._campaign() if self._has_won_election() else [])]

    def _campaign(self) -> list[Effect]:
        self._become_candidate(Role.CANDIDATE)
        self.term += 1
        self.voted_for = self.me.identity
        # The vote for itself must be durable before others are asked for theirs.
        write = Write(term=self.term, voted_for=self.voted_for)
        return [self._persist(write, self._request_votes(self.term, pre_vote=False))]

    def _become_candidate(self, role: Role) -> None:
        self.leader = None
        self.role = role
        self.votes = {self.me.identity}

    def _request_votes(self, term: int, pre_vote: bool) -> tuple[Send, ...]:
        request = RequestVote(term, self.log.last, self.log.last_term, pre_vote)
        return tuple(Send(voter, request) for voter in self.voters if voter != self.me)

    def _has_won_election(self) -> bool:
        return self._is_majority(sum(voter.identity in self.votes for voter in self.voters))

    def _receive_vote_reply(self, sender: Voter, reply: RequestVoteReply) -> list[Effect]:
        if reply.pre_vote and reply.granted:
            if self.role is not Role.PRE_CANDIDATE or reply.term != self.term + 1:
                return []
            self.votes.add(sender.identity)
            return self._campaign() if self._has_won_election() else []
        if reply.term > self.term:
            return self._enter_term_durably(reply.term)
        if self.role is not Role.CANDIDATE or reply.pre_vote or not reply.granted or reply.term != self.term:
            return []
        self.votes.add(sender.identity)
        return self._become_leader() if self._has_won_election() else []

    # -- the voter ----------------------------------------------------------------------------------------
    def _answer_vote_request(self, sender: Voter, request: RequestVote) -> list[Effect]:
        """Answer a RequestVote, including one from a head that is not known as a voter (thesis 4.2.2).

        A head that does not know itself as a voter grants its vote too: its log may lack the voter change.
        """
        if self.abstains or self.leads or self._hears_other_leader(sender):
            return []
        up_to_date = (request.last_term, request.last_index) >= (self.log.last_term, self.log.last)
        if request.pre_vote:
            return [self._answer_pre_vote(sender, request, up_to_date)]
        effects: list[Effect] = []
        write = Write()
        if request.term > self.term:
            effects += self._enter_term(request.term)
            write = Write(term=self.term)
        granted = request.term == self.term and up_to_date and self.voted_for in (None, sender.identity)
        if granted:
            self.voted_for = sender.identity
            write = Write(term=self.term, voted_for=self.voted_for)
            self._reset_election_timer()
        reply = Send(sender, RequestVoteReply(self.term, granted, pre_vote=False))
        return [*effects, self._persist(write, (reply,))]

    def _hears_other_leader(self, sender: Voter) -> bool:
        """Return whether another leader than `sender` was heard within the election timeout (4.2.3)."""
        # A head that was cut off must not end the term of a leader that this head still hears.
        if self.leader_heard_at is None or self.leader is None:
            return False
        return self.now < self.leader_heard_at + self.timing.election and self.leader != sender

    def _answer_pre_vote(self, sender: Voter, request: RequestVote, up_to_date: bool) -> Send:
        granted = up_to_date and request.term > self.term
        term = request.term if granted else self.term
        return Send(sender, RequestVoteReply(term, granted, pre_vote=True))

    # -- terms --------------------------------------------------------------------------------------------
    def _enter_term(self, term: int) -> list[Effect]:
        """Enter a later term as a follower, without a vote and without a known leader."""
        rejected = self._reject_pending_reads(RejectReason.TERM_ENDED) if self.leads else []
        self.term = term
        self.voted_for = None
        self._become_follower(None)
        return rejected

    def _enter_term_durably(self, term: int) -> list[Effect]:
        rejected = self._enter_term(term)
        return [*rejected, self._persist(Write(term=self.term))]
