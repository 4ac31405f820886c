"""All orders of events of a few voters, up to a depth: messages in any order or lost, writes late, one crash.

Time is left out: any voter may stand for election at any moment, which is more than clocks allow. Two states
that differ only in numbers of writes are one.
"""

from __future__ import annotations

import copy
import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from stoatrouter.agreement.raft import Raft, Timing
from stoatrouter.agreement.records import (
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
from stoatrouter.lab.fleet.voters import Broken, written

NOW = timedelta(0)
AT_ONCE = Timing(timedelta(0), timedelta(0))


@dataclass(slots=True)
class Here:
    """One voter."""

    raft: Raft
    disk: PersistentState
    pending: list[Persist] = field(default_factory=list)
    applied: int = 1


@dataclass(slots=True)
class Small:
    """A state of all voters and of what is between them."""

    make: Callable[..., Raft]
    here: list[Here] = field(default_factory=list)
    between: list[tuple[int, int, Any]] = field(default_factory=list)  # from, to, message
    agreed: dict[int, Entry] = field(default_factory=dict)
    leaders: dict[int, int] = field(default_factory=dict)
    crashes: int = 1
    proposals: int = 1

    def key(self) -> bytes:
        """What tells this state from others."""
        voters = []
        for here in self.here:
            raft = here.raft
            voters.append(
                (
                    raft.term,
                    raft.voted_for,
                    raft.role,
                    raft.leader,
                    raft.commit_index,
                    raft.last_applied,
                    raft.durable_index,
                    tuple(raft.pending_writes.values()),
                    tuple(sorted(raft.votes)),
                    tuple((p.next_index, p.match_index, p.round) for p in raft.peers.values()),
                    raft.round,
                    raft.log.entries,
                    here.disk,
                    [(d.write, d.then) for d in here.pending],
                )
            )
        between = sorted(pickle.dumps(m) for m in self.between)
        return pickle.dumps((voters, between, self.crashes, self.proposals, sorted(self.leaders.items())))

    # -- what may happen next -----------------------------------------------------------------------------
    def actions(self) -> Iterator[tuple[str, int]]:
        """All that may happen in this state."""
        for i, (_, _, message) in enumerate(self.between):
            yield f"deliver {type(message).__name__}", i
            yield "lose", i
        for i, here in enumerate(self.here):
            if here.pending:
                yield "write", i
            if not here.raft.leads:
                yield "stand", i
            elif self.proposals:
                yield "propose", i
            if self.crashes:
                yield "crash", i

    def after(self, what: str, i: int) -> Small:
        """The state after an action; raises Broken."""
        new = copy.copy(self)
        new.here = copy.deepcopy(self.here)
        new.between = list(self.between)
        new.agreed, new.leaders = dict(self.agreed), dict(self.leaders)
        if what.startswith("deliver"):
            sender, to, message = new.between.pop(i)
            new.put(to, Received(NOW, new.here[sender].raft.me, message))
        elif what == "lose":
            new.between.pop(i)
        elif what == "write":
            effect = new.here[i].pending.pop(0)
            new.here[i].disk = written(new.here[i].disk, effect.write)
            for send in effect.then:
                new.send(i, send)
            new.put(i, WriteCompleted(NOW, effect.number))
        elif what == "stand":
            new.here[i].raft.election_at = NOW
            new.put(i, Tick(NOW))
        elif what == "propose":
            new.proposals -= 1
            new.put(i, Propose(NOW, "p", b"x%d" % i))
        else:
            new.crashes -= 1
            disk = new.here[i].disk
            raft = new.make(new.here[i].raft.me, disk, 1, AT_ONCE)
            new.here[i] = Here(raft, disk, applied=disk.snapshot.index)
        return new

    def put(self, i: int, event: Event) -> None:
        """Reduce an event at one voter, and run its effects."""
        here = self.here[i]
        for effect in here.raft.reduce(event):
            match effect:
                case Send():
                    self.send(i, effect)
                case Persist():
                    here.pending.append(effect)
                case Apply():
                    for entry in effect.entries:
                        if self.agreed.setdefault(entry.index, entry) != entry:
                            raise Broken(f"two entries agreed on at {entry.index}")
                        if entry.index != here.applied + 1:
                            raise Broken(f"{entry.index} applied after {here.applied}")
                        here.applied = entry.index
        if here.raft.leads and self.leaders.setdefault(here.raft.term, i) != i:
            raise Broken(f"two leaders of term {here.raft.term}")

    def send(self, i: int, send: Send) -> None:
        """Put a message between two voters, once."""
        to = next(j for j, here in enumerate(self.here) if here.raft.me == send.to)
        if (i, to, send.message) not in self.between:
            self.between.append((i, to, send.message))


def search(
    voters: int, depth: int, make: Callable[..., Raft] = Raft, crashes: int = 1, most: int = 1 << 62
) -> tuple[int, int]:
    """All states up to a depth, breadth first: how many there were, and the depth that was done. Raises
    Broken.
    """
    everybody = tuple(Voter(f"h{i}", f"h{i}/0") for i in range(voters))
    disk = PersistentState(0, None, Snapshot(1, 0, everybody, b""))
    first = Small(make, crashes=crashes)
    first.here = [Here(make(me, disk, 1, AT_ONCE), disk) for me in everybody]
    seen, level = {first.key()}, [first]
    for done in range(depth):
        following: list[Small] = []
        for state in level:
            for what, i in state.actions():
                after = state.after(what, i)
                if (key := after.key()) not in seen:
                    seen.add(key)
                    following.append(after)
                    if len(seen) >= most:
                        return len(seen), done
        level = following
        if not level:
            break
    return len(seen), depth
