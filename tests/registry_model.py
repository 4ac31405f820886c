"""A model of a registry and of the line to it, for checking the follower: every order of changes, breaks, lag,
compaction and resumption up to a depth. It knows nothing of sockets, and nothing of the follower's own mind: it
judges by what the follower notifies."""

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


class RuleBroken(Exception):
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
        self.notified_to_core = {}  # what the core knows: key -> (revision, value)
        self.breaks = self.compactions = self.stales = 0
        self.run(self.follower.reduce(f.Started(self.now)))

    def clone(self):
        other = copy.copy(self)
        other.follower = copy.copy(self.follower)
        for name in ("notified", "older_revisions"):
            setattr(other.follower, name, dict(getattr(self.follower, name)))
        other.follower.buffered = list(self.follower.buffered)
        other.applied, other.notified_to_core = list(self.applied), dict(self.notified_to_core)
        return other

    def key(self):
        """What makes two worlds the same: times and numbers of calls do not."""
        follower = self.follower
        call = None if self.call is None else (self.call[0], *self.call[2:])
        stale = (
            None
            if self.stale is None
            else type(self.stale).__name__ + str(getattr(self.stale, "revision", 0))
        )
        return (
            follower.phase,
            follower.revision,
            follower.must_reread,
            follower.endpoint,
            tuple(sorted(follower.notified.items(), key=str)),
            tuple(follower.buffered),
            tuple(sorted(follower.older_revisions.items())),
            self.done,
            tuple(self.applied),
            self.floor,
            call,
            stale,
            tuple(sorted(self.notified_to_core.items())),
            self.breaks,
            self.compactions,
            self.stales,
        )

    # -- the registry -------------------------------------------------------------------------------------
    def state(self, count):
        """What is stored after so many transactions."""
        stored = {}
        for i, transaction in enumerate(TRANSACTIONS[:count]):
            for key, value in transaction:
                stored.pop(key, None)
                if value is not None:
                    stored[key] = f.Entry(FIRST + i, value)
        return stored

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
                    self.check_notification(effect)

    def check_notification(self, notification):
        """The rules, of the notifications alone."""
        by_revision = {}
        for change in notification.changes:
            before = self.notified_to_core.get(change.key)
            if before is not None and change.revision < before[0]:
                raise RuleBroken(f"{change.key} of {change.revision} after {before[0]}")
            if before is not None and change.value == before[1] and change.revision == before[0]:
                raise RuleBroken(f"{change.key} of {change.revision} was notified twice")
            if before is not None and before[1] == b"drain" and change.value == b"up":
                raise RuleBroken("a drain was undone")
            self.notified_to_core[change.key] = (change.revision, change.value)
            by_revision.setdefault(change.revision, set()).add(change.key)
        for revision, keys in by_revision.items():
            complete = {key for key, _ in TRANSACTIONS[revision - FIRST]}
            if not notification.resynchronised and keys != complete:
                raise RuleBroken(f"{keys} of a transaction of {complete}")

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
        possible = []
        if self.call is not None and self.next_event() is not None:
            possible.append("deliver")
        if self.follower.phase is f.Phase.WAITING:
            possible.append("wait")
        possible += [f"apply{i}" for i in (0, 1) if self.applied[i] < self.done]
        if not faults:
            return possible
        if self.done < len(TRANSACTIONS):
            possible.append("change")
        if self.call is not None and self.breaks < 2:
            possible.append("break")
        if self.call is not None and self.call[0] == "watch" and self.breaks < 2:
            possible.append("silence")
        if self.call is not None and self.call[0] == "watch":
            possible.append("progress")
        if self.floor < self.applied[0] and self.compactions < 2:
            possible.append("compact")
        if self.stale is not None:
            possible.append("stale")
        return possible

    def act(self, action):
        follower = self.follower
        if action == "deliver":
            event = self.next_event()
            if isinstance(event, f.ChangesReceived):
                kind, call, endpoint, at, part = self.call
                self.call = (
                    (kind, call, endpoint, at + 1, 0) if event.complete else (kind, call, endpoint, at, 1)
                )
            self.run(follower.reduce(event))
        elif action in ("wait", "silence"):
            self.breaks += action == "silence"
            self.now = max(self.now, follower.deadline)
            self.run(follower.reduce(f.Tick(self.now)))
        elif action == "change":
            self.done += 1
            self.applied[0] = max(self.applied[0], self.done)  # the first member leads, the other lags
        elif action == "break":
            self.breaks += 1
            self.run(follower.reduce(f.CallFailed(self.now, self.call[1])))
        elif action == "progress":
            kind, call, endpoint, at, part = self.call
            self.run(follower.reduce(f.ProgressReceived(self.now, call, FIRST + at + (0 if part else -1))))
        elif action == "compact":
            self.compactions += 1
            self.floor = self.applied[0]  # the leader's; a member that lags knows even less
        elif action == "stale":
            event, self.stale = self.stale, None
            self.stales += 1
            self.run(follower.reduce(event))
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
        known = {key: value for key, (_, value) in self.notified_to_core.items() if value is not None}
        if known != wanted:
            raise RuleBroken(f"the core knows {known}, the registry has {wanted}")


def search(make, depth):
    """All worlds up to a depth; their number. Raises RuleBroken with the path that led there."""
    seen, waiting = {}, [(World(make), ())]
    while waiting:
        world, path = waiting.pop()
        key, left = world.key(), depth - len(path)
        if seen.get(key, -1) >= left:
            continue  # it has been here, with as many steps to go
        new, seen[key] = key not in seen, left
        try:
            if new:
                world.clone().settle()
            if len(path) < depth:
                for action in world.actions():
                    waiting.append((world.clone().act(action), (*path, action)))
        except RuleBroken as error:
            raise RuleBroken(f"{error}; by {' '.join(path)}") from None
    return len(seen)
