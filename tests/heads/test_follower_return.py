"""Followers go back to a voter that has returned.

Guards against uneven load: a follower stays with the voter that answers it, so after a voter had been down
nothing brought its followers back. With three voters, two were polled by all followers from then on, and with
several hundred heads that is more than a voter answers at once.
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
POLL_INTERVAL = timedelta(milliseconds=500)
INDEX = 5


class StubFleet:
    """A stub of voters that are current, behind or down, and the clock of all followers."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.behind: set[str] = set()
        self.time = timedelta(0)

    def now(self) -> timedelta:
        return self.time

    async def request(self, name, kind, body, timeout):
        assert kind == calls.PROGRESS
        if name in self.down:
            raise PeerUnreachable(name)
        progress = calls.Progress(INDEX - (name in self.behind), ())
        return SimpleNamespace(body=msgspec.msgpack.encode(progress))


class PollingFollower(Follower):
    """A follower whose polls succeed at any voter that is up, without applying the answers."""

    def __init__(self, name: str, fleet: StubFleet) -> None:
        addresses = dict.fromkeys(VOTERS, "")
        settings = SimpleNamespace(name=name, streams=addresses, voters=VOTERS)
        raft = SimpleNamespace(voters=[SimpleNamespace(name=voter) for voter in VOTERS])
        replication = SimpleNamespace(raft=raft, machine=SimpleNamespace(index=INDEX))
        super().__init__(settings, replication, fleet, None, None, fleet.now, random.Random(1))
        self.fleet = fleet
        self.current_voter = ""

    async def step(self) -> None:
        name = self.next_voter()
        if name in self.fleet.down:
            return
        self.current_voter = name
        self._voter_cursor -= 1  # stay with this voter
        await self._return_if_due()


async def run_polls(fleet: StubFleet, followers: list[PollingFollower], span: timedelta) -> Counter[str]:
    """Advance the time; return how many followers each voter has then."""
    ends = fleet.time + span
    while fleet.time < ends:
        fleet.time += POLL_INTERVAL
        for follower in followers:
            await follower.step()
    return Counter(follower.current_voter for follower in followers)


@pytest.mark.parametrize("failed_calls", range(4))
@pytest.mark.parametrize("reached", VOTERS)
def test_the_only_voter_in_reach_is_polled_soon_however_many_calls_fail_meanwhile(reached, failed_calls):
    # Guards against a head that stays cut off as each poll is followed by failed calls that skip the voter.
    follower = PollingFollower("f1", StubFleet())
    follower.leader = "v1"
    polled = []
    while reached not in polled:
        polled.append(follower.next_voter())
        assert len(polled) <= len(VOTERS) + 1, polled  # the voter that named the leader is skipped once
        for _ in range(failed_calls):
            follower.forget_leader()
            follower.next_voter_to_call()


@pytest.mark.parametrize("lost", VOTERS)
def test_followers_of_a_voter_that_returned_come_back(lost):
    async def story():
        fleet = StubFleet()
        followers = [PollingFollower(f"head-{number:04d}", fleet) for number in range(120)]
        spread = await run_polls(fleet, followers, 2 * POLL_INTERVAL)
        fleet.down = {lost}
        reduced = await run_polls(fleet, followers, 2 * RETURN_INTERVAL)
        assert lost not in reduced and sum(reduced.values()) == 120
        fleet.down = set()
        fleet.behind = {lost}
        assert await run_polls(fleet, followers, 2 * RETURN_INTERVAL) == reduced, "it has not caught up"
        fleet.behind = set()
        assert await run_polls(fleet, followers, 2 * RETURN_INTERVAL) == spread

    run(story())
