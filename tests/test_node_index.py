"""The index of nodes decides as walks over all nodes do, and looks at few of them."""

from __future__ import annotations

import random

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import Node
from stoatrouter.policy.node_index import IndexedNode, NodeIndex, RecentKeys
from stoatrouter.policy.slow_start import SlowStart
from tests.node_stories import MS, SECOND, START, Differs, Story

SEEDS = range(1, 13)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_action_is_that_of_walks_over_all_nodes(seed):
    print("seed", seed)
    story = Story(seed, any_node=random.Random(seed).choice((0.0, 0.3, 1.0))).play(600)
    assert story.sends > 300 and {api.Send, api.Reject, api.SetTimer} <= story.kinds


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_fleet_that_restarts_as_one_is_ranked_as_by_walks(seed):
    print("seed", seed)
    story = Story(seed, any_node=1.0)
    for _ in range(4):
        story.entries = [story.fresh(i, story.now - 5 * MS * (i % 7)) for i in range(story.count)]
        story.tell(api.EndpointList(api.ListKind.FULL, tuple(story.entries)))
        for _ in range(120):
            story.pass_time(story.random.randrange(1, 120) * MS)
            story.tell(story.request())
    assert story.sends > 100


# -- mutants ----------------------------------------------------------------------------------------------
class ForgetsPhases(NodeIndex):
    """A node that drains or goes keeps its rank."""

    def note_phase(self, node):
        super().note_phase(node)
        self.changed.discard(node)


class SleepsThrough(NodeIndex):
    """A node at rest is not read again once its news is old."""

    def mark_idle(self, node, now, until):
        self.to_update.discard(node)


class KeepsRanks(NodeIndex):
    """What changes a load is not heard of."""

    def _update_ranking(self, now):
        self._pass_on_changes()
        self.unranked = {node for node in self.unranked if node.number not in self.ranks}
        super()._update_ranking(now)


class ForgetsWriters(NodeIndex):
    """The throttleable set of a node is made anew only while requests come to it."""

    def writers(self):
        found = super().writers()
        self.write_rates_changed.clear()
        return found


class CountsTheGone(NodeIndex):
    """Nodes that are gone count as listed."""

    def listed(self):
        return len(self)


class RanksAllAsWarm(NodeIndex):
    """That a node is cold is not heard of."""

    def _rank(self, node, now):
        super()._rank(node, node.up_since + self.warm_up_time)


@pytest.mark.parametrize(
    "mutant", [ForgetsPhases, SleepsThrough, KeepsRanks, ForgetsWriters, CountsTheGone, RanksAllAsWarm]
)
def test_a_broken_index_is_caught(mutant):
    with pytest.raises(Differs):
        for seed in range(1, 41):
            Story(seed, mutant).play(600)


# -- what is looked at ------------------------------------------------------------------------------------
class CountingNode(Node):
    """Counts readings, loads taken and looks at whether a node takes work."""

    looks = 0

    def update_delay_step(self, now):
        type(self).looks += 1
        super().update_delay_step(now)

    def accepts(self, now):
        type(self).looks += 1
        return super().accepts(now)

    def load(self):
        type(self).looks += 1
        return super().load()


class CountingSlowStart(SlowStart):
    """Counts looks at how warm a node is."""

    looks = 0

    def capacity_fraction(self, node, at):
        type(self).looks += 1
        return super().capacity_fraction(node, at)


def looks_for(count: int, monkeypatch) -> int:
    """How many looks at nodes the same 400 requests take with so many nodes listed, three to a shard."""
    monkeypatch.setattr("stoatrouter.policy.state.Node", CountingNode)
    monkeypatch.setattr("stoatrouter.policy.scheduler.SlowStart", CountingSlowStart)
    story = Story(7, any_node=0.5)
    story.entries = [api.NodeEntry(f"n{i}", i // 3) for i in range(count)]
    story.tell(api.EndpointList(api.ListKind.FULL, tuple(story.entries)))
    story.schedulers = story.schedulers[:1] * 2  # the shipped one alone
    scheduler = story.schedulers[0]
    story.pass_time(6 * SECOND)  # all come to rest
    scheduler.nodes.least_loaded(
        story.now, scheduler.slow_start.capacity_fraction, 0.0
    )  # each is ranked once
    CountingNode.looks = CountingSlowStart.looks = 0
    now = story.now
    for number in range(400):
        shard = -1 if number % 2 else number % 8
        sent = [
            action
            for action in scheduler.handle(
                now, api.RequestArrived(f"q{number}", "v1", 0, 0, shard, 2 * SECOND)
            )
            if isinstance(action, api.Send)
        ]
        now += 10 * MS
        for send in sent:
            ended = api.AttemptEnded(send.request, 0, send.node, api.Outcome.OK, 10 * MS, True)
            scheduler.handle(now, ended)
        if number % 10 == 9:
            scheduler.handle(now, api.TimerFired(0))
    return CountingNode.looks + CountingSlowStart.looks


def test_nodes_looked_at_for_a_request_do_not_grow_with_the_list(monkeypatch):
    few, many = (looks_for(count, monkeypatch) for count in (400, 2_400))
    print(few, many)
    assert few > 400 and many < 1.05 * few, (few, many)


def test_a_node_at_rest_is_not_read(monkeypatch):
    monkeypatch.setattr("stoatrouter.policy.state.Node", CountingNode)
    story = Story(3, count=300)
    story.pass_time(8 * SECOND)
    scheduler = story.schedulers[0]
    CountingNode.looks = 0
    for _ in range(50):
        story.now += 100 * MS
        scheduler.handle(story.now, api.TimerFired(0))
    assert CountingNode.looks == 0


def test_nodes_that_went_are_forgotten_and_found_nowhere():
    story = Story(5)
    story.entries = story.entries[:2]
    story.tell(api.EndpointList(api.ListKind.FULL, tuple(story.entries)))
    index = story.schedulers[0].nodes
    assert len(index) == 24 and index.listed() == 2
    story.pass_time(80 * SECOND)
    index.least_loaded(story.now, story.schedulers[0].slow_start.capacity_fraction, 0.5)
    for table in (index, index.numbered, index.ranked, index.ranks):
        assert len(table) == 2
    assert sum(map(len, index.shards.values())) == 2 and not index.gone and not index.to_update


def test_a_start_ahead_of_this_clock_is_held_once_however_often_the_node_is_ranked():
    """Guards memory: each placement added an entry until this clock had passed the start."""
    index = NodeIndex(6 * SECOND, lambda node: 1.0)
    node = index["n0"] = IndexedNode(api.NodeEntry("n0", 0, up_since=START + 3600 * SECOND))
    for i in range(100):
        node.mark_changed()
        assert index.least_loaded(START + i * SECOND, lambda node, at: 1.0, 0.5) is node
    assert len(index.warming) == 1
    index.forget_old(START + 3606 * SECOND, is_idle=True)
    assert not index.warming and not index.pending_warm_ups


def test_equals_are_drawn_alike():
    index = NodeIndex(6 * SECOND, lambda node: 1.0)
    for i in range(4):
        index[f"n{i}"] = IndexedNode(api.NodeEntry(f"n{i}", i))
    draws = [(i + 0.5) / 400 for i in range(400)]
    found = [index.least_loaded(START, lambda node, at: 1.0, draw).id for draw in draws]
    assert {name: found.count(name) for name in set(found)} == {f"n{i}": 100 for i in range(4)}


def test_recent_keys_are_those_that_a_walk_finds():
    draws, recent, times, now = random.Random(4), RecentKeys(SECOND), {}, START
    for _ in range(2_000):
        now += draws.randrange(60 * MS)
        key = draws.randrange(40)
        recent.note(key, now)
        times[key] = now
        assert recent.count(now) == sum(now - at <= SECOND for at in times.values())
