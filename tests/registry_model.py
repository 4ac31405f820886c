"""A model of a registry and of the line to it, for checking the follower: every order of changes, breaks, lag,
compaction and resumption up to a depth. It knows nothing of sockets, and nothing of the follower's own mind: it
judges by what the follower tells."""

from __future__ import annotations

import copy
from datetime import timedelta

from stoatrouter.membership import follower_records as f

# What happens in the registry, in turn: transactions of keys and values (None: removed). In the second a node
# goes, in the third it comes back, in the fourth it drains together with another: one transaction of two keys.
TRANSACTIONS = (
    (("a", b"up"), ("b", b"up")),
    (("a", None),),
    (("a", b"up"),),
    (("a", b"drain"), ("b", b"drain")),
)
FIRST = 10  # the revision of the first one


class Wrong(Exception):
    """A rule was broken."""


class World:
    """The registry, its two members, the line, and a follower."""

    def __init__(self, make) -> None:
        self.follower = make(f.Limits(endpoints=2), 0)
        self.done = 1  # transactions that have happened
        self.applied = [1, 1]  # how many each member knows
        self.floor = 0  # transactions before this are compacted away
        self.now = timedelta(0)
        self.call = None  # the call at hand: what it is, its endpoint, how far it has come
        self.stale = None  # an event of a call that was ended, still on its way
        self.told = {}  # what the core knows: key -> (revision, value)
        self.breaks = self.compactions = self.stales = 0
        self.run(self.follower.reduce(f.Started(self.now)))

    def clone(self):
        other = copy.copy(self)
        other.follower = copy.copy(self.follower)
        for name in ("notified", "older_revisions"):
            setattr(other.follower, name, dict(getattr(self.follower, name)))
        other.follower.buffered = list(self.follower.buffered)
        other.applied, other.told = list(self.applied), dict(self.told)
        return other

    def key(self):
        """What makes two worlds the same: times and numbers of calls do not."""
        fol = self.follower
        call = None if self.call is None else (self.call[0], *self.call[2:])
        stale = (
            None
            if self.stale is None
            else type(self.stale).__name__ + str(getattr(self.stale, "revision", 0))
        )
        return (
            fol.phase,
            fol.revision,
            fol.must_reread,
            fol.endpoint,
            tuple(sorted(fol.notified.items(), key=str)),
            tuple(fol.buffered),
            tuple(sorted(fol.older_revisions.items())),
            self.done,
            tuple(self.applied),
            self.floor,
            call,
            stale,
            tuple(sorted(self.told.items())),
            self.breaks,
            self.compactions,
            self.stales,
        )

    # -- the registry -------------------------------------------------------------------------------------
    def state(self, count):
        """What is kept after so many transactions."""
        kept = {}
        for i, transaction in enumerate(TRANSACTIONS[:count]):
            for key, value in transaction:
                kept.pop(key, None)
                if value is not None:
                    kept[key] = f.Entry(FIRST + i, value)
        return kept

    # -- effects ------------------------------------------------------------------------------------------
    def run(self, effects):
        for effect in effects:
            match effect:
                case f.ReadList():
                    self.call = ("read", effect.call, effect.endpoint, 0, 0)
                case f.Watch():
                    self.call = ("watch", effect.call, effect.endpoint, effect.after - FIRST + 1, 0)
                case f.CancelCall():
                    if self.call is not None and self.call[1] == effect.call:
                        if self.stales < 1 and (left := self.next_event()) is not None:
                            self.stale = left
                        self.call = None
                case f.Notify():
                    self.hear(effect)

    def hear(self, tell):
        """The rules, of what is told alone."""
        by_revision = {}
        for change in tell.changes:
            before = self.told.get(change.key)
            if before is not None and change.revision < before[0]:
                raise Wrong(f"{change.key} of {change.revision} after {before[0]}")
            if before is not None and change.value == before[1] and change.revision == before[0]:
                raise Wrong(f"{change.key} of {change.revision} was told twice")
            if before is not None and before[1] == b"drain" and change.value == b"up":
                raise Wrong("a drain was undone")
            self.told[change.key] = (change.revision, change.value)
            by_revision.setdefault(change.revision, set()).add(change.key)
        for revision, keys in by_revision.items():
            whole = {key for key, _ in TRANSACTIONS[revision - FIRST]}
            if not tell.resynchronised and keys != whole:
                raise Wrong(f"{keys} of a transaction of {whole}")

    # -- what may happen ----------------------------------------------------------------------------------
    def next_event(self):
        """What the call at hand says next, or None."""
        kind, call, endpoint, at, part = self.call
        known = self.applied[endpoint]
        if kind == "read":
            return f.ListRead(self.now, call, FIRST + known - 1, self.state(known))
        if at < self.floor:
            return f.RevisionCompacted(self.now, call)
        if at >= known:
            return None
        transaction = TRANSACTIONS[at]
        changes = tuple(f.Change(key, FIRST + at, value) for key, value in transaction)
        if len(changes) > 1:  # in two fragments
            return f.ChangesReceived(self.now, call, FIRST + at, changes[part : part + 1], complete=part == 1)
        return f.ChangesReceived(self.now, call, FIRST + at, changes)

    def actions(self, faults=True):
        """Everything that may happen now."""
        made = []
        if self.call is not None and self.next_event() is not None:
            made.append("deliver")
        if self.follower.phase is f.Phase.WAITING:
            made.append("wait")
        made += [f"apply{i}" for i in (0, 1) if self.applied[i] < self.done]
        if not faults:
            return made
        if self.done < len(TRANSACTIONS):
            made.append("change")
        if self.call is not None and self.breaks < 2:
            made.append("break")
        if self.call is not None and self.call[0] == "watch" and self.breaks < 2:
            made.append("silence")
        if self.call is not None and self.call[0] == "watch":
            made.append("progress")
        if self.floor < self.applied[0] and self.compactions < 2:
            made.append("compact")
        if self.stale is not None:
            made.append("stale")
        return made

    def act(self, action):
        fol = self.follower
        if action == "deliver":
            event = self.next_event()
            if isinstance(event, f.ChangesReceived):
                kind, call, endpoint, at, part = self.call
                self.call = (
                    (kind, call, endpoint, at + 1, 0) if event.complete else (kind, call, endpoint, at, 1)
                )
            self.run(fol.reduce(event))
        elif action in ("wait", "silence"):
            self.breaks += action == "silence"
            self.now = max(self.now, fol.deadline)
            self.run(fol.reduce(f.Tick(self.now)))
        elif action == "change":
            self.done += 1
            self.applied[0] = max(self.applied[0], self.done)  # the first member leads, the other lags
        elif action == "break":
            self.breaks += 1
            self.run(fol.reduce(f.CallFailed(self.now, self.call[1])))
        elif action == "progress":
            kind, call, endpoint, at, part = self.call
            self.run(fol.reduce(f.ProgressReceived(self.now, call, FIRST + at + (0 if part else -1))))
        elif action == "compact":
            self.compactions += 1
            self.floor = self.applied[0]  # the leader's; a member that lags knows even less
        elif action == "stale":
            event, self.stale = self.stale, None
            self.stales += 1
            self.run(fol.reduce(event))
        else:
            self.applied[int(action[-1])] += 1
        return self

    def settle(self):
        """No more faults: after what is still due, the core knows the registry as it is."""
        for _ in range(200):
            acts = self.actions(faults=False)
            if not acts:
                break
            self.act(next((a for a in acts if a.startswith("apply")), acts[0]))
        wanted = {key: entry.value for key, entry in self.state(self.done).items()}
        known = {key: value for key, (_, value) in self.told.items() if value is not None}
        if known != wanted:
            raise Wrong(f"the core knows {known}, the registry has {wanted}")


def search(make, depth):
    """All worlds up to a depth; their number. Raises Wrong with the way that led there."""
    seen, waiting = {}, [(World(make), ())]
    while waiting:
        world, way = waiting.pop()
        key, left = world.key(), depth - len(way)
        if seen.get(key, -1) >= left:
            continue  # it has been here, with as many steps to go
        new, seen[key] = key not in seen, left
        try:
            if new:
                world.clone().settle()
            if len(way) < depth:
                for action in world.actions():
                    waiting.append((world.clone().act(action), (*way, action)))
        except Wrong as error:
            raise Wrong(f"{error}; by {' '.join(way)}") from None
    return len(seen)
