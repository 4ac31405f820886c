"""Indexes nodes by shard, by load, and by whether a control cycle can change them, to avoid full scans.

The index makes no decisions: the scheduler defines a node's load and what a control cycle does, and nodes
notify the index of each change. The cost of a request or a control cycle thus depends on the current work,
not on the length of the endpoint list. Times are microseconds.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from heapq import heappop, heappush
from math import inf
from typing import Any, Generic, TypeVar

from stoatrouter.policy.interface import NodeEntry, Phase

Key = TypeVar("Key")
Value = TypeVar("Value")
N = TypeVar("N", bound="IndexedNode")

Rank = tuple[float, float, int]  # load as if warm, start time if warming up (0: warm), number


class TrackedRequests(dict[Key, Value], Generic[Key, Value]):
    """A node's requests; notifies the index through the node of each change."""

    def __init__(self, node: IndexedNode) -> None:
        """Start with an empty map that marks `node` as changed at each modification."""
        super().__init__()
        self.node = node

    def __setitem__(self, key: Key, value: Value) -> None:
        """Add a request under its id and mark the node as changed."""
        super().__setitem__(key, value)
        self.node.mark_changed()

    def __delitem__(self, key: Key) -> None:
        """Remove a request by its id and mark the node as changed; raise `KeyError` if it is missing."""
        super().__delitem__(key)
        self.node.mark_changed()

    def pop(self, *args: Any) -> Any:
        """Remove and return a value as `dict.pop` does, and mark the node as changed."""
        self.node.mark_changed()
        return super().pop(*args)

    def clear(self) -> None:
        """Remove all requests and mark the node as changed."""
        super().clear()
        self.node.mark_changed()


class IndexedNode:
    """The attributes of a node whose changes the index tracks: phase, start time, window and requests."""

    def __init__(self, entry: NodeEntry) -> None:
        """Create a node from its entry in the endpoint list, not yet in an index."""
        self.id = entry.node
        self.shard = entry.shard
        self.zone = entry.zone
        self._phase = entry.phase
        self.index: NodeIndex[Any] | None = None
        self.number = -1  # in order of insertion into the index
        self._up_since = entry.up_since
        self._window = 0.0
        # The ids of the requests pending at the node, in order.
        self.pending: TrackedRequests[str, None] = TrackedRequests(self)
        # The send times of attempts in flight, by request and number of the attempt.
        self.in_flight: TrackedRequests[tuple[str, int], int] = TrackedRequests(self)
        self.write_rates: dict[str, float] = {}
        self.throttleable: set[str] = set()

    def mark_changed(self) -> None:
        """Note a change that may affect a control cycle or the order by load."""
        if self.index is not None:
            self.index.changed.add(self)

    @property
    def window(self) -> float:
        """The number of attempts that may be in flight at once; below one, sends are paced."""
        return self._window

    @window.setter
    def window(self, value: float) -> None:
        if value != self._window:
            self._window = value
            self.mark_changed()

    @property
    def up_since(self) -> int:
        """When the node started; 0: long ago."""
        return self._up_since

    @up_since.setter
    def up_since(self, value: int) -> None:
        self._up_since = value
        self.mark_changed()

    @property
    def phase(self) -> Phase:
        """The node's phase in the endpoint list."""
        return self._phase

    @phase.setter
    def phase(self, value: Phase) -> None:
        if value is not self._phase:
            self._phase = value
            self.mark_changed()
            if self.index is not None:
                self.index.note_phase(self)


class NodeIndex(dict[str, N], Generic[N]):
    """Nodes by name, in order of insertion, with indexes that avoid full scans."""

    def __init__(self, warm_up_time: int, load: Callable[[N], float]) -> None:
        """Start empty; nodes warm up for `warm_up_time`, and `load` returns a node's load as if warm."""
        super().__init__()
        self.warm_up_time = warm_up_time
        self.load = load
        self.next_number = 0
        self.numbered: dict[int, N] = {}
        self.shards: dict[int, dict[int, N]] = {}
        self.gone: dict[int, N] = {}  # no longer listed, not yet forgotten
        self.changed: set[N] = set()  # since changes were last propagated to the three sets below
        self.unranked: set[N] = set()  # their position in the order by load may have changed
        self.to_update: set[N] = set()  # the next control cycle may change them
        self.write_rates_changed: set[N] = set()  # their throttleable volumes may change
        self.ranked: list[Rank] = []  # of the nodes in phase ON, sorted
        self.ranks: dict[int, Rank] = {}
        self.warming: list[tuple[int, int]] = []  # heap: when a warm-up ends, and the node's number
        self.pending_warm_ups: set[tuple[int, int]] = set()  # the entries of `warming`
        self.idle_until: list[tuple[int, int]] = []  # heap: until when a node is idle, and its number
        self.scheduled: set[int] = set()  # the node numbers in `idle_until`

    # -- membership ---------------------------------------------------------------------------------------
    def __setitem__(self, name: str, node: N) -> None:
        """Add a node under its name, replacing any earlier node of that name."""
        if name in self:
            del self[name]
        super().__setitem__(name, node)
        node.index = self
        node.number = self.next_number
        self.next_number += 1
        self.numbered[node.number] = node
        self.shards.setdefault(node.shard, {})[node.number] = node
        self.changed.add(node)
        self.note_phase(node)

    def __delitem__(self, name: str) -> None:
        """Remove the named node; raise `KeyError` if there is none."""
        node = self[name]
        super().__delitem__(name)
        node.index = None
        del self.numbered[node.number]
        del self.shards[node.shard][node.number]
        if not self.shards[node.shard]:
            del self.shards[node.shard]
        self.gone.pop(node.number, None)
        self._unrank(node)
        for group in (self.changed, self.unranked, self.to_update, self.write_rates_changed):
            group.discard(node)

    def setdefault(self, name: str, node: N) -> N:
        """Return the named node, adding `node` under that name first if there is none."""
        if name not in self:
            self[name] = node
        return self[name]

    def note_phase(self, node: N) -> None:
        """Track whether a node is gone or listed."""
        if node.phase is Phase.GONE:
            self.gone[node.number] = node
        else:
            self.gone.pop(node.number, None)

    def listed(self) -> int:
        """Return how many nodes are in the endpoint list, either on or draining."""
        return len(self) - len(self.gone)

    def of_shard(self, shard: int) -> Iterable[N]:
        """Return the nodes of a shard, or all nodes for -1, in order of insertion."""
        return self.values() if shard == -1 else self.shards.get(shard, {}).values()

    def forget_gone(self, unused: Callable[[N], bool]) -> None:
        """Remove the nodes that are no longer listed and for which `unused` holds."""
        for node in [node for node in self.gone.values() if unused(node)]:
            del self[node.id]

    def _pass_on_changes(self) -> None:
        if self.changed:
            self.unranked |= self.changed
            self.to_update |= self.changed
            self.write_rates_changed |= self.changed
            self.changed.clear()

    # -- control cycles -----------------------------------------------------------------------------------
    def due(self, now: int) -> list[N]:
        """Return the nodes that a control cycle may change; the others are idle until marked as changed."""
        self._pass_on_changes()
        while self.idle_until and self.idle_until[0][0] < now:
            number = heappop(self.idle_until)[1]
            self.scheduled.discard(number)
            if number in self.numbered:
                self.to_update.add(self.numbered[number])
        return sorted(self.to_update, key=lambda node: node.number)

    def mark_idle(self, node: N, now: int, until: int) -> None:
        """Note that control cycles up to `until` do not change a node unless it is marked as changed."""
        self.to_update.discard(node)
        if until >= now and node.number not in self.scheduled:
            self.scheduled.add(node.number)
            heappush(self.idle_until, (until, node.number))

    def writers(self) -> list[N]:
        """Return the nodes whose throttleable volumes may change."""
        self._pass_on_changes()
        found = list(self.write_rates_changed)
        self.write_rates_changed = {node for node in found if node.write_rates or node.throttleable}
        return found

    # -- by load ------------------------------------------------------------------------------------------
    def least_loaded(self, now: int, capacity_fraction: Callable[[N, int], float], draw: float) -> N | None:
        """Return a node in phase ON with the least load relative to its capacity fraction; None without any.

        `capacity_fraction` is at most 1, and lower for nodes that started later. At equal load, warm nodes
        therefore come first, then those warming up, oldest first; nodes of higher load than the best score
        found so far need not be examined. `draw`, from 0 to 1, chooses among equal scores.
        """
        self._update_ranking(now)
        ranked = self.ranked
        best = inf
        at = 0
        found: list[tuple[int, int]] = []  # ranges of `ranked` with the best score
        while at < len(ranked) and ranked[at][0] < best:
            load = ranked[at][0]
            end = bisect_left(ranked, (load, inf, 0), at)
            while at < end:
                score = load / capacity_fraction(self.numbered[ranked[at][2]], now)
                if score > best:
                    break
                after = bisect_left(ranked, (load, ranked[at][1], inf), at)
                found = [(at, after)] if score < best else [*found, (at, after)]
                best = score
                at = after
            at = end
        return self._pick(found, draw)

    def _pick(self, found: list[tuple[int, int]], draw: float) -> N | None:
        if not found:
            return None
        if len(found) == 1:
            first, end = found[0]
            return self.numbered[self.ranked[first + int(draw * (end - first))][2]]
        numbers = sorted(rank[2] for first, end in found for rank in self.ranked[first:end])
        return self.numbered[numbers[int(draw * len(numbers))]]

    def forget_old(self, now: int, is_idle: bool) -> None:
        """Drop finished warm-ups; while no request is open, also update the order by load."""
        self._note_warmed_up(now)
        if is_idle:
            self._update_ranking(now)

    def _note_warmed_up(self, now: int) -> None:
        while self.warming and self.warming[0][0] <= now:
            ended = heappop(self.warming)
            self.pending_warm_ups.discard(ended)
            number = ended[1]
            if number in self.numbered:
                self.unranked.add(self.numbered[number])

    def _update_ranking(self, now: int) -> None:
        self._pass_on_changes()
        self._note_warmed_up(now)
        for node in self.unranked:
            self._unrank(node)
            if node.phase is Phase.ON:
                self._rank(node, now)
        self.unranked.clear()

    def _rank(self, node: N, now: int) -> None:
        is_warming = node.up_since and now - node.up_since < self.warm_up_time
        rank = (self.load(node), node.up_since if is_warming else 0, node.number)
        self.ranks[node.number] = rank
        insort(self.ranked, rank)
        if is_warming:
            self._note_warm_up(node)

    def _note_warm_up(self, node: N) -> None:
        """Schedule a re-ranking for when the node is warm; one entry per start however often it is ranked."""
        ends = (node.up_since + self.warm_up_time, node.number)
        if ends not in self.pending_warm_ups:
            self.pending_warm_ups.add(ends)
            heappush(self.warming, ends)

    def _unrank(self, node: N) -> None:
        rank = self.ranks.pop(node.number, None)
        if rank is not None:
            del self.ranked[bisect_left(self.ranked, rank)]


class RecentKeys:
    """The distinct keys noted within a sliding time span; counting them needs no full scan."""

    def __init__(self, span: int) -> None:
        """Start empty; `span` is in microseconds, and the times passed to the methods must not decrease."""
        self.span = span
        self.times = OrderedDict[Hashable, int]()

    def note(self, key: Hashable, now: int) -> None:
        """Record that a key was seen."""
        self.times.pop(key, None)
        self.times[key] = now

    def count(self, now: int) -> int:
        """Return how many keys were seen within the span."""
        self.forget_old(now)
        return len(self.times)

    def forget_old(self, now: int) -> None:
        """Drop the keys that were not seen within the span."""
        while self.times and now - next(iter(self.times.values())) > self.span:
            self.times.popitem(last=False)
