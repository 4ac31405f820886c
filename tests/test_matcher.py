"""Tests of retries across table reloads, of bounded placements and of a shadow table."""

from __future__ import annotations

from datetime import timedelta

from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.matcher import Matcher
from stoatrouter.matching.placements import Placements
from stoatrouter.matching.records import Rule
from tests.matching_tables import computed, request_input, rule, table
from tests.rules import APP

T0 = timedelta(seconds=1000)


def place(matcher, at, key="k", **more):
    return matcher.decide(request_input(method="PUT", **more), T0 + timedelta(seconds=at), key)


def test_a_repeat_after_a_reload_keeps_its_place():
    old = table(rule("old", "true", key=computed("hash(request.path)"), shard=0))
    new = table(rule("new", "true", key=computed('hash("other" + request.path)'), shard=1, volume=APP))
    matcher = Matcher(old, {1: timedelta(seconds=5)})
    first = place(matcher, 0)
    matcher.replace(new)
    assert place(matcher, 4) == first  # the retry goes to the nodes that know its key
    assert place(matcher, 8.9) == first  # and renews the window, as it does at the nodes
    assert place(matcher, 14).shard == 1  # after the window: a new request, placed by the new table
    assert place(matcher, 0, key="other").volume == APP


def test_a_repeat_is_placed_even_where_the_new_table_refuses_it():
    from stoatrouter.matching.records import Refusal as RefusalSettings

    matcher = Matcher(table(rule("old", "true")), {1: timedelta(seconds=5)})
    first = place(matcher, 0)
    matcher.replace(table(Rule("none", "true", refuse=RefusalSettings(403, "closed"))))
    assert place(matcher, 1) == first
    assert place(matcher, 1, key="k2") == Refusal(403, "closed", "all", "none")


def test_a_key_of_another_request_is_refused():
    matcher = Matcher(table(rule("r", "true")), {1: timedelta(seconds=5)})
    place(matcher, 0)
    assert place(matcher, 1, target="/feed/a?x=1").status == 422
    assert isinstance(place(matcher, 1, target="/feed/b"), Decision)  # each path has its own keys


def test_placements_are_bounded_and_what_is_forgotten_is_counted():
    placements = Placements(limit=10)
    decision = table(rule("r", "true")).decide(request_input())
    for i in range(25):
        placements.store(("h", "/", str(i)), decision, 0, T0, timedelta(seconds=5))
    assert len(placements.entries) == 10 and placements.evicted == 15
    assert placements.find(("h", "/", "24"), 0, T0) == decision
    assert placements.find(("h", "/", "3"), 0, T0) is None
    placements.store(("h", "/", "x"), decision, 0, T0 + timedelta(seconds=6), timedelta(seconds=5))
    assert len(placements.entries) == 1 and placements.evicted == 15  # expired entries are not counted


def test_a_shadow_decides_nothing_and_its_differences_are_counted_by_rule():
    reads = rule("reads", 'request.method == "GET"', request_class="score-read")
    matcher = Matcher(table(reads, rule("rest", "true")))
    matcher.set_shadow(table(rule("all", "true")))
    assert matcher.decide(request_input(), T0).request_class == 0
    assert matcher.decide(request_input(method="PUT"), T0).request_class == 1
    assert matcher.differences == {("all/reads", "all/all"): 1} and matcher.shadowed == 2
