"""What voters know of who has polled them, and when a change counts as known."""

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
    polls.note("f1", 1, 3, SECOND)  # an older one that is answered later
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


class Voters:
    """Three voters of which this head is one; the others answer what they are told to."""

    def __init__(self, *others: calls.Progress | None) -> None:
        self.others = dict(zip(("v1", "v2"), others, strict=True))
        self.asked = 0
        self.time = timedelta(0)
        raft = SimpleNamespace(voters=[SimpleNamespace(name=f"v{n}") for n in range(3)])
        replication = SimpleNamespace(raft=raft, machine=SimpleNamespace(index=INDEX))
        self.propagation = ChangePropagation("v0", CUT_OFF_AFTER, replication, self, self.now)

    def now(self) -> timedelta:
        self.time += timedelta(milliseconds=1)  # each look takes a while
        return self.time

    async def request(self, name, kind, body, within):
        self.asked += 1
        if (progress := self.others[name]) is None:
            raise PeerUnreachable(name)
        return SimpleNamespace(body=msgspec.msgpack.encode(progress))


KNOWS = calls.Progress(INDEX, (("f1", 1, INDEX),))


@pytest.mark.parametrize(
    ("others", "known"),
    [
        ((KNOWS, KNOWS), True),
        ((KNOWS, None), False),  # a head may follow through the one that gives no answer
        ((KNOWS, calls.Progress(INDEX - 1, ())), False),
        ((KNOWS, calls.Progress(INDEX, (("f2", 1, INDEX - 1),))), False),
        ((KNOWS, calls.Progress(INDEX, (("f1", 1, INDEX - 1),))), True),  # it has polled another one since
        ((KNOWS, calls.Progress(INDEX, (("f1", 2, INDEX - 1),))), False),  # another process of it
        ((KNOWS, calls.Progress(INDEX, (("v0", 1, 0),))), True),  # a voter speaks for itself
        ((KNOWS, calls.Progress(INDEX, None)), False),
    ],
)
def test_a_change_is_known_once_all_voters_and_all_who_polled_them_have_applied_it(others, known):
    async def story():
        voters = Voters(*others)
        assert await voters.propagation.wait_until_known(INDEX) is known
        assert known or voters.time >= CUT_OFF_AFTER * MAX_CLOCK_DRIFT

    run(story())


def test_where_the_index_is_not_known_the_span_is_waited_out():
    async def story():
        voters = Voters(KNOWS, KNOWS)
        assert await voters.propagation.wait_until_known(None) is False and not voters.asked

    run(story())


def test_polls_are_forgotten_though_nobody_polls_or_asks_any_more():
    """Guards memory: those of followers that have gone elsewhere stayed until the next poll or question."""

    async def story():
        voters = Voters(KNOWS, KNOWS)
        polls = voters.propagation.polls
        for number in range(100):
            polls.note(f"f{number}", 1, 5, voters.now())
        forgetting = asyncio.create_task(voters.propagation.run_forever())
        voters.time += CUT_OFF_AFTER
        await until(lambda: not polls._polls)
        forgetting.cancel()
        assert held(polls) == held(RecentPolls(voters.propagation.max_staleness))

    run(story())
