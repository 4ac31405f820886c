"""Model checking of a few voters: all orders of events up to a depth, with message loss and crashes.

Time is not modelled: any voter may start an election at any moment, which includes every order that clocks
allow. States that differ only in the numbers of writes count as equal.
"""

from __future__ import annotations

import copy
import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto
from typing import NamedTuple

from stoatrouter.agreement.raft import Raft, Timing
from stoatrouter.agreement.records import (
    AnyMessage,
    Apply,
    Entry,
    Event,
    Persist,
    PersistentState,
    Propose,
    Received,
    Send,
    Snapshot,
    Tick,
    Voter,
    WriteCompleted,
)
from stoatrouter.lab.fleet.disk import apply_write, record_commit
from stoatrouter.lab.fleet.errors import InvariantViolated

NOW = timedelta(0)
ZERO_TIMING = Timing(timedelta(0), timedelta(0))
UNLIMITED = 1 << 62  # states


class ActionKind(Enum):
    """The kinds of transitions."""

    DELIVER = auto()
    LOSE = auto()
    WRITE = auto()
    START_ELECTION = auto()
    PROPOSE = auto()
    CRASH = auto()


class Action(NamedTuple):
    """A transition of a message in flight (DELIVER, LOSE) or of a voter (the other kinds)."""

    kind: ActionKind
    target: int  # index of the message in flight or of the voter


class InFlight(NamedTuple):
    """A message in flight; sender and receiver are indexes of voters."""

    sender: int
    receiver: int
    message: AnyMessage


@dataclass(slots=True)
class VoterState:
    """A voter with its disk."""

    raft: Raft
    disk: PersistentState
    pending: list[Persist] = field(default_factory=list)
    applied: int = 1  # index of the last applied entry

    def key(self) -> tuple[object, ...]:
        """Return the fields in which distinct states of the voter differ."""
        raft = self.raft
        return (
            raft.term,
            raft.voted_for,
            raft.role,
            raft.leader,
            raft.commit_index,
            raft.last_applied,
            raft.durable_index,
            tuple(raft.pending_writes.values()),
            tuple(sorted(raft.votes)),
            tuple((peer.next_index, peer.match_index, peer.round) for peer in raft.peers.values()),
            raft.round,
            raft.log.entries,
            self.disk,
            [(effect.write, effect.then) for effect in self.pending],
        )


@dataclass(slots=True)
class ClusterState:
    """The state of all voters and of the messages between them."""

    make_raft: Callable[..., Raft]
    voters: list[VoterState] = field(default_factory=list)
    in_flight: list[InFlight] = field(default_factory=list)
    committed: dict[int, Entry] = field(default_factory=dict)  # by index
    leaders: dict[int, int] = field(default_factory=dict)  # index of the voter, by term
    crashes_left: int = 1
    proposals_left: int = 1

    def key(self) -> bytes:
        """Return a key that is equal for equal states."""
        voters = [voter.key() for voter in self.voters]
        in_flight = sorted(pickle.dumps(message) for message in self.in_flight)
        counts = (self.crashes_left, self.proposals_left)
        return pickle.dumps((voters, in_flight, *counts, sorted(self.leaders.items())))

    # -- transitions --------------------------------------------------------------------------------------
    def actions(self) -> Iterator[Action]:
        """Yield all actions that are possible in this state."""
        for i in range(len(self.in_flight)):
            yield Action(ActionKind.DELIVER, i)
            yield Action(ActionKind.LOSE, i)
        for i, voter in enumerate(self.voters):
            if voter.pending:
                yield Action(ActionKind.WRITE, i)
            if not voter.raft.leads:
                yield Action(ActionKind.START_ELECTION, i)
            elif self.proposals_left:
                yield Action(ActionKind.PROPOSE, i)
            if self.crashes_left:
                yield Action(ActionKind.CRASH, i)

    def after(self, action: Action) -> ClusterState:
        """Return the state after an action; raises InvariantViolated."""
        successor = copy.copy(self)
        successor.voters = copy.deepcopy(self.voters)
        successor.in_flight = list(self.in_flight)
        successor.committed = dict(self.committed)
        successor.leaders = dict(self.leaders)
        successor._run_action(action)
        return successor

    def _run_action(self, action: Action) -> None:
        i = action.target
        match action.kind:
            case ActionKind.DELIVER:
                sender, receiver, message = self.in_flight.pop(i)
                self._reduce(receiver, Received(NOW, self.voters[sender].raft.me, message))
            case ActionKind.LOSE:
                self.in_flight.pop(i)
            case ActionKind.WRITE:
                self._end_write(i)
            case ActionKind.START_ELECTION:
                self.voters[i].raft.election_at = NOW
                self._reduce(i, Tick(NOW))
            case ActionKind.PROPOSE:
                self.proposals_left -= 1
                self._reduce(i, Propose(NOW, "p", b"x%d" % i))
            case ActionKind.CRASH:
                self._crash(i)

    def _end_write(self, i: int) -> None:
        voter = self.voters[i]
        effect = voter.pending.pop(0)
        voter.disk = apply_write(voter.disk, effect.write)
        for send in effect.then:
            self._send(i, send)
        self._reduce(i, WriteCompleted(NOW, effect.number))

    def _crash(self, i: int) -> None:
        """Crash a voter and restart it with the contents of its disk."""
        self.crashes_left -= 1
        disk = self.voters[i].disk
        raft = self.make_raft(self.voters[i].raft.me, disk, 1, ZERO_TIMING)
        self.voters[i] = VoterState(raft, disk, applied=disk.snapshot.index)
        for entry in raft.restored_entries():
            self._apply(self.voters[i], entry)

    # -- the reducer and its effects ----------------------------------------------------------------------
    def _reduce(self, i: int, event: Event) -> None:
        voter = self.voters[i]
        for effect in voter.raft.reduce(event):
            match effect:
                case Send():
                    self._send(i, effect)
                case Persist():
                    voter.pending.append(effect)
                case Apply():
                    for entry in effect.entries:
                        self._apply(voter, entry)
        voter.disk = record_commit(voter.disk, voter.raft.durable_commit_index)
        if voter.raft.leads and self.leaders.setdefault(voter.raft.term, i) != i:
            raise InvariantViolated(f"two leaders of term {voter.raft.term}")

    def _apply(self, voter: VoterState, entry: Entry) -> None:
        if self.committed.setdefault(entry.index, entry) != entry:
            raise InvariantViolated(f"two entries committed at {entry.index}")
        if entry.index != voter.applied + 1:
            raise InvariantViolated(f"{entry.index} applied after {voter.applied}")
        voter.applied = entry.index

    def _send(self, i: int, send: Send) -> None:
        """Put a message in flight, unless an equal one is in flight already."""
        receiver = next(j for j, voter in enumerate(self.voters) if voter.raft.me == send.to)
        message = InFlight(i, receiver, send.message)
        if message not in self.in_flight:
            self.in_flight.append(message)


class SearchResult(NamedTuple):
    """The extent of a search."""

    states: int
    depth: int  # all states up to this depth were visited


def search(
    voters: int,
    depth: int,
    make_raft: Callable[..., Raft] = Raft,
    crashes: int = 1,
    max_states: int = UNLIMITED,
) -> SearchResult:
    """Visit all states up to a depth, breadth first.

    Args:
        voters: Number of voters.
        depth: Maximum number of consecutive actions.
        make_raft: Creates the reducer of a voter.
        crashes: Maximum number of crashes of all voters.
        max_states: The search stops once it has seen this many states.

    Returns:
        The number of states seen, and the depth up to which the search is complete.

    Raises:
        InvariantViolated: An invariant does not hold in some state.
    """
    first = initial_state(voters, make_raft, crashes)
    seen = {first.key()}
    level = [first]
    for visited_depth in range(depth):
        next_level: list[ClusterState] = []
        for state in successors(level, seen):
            next_level.append(state)
            if len(seen) >= max_states:
                return SearchResult(len(seen), visited_depth)
        level = next_level
        if not level:
            break
    return SearchResult(len(seen), depth)


def successors(level: list[ClusterState], seen: set[bytes]) -> Iterator[ClusterState]:
    """Yield the states that are one action after a level and not in `seen`, and add them to `seen`."""
    for state in level:
        for action in state.actions():
            successor = state.after(action)
            key = successor.key()
            if key not in seen:
                seen.add(key)
                yield successor


def initial_state(voters: int, make_raft: Callable[..., Raft], crashes: int) -> ClusterState:
    """Return the state of a newly founded set of voters."""
    all_voters = tuple(Voter(f"h{i}", f"h{i}/0") for i in range(voters))
    disk = PersistentState(0, None, Snapshot(1, 0, all_voters, b""))
    states = [VoterState(make_raft(me, disk, 1, ZERO_TIMING), disk) for me in all_voters]
    return ClusterState(make_raft, states, crashes_left=crashes)
