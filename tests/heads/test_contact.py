"""How long a head counts as connected after the majority of voters is lost: the rule, and virtual fleets."""

from __future__ import annotations

from datetime import timedelta

import pytest

from stoatrouter.agreement import state
from stoatrouter.agreement.contact import MAX_ROUNDS, MajorityContact, RoundStarts
from stoatrouter.agreement.raft import Raft
from stoatrouter.agreement.records import Tick
from stoatrouter.lab.fleet.errors import InvariantViolated
from stoatrouter.lab.fleet.majority_loss import LOSSES, run_majority_loss
from tests.heads.test_agreement import GENESIS, elect_leader, voter

MS = timedelta(milliseconds=1)


@pytest.mark.parametrize("seed", range(40))
def test_no_head_counts_as_connected_beyond_the_span_after_the_last_majority(seed):
    run_majority_loss(seed)


class CountsFromTheAnswer(MajorityContact):
    """Counts another head's report as contact at the present moment: a fault once found on real heads."""

    def record_report(self, asked_at, wait_at_answerer, age):
        self.record(asked_at + wait_at_answerer)


class ForgetsTheAge(MajorityContact):
    """Ignores ages beyond 100 ms, so that a contact that was passed on before becomes younger."""

    def record_report(self, asked_at, wait_at_answerer, age):
        super().record_report(asked_at, wait_at_answerer, min(age, 100 * MS))


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("mutant", [CountsFromTheAnswer, ForgetsTheAge])
def test_a_mutant_whose_contact_becomes_younger_is_caught(mutant, loss):
    seeds = [seed for seed in range(80) if LOSSES[seed // 4 % len(LOSSES)] == loss]
    for seed in seeds:
        try:
            run_majority_loss(seed, mutant)
        except InvariantViolated as caught:
            assert "the last majority was at" in str(caught)
            return
    pytest.fail("no seed caught it")


def test_a_leader_that_counts_from_the_last_answer_is_caught(monkeypatch):
    """A paused leader finds answers that arrived during the pause, which prove nothing about later times."""

    class StartsNow(RoundStarts):
        def start_of(self, number):
            started = super().start_of(number)
            return None if started is None else started + timedelta(seconds=2)

    monkeypatch.setattr("stoatrouter.agreement.leading.RoundStarts", StartsNow)
    monkeypatch.setattr(state, "RoundStarts", StartsNow)
    with pytest.raises(InvariantViolated, match="the last majority was at"):
        for seed in range(40):
            run_majority_loss(seed)


def test_a_reported_age_counts_from_the_question_and_never_moves_back():
    contact = MajorityContact()
    assert contact.age(9 * MS) is None
    contact.record_report(asked_at=1000 * MS, wait_at_answerer=0 * MS, age=300 * MS)
    assert contact.latest == 700 * MS and contact.age(1500 * MS) == 800 * MS
    contact.record_report(asked_at=1200 * MS, wait_at_answerer=105 * MS, age=1000 * MS)
    assert contact.latest == 700 * MS
    # a negative age does not put the contact into the future
    contact.record_report(asked_at=1200 * MS, wait_at_answerer=105 * MS, age=-5 * MS)
    assert contact.latest == 1300 * MS


def test_rounds_close_together_count_from_the_first_and_their_number_is_bounded():
    starts = RoundStarts()
    assert starts.start_of(3) is None
    for number in range(1, 40):
        starts.record(number, number * MS)
    assert starts.start_of(12) == 11 * MS and starts.start_of(39) == 31 * MS
    for number in range(100, 100 + 2 * MAX_ROUNDS):
        starts.record(number, number * 10 * MS)
    assert len(starts.starts) == MAX_ROUNDS and starts.start_of(101) is None


def test_a_head_that_leads_no_more_holds_no_rounds():
    """Guards memory: up to 1,024 starts of rounds were kept until the head led again."""
    raft = elect_leader(Raft(voter(0), GENESIS, 1))
    assert raft.round_starts.starts
    raft.reduce(Tick(raft.now + 5000 * MS))  # no majority has answered
    assert not raft.leads and not raft.round_starts.starts
