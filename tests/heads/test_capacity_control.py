"""What control costs by the size of the fleet, counted at small sizes: the same in every run, by no clock.

The figures at large sizes, with processor time, are measured by `benchmarks/capacity/control.py`, `voters.py`
and `times.py` (docs/measurements/capacity-control.md).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from stoatrouter.agreement.machine import Command
from stoatrouter.agreement.records import Voter
from stoatrouter.agreement.state import Timing as AgreementTiming
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import BookEntry, PutCustomer
from stoatrouter.lab.fleet.detectors import DetectorFleet
from stoatrouter.lab.fleet.world import World
from stoatrouter.membership.datagram import Datagram, Kind, encode
from stoatrouter.membership.detector import Detector
from stoatrouter.membership.detector_records import Effect, Timing
from stoatrouter.membership.roster import GossipQueue, MemberUpdate, Status
from stoatrouter.peering import calls, streams
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.follower import voter_offset
from stoatrouter.peering.replication import COMPACT_ENTRIES
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.streams import MAX_IN_FLIGHT, Streams
from tests.addresses import free_port
from tests.peers import HOST, run, until

SECOND = timedelta(seconds=1)
SECRET = b"s" * 64
CREDIT = "credit"
WATCHED = 10 * SECOND  # virtual


# -- the detector ------------------------------------------------------------------------------------------
@dataclass(frozen=True)
class Load:
    """What a head of a fleet sends a second, at rest."""

    messages: float
    bytes: float


def load_at_rest(size: int, make: Callable[..., Detector] = Detector) -> Load:
    """The load of a head of a fleet that has long been up: all know each other, no news is left."""
    names = [f"h{i:03d}" for i in range(size)]
    world = World(1, names)
    fleet = DetectorFleet(world, make)
    for name, detector in fleet.detectors.items():
        detector.roster.members = {other: MemberUpdate(other, 1, Status.ALIVE) for other in names}
        detector.roster.addresses = {other: other for other in names if other != name}
        detector.gossip = GossipQueue()
    world.run(WATCHED)
    assert not fleet.changes, "nobody is suspected in a calm fleet"
    share = size * (WATCHED / SECOND)
    return Load(sum(world.messages_sent.values()) / share, sum(world.bytes_sent.values()) / share)


def loads_do_not_grow(sizes: tuple[int, ...], make: Callable[..., Detector] = Detector) -> None:
    loads = [load_at_rest(size, make) for size in sizes]
    # a probe a period and the answer to another's: some cross the end of the span
    most = 2 * SECOND / Timing().period
    bare = len(encode(Datagram(Kind.PING, 1, "h000", 1), SECRET, "count"))
    assert all(load.messages <= most for load in loads), loads
    assert all(load.bytes <= 1.01 * bare * load.messages for load in loads), loads
    assert max(load.messages for load in loads) <= 1.02 * min(load.messages for load in loads), loads


class ProbesAll(Detector):
    """Broken: probes every head each period."""

    __slots__ = ()

    def _begin_period(self, now: timedelta) -> list[Effect]:
        own = super()._begin_period(now)
        here = self.roster.participants(self.name)
        return own + [self._send(self.roster.addresses[name], Kind.PING, 0) for name in here]


class TellsAll(Detector):
    """Broken: never forgets news that it has passed on."""

    __slots__ = ()

    def _begin_period(self, now: timedelta) -> list[Effect]:
        for news in self.roster.members.values():
            self.gossip.add(news)
        return super()._begin_period(now)


def test_detector_load_of_a_head_does_not_grow_with_the_fleet():
    loads_do_not_grow((20, 60, 180))


@pytest.mark.parametrize("broken", [ProbesAll, TellsAll])
def test_a_detector_whose_load_grows_is_seen(broken):
    with pytest.raises(AssertionError):
        loads_do_not_grow((10, 30), broken)


# -- following ---------------------------------------------------------------------------------------------
def one_voter(folder: Path, port: int) -> HeadsSettings:
    address = f"{HOST}:{port}"
    return HeadsSettings(
        name="v0",
        fleet="count",
        secret=SECRET,
        folder=folder,
        streams={"v0": address},
        voters=("v0",),
        listen=address,
        cut_off_after=3 * SECOND,
        wait_at_start=SECOND,
        detector=Timing(),
        agreement=AgreementTiming(),
        peers=(),
        peer_listen=None,
        credit=None,
        rules=None,
    )


async def bring(fleet: Fleet, body: msgspec.Struct, name: str) -> None:
    await fleet.replication.command(Command(name, CREDIT, msgspec.msgpack.encode(body), "v0"), 10 * SECOND)


async def answer_with_nothing_new(fleet: Fleet) -> int:
    """Bytes of the answer to a follower that has all of it."""
    raft = fleet.replication.raft
    answer = await fleet.follower_feed.answer(
        calls.Fetch(raft.commit_index, raft.log.term_at(raft.commit_index) or 0)
    )
    told = msgspec.msgpack.decode(answer, type=calls.Fetched)
    assert told.majority_connected and not told.entries and told.snapshot is None
    # the two spans are written in as many digits as they have: the same ones at each size
    spans = {"majority_age": SECOND, "waited": SECOND}
    return len(msgspec.msgpack.encode(msgspec.structs.replace(told, **spans)))


def test_an_answer_with_nothing_new_does_not_grow_with_the_log(tmp_path):
    async def story() -> list[int]:
        port = free_port()
        fleet = Fleet(one_voter(tmp_path / "v0", port), 1, {CREDIT: Ledger()})
        fleet.restore_stored()
        await fleet.start()
        try:
            await until(lambda: fleet.replication.raft.settled)
            await bring(fleet, PutCustomer("acme", ("volume",)), "customer")
            sizes, done = [], 0
            for count in (10, 100, COMPACT_ENTRIES + 100):  # the last is past a snapshot
                tops = range(done, count)
                await asyncio.gather(
                    *(
                        bring(fleet, BookEntry(f"t{i}", "acme", 1, "top-up", "", "", ""), f"t{i}")
                        for i in tops
                    )
                )
                done = count
                sizes.append(await answer_with_nothing_new(fleet))
            assert fleet.replication.raft.log.snapshot.index > 0
            return sizes
        finally:
            await fleet.close()

    sizes = run(story())
    # the two indices in it take one byte each at the first, three at the last
    assert max(sizes) - min(sizes) <= 4, sizes


def test_followers_spread_evenly_over_the_voters():
    """Each begins at a voter of its own name's choice, so that 740 of them stay under the bound of three."""
    for voters in (3, 5):
        begin = [0] * voters
        for number in range(740):
            begin[voter_offset(f"head-{number:04d}") % voters] += 1
        assert max(begin) <= 1.05 * 740 / voters, begin
        assert max(begin) < MAX_IN_FLIGHT, begin


# -- a voter's bound on open questions -----------------------------------------------------------------------
@dataclass
class Crowd:
    """Askers of one voter that holds its answers, as it does while nothing is new."""

    held: int = 0
    most_held: int = 0
    refused: int = 0
    served: int = 0


BEYOND = 16  # askers more than a voter answers at once
AT_ONCE = 16
ENOUGH = 60.0  # seconds; guards against a hang
CONNECT = "connect"  # a question that is answered at once: its connection is kept for the next one
NO_STALL = timedelta(0)
STALL = timedelta(seconds=0.7)  # longer than a connection may take to come up


async def connect(asker: Streams) -> None:
    """Have a connection to the voter in hand, however often it has to be opened."""
    while True:
        try:
            await asker.request("v0", CONNECT, b"")
        except PeerUnreachable:
            continue
        return


async def stall_loop(span: timedelta) -> None:
    """Hold up the loop, as a busy machine does, just after the tasks before have begun their work."""
    if span:
        for _ in range(3):
            await asyncio.sleep(0)
        time.sleep(span.total_seconds())


async def crowded_voter(stall: timedelta) -> tuple[Crowd, Crowd]:
    """What becomes of MAX_IN_FLIGHT + BEYOND questions: the first time, and once the refused ask again."""
    first, again, release = Crowd(), Crowd(), asyncio.Event()
    now = first

    async def hold(envelope: Envelope) -> bytes:
        if envelope.kind == CONNECT:
            return b""
        now.held += 1
        now.most_held = max(now.most_held, now.held)
        await release.wait()
        now.held -= 1
        return b"told"

    async def nothing(envelope: Envelope) -> None:
        return None

    port = free_port()
    address = {"v0": f"{HOST}:{port}"}

    def streams_of(name: str, handler: streams.Handler) -> Streams:
        seal = EnvelopeSealer(SECRET, "count", name)
        return Streams(seal, Voter(name, name), 1, address, MessageCounters(), handler, lambda: "")

    voter = streams_of("v0", hold)
    askers = [streams_of(f"f{i}", nothing) for i in range(MAX_IN_FLIGHT + BEYOND)]
    await voter.start((HOST, port))
    for asker in askers:
        await asker.start(None)

    async def ask(asker: Streams, crowd: Crowd) -> bool:
        try:
            await asker.request("v0", calls.FETCH, b"", 20 * SECOND)
        except PeerUnreachable as error:
            assert str(error) == "v0 answered 503"
            crowd.refused += 1
            return False
        crowd.served += 1
        return True

    try:
        connecting = [asyncio.create_task(connect(asker)) for asker in askers]
        await stall_loop(stall)
        await asyncio.gather(*connecting)
        asking = []
        for begin in range(0, len(askers), AT_ONCE):
            asking += [asyncio.create_task(ask(asker, first)) for asker in askers[begin : begin + AT_ONCE]]
            await stall_loop(stall if not begin else NO_STALL)
            begun = len(asking)
            await until(lambda begun=begun: first.held + first.refused == begun)
        release.set()
        served = await asyncio.gather(*asking)
        now = again
        left = [asker for asker, ok in zip(askers, served, strict=True) if not ok]
        await asyncio.gather(*(ask(asker, again) for asker in left))
    finally:
        release.set()
        for asker in askers:
            await asker.close()
        await voter.close()
    return first, again


def bound_holds(stall: timedelta = NO_STALL) -> None:
    first, again = run(crowded_voter(stall), ENOUGH)
    assert (first.most_held, first.refused, first.served) == (MAX_IN_FLIGHT, BEYOND, MAX_IN_FLIGHT)
    assert (again.refused, again.served) == (0, BEYOND), "all are served in the end"


def test_a_voter_refuses_what_is_beyond_its_bound_and_serves_it_later():
    bound_holds()


def test_a_loop_that_stalls_while_the_crowd_connects_and_asks_changes_nothing():
    """Guards against a dial that the stall ends: its asker failed unseen, and the story waited for it."""
    bound_holds(STALL)


def test_a_voter_without_its_bound_is_seen_where_the_loop_stalls(monkeypatch):
    monkeypatch.setattr(streams, "MAX_IN_FLIGHT", 1 << 30)
    with pytest.raises(AssertionError):
        bound_holds(STALL)


def test_a_voter_without_its_bound_is_seen(monkeypatch):
    monkeypatch.setattr(streams, "MAX_IN_FLIGHT", 1 << 30)
    with pytest.raises(AssertionError):
        bound_holds()
