"""Tests that the node index decides as scans of all nodes do, and looks at few of them."""

from __future__ import annotations

import random

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import Node
from stoatrouter.policy.node_index import IndexedNode, NodeIndex, RecentKeys
from stoatrouter.policy.slow_start import SlowStart
from tests.node_stories import MS, SECOND, START, ActionsDiffer, Scenario

SEEDS = range(1, 13)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_action_is_that_of_walks_over_all_nodes(seed):
    print("seed", seed)
    scenario = Scenario(seed, new_data_fraction=random.Random(seed).choice((0.0, 0.3, 1.0))).run(600)
    assert scenario.sends > 300 and {api.Send, api.Reject, api.SetTimer} <= scenario.kinds


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_fleet_that_restarts_as_one_is_ranked_as_by_walks(seed):
    print("seed", seed)
    scenario = Scenario(seed, new_data_fraction=1.0)
    for _ in range(4):
        scenario.entries = [
            scenario.new_entry(i, scenario.now - 5 * MS * (i % 7)) for i in range(scenario.count)
        ]
        scenario.deliver(api.EndpointList(api.ListKind.FULL, tuple(scenario.entries)))
        for _ in range(120):
            scenario.advance(scenario.random.randrange(1, 120) * MS)
            scenario.deliver(scenario.random_request())
    assert scenario.sends > 100


# -- mutants ----------------------------------------------------------------------------------------------
class ForgetsPhases(NodeIndex):
    """Keeps the rank of a node that drains or goes."""

    def note_phase(self, node):
        super().note_phase(node)
        self.changed.discard(node)


class SleepsThrough(NodeIndex):
    """Never reads an idle node again once its readings are old."""

    def mark_idle(self, node, now, until):
        self.to_update.discard(node)


class KeepsRanks(NodeIndex):
    """Never ranks a node again when its load changes."""

    def _update_ranking(self, now):
        self._pass_on_changes()
        self.unranked = {node for node in self.unranked if node.number not in self.ranks}
        super()._update_ranking(now)


class ForgetsWriters(NodeIndex):
    """Rebuilds the throttleable set of a node only while requests come to it."""

    def writers(self):
        found = super().writers()
        self.write_rates_changed.clear()
        return found


class CountsTheGone(NodeIndex):
    """Counts nodes that are gone as listed."""

    def listed(self):
        return len(self)


class RanksAllAsWarm(NodeIndex):
    """Ranks cold nodes as warm ones."""

    def _rank(self, node, now):
        super()._rank(node, node.up_since + self.warm_up_time)


@pytest.mark.parametrize(
    "mutant", [ForgetsPhases, SleepsThrough, KeepsRanks, ForgetsWriters, CountsTheGone, RanksAllAsWarm]
)
def test_a_broken_index_is_caught(mutant):
    with pytest.raises(ActionsDiffer):
        for seed in range(1, 41):
            Scenario(seed, mutant).run(600)


# -- nodes looked at -------------------------------------------------------------------------------------
class CountingNode(Node):
    """Counts updates of the delay step, readings of the load and checks whether a node accepts requests."""

    lookups = 0

    def update_delay_step(self, now):
        type(self).lookups += 1
        super().update_delay_step(now)

    def accepts(self, now):
        type(self).lookups += 1
        return super().accepts(now)

    def load(self):
        type(self).lookups += 1
        return super().load()


class CountingSlowStart(SlowStart):
    """Counts readings of how warm a node is."""

    lookups = 0

    def capacity_fraction(self, node, at):
        type(self).lookups += 1
        return super().capacity_fraction(node, at)


def count_node_lookups(count: int, monkeypatch) -> int:
    """Return how often nodes are looked at for the same 400 requests with `count` nodes, three to a shard."""
    monkeypatch.setattr("stoatrouter.policy.state.Node", CountingNode)
    monkeypatch.setattr("stoatrouter.policy.scheduler.SlowStart", CountingSlowStart)
    scenario = Scenario(7, new_data_fraction=0.5)
    scenario.entries = [api.NodeEntry(f"n{i}", i // 3) for i in range(count)]
    scenario.deliver(api.EndpointList(api.ListKind.FULL, tuple(scenario.entries)))
    scenario.schedulers = scenario.schedulers[:1] * 2  # the real index alone
    scheduler = scenario.schedulers[0]
    scenario.advance(6 * SECOND)  # all nodes become idle
    # ranks each node once
    scheduler.nodes.least_loaded(scenario.now, scheduler.slow_start.capacity_fraction, 0.0)
    CountingNode.lookups = 0
    CountingSlowStart.lookups = 0
    now = scenario.now
    for number in range(400):
        shard = -1 if number % 2 else number % 8
        request = api.RequestArrived(f"q{number}", "v1", 0, 0, shard, 2 * SECOND)
        actions = scheduler.handle(now, request)
        sends = [action for action in actions if isinstance(action, api.Send)]
        now += 10 * MS
        for send in sends:
            ended = api.AttemptEnded(send.request, 0, send.node, api.Outcome.OK, 10 * MS, True)
            scheduler.handle(now, ended)
        if number % 10 == 9:
            scheduler.handle(now, api.TimerFired(0))
    return CountingNode.lookups + CountingSlowStart.lookups


def test_nodes_looked_at_for_a_request_do_not_grow_with_the_list(monkeypatch):
    few, many = (count_node_lookups(count, monkeypatch) for count in (400, 2_400))
    print(few, many)
    assert few > 400 and many < 1.05 * few, (few, many)


def test_a_node_at_rest_is_not_read(monkeypatch):
    monkeypatch.setattr("stoatrouter.policy.state.Node", CountingNode)
    scenario = Scenario(3, count=300)
    scenario.advance(8 * SECOND)
    scheduler = scenario.schedulers[0]
    CountingNode.lookups = 0
    for _ in range(50):
        scenario.now += 100 * MS
        scheduler.handle(scenario.now, api.TimerFired(0))
    assert CountingNode.lookups == 0


def test_nodes_that_went_are_forgotten_and_found_nowhere():
    scenario = Scenario(5)
    scenario.entries = scenario.entries[:2]
    scenario.deliver(api.EndpointList(api.ListKind.FULL, tuple(scenario.entries)))
    index = scenario.schedulers[0].nodes
    assert len(index) == 24 and index.listed() == 2
    scenario.advance(80 * SECOND)
    index.least_loaded(scenario.now, scenario.schedulers[0].slow_start.capacity_fraction, 0.5)
    for table in (index, index.numbered, index.ranked, index.ranks):
        assert len(table) == 2
    assert sum(map(len, index.shards.values())) == 2 and not index.gone and not index.to_update


def test_a_start_ahead_of_this_clock_is_held_once_however_often_the_node_is_ranked():
    """Guards against memory growth: each ranking added an entry until this clock had passed the start."""
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
    uniform = [(i + 0.5) / 400 for i in range(400)]
    found = [index.least_loaded(START, lambda node, at: 1.0, draw).id for draw in uniform]
    assert {name: found.count(name) for name in set(found)} == {f"n{i}": 100 for i in range(4)}


def test_recent_keys_are_those_that_a_walk_finds():
    generator = random.Random(4)
    recent = RecentKeys(SECOND)
    times = {}  # of each key's latest use
    now = START
    for _ in range(2_000):
        now += generator.randrange(60 * MS)
        key = generator.randrange(40)
        recent.note(key, now)
        times[key] = now
        assert recent.count(now) == sum(now - at <= SECOND for at in times.values())
