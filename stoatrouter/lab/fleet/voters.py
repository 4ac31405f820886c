"""A fleet of Raft voters in virtual time, with disks that lose what was not yet on them; invariants checked.

Invariants are checked after each step on what the world saw (messages and applied entries), never by asking a
head's own opinion of itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.founding import Founded
from stoatrouter.agreement.raft import Raft, Timing
from stoatrouter.agreement.records import (
    COMMAND,
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
    ReadConfirmed,
    Received,
    Rejected,
    Restore,
    Send,
    Snapshot,
    Tick,
    Voter,
    WriteCompleted,
)
from stoatrouter.lab.fleet.disk import apply_write, record_commit
from stoatrouter.lab.fleet.errors import InvariantViolated
from stoatrouter.lab.fleet.register import RegisterHistory
from stoatrouter.lab.fleet.world import World

TICK = timedelta(milliseconds=50)
POLL_INTERVAL = timedelta(milliseconds=150)  # a head without a vote asks others so often
MIN_DISK_DELAY = timedelta(milliseconds=1)
MAX_DISK_DELAY = timedelta(milliseconds=12)


@dataclass
class VoterHead:
    """One machine: its reducer, its disk, and the list of values that it has applied."""

    voter: Voter
    raft: Raft
    disk: PersistentState
    values: list[bytes] = field(default_factory=list)
    index: int = 0  # of the entry applied last
    pending: list[Persist] = field(default_factory=list)  # writes in flight, in order


@dataclass
class VoterFleet:
    """Heads that agree on a list of values, and clients that append to it and read it.

    `make_raft` builds a head's reducer (a mutant's, where a test shows that the invariants are checked).
    """

    world: World
    voter_count: int = 3
    make_raft: Callable[..., Raft] = Raft
    timing: Timing = field(default_factory=Timing)
    max_disk_delay: timedelta = MAX_DISK_DELAY
    compact_every: int = 40  # entries
    heads: dict[str, VoterHead] = field(default_factory=dict)
    applied: dict[int, Entry] = field(default_factory=dict)  # the one entry for each index, over all heads
    leaders: dict[int, str] = field(default_factory=dict)  # the identity that led, by term
    history: RegisterHistory = field(default_factory=RegisterHistory)
    identities_issued: int = 0  # beyond those that heads began with
    forgotten: int = 0  # times that a head found its disk older than what it had acknowledged
    voter_changes: int = 0  # proposed

    def __post_init__(self) -> None:
        """Found the fleet with its first machines as voters, and start every machine."""
        names = self.world.names
        self.founders = tuple(Voter(name, f"{name}/0") for name in names[: self.voter_count])
        founded = Founded(self.founders[0].identity, self.founders)
        for name in names:
            is_founder = name in names[: self.voter_count]
            disk = PersistentState(0, None, founded.snapshot()) if is_founder else PersistentState()
            self.boot(name, Voter(name, f"{name}/0"), disk)

    # -- machines -----------------------------------------------------------------------------------------
    def boot(self, name: str, voter: Voter, disk: PersistentState) -> None:
        """Start a head with what is on its disk."""
        world = self.world
        seed = world.seed * 1000 + world.machines[name].incarnation
        raft = self.make_raft(voter, disk, seed, self.timing, now=world.clock(name))
        values = decode_values(disk.snapshot.state)
        head = self.heads[name] = VoterHead(voter, raft, disk, values, disk.snapshot.index)
        for entry in raft.restored_entries():
            self._apply(name, head, entry)
        world.schedule_on(name, TICK * world.rng.random(), lambda: self.tick(name))
        world.schedule_on(name, TICK, lambda: self.poll(name))

    def tick(self, name: str) -> None:
        """Let time pass for a head."""
        self.reduce(name, Tick(self.world.clock(name)))
        self.world.schedule_on(name, TICK, lambda: self.tick(name))

    def kill(self, name: str, wipe: bool) -> None:
        """End a head; of its writes in flight, some first ones may have reached the disk.

        A wiped disk comes back as another identity. It is wiped only where the algorithm still promises
        something (see `may_wipe`).
        """
        head = self.heads[name]
        written = self.world.rng.randint(0, len(head.pending))
        for effect in head.pending[:written]:
            head.disk = apply_write(head.disk, effect.write)
        head.pending.clear()
        if wipe and self.may_wipe(name):
            self.wipe(name)
        self.world.stop_machine(name)

    def wipe(self, name: str) -> None:
        """Replace a head's disk by an empty one, which is another identity."""
        self.identities_issued += 1
        head = self.heads[name]
        head.disk = PersistentState()
        head.voter = Voter(name, f"{name}/{self.identities_issued}")

    def may_wipe(self, name: str) -> bool:
        """Whether, without this disk, a majority stays intact of every set of voters that any head knows."""
        intact = {head.voter for other, head in self.heads.items() if other != name}
        voter_sets = {head.raft.voters for head in self.heads.values()}
        return all(2 * len(intact & set(voters)) > len(voters) for voters in voter_sets)

    def start(self, name: str) -> None:
        """Start a head again."""
        self.world.start_machine(name)
        self.boot(name, self.heads[name].voter, self.heads[name].disk)

    # -- the reducer and its effects ----------------------------------------------------------------------
    def reduce(self, name: str, event: Event) -> None:
        """Reduce an event at a head, and run its effects."""
        head = self.heads[name]
        for effect in head.raft.reduce(event):
            self._run_effect(name, head, effect)
        head.disk = record_commit(head.disk, head.raft.durable_commit_index)
        self._check_election_safety(head.raft)

    def _check_election_safety(self, raft: Raft) -> None:
        """Check that a term has at most one leader (Ongaro 2014, figure 3.2: election safety)."""
        if not raft.leads:
            return
        leader = self.leaders.setdefault(raft.term, raft.me.identity)
        if leader != raft.me.identity:
            raise InvariantViolated(f"two leaders of term {raft.term}: {leader} and {raft.me.identity}")

    def _run_effect(self, name: str, head: VoterHead, effect: Effect) -> None:
        match effect:
            case Send():
                self._send(name, head, effect)
            case Persist():
                self._begin_write(name, head, effect)
            case Apply():
                self._apply_entries(name, head, effect)
            case Restore():
                head.values = decode_values(effect.snapshot.state)
                head.index = effect.snapshot.index
            case Accepted():
                self.history.accept(name, effect)
            case Rejected():
                self.history.reject(effect.id)
            case ReadConfirmed():
                values = tuple(head.values) if head.index >= effect.index else None
                self.history.readable(name, effect.id, self.world.now, values)
            case LogLost():
                self.forgotten += 1

    def _send(self, name: str, head: VoterHead, effect: Send) -> None:
        sender, receiver = head.voter, effect.to
        self.world.record(f"{name}>{receiver.name} {effect.message!r:.60}")

        def deliver() -> None:
            # one of an earlier incarnation may well arrive: the invariants hold all the same
            if self.heads[receiver.name].voter == receiver:
                clock = self.world.clock(receiver.name)
                self.reduce(receiver.name, Received(clock, sender, effect.message))

        self.world.send(name, receiver.name, deliver)

    # -- disks --------------------------------------------------------------------------------------------
    def _begin_write(self, name: str, head: VoterHead, effect: Persist) -> None:
        """Queue a write: a disk does one at a time, in order."""
        head.pending.append(effect)
        delay = self._disk_delay()  # drawn for each write, also for one that waits: seeds depend on it
        if len(head.pending) == 1:
            self.world.schedule_on(name, delay, lambda: self._end_write(name, head))

    def _end_write(self, name: str, head: VoterHead) -> None:
        """Put a head's oldest write on its disk, send what waited for it, and begin the next write."""
        effect = head.pending.pop(0)
        head.disk = apply_write(head.disk, effect.write)
        for send in effect.then:
            self._send(name, head, send)
        if head.pending:
            self.world.schedule_on(name, self._disk_delay(), lambda: self._end_write(name, head))
        self.reduce(name, WriteCompleted(self.world.clock(name), effect.number))

    def _disk_delay(self) -> timedelta:
        return MIN_DISK_DELAY + self.max_disk_delay * self.world.rng.random()

    # -- applied entries ----------------------------------------------------------------------------------
    def _apply_entries(self, name: str, head: VoterHead, effect: Apply) -> None:
        """Apply entries in order, and compact the log once enough of them have been applied."""
        for entry in effect.entries:
            self._apply(name, head, entry)
        if head.index - head.raft.log.snapshot.index >= self.compact_every:
            state = b"\n".join(head.values)
            self.reduce(name, Compact(self.world.clock(name), head.index, state))

    def _apply(self, name: str, head: VoterHead, entry: Entry) -> None:
        """Apply an entry, once it is checked against what all heads applied at its index."""
        self._check_state_machine_safety(name, head, entry)
        head.index = entry.index
        is_command = entry.kind == COMMAND
        if is_command:
            head.values.append(entry.body)
        self.history.applied(name, entry.index, entry.term, self.world.now, is_command)

    def _check_state_machine_safety(self, name: str, head: VoterHead, entry: Entry) -> None:
        """Check that all heads apply the same entry at each index, and leave none out."""
        known = self.applied.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantViolated(f"{name} applied another entry at {entry.index}: {entry} and {known}")
        if entry.index != head.index + 1:
            raise InvariantViolated(f"{name} applied {entry.index} after {head.index}")

    def committed_values(self) -> list[bytes]:
        """All values that any head has applied, in the order of the log."""
        return [entry.body for _, entry in sorted(self.applied.items()) if entry.kind == COMMAND]

    # -- heads without a vote -----------------------------------------------------------------------------
    def hears_from_leader(self, name: str) -> bool:
        """Whether a head leads, or votes under a leader that it knows; others have to poll."""
        raft = self.heads[name].raft
        return raft.leads or (raft.votes_here and raft.leader is not None)

    def poll(self, name: str) -> None:
        """Ask some other head for what was agreed on, unless a leader sends it, and again later."""
        world = self.world
        if not self.hears_from_leader(name):
            other = world.rng.choice([n for n in world.names if n != name])
            after = self.heads[name].index
            world.send(name, other, lambda: self.answer_poll(other, name, after))
        world.schedule_on(name, POLL_INTERVAL, lambda: self.poll(name))

    def answer_poll(self, name: str, poller: str, after: int) -> None:
        """Send the entries after an index, or a snapshot where they are compacted already."""
        raft = self.heads[name].raft
        term = raft.log.term_at(after)
        snapshot: Snapshot | None = None
        if term is not None and after:
            prev_index, prev_term, entries = after, term, raft.log.entries_from(after + 1, raft.commit_index)
        elif raft.log.snapshot.index:
            prev_index, prev_term, entries = 0, 0, ()
            snapshot = raft.log.snapshot
        else:
            return
        commit = raft.commit_index

        def deliver() -> None:
            clock = self.world.clock(poller)
            self.reduce(poller, CommittedReceived(clock, prev_index, prev_term, entries, commit, snapshot))

        self.world.send(name, poller, deliver)

    # -- at the end ---------------------------------------------------------------------------------------
    def check_converged(self) -> None:
        """Check, after the faults, that all hold the same, somebody leads, and no acknowledged put is lost.

        Raises:
            InvariantViolated: Heads differ, a value is lost or there twice, or nobody leads.
        """
        up = [head for name, head in self.heads.items() if self.world.machines[name].up]
        longest = max(up, key=lambda head: head.index)
        for head in up:
            if head.values != longest.values:
                raise InvariantViolated(
                    f"{head.voter.name} differs after the faults: {len(head.values)} values, "
                    f"{longest.voter.name} has {len(longest.values)}"
                )
        for value, index in self.history.acknowledged.items():
            count = longest.values.count(value)
            if count != 1:
                raise InvariantViolated(f"{value!r}, acknowledged at {index}, is there {count} times")
        if not any(head.raft.leads for head in up):
            raise InvariantViolated("nobody leads after the faults")


def decode_values(state: bytes) -> list[bytes]:
    """Read the list of values out of a snapshot's state."""
    return state.split(b"\n") if state else []
