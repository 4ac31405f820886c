"""A simulated fleet of Raft voters, whose disks lose unfinished writes in a crash.

Invariants are checked after each step against all leaders and applied entries seen so far, not against the
state of a single head.
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
POLL_INTERVAL = timedelta(milliseconds=150)  # interval at which a follower polls others
MIN_DISK_DELAY = timedelta(milliseconds=1)
MAX_DISK_DELAY = timedelta(milliseconds=12)
SNAPSHOT_PART_BYTES = 100  # so that a snapshot takes several messages


@dataclass
class VoterHead:
    """The head on one machine: its reducer, its disk and the list of values that it has applied."""

    voter: Voter
    raft: Raft
    disk: PersistentState
    values: list[bytes] = field(default_factory=list)
    index: int = 0  # of the last applied entry
    pending: list[Persist] = field(default_factory=list)  # writes in flight, in order


@dataclass
class VoterFleet:
    """Heads that replicate a list of values, with the history of the clients that append to it and read it.

    `make_raft` creates the reducer of a head; tests pass a mutant to show that the invariants are checked.
    """

    world: World
    voter_count: int = 3
    make_raft: Callable[..., Raft] = Raft
    timing: Timing = field(default_factory=Timing)
    max_disk_delay: timedelta = MAX_DISK_DELAY
    compact_every: int = 40  # number of entries after which a log is compacted
    heads: dict[str, VoterHead] = field(default_factory=dict)
    applied: dict[int, Entry] = field(default_factory=dict)  # by index; the same on all heads
    leaders: dict[int, str] = field(default_factory=dict)  # identity of the leader, by term
    history: RegisterHistory = field(default_factory=RegisterHistory)
    identities_issued: int = 0  # after the initial ones
    log_losses: int = 0  # number of times that a head found its disk older than what it had acknowledged
    voter_changes: int = 0  # number of proposed changes

    def __post_init__(self) -> None:
        """Found the fleet with its first machines as voters, and start all machines."""
        names = self.world.names
        self.founders = tuple(Voter(name, f"{name}/0") for name in names[: self.voter_count])
        founded = Founded(self.founders[0].identity, self.founders)
        for name in names:
            is_founder = name in names[: self.voter_count]
            disk = PersistentState(0, None, founded.snapshot()) if is_founder else PersistentState()
            self.boot(name, Voter(name, f"{name}/0"), disk)

    # -- machines -----------------------------------------------------------------------------------------
    def boot(self, name: str, voter: Voter, disk: PersistentState) -> None:
        """Start a head with the contents of its disk."""
        world = self.world
        seed = world.seed * 1000 + world.machines[name].incarnation
        raft = self.make_raft(
            voter, disk, seed, self.timing, now=world.clock(name), part_size=SNAPSHOT_PART_BYTES
        )
        values = decode_values(disk.snapshot.state)
        head = self.heads[name] = VoterHead(voter, raft, disk, values, disk.snapshot.index)
        for entry in raft.restored_entries():
            self._apply(name, head, entry)
        world.schedule_on(name, TICK * world.rng.random(), lambda: self.tick(name))
        world.schedule_on(name, TICK, lambda: self.poll(name))

    def tick(self, name: str) -> None:
        """Send a tick to a head, and schedule the next one."""
        self.reduce(name, Tick(self.world.clock(name)))
        self.world.schedule_on(name, TICK, lambda: self.tick(name))

    def kill(self, name: str, wipe: bool) -> None:
        """Kill a head; a random number of its oldest pending writes reaches the disk.

        If its disk is wiped, the head restarts with a new identity. The disk is wiped only if the algorithm
        can still guarantee safety (see `may_wipe`).
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
        """Replace the disk of a head with an empty one, which has a new identity."""
        self.identities_issued += 1
        head = self.heads[name]
        head.disk = PersistentState()
        head.voter = Voter(name, f"{name}/{self.identities_issued}")

    def may_wipe(self, name: str) -> bool:
        """Whether every set of voters known to any head keeps a majority of intact disks without this one."""
        intact = {head.voter for other, head in self.heads.items() if other != name}
        voter_sets = {head.raft.voters for head in self.heads.values()}
        return all(2 * len(intact & set(voters)) > len(voters) for voters in voter_sets)

    def start(self, name: str) -> None:
        """Restart a head."""
        self.world.start_machine(name)
        self.boot(name, self.heads[name].voter, self.heads[name].disk)

    # -- the reducer and its effects ----------------------------------------------------------------------
    def reduce(self, name: str, event: Event) -> None:
        """Apply an event to the reducer of a head, and run the effects."""
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
                self.history.complete_read(name, effect.id, self.world.now, values)
            case LogLost():
                self.log_losses += 1

    def _send(self, name: str, head: VoterHead, effect: Send) -> None:
        sender, receiver = head.voter, effect.to
        self.world.record(f"{name}>{receiver.name} {effect.message!r:.60}")

        def deliver() -> None:
            # a message to an earlier incarnation may arrive: the invariants hold nevertheless
            if self.heads[receiver.name].voter == receiver:
                clock = self.world.clock(receiver.name)
                self.reduce(receiver.name, Received(clock, sender, effect.message))

        self.world.send(name, receiver.name, deliver)

    # -- disks --------------------------------------------------------------------------------------------
    def _begin_write(self, name: str, head: VoterHead, effect: Persist) -> None:
        """Queue a write; a disk performs writes one at a time, in order."""
        head.pending.append(effect)
        delay = self._disk_delay()  # also drawn for a queued write: seeds depend on the sequence
        if len(head.pending) == 1:
            self.world.schedule_on(name, delay, lambda: self._end_write(name, head))

    def _end_write(self, name: str, head: VoterHead) -> None:
        """Complete the oldest write of a head, send the messages that depend on it, and begin the next."""
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
        """Apply entries in order, and compact the log once enough entries have been applied."""
        for entry in effect.entries:
            self._apply(name, head, entry)
        if head.index - head.raft.log.snapshot.index >= self.compact_every:
            state = b"\n".join(head.values)
            self.reduce(name, Compact(self.world.clock(name), head.index, state))

    def _apply(self, name: str, head: VoterHead, entry: Entry) -> None:
        """Check an entry against those that other heads applied at its index, and apply it."""
        self._check_state_machine_safety(name, head, entry)
        head.index = entry.index
        is_command = entry.kind == COMMAND
        if is_command:
            head.values.append(entry.body)
        self.history.complete_put(name, entry.index, entry.term, self.world.now, is_command)

    def _check_state_machine_safety(self, name: str, head: VoterHead, entry: Entry) -> None:
        """Check that all heads apply the same entry at each index, without gaps."""
        known = self.applied.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantViolated(f"{name} applied another entry at {entry.index}: {entry} and {known}")
        if entry.index != head.index + 1:
            raise InvariantViolated(f"{name} applied {entry.index} after {head.index}")

    def committed_values(self) -> list[bytes]:
        """Return all values that any head has applied, in the order of the log."""
        return [entry.body for _, entry in sorted(self.applied.items()) if entry.kind == COMMAND]

    # -- followers ----------------------------------------------------------------------------------------
    def hears_from_leader(self, name: str) -> bool:
        """Whether a head is the leader, or a voter that knows the leader; other heads have to poll."""
        raft = self.heads[name].raft
        return raft.leads or (raft.votes_here and raft.leader is not None)

    def poll(self, name: str) -> None:
        """Poll a random head for committed entries unless a leader sends them; schedule the next poll."""
        world = self.world
        if not self.hears_from_leader(name):
            other = world.rng.choice([n for n in world.names if n != name])
            after = self.heads[name].index
            world.send(name, other, lambda: self.answer_poll(other, name, after))
        world.schedule_on(name, POLL_INTERVAL, lambda: self.poll(name))

    def answer_poll(self, name: str, poller: str, after: int) -> None:
        """Send the entries after an index, or a snapshot if they have been compacted."""
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

    # -- final checks -------------------------------------------------------------------------------------
    def check_converged(self) -> None:
        """Check that heads hold the same values, one of them leads and no acknowledged put is lost.

        Raises:
            InvariantViolated: Heads differ, a value is lost or duplicated, or there is no leader.
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
                raise InvariantViolated(f"{value!r}, acknowledged at {index}, is present {count} times")
        if not any(head.raft.leads for head in up):
            raise InvariantViolated("there is no leader after the faults")


def decode_values(state: bytes) -> list[bytes]:
    """Decode the list of values from the state of a snapshot."""
    return state.split(b"\n") if state else []
