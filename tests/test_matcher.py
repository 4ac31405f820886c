"""Repeats across reloads of tables, bounded placements, and a table in shadow."""

from __future__ import annotations

from datetime import timedelta

from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.matcher import Matcher
from stoatrouter.matching.placements import Placements
from stoatrouter.matching.records import Rule
from tests.matching_tables import ask, computed, rule, table
from tests.rules import APP

T0 = timedelta(seconds=1000)


def placed(matcher, at, key="k", **more):
    return matcher.decide(ask(method="PUT", **more), T0 + timedelta(seconds=at), key)


def test_a_repeat_after_a_reload_keeps_its_place():
    old = table(rule("old", "true", key=computed("hash(request.path)"), shard=0))
    new = table(rule("new", "true", key=computed('hash("other" + request.path)'), shard=1, volume=APP))
    matcher = Matcher(old, {1: timedelta(seconds=5)})
    first = placed(matcher, 0)
    matcher.replace(new)
    assert placed(matcher, 4) == first  # the repeat goes where nodes know it
    assert placed(matcher, 8.9) == first  # and renews the window, as the nodes do
    assert placed(matcher, 14).shard == 1  # a new request, by the new table
    assert placed(matcher, 0, key="other").volume == APP


def test_a_repeat_is_placed_even_where_the_new_table_refuses_it():
    from stoatrouter.matching.records import Refusal as Says

    matcher = Matcher(table(rule("old", "true")), {1: timedelta(seconds=5)})
    first = placed(matcher, 0)
    matcher.replace(table(Rule("none", "true", refuse=Says(403, "closed"))))
    assert placed(matcher, 1) == first and placed(matcher, 1, key="k2") == Refusal(
        403, "closed", "all", "none"
    )


def test_a_key_of_another_request_is_refused():
    matcher = Matcher(table(rule("r", "true")), {1: timedelta(seconds=5)})
    placed(matcher, 0)
    assert placed(matcher, 1, target="/feed/a?x=1").status == 422
    assert isinstance(placed(matcher, 1, target="/feed/b"), Decision)  # another path has keys of its own


def test_placements_are_bounded_and_what_is_forgotten_is_counted():
    kept, decision = Placements(limit=10), table(rule("r", "true")).decide(ask())
    for i in range(25):
        kept.store(("h", "/", str(i)), decision, 0, T0, timedelta(seconds=5))
    assert len(kept.entries) == 10 and kept.evicted == 15
    assert kept.find(("h", "/", "24"), 0, T0) == decision and kept.find(("h", "/", "3"), 0, T0) is None
    kept.store(("h", "/", "x"), decision, 0, T0 + timedelta(seconds=6), timedelta(seconds=5))
    assert len(kept.entries) == 1 and kept.evicted == 15  # those whose time is over are not counted


def test_a_shadow_decides_nothing_and_its_differences_are_counted_by_rule():
    reads = rule("reads", 'request.method == "GET"', request_class="score-read")
    matcher = Matcher(table(reads, rule("rest", "true")))
    matcher.set_shadow(table(rule("all", "true")))
    assert matcher.decide(ask(), T0).request_class == 0
    assert matcher.decide(ask(method="PUT"), T0).request_class == 1
    assert matcher.differences == {("all/reads", "all/all"): 1} and matcher.shadowed == 2
