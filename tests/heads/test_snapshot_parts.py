"""A snapshot that does not fit into one message goes in parts, each once, and not with each heartbeat."""

from __future__ import annotations

import random
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from stoatrouter.agreement.raft import Raft
from stoatrouter.agreement.records import (
    AppendEntries,
    AppendEntriesReply,
    Compact,
    Entry,
    InstallSnapshot,
    InstallSnapshotPart,
    Persist,
    PersistentState,
    Propose,
    Received,
    Send,
    Snapshot,
    SnapshotPart,
    SnapshotPosition,
    Tick,
    Voter,
    WriteCompleted,
)
from stoatrouter.agreement.snapshot_transfer import (
    IDLE_TIMEOUT,
    MAX_SNAPSHOT_BYTES,
    START,
    IncomingSnapshot,
)
from stoatrouter.agreement.state import Peer
from stoatrouter.peering import calls
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.follower import Follower
from stoatrouter.peering.follower_feed import FollowerFeed
from stoatrouter.peering.streams import MAX_BATCH_BYTES, take_batch
from tests.heads.test_agreement import GENESIS, MS, THREE, elect_leader, voter
from tests.peers import run

PART_SIZE = 100
STATE = random.Random(1).randbytes(10 * PART_SIZE - 1)
PARTS = 10
HELD = Snapshot(600, 0, THREE, STATE)
HEARTBEAT = 100 * MS
ROUNDS = 60  # heartbeats after which a transfer must have ended


def new_raft(number: int, disk: PersistentState = GENESIS, part_size: int = PART_SIZE) -> Raft:
    return Raft(voter(number), disk, 1, part_size=part_size)


def leading_raft(part_size: int = PART_SIZE) -> Raft:
    """Return a leader whose log starts with a snapshot, to which the voter h2 answers."""
    raft = elect_leader(new_raft(0, PersistentState(0, None, HELD), part_size))
    complete_writes(raft, raft.reduce(Tick(raft.now + HEARTBEAT)))
    return raft


def complete_writes(raft: Raft, effects: list) -> list[Send]:
    """Complete the writes of a reducer, and return all that it sends."""
    sent = [effect for effect in effects if isinstance(effect, Send)]
    for effect in effects:
        if isinstance(effect, Persist):
            sent += [
                *effect.then,
                *complete_writes(raft, raft.reduce(WriteCompleted(raft.now, effect.number))),
            ]
    return sent


class Exchange:
    """A leader and a voter that lacks its snapshot; the third voter answers each heartbeat."""

    def __init__(self, leader: Raft, receiver: Raft) -> None:
        self.rafts = {leader.me: leader, receiver.me: receiver}
        self.leader = leader
        self.receiver = receiver
        self.sent: list = []  # what the leader has sent to the receiver
        self.lost_parts: set[int] = set()  # numbers of the parts that are lost once
        self.answers = True  # whether the receiver is reached

    def run(self, heartbeats: int = ROUNDS) -> None:
        """Pass some heartbeat intervals."""
        for _ in range(heartbeats):
            self.deliver(self.leader, self.leader.reduce(Tick(self.leader.now + HEARTBEAT)))

    def deliver(self, raft: Raft, effects: list) -> None:
        """Deliver all messages that a reducer sends, and the answers to them."""
        for send in complete_writes(raft, effects):
            if send.to == voter(2) and isinstance(send.message, AppendEntries):
                reply = AppendEntriesReply(raft.term, True, raft.log.last, send.message.round)
                self.deliver(raft, raft.reduce(Received(raft.now, voter(2), reply)))
            elif send.to in self.rafts and not self.is_lost(send):
                target = self.rafts[send.to]
                now = max(target.now, self.leader.now)
                self.deliver(target, target.reduce(Received(now, raft.me, send.message)))

    def is_lost(self, send: Send) -> bool:
        if send.to == self.receiver.me:
            self.sent.append(send.message)
            if isinstance(send.message, InstallSnapshotPart):
                number = send.message.part.offset // PART_SIZE
                if number in self.lost_parts:
                    self.lost_parts.remove(number)
                    return True
        return not self.answers

    @property
    def parts(self) -> list[SnapshotPart]:
        return [message.part for message in self.sent if isinstance(message, InstallSnapshotPart)]


def test_a_voter_receives_a_large_snapshot_in_parts_of_bounded_size():
    # Guards against a snapshot larger than a message, which no head accepts.
    exchange = Exchange(leading_raft(), new_raft(1))
    exchange.run()
    assert exchange.receiver.log.snapshot == HELD
    assert exchange.receiver.commit_index == exchange.leader.commit_index > HELD.index
    assert [part.offset for part in exchange.parts] == list(range(0, len(STATE), PART_SIZE))
    assert max(len(part.data) for part in exchange.parts) == PART_SIZE
    assert not any(isinstance(message, InstallSnapshot) for message in exchange.sent)


@pytest.mark.parametrize("part_size", [PART_SIZE, len(STATE)])
def test_heartbeats_do_not_repeat_a_snapshot_that_is_in_flight(part_size):
    # Guards against a leader that encodes its whole state ten times a second for a voter that is away.
    exchange = Exchange(leading_raft(part_size), new_raft(1))
    exchange.run(1)
    exchange.receiver = new_raft(1)
    exchange.rafts[voter(1)] = exchange.receiver
    exchange.leader.peers[voter(1).identity].sent_at = None
    exchange.leader.peers[voter(1).identity].next_index = 1
    exchange.answers = False
    exchange.sent.clear()
    exchange.run(10)
    kinds = [type(message) for message in exchange.sent]
    assert kinds.count(InstallSnapshotPart) + kinds.count(InstallSnapshot) == 1
    assert kinds.count(AppendEntries) == 9


@pytest.mark.parametrize("lost", [0, 4, PARTS - 1])
def test_a_lost_part_is_sent_again(lost):
    exchange = Exchange(leading_raft(), new_raft(1))
    exchange.lost_parts = {lost}
    exchange.run()
    assert exchange.receiver.log.snapshot == HELD
    assert len(exchange.parts) == PARTS + 1


def test_a_transfer_goes_on_while_the_leader_compacts_its_log():
    exchange = Exchange(leading_raft(), new_raft(1))
    exchange.lost_parts = {5}
    exchange.run(5)
    newer = exchange.leader.commit_index
    complete_writes(exchange.leader, exchange.leader.reduce(Compact(exchange.leader.now, newer, STATE)))
    exchange.run(ROUNDS + IDLE_TIMEOUT // HEARTBEAT)
    assert {part.index for part in exchange.parts} == {HELD.index}
    assert exchange.receiver.log.snapshot == HELD
    assert exchange.receiver.commit_index == exchange.leader.commit_index
    assert exchange.leader.outgoing.snapshot is None  # released once it is no longer sent


def test_a_transfer_starts_anew_once_the_entries_after_its_snapshot_are_gone():
    leader = leading_raft()
    leader.snapshot_part(START)
    newer = Snapshot(HELD.index + 900, 0, THREE, STATE[::-1])
    leader.log.append([Entry(newer.index + 1, 0, "c")])
    leader.log.entries = leader.log.entries[-1:]
    leader.log.snapshot = newer
    part = leader.snapshot_part(SnapshotPosition(HELD.index, 3 * PART_SIZE))
    assert (part.index, part.offset) == (newer.index, 0)


def test_parts_of_two_senders_are_not_joined():
    # Two heads may encode the same state in two ways.
    incoming = IncomingSnapshot()
    sender, other = voter(0), voter(2)
    first, second = leading_raft().snapshot_part(START), SnapshotPosition(HELD.index, PART_SIZE)
    assert incoming.add(sender, first, MS) is None
    assert (incoming.position_for(sender), incoming.position_for(other)) == (second, START)
    part = leading_raft().snapshot_part(second)
    assert incoming.add(other, part, MS) is None
    assert incoming.position_for(sender) == second
    assert incoming.position_at(other.name) == START
    assert incoming.add(other, first, MS) is None
    assert (incoming.position_for(sender), incoming.position_for(other)) == (START, second)


def test_what_a_receiver_holds_is_bounded_in_size_and_time():
    incoming = IncomingSnapshot()
    too_large = SnapshotPart(HELD.index, 0, THREE, MAX_SNAPSHOT_BYTES + 1, 0, b"x")
    assert incoming.add(voter(0), too_large, MS) is None
    assert incoming.first is None
    receiver = new_raft(1)
    receiver.incoming.add(voter(0), leading_raft().snapshot_part(START), receiver.now)
    receiver.reduce(Tick(receiver.now + IDLE_TIMEOUT + MS))
    assert receiver.incoming.first is None and not receiver.incoming.data


# -- entries ---------------------------------------------------------------------------------------------
def entries_sent(leader: Raft, effects: list) -> int:
    """Count the entries that a leader sends to the voter h1."""
    sent = [send.message for send in complete_writes(leader, effects) if send.to == voter(1)]
    return sum(len(message.entries) for message in sent if isinstance(message, AppendEntries))


def test_answers_to_earlier_heartbeats_do_not_repeat_entries_in_flight():
    # Guards against large entries that are sent again with each answer, and batches that grow with them.
    leader = leading_raft()
    last = leader.log.last
    leader.peers[voter(1).identity] = Peer(last + 1, last, heard_at=leader.now)
    assert entries_sent(leader, leader.reduce(Propose(leader.now, "p1", b"body"))) == 1
    earlier = AppendEntriesReply(leader.term, True, last, leader.round - 1)
    for _ in range(5):
        assert entries_sent(leader, leader.reduce(Received(leader.now, voter(1), earlier))) == 0
    assert entries_sent(leader, leader.reduce(Tick(leader.now + HEARTBEAT))) == 0
    later = AppendEntriesReply(leader.term, True, last, leader.round)
    assert entries_sent(leader, leader.reduce(Received(leader.now, voter(1), later))) == 1


def test_a_batch_of_messages_fits_into_one_message():
    # Guards against waiting messages that together are larger than a message, which no head accepts.
    entry = Entry(1, 1, "c", bytes(MAX_BATCH_BYTES // 3))
    large = AppendEntries(1, 0, 0, (entry,), 0, 1, 0)
    queue = [("h1/0", large)] * 7
    batches = []
    while queue:
        batches.append(take_batch(queue))
    assert [len(msgspec.msgpack.decode(batch, type=calls.Batch)) for batch in batches] == [2, 2, 2, 1]
    assert msgspec.msgpack.decode(batches[0], type=calls.Batch) == [("h1/0", large)] * 2
    alone = [("h1/0", AppendEntries(1, 0, 0, (entry, entry, entry, entry), 0, 1, 0))]
    assert take_batch(alone) and not alone


# -- heads without a vote --------------------------------------------------------------------------------
class Voters:
    """Voters that answer polls, each with its own encoding of the state."""

    def __init__(self, part_size: int = PART_SIZE) -> None:
        self.part_size = part_size
        self.asked: list[calls.Fetch] = []
        self.down: set[str] = set()

    async def request(self, name: str, kind: str, body: bytes) -> SimpleNamespace:
        fetch = msgspec.msgpack.decode(body, type=calls.Fetch)
        self.asked.append(fetch)
        if name in self.down:
            raise PeerUnreachable(name)
        answer = await feed_of(name, self.part_size).answer(fetch)
        return SimpleNamespace(sender=Voter(name, f"{name}/0"), body=answer)


def state_of(name: str) -> bytes:
    return random.Random(name).randbytes(len(STATE))


def feed_of(name: str, part_size: int) -> FollowerFeed:
    disk = PersistentState(0, None, Snapshot(HELD.index, 0, THREE, state_of(name)))
    monitor = SimpleNamespace(
        current=lambda: SimpleNamespace(changes=True),
        contact=SimpleNamespace(age=lambda now: timedelta(0)),
        known_commit=HELD.index,
    )
    replication = SimpleNamespace(raft=new_raft(0, disk, part_size))
    return FollowerFeed(replication, SimpleNamespace(origin="fleet"), monitor, lambda: timedelta(0))


def polling_follower(voters: Voters, received: list[Snapshot]) -> Follower:
    names = [each.name for each in THREE]
    settings = SimpleNamespace(name="h9", streams=dict.fromkeys(names, ""), voters=names)
    raft = SimpleNamespace(voters=THREE, log=SimpleNamespace(term_at=lambda index: None))
    replication = SimpleNamespace(
        raft=raft,
        machine=SimpleNamespace(index=0),
        receive_committed=lambda fetched: received.append(fetched.snapshot),
    )
    bootstrap = SimpleNamespace(
        accepts_entries_of=bool, adopt_missed_founding=lambda fetched: False, join=lambda origin: None
    )
    monitor = SimpleNamespace(note_contact=lambda *_: None, refresh=lambda: None)
    return Follower(settings, replication, voters, bootstrap, monitor, lambda: MS, random.Random(1))


@pytest.mark.parametrize(
    ("part_size", "down_after", "polls"),
    [(PART_SIZE, None, PARTS), (len(STATE), None, 1), (PART_SIZE, 4, 4 + 1 + PARTS)],
    ids=["in parts", "whole", "voter lost"],
)
def test_a_head_that_polls_receives_a_snapshot_of_one_voter(part_size, down_after, polls):
    async def story() -> None:
        voters = Voters(part_size)
        received: list[Snapshot] = []
        follower = polling_follower(voters, received)
        while not received:
            name = follower.next_voter()
            if len(voters.asked) == down_after:
                voters.down.add(name)
            await follower._poll(name)
        assert received[0].state == state_of(name) and received[0].index == HELD.index
        assert len(voters.asked) == polls

    run(story())


def test_a_head_of_an_older_release_receives_the_whole_snapshot():
    async def story() -> None:
        answer = await feed_of("h0", PART_SIZE).answer(calls.Fetch(0, 0))
        fetched = msgspec.msgpack.decode(answer, type=calls.Fetched)
        assert fetched.part is None and fetched.snapshot.state == state_of("h0")

    run(story())
