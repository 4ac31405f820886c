"""Followers go back to a voter that returned.

What happened: a follower stays with the voter that answers it. Once a voter had been down, nothing brought
its followers back: with three voters two were polled by all from then on, and at several hundred heads that
is more than a voter answers at once.
"""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from stoatrouter.peering import calls
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.follower import RETURN_INTERVAL, Follower
from tests.peers import run

VOTERS = ("v0", "v1", "v2")
POLL = timedelta(milliseconds=500)
INDEX = 5


class Fleet:
    """Voters that are up, hang or are down, and the clock of all followers."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.behind: set[str] = set()
        self.time = timedelta(0)

    def now(self) -> timedelta:
        return self.time

    async def request(self, name, kind, body, within):
        assert kind == calls.PROGRESS
        if name in self.down:
            raise PeerUnreachable(name)
        progress = calls.Progress(INDEX - (name in self.behind), ())
        return SimpleNamespace(body=msgspec.msgpack.encode(progress))


class PollsOnly(Follower):
    """A follower whose polls are answered by whoever is up, without what the answer brings."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        addresses = dict.fromkeys(VOTERS, "")
        settings = SimpleNamespace(name=name, streams=addresses, voters=VOTERS)
        raft = SimpleNamespace(voters=[SimpleNamespace(name=voter) for voter in VOTERS])
        replication = SimpleNamespace(raft=raft, machine=SimpleNamespace(index=INDEX))
        super().__init__(settings, replication, fleet, None, None, fleet.now, random.Random(1))
        self.fleet, self.at = fleet, ""

    async def step(self) -> None:
        name = self.next_voter()
        if name in self.fleet.down:
            return
        self.at = name
        self._voter_cursor -= 1  # stay with it
        await self._return_if_due()


async def play(fleet: Fleet, followers: list[PollsOnly], span: timedelta) -> Counter[str]:
    """Let time pass; how many followers each voter has then."""
    ends = fleet.time + span
    while fleet.time < ends:
        fleet.time += POLL
        for follower in followers:
            await follower.step()
    return Counter(follower.at for follower in followers)


@pytest.mark.parametrize("lost", VOTERS)
def test_followers_of_a_voter_that_returned_come_back(lost):
    async def story():
        fleet = Fleet()
        followers = [PollsOnly(f"head-{number:04d}", fleet) for number in range(120)]
        spread = await play(fleet, followers, 2 * POLL)
        fleet.down = {lost}
        without = await play(fleet, followers, 2 * RETURN_INTERVAL)
        assert lost not in without and sum(without.values()) == 120
        fleet.down, fleet.behind = set(), {lost}
        assert await play(fleet, followers, 2 * RETURN_INTERVAL) == without, "it has not caught up"
        fleet.behind = set()
        assert await play(fleet, followers, 2 * RETURN_INTERVAL) == spread

    run(story())
