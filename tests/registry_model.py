"""A model of a registry and the connection to it, to check the follower exhaustively up to a depth.

It tries every order of changes, broken calls, lag, compaction and resumption. It has no sockets, and judges
the follower by its notifications alone, not by its internal state.
"""

from __future__ import annotations

import copy
from datetime import timedelta

from stoatrouter.membership import follower_records as f

# The transactions of the registry, in order: keys and values (None: removed). In the second one a node goes,
# in the third it comes back, in the fourth it drains together with another: one transaction of two keys.
TRANSACTIONS = (
    (("a", b"up"), ("b", b"up")),
    (("a", None),),
    (("a", b"up"),),
    (("a", b"drain"), ("b", b"drain")),
)
FIRST_REVISION = 10  # revision of the first transaction


class RuleBroken(Exception):
    """The follower broke a rule."""


class RegistryModel:
    """The registry, its two members, the connection, and a follower."""

    def __init__(self, new_follower) -> None:
        self.follower = new_follower(f.Limits(endpoints=2), 0)
        self.committed = 1  # committed transactions
        self.applied = [1, 1]  # transactions that each member has applied
        self.compacted_before = 0  # transactions before this are compacted away
        self.now = timedelta(0)
        self.call = None  # the open call: kind, id, endpoint, next transaction, next fragment
        self.stale = None  # an undelivered event of a cancelled call
        self.notified_to_core = {}  # key -> (revision, value)
        self.breaks = 0
        self.compactions = 0
        self.stale_events = 0
        self.run(self.follower.reduce(f.Started(self.now)))

    def clone(self):
        other = copy.copy(self)
        other.follower = copy.copy(self.follower)
        for name in ("notified", "older_revisions"):
            setattr(other.follower, name, dict(getattr(self.follower, name)))
        other.follower.buffered = list(self.follower.buffered)
        other.applied = list(self.applied)
        other.notified_to_core = dict(self.notified_to_core)
        return other

    def key(self):
        """Return what identifies a state: all but times and ids of calls."""
        follower = self.follower
        call = None if self.call is None else (self.call[0], *self.call[2:])
        stale = None
        if self.stale is not None:
            stale = type(self.stale).__name__ + str(getattr(self.stale, "revision", 0))
        return (
            follower.phase,
            follower.revision,
            follower.must_reread,
            follower.endpoint,
            tuple(sorted(follower.notified.items(), key=str)),
            tuple(follower.buffered),
            tuple(sorted(follower.older_revisions.items())),
            self.committed,
            tuple(self.applied),
            self.compacted_before,
            call,
            stale,
            tuple(sorted(self.notified_to_core.items())),
            self.breaks,
            self.compactions,
            self.stale_events,
        )

    # -- the registry -------------------------------------------------------------------------------------
    def state(self, count):
        """Return what is stored after so many transactions."""
        stored = {}
        for i, transaction in enumerate(TRANSACTIONS[:count]):
            for key, value in transaction:
                stored.pop(key, None)
                if value is not None:
                    stored[key] = f.Entry(FIRST_REVISION + i, value)
        return stored

    # -- effects ------------------------------------------------------------------------------------------
    def run(self, effects):
        for effect in effects:
            match effect:
                case f.ReadList():
                    self.call = ("read", effect.call, effect.endpoint, 0, 0)
                case f.Watch():
                    self.call = ("watch", effect.call, effect.endpoint, effect.after - FIRST_REVISION + 1, 0)
                case f.CancelCall():
                    if self.call is not None and self.call[1] == effect.call:
                        if self.stale_events < 1 and (undelivered := self.next_event()) is not None:
                            self.stale = undelivered
                        self.call = None
                case f.Notify():
                    self.check_notification(effect)

    def check_notification(self, notification):
        """Check the rules on a notification."""
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
            complete = {key for key, _ in TRANSACTIONS[revision - FIRST_REVISION]}
            if not notification.resynchronised and keys != complete:
                raise RuleBroken(f"{keys} of a transaction of {complete}")

    # -- possible actions ---------------------------------------------------------------------------------
    def next_event(self):
        """Return the next event of the open call, or None."""
        kind, call, endpoint, position, part = self.call
        known = self.applied[endpoint]
        if kind == "read":
            return f.ListRead(self.now, call, FIRST_REVISION + known - 1, self.state(known))
        if position < self.compacted_before:
            return f.RevisionCompacted(self.now, call)
        if position >= known:
            return None
        transaction = TRANSACTIONS[position]
        changes = tuple(f.Change(key, FIRST_REVISION + position, value) for key, value in transaction)
        if len(changes) > 1:  # sent in two fragments
            return f.ChangesReceived(
                self.now, call, FIRST_REVISION + position, changes[part : part + 1], complete=part == 1
            )
        return f.ChangesReceived(self.now, call, FIRST_REVISION + position, changes)

    def actions(self, faults=True):
        """Return all actions that are possible now."""
        possible = []
        if self.call is not None and self.next_event() is not None:
            possible.append("deliver")
        if self.follower.phase is f.Phase.WAITING:
            possible.append("wait")
        possible += [f"apply{i}" for i in (0, 1) if self.applied[i] < self.committed]
        if not faults:
            return possible
        if self.committed < len(TRANSACTIONS):
            possible.append("change")
        if self.call is not None and self.breaks < 2:
            possible.append("break")
        if self.call is not None and self.call[0] == "watch" and self.breaks < 2:
            possible.append("silence")
        if self.call is not None and self.call[0] == "watch":
            possible.append("progress")
        if self.compacted_before < self.applied[0] and self.compactions < 2:
            possible.append("compact")
        if self.stale is not None:
            possible.append("stale")
        return possible

    def act(self, action):
        follower = self.follower
        if action == "deliver":
            event = self.next_event()
            if isinstance(event, f.ChangesReceived):
                kind, call, endpoint, position, part = self.call
                if event.complete:
                    self.call = (kind, call, endpoint, position + 1, 0)
                else:
                    self.call = (kind, call, endpoint, position, 1)
            self.run(follower.reduce(event))
        elif action in ("wait", "silence"):
            self.breaks += action == "silence"
            self.now = max(self.now, follower.deadline)
            self.run(follower.reduce(f.Tick(self.now)))
        elif action == "change":
            self.committed += 1
            self.applied[0] = max(self.applied[0], self.committed)  # the first member leads, the other lags
        elif action == "break":
            self.breaks += 1
            self.run(follower.reduce(f.CallFailed(self.now, self.call[1])))
        elif action == "progress":
            kind, call, endpoint, position, part = self.call
            revision = FIRST_REVISION + position + (0 if part else -1)
            self.run(follower.reduce(f.ProgressReceived(self.now, call, revision)))
        elif action == "compact":
            self.compactions += 1
            # up to the leader's position; a lagging member has applied less
            self.compacted_before = self.applied[0]
        elif action == "stale":
            event = self.stale
            self.stale = None
            self.stale_events += 1
            self.run(follower.reduce(event))
        else:
            self.applied[int(action[-1])] += 1
        return self

    def settle(self):
        """Run without further faults, then check that the core was notified of the whole registry."""
        for _ in range(200):
            possible_actions = self.actions(faults=False)
            if not possible_actions:
                break
            self.act(next((a for a in possible_actions if a.startswith("apply")), possible_actions[0]))
        expected = {key: entry.value for key, entry in self.state(self.committed).items()}
        known = {key: value for key, (_, value) in self.notified_to_core.items() if value is not None}
        if known != expected:
            raise RuleBroken(f"the core knows {known}, the registry has {expected}")


def search(new_follower, depth):
    """Explore all states up to a depth; return their number. Raises RuleBroken with the path of actions."""
    steps_left_by_state = {}
    to_explore = [(RegistryModel(new_follower), ())]
    while to_explore:
        model, path = to_explore.pop()
        key = model.key()
        steps_left = depth - len(path)
        if steps_left_by_state.get(key, -1) >= steps_left:
            continue  # the state was explored with at least as many steps left
        is_new = key not in steps_left_by_state
        steps_left_by_state[key] = steps_left
        try:
            if is_new:
                model.clone().settle()
            if len(path) < depth:
                for action in model.actions():
                    to_explore.append((model.clone().act(action), (*path, action)))
        except RuleBroken as error:
            raise RuleBroken(f"{error}; by {' '.join(path)}") from None
    return len(steps_left_by_state)
