"""Costs of the control plane by fleet size, counted at small sizes, so that every run gives the same result.

Large sizes and processor time are measured by `benchmarks/capacity/control.py`, `voters.py` and `times.py`
(docs/measurements/capacity-control.md).
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
OBSERVED_SPAN = 10 * SECOND  # of virtual time


# -- the detector ----------------------------------------------------------------------------------------
@dataclass(frozen=True)
class Load:
    """What one head of an idle fleet sends per second."""

    messages: float
    bytes: float


def idle_load(size: int, make: Callable[..., Detector] = Detector) -> Load:
    """Return the load of a head once all heads know each other and no gossip is left to spread."""
    names = [f"h{i:03d}" for i in range(size)]
    world = World(1, names)
    fleet = DetectorFleet(world, make)
    for name, detector in fleet.detectors.items():
        detector.roster.members = {other: MemberUpdate(other, 1, Status.ALIVE) for other in names}
        detector.roster.addresses = {other: other for other in names if other != name}
        detector.gossip = GossipQueue()
    world.run(OBSERVED_SPAN)
    assert not fleet.changes, "nobody is suspected in a fleet without faults"
    head_seconds = size * (OBSERVED_SPAN / SECOND)
    return Load(
        sum(world.messages_sent.values()) / head_seconds, sum(world.bytes_sent.values()) / head_seconds
    )


def check_loads_do_not_grow(sizes: tuple[int, ...], make: Callable[..., Detector] = Detector) -> None:
    loads = [idle_load(size, make) for size in sizes]
    # a probe and the answer to another head's probe in each period; some cross the end of the span
    max_messages = 2 * SECOND / Timing().period
    empty_ping_bytes = len(encode(Datagram(Kind.PING, 1, "h000", 1), SECRET, "count"))
    assert all(load.messages <= max_messages for load in loads), loads
    assert all(load.bytes <= 1.01 * empty_ping_bytes * load.messages for load in loads), loads
    assert max(load.messages for load in loads) <= 1.02 * min(load.messages for load in loads), loads


class ProbesAll(Detector):
    """A broken detector that probes every head in each period."""

    __slots__ = ()

    def _begin_period(self, now: timedelta) -> list[Effect]:
        own = super()._begin_period(now)
        here = self.roster.participants(self.name)
        return own + [self._send(self.roster.addresses[name], Kind.PING, 0) for name in here]


class TellsAll(Detector):
    """A broken detector that spreads every update for ever."""

    __slots__ = ()

    def _begin_period(self, now: timedelta) -> list[Effect]:
        for news in self.roster.members.values():
            self.gossip.add(news)
        return super()._begin_period(now)


def test_detector_load_of_a_head_does_not_grow_with_the_fleet():
    check_loads_do_not_grow((20, 60, 180))


@pytest.mark.parametrize("broken", [ProbesAll, TellsAll])
def test_a_detector_whose_load_grows_is_seen(broken):
    with pytest.raises(AssertionError):
        check_loads_do_not_grow((10, 30), broken)


# -- following -------------------------------------------------------------------------------------------
def single_voter_settings(folder: Path, port: int) -> HeadsSettings:
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


async def submit_credit_command(fleet: Fleet, body: msgspec.Struct, name: str) -> None:
    await fleet.replication.command(Command(name, CREDIT, msgspec.msgpack.encode(body), "v0"), 10 * SECOND)


async def empty_answer_size(fleet: Fleet) -> int:
    """Return the size in bytes of the answer to a follower that has the whole log."""
    raft = fleet.replication.raft
    answer = await fleet.follower_feed.answer(
        calls.Fetch(raft.commit_index, raft.log.term_at(raft.commit_index) or 0)
    )
    fetched = msgspec.msgpack.decode(answer, type=calls.Fetched)
    assert fetched.majority_connected and not fetched.entries and fetched.snapshot is None
    # the two durations are encoded with as many digits as they have, so they are set to equal ones
    spans = {"majority_age": SECOND, "waited": SECOND}
    return len(msgspec.msgpack.encode(msgspec.structs.replace(fetched, **spans)))


def test_an_answer_with_nothing_new_does_not_grow_with_the_log(tmp_path):
    async def story() -> list[int]:
        port = free_port()
        fleet = Fleet(single_voter_settings(tmp_path / "v0", port), 1, {CREDIT: Ledger()})
        fleet.restore_stored()
        await fleet.start()
        try:
            await until(lambda: fleet.replication.raft.settled)
            await submit_credit_command(fleet, PutCustomer("acme", ("volume",)), "customer")
            sizes = []
            done = 0
            for count in (10, 100, COMPACT_ENTRIES + 100):  # the last is past a snapshot
                numbers = range(done, count)
                await asyncio.gather(
                    *(
                        submit_credit_command(
                            fleet, BookEntry(f"t{i}", "acme", 1, "top-up", "", "", ""), f"t{i}"
                        )
                        for i in numbers
                    )
                )
                done = count
                sizes.append(await empty_answer_size(fleet))
            assert fleet.replication.raft.log.snapshot.index > 0
            return sizes
        finally:
            await fleet.close()

    sizes = run(story())
    # each of the two indices takes one byte in the first answer and three in the last
    assert max(sizes) - min(sizes) <= 4, sizes


def test_followers_spread_evenly_over_the_voters():
    """Each starts at a voter chosen by its name, so 740 followers stay within the bounds of three voters."""
    for voters in (3, 5):
        begin = [0] * voters
        for number in range(740):
            begin[voter_offset(f"head-{number:04d}") % voters] += 1
        assert max(begin) <= 1.05 * 740 / voters, begin
        assert max(begin) < MAX_IN_FLIGHT, begin


# -- a voter's bound on requests in flight ---------------------------------------------------------------
@dataclass
class RequestCounts:
    """Requests at one voter that holds its answers, as it does while there is nothing new."""

    held: int = 0
    max_held: int = 0
    refused: int = 0
    served: int = 0


EXCESS_CLIENTS = 16  # clients beyond the number that a voter answers at once
CLIENTS_AT_ONCE = 16  # clients that send in one step
STORY_TIMEOUT = 60.0  # seconds; guards against a hang
CONNECT = "connect"  # a request that is answered at once: its connection is kept for the next one
NO_STALL = timedelta(0)
STALL = timedelta(seconds=0.7)  # longer than a connection may take to come up


async def connect(client: Streams) -> None:
    """Establish a connection to the voter, retrying as often as needed."""
    while True:
        try:
            await client.request("v0", CONNECT, b"")
        except PeerUnreachable:
            continue
        return


async def stall_loop(span: timedelta) -> None:
    """Block the event loop, as a busy machine does, just after earlier tasks have begun their work."""
    if span:
        for _ in range(3):
            await asyncio.sleep(0)
        time.sleep(span.total_seconds())


async def overload_voter(stall: timedelta) -> tuple[RequestCounts, RequestCounts]:
    """Send MAX_IN_FLIGHT + EXCESS_CLIENTS requests, and the refused ones again; return both counts."""
    first = RequestCounts()
    again = RequestCounts()
    release = asyncio.Event()
    current = first

    async def hold_answer(envelope: Envelope) -> bytes:
        if envelope.kind == CONNECT:
            return b""
        current.held += 1
        current.max_held = max(current.max_held, current.held)
        await release.wait()
        current.held -= 1
        return b"told"

    async def answer_nothing(envelope: Envelope) -> None:
        return None

    port = free_port()
    address = {"v0": f"{HOST}:{port}"}

    def streams_of(name: str, handler: streams.Handler) -> Streams:
        sealer = EnvelopeSealer(SECRET, "count", name)
        return Streams(sealer, Voter(name, name), 1, address, MessageCounters(), handler, lambda: "")

    voter = streams_of("v0", hold_answer)
    clients = [streams_of(f"f{i}", answer_nothing) for i in range(MAX_IN_FLIGHT + EXCESS_CLIENTS)]
    await voter.start((HOST, port))
    for client in clients:
        await client.start(None)

    async def ask(client: Streams, counts: RequestCounts) -> bool:
        try:
            await client.request("v0", calls.FETCH, b"", 20 * SECOND)
        except PeerUnreachable as error:
            assert str(error) == "v0 answered 503"
            counts.refused += 1
            return False
        counts.served += 1
        return True

    try:
        connecting = [asyncio.create_task(connect(client)) for client in clients]
        await stall_loop(stall)
        await asyncio.gather(*connecting)
        requests = []
        for begin in range(0, len(clients), CLIENTS_AT_ONCE):
            requests += [
                asyncio.create_task(ask(client, first)) for client in clients[begin : begin + CLIENTS_AT_ONCE]
            ]
            await stall_loop(stall if not begin else NO_STALL)
            sent = len(requests)
            await until(lambda sent=sent: first.held + first.refused == sent)
        release.set()
        served = await asyncio.gather(*requests)
        current = again
        left = [client for client, ok in zip(clients, served, strict=True) if not ok]
        await asyncio.gather(*(ask(client, again) for client in left))
    finally:
        release.set()
        for client in clients:
            await client.close()
        await voter.close()
    return first, again


def check_bound_holds(stall: timedelta = NO_STALL) -> None:
    first, again = run(overload_voter(stall), STORY_TIMEOUT)
    assert (first.max_held, first.refused, first.served) == (MAX_IN_FLIGHT, EXCESS_CLIENTS, MAX_IN_FLIGHT)
    assert (again.refused, again.served) == (0, EXCESS_CLIENTS), "all are served in the end"


def test_a_voter_refuses_what_is_beyond_its_bound_and_serves_it_later():
    check_bound_holds()


def test_a_loop_that_stalls_while_the_crowd_connects_and_asks_changes_nothing():
    """Guards against a connection attempt that times out in the stall, whose client then failed unnoticed."""
    check_bound_holds(STALL)


def test_a_voter_without_its_bound_is_seen_where_the_loop_stalls(monkeypatch):
    monkeypatch.setattr(streams, "MAX_IN_FLIGHT", 1 << 30)
    with pytest.raises(AssertionError):
        check_bound_holds(STALL)


def test_a_voter_without_its_bound_is_seen(monkeypatch):
    monkeypatch.setattr(streams, "MAX_IN_FLIGHT", 1 << 30)
    with pytest.raises(AssertionError):
        check_bound_holds()
