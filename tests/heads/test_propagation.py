"""What voters know of the heads that polled them, and when a change counts as known to all."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from stoatrouter.agreement.contact import MAX_CLOCK_DRIFT
from stoatrouter.peering import calls, propagation
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.propagation import ChangePropagation, RecentPolls
from tests.held import held
from tests.peers import run, until

SECOND = timedelta(seconds=1)
CUT_OFF_AFTER = timedelta(milliseconds=200)
INDEX = 7


def test_polls_matter_for_a_while_and_what_was_applied_never_decreases():
    polls = RecentPolls(2 * SECOND)
    polls.note("f1", 1, 5, SECOND)
    polls.note("f1", 1, 3, SECOND)  # an older poll that is answered later
    polls.note("f2", 1, 4, 2 * SECOND)
    assert polls.progress(2 * SECOND) == (("f1", 1, 5), ("f2", 1, 4))
    polls.note("f1", 2, 0, 3 * SECOND)  # a new process has applied nothing
    assert polls.progress(3.5 * SECOND) == (("f2", 1, 4), ("f1", 2, 0))
    assert polls.progress(6 * SECOND) == ()


def test_where_a_poll_was_forgotten_nothing_is_confirmed_for_as_long_as_it_matters(monkeypatch):
    monkeypatch.setattr(propagation, "MAX_POLLERS", 2)
    polls = RecentPolls(2 * SECOND)
    for number in range(3):
        polls.note(f"f{number}", 1, 5, SECOND)
    assert polls.progress(2 * SECOND) is None
    assert polls.progress(4 * SECOND) == ()


def test_after_a_voter_was_removed_nothing_is_confirmed_for_as_long_as_its_copy_counts():
    voters = VotersStub(UP_TO_DATE, UP_TO_DATE)
    left = voters.replication.raft.voters.pop()
    voters.propagation.note_voters()
    voters.propagation.note_voters()
    assert voters.propagation.polls.progress(voters.now()) is None
    voters.time += CUT_OFF_AFTER * MAX_CLOCK_DRIFT
    assert voters.propagation.polls.progress(voters.now()) == ()
    voters.replication.raft.voters = [*voters.replication.raft.voters, left]  # a further voter hides nobody
    voters.propagation.note_voters()
    assert voters.propagation.polls.progress(voters.now()) == ()


class VotersStub:
    """A stub of three voters, of which this head is one; the others give preset answers."""

    def __init__(self, *others: calls.Progress | None) -> None:
        self.others = dict(zip(("v1", "v2"), others, strict=True))
        self.request_count = 0
        self.time = timedelta(0)
        raft = SimpleNamespace(voters=[SimpleNamespace(name=f"v{n}") for n in range(3)])
        self.replication = SimpleNamespace(raft=raft, machine=SimpleNamespace(index=INDEX))
        self.propagation = ChangePropagation("v0", CUT_OFF_AFTER, self.replication, self, self.now)

    def now(self) -> timedelta:
        self.time += timedelta(milliseconds=1)  # each reading takes 1 ms
        return self.time

    async def request(self, name, kind, body, timeout):
        self.request_count += 1
        if (progress := self.others[name]) is None:
            raise PeerUnreachable(name)
        return SimpleNamespace(body=msgspec.msgpack.encode(progress))


UP_TO_DATE = calls.Progress(INDEX, (("f1", 1, INDEX),))


@pytest.mark.parametrize(
    ("others", "known"),
    [
        ((UP_TO_DATE, UP_TO_DATE), True),
        ((UP_TO_DATE, None), False),  # a head may follow through the voter that gives no answer
        ((UP_TO_DATE, calls.Progress(INDEX - 1, ())), False),
        ((UP_TO_DATE, calls.Progress(INDEX, (("f2", 1, INDEX - 1),))), False),
        (
            (UP_TO_DATE, calls.Progress(INDEX, (("f1", 1, INDEX - 1),))),
            True,
        ),  # it has polled another voter since
        ((UP_TO_DATE, calls.Progress(INDEX, (("f1", 2, INDEX - 1),))), False),  # a later process of that head
        ((UP_TO_DATE, calls.Progress(INDEX, (("v0", 1, 0),))), True),  # a voter reports its own progress
        ((UP_TO_DATE, calls.Progress(INDEX, None)), False),
    ],
)
def test_a_change_is_known_once_all_voters_and_all_who_polled_them_have_applied_it(others, known):
    async def story():
        voters = VotersStub(*others)
        assert await voters.propagation.wait_until_known(INDEX) is known
        assert known or voters.time >= CUT_OFF_AFTER * MAX_CLOCK_DRIFT

    run(story())


def test_where_the_index_is_not_known_the_span_is_waited_out():
    async def story():
        voters = VotersStub(UP_TO_DATE, UP_TO_DATE)
        assert await voters.propagation.wait_until_known(None) is False and not voters.request_count

    run(story())


def test_polls_are_forgotten_though_nobody_polls_or_asks_any_more():
    """Guards memory: polls of followers that moved to another voter stayed until the next poll or request."""

    async def story():
        voters = VotersStub(UP_TO_DATE, UP_TO_DATE)
        polls = voters.propagation.polls
        for number in range(100):
            polls.note(f"f{number}", 1, 5, voters.now())
        expiry_task = asyncio.create_task(voters.propagation.run_forever())
        voters.time += CUT_OFF_AFTER
        await until(lambda: not polls._polls)
        expiry_task.cancel()
        assert held(polls) == held(RecentPolls(voters.propagation.max_staleness))

    run(story())
