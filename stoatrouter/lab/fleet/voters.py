"""A fleet of agreements in virtual time, with disks that lose what was not yet on them, and its promises
checked.

The register that clients use here is the smallest machine that shows a lost or doubled entry: a list of
values. Promises are checked after each step on what the world saw (messages and applied entries), never by
asking a head's own opinion of itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from stoatrouter.agreement.founding import Founded
from stoatrouter.agreement.log import encode_voters
from stoatrouter.agreement.raft import Raft, Timing
from stoatrouter.agreement.records import (
    COMMAND,
    VOTERS,
    Accepted,
    Apply,
    CommittedReceived,
    Compact,
    Effect,
    Entry,
    Event,
    LogLost,
    Persist,
    PersistentState,
    Propose,
    Read,
    ReadConfirmed,
    Received,
    Rejected,
    Restore,
    Send,
    Tick,
    Voter,
    Write,
    WriteCompleted,
)
from stoatrouter.lab.fleet.world import World

TICK = timedelta(milliseconds=50)


class Broken(Exception):
    """A promise was broken; the text says which and when."""


def written(disk: PersistentState, write: Write) -> PersistentState:
    """A disk after a write, as SQLite's transaction has it: all of it or nothing."""
    term, voted = (write.term, write.voted_for) if write.term is not None else (disk.term, disk.voted_for)
    entries = [e for e in disk.entries if write.cut_from is None or e.index < write.cut_from]
    held = {e.index: e for e in entries} | {e.index: e for e in write.entries}
    if write.keep_from is not None:
        held = {i: e for i, e in held.items() if i >= write.keep_from}
    snapshot = write.snapshot or disk.snapshot
    return PersistentState(term, voted, snapshot, tuple(held[i] for i in sorted(held)))


@dataclass
class Head:
    """One machine: its reducer, its disk, and what it applied."""

    voter: Voter
    raft: Raft
    disk: PersistentState
    values: list[bytes] = field(default_factory=list)
    index: int = 0
    pending: list[Persist] = field(default_factory=list)  # writes under way, in order


@dataclass
class VoterFleet:
    """Heads that agree, and clients that put values and read them. `make` builds a head's reducer (a
    mutant's, where a test shows that its promises are checked).
    """

    world: World
    voters: int = 3
    make: Callable[..., Raft] = Raft
    timing: Timing = field(default_factory=Timing)
    disk_most: timedelta = timedelta(milliseconds=12)
    compact_every: int = 40
    heads: dict[str, Head] = field(default_factory=dict)
    applied: dict[int, Entry] = field(default_factory=dict)  # the one entry for each index, over all heads
    leaders: dict[int, str] = field(default_factory=dict)  # by term: the identity that led
    acknowledged: dict[bytes, int] = field(default_factory=dict)  # values, and their index
    refused: int = 0
    history: list[tuple[Any, ...]] = field(default_factory=list)
    waiting: dict[tuple[str, int], tuple[int, bytes, int]] = field(default_factory=dict)
    reads: dict[str, tuple[str, int]] = field(default_factory=dict)
    fresh: int = 0
    forgot: int = 0
    changes: int = 0

    def __post_init__(self) -> None:
        names = self.world.names
        self.firsts = tuple(Voter(name, f"{name}/0") for name in names[: self.voters])
        founded = Founded(self.firsts[0].identity, self.firsts)
        for name in names:
            votes = name in names[: self.voters]
            disk = PersistentState(0, None, founded.snapshot()) if votes else PersistentState()
            self.boot(name, Voter(name, f"{name}/0"), disk)

    # -- machines -----------------------------------------------------------------------------------------
    def boot(self, name: str, voter: Voter, disk: PersistentState) -> None:
        """Start a head with what its disk holds."""
        raft = self.make(
            voter,
            disk,
            self.world.seed * 1000 + self.world.machines[name].life,
            self.timing,
            now=self.world.clock(name),
        )
        head = self.heads[name] = Head(voter, raft, disk, index=disk.snapshot.index)
        head.values = restored(disk.snapshot.state)
        self.world.on(name, TICK * self.world.draws.random(), lambda: self.tick(name))
        self.world.on(name, TICK, lambda: self.fetch(name))

    def tick(self, name: str) -> None:
        """Let time pass for a head."""
        self.put(name, Tick(self.world.clock(name)))
        self.world.on(name, TICK, lambda: self.tick(name))

    def kill(self, name: str, wipe: bool) -> None:
        """What was on its way to the disk may have come there, in order, up to any point; a wiped disk is
        another identity.
        """
        head = self.heads[name]
        done = self.world.draws.randint(0, len(head.pending))
        for effect in head.pending[:done]:
            head.disk = written(head.disk, effect.write)
        head.pending.clear()
        if wipe and self.may_wipe(name):
            self.fresh += 1
            head.disk, head.voter = PersistentState(), Voter(name, f"{name}/{self.fresh}")
        self.world.down(name)

    def may_wipe(self, name: str) -> bool:
        """Whether a majority keeps its disks in each set of voters that any head holds: beyond that
        nothing is promised.
        """
        intact = {head.voter for other, head in self.heads.items() if other != name}
        sets = {head.raft.voters for head in self.heads.values()}
        return all(2 * len(intact & set(voters)) > len(voters) for voters in sets)

    def start(self, name: str) -> None:
        """Start a head again."""
        self.world.up(name)
        head = self.heads[name]
        self.boot(name, head.voter, head.disk)

    # -- events and effects -------------------------------------------------------------------------------
    def put(self, name: str, event: Event) -> None:
        """Reduce an event at a head, and run its effects."""
        head = self.heads[name]
        for effect in head.raft.reduce(event):
            self.run(name, head, effect)
        raft = head.raft
        if raft.leads:
            # Promise: one leader for each term.
            before = self.leaders.setdefault(raft.term, raft.me.identity)
            if before != raft.me.identity:
                raise Broken(f"two leaders of term {raft.term}: {before} and {raft.me.identity}")

    def run(self, name: str, head: Head, effect: Effect) -> None:
        """Run one effect."""
        match effect:
            case Send():
                self.send(name, head, effect)
            case Persist():
                head.pending.append(effect)
                delay = timedelta(milliseconds=1) + self.disk_most * self.world.draws.random()
                if len(head.pending) == 1:
                    self.world.on(name, delay, lambda: self.wrote(name, head))
            case Apply():
                for entry in effect.entries:
                    self.apply(name, head, entry)
                if head.index - head.raft.log.snapshot.index >= self.compact_every:
                    state = b"\n".join(head.values)
                    self.put(name, Compact(self.world.clock(name), head.index, state))
            case Restore():
                head.values, head.index = restored(effect.snapshot.state), effect.snapshot.index
            case Accepted():
                client, value = effect.id.split("=", 1)
                self.waiting[name, effect.index] = (effect.term, value.encode(), int(client))
            case Rejected():
                self.refused += 1
                self.reads.pop(effect.id, None)
            case ReadConfirmed():
                if (asked := self.reads.pop(effect.id, None)) is not None and asked[0] == name:
                    seen = tuple(head.values) if head.index >= effect.index else None
                    self.history.append(("read", asked[1], self.world.now, seen))
            case LogLost():
                self.forgot += 1

    def send(self, name: str, head: Head, effect: Send) -> None:
        """Send a message of the agreement."""
        sender, to = head.voter, effect.to
        self.world.note(f"{name}>{to.name} {effect.message!r:.60}")

        def arrive() -> None:
            there = self.heads[to.name]
            if there.voter == to:  # one of an earlier life may well arrive: promises hold all the same
                self.put(to.name, Received(self.world.clock(to.name), sender, effect.message))

        self.world.send(name, to.name, arrive)

    def wrote(self, name: str, head: Head) -> None:
        """A head's oldest write is on its disk."""
        effect = head.pending.pop(0)
        head.disk = written(head.disk, effect.write)
        for send in effect.then:
            self.send(name, head, send)
        if head.pending:
            delay = timedelta(milliseconds=1) + self.disk_most * self.world.draws.random()
            self.world.on(name, delay, lambda: self.wrote(name, head))
        self.put(name, WriteCompleted(self.world.clock(name), effect.number))

    def apply(self, name: str, head: Head, entry: Entry) -> None:
        """A head applies an entry: it is held against what others applied."""
        # Promise: the same entry at each index of every head, none left out.
        before = self.applied.setdefault(entry.index, entry)
        if before != entry:
            raise Broken(f"{name} applied another entry at {entry.index}: {entry} and {before}")
        if entry.index != head.index + 1:
            raise Broken(f"{name} applied {entry.index} after {head.index}")
        head.index = entry.index
        if entry.kind == COMMAND:
            head.values.append(entry.body)
        waited = self.waiting.pop((name, entry.index), None)
        if waited is not None and waited[0] == entry.term and entry.kind == COMMAND:
            self.acknowledged[waited[1]] = entry.index
            self.history.append(("put", waited[2], self.world.now, waited[1]))

    # -- heads without a vote, and clients ----------------------------------------------------------------
    def fetch(self, name: str) -> None:
        """Ask some voter what was agreed on."""
        head, world = self.heads[name], self.world
        raft = head.raft
        if not raft.leads and not (raft.votes_here and raft.leader is not None):
            other = world.draws.choice([n for n in world.names if n != name])
            after = head.index
            world.send(name, other, lambda: self.answer(other, name, after))
        world.on(name, timedelta(milliseconds=150), lambda: self.fetch(name))

    def answer(self, name: str, to: str, after: int) -> None:
        """What a head tells one that follows."""
        raft = self.heads[name].raft
        term = raft.log.term_at(after)
        if term is not None and after:
            told = (after, term, raft.log.entries_from(after + 1, raft.commit_index), raft.commit_index, None)
        elif raft.log.snapshot.index:
            told = (0, 0, (), raft.commit_index, raft.log.snapshot)
        else:
            return
        self.world.send(name, to, lambda: self.put(to, CommittedReceived(self.world.clock(to), *told)))

    def client(self, number: int, every: timedelta, until: timedelta) -> None:
        """One client: puts a value or reads, somewhere, now and then."""
        world = self.world
        if world.now >= until:
            return
        name = world.draws.choice(world.names)
        if world.machines[name].up and world.machines[name].paused_until <= world.now:
            if world.draws.random() < 0.6:
                value = f"{number}.{len(self.history)}.{world.order}"
                self.history.append(("call", number, world.now, value.encode()))
                self.put(name, Propose(world.clock(name), f"{number}={value}", value.encode()))
            else:
                asked = f"r{world.order}"
                self.history.append(("ask", world.order, world.now, None))
                self.reads[asked] = (name, world.order)
                self.put(name, Read(world.clock(name), asked))
        world.at(every * world.draws.uniform(0.5, 1.5), lambda: self.client(number, every, until))

    def change_voters(self, until: timedelta) -> None:
        """Add or remove one voter at the leader, now and then; a wiped one gives way to its new identity."""
        world = self.world
        if world.now >= until:
            return
        for name, head in self.heads.items():
            if head.raft.leads and world.machines[name].up:
                voters = head.raft.voters
                here = {h.voter for h in self.heads.values()}
                gone = [v for v in voters if v not in here]
                others = [
                    h.voter
                    for n, h in self.heads.items()
                    if h.voter not in voters
                    and h.index + 50 > head.index
                    and n not in {v.name for v in voters}
                ]
                if gone:
                    after = tuple(v for v in voters if v != gone[0])
                elif others and len(voters) < 5:
                    after = tuple(sorted((*voters, world.draws.choice(others))))
                elif len(voters) > 3:
                    after = tuple(v for v in voters if v != world.draws.choice(voters))
                else:
                    continue
                self.changes += 1
                self.put(name, Propose(world.clock(name), "0=change", encode_voters(after), VOTERS))
        world.at(timedelta(seconds=1), lambda: self.change_voters(until))

    # -- at the end ---------------------------------------------------------------------------------------
    def check_settled(self) -> None:
        """After the faults: all hold the same, and nothing acknowledged is lost or doubled."""
        up = [h for n, h in self.heads.items() if self.world.machines[n].up]
        longest = max(up, key=lambda h: h.index)
        for head in up:
            if head.values != longest.values:
                raise Broken(
                    f"{head.voter.name} differs after the faults: {len(head.values)} values, "
                    f"{longest.voter.name} has {len(longest.values)}"
                )
        for value, index in self.acknowledged.items():
            if longest.values.count(value) != 1:
                raise Broken(
                    f"{value!r}, acknowledged at {index}, is there {longest.values.count(value)} times"
                )
        if not any(h.raft.leads for h in up):
            raise Broken("nobody leads after the faults")


def restored(state: bytes) -> list[bytes]:
    """The values that a snapshot holds."""
    return state.split(b"\n") if state else []
