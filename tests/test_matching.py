"""Tests of rule tables: which rule wins, what is refused at load, and the files they are read from."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stoatrouter.expressions import parse
from stoatrouter.expressions.parser import MAX_LENGTH
from stoatrouter.matching import index
from stoatrouter.matching.conjuncts import split_condition
from stoatrouter.matching.coverage import Coverage
from stoatrouter.matching.diagnostics import TableError
from stoatrouter.matching.files import TableLoader
from stoatrouter.matching.records import Scope
from stoatrouter.settings import SettingsError
from tests.matching_tables import DETERMINED, computed, request_input, rule, table
from tests.rules import FEED, OPERATOR, READS, VOCABULARY, write_rules

# Hypothesis seeds a derandomized test (`DETERMINED`) with a digest of its source: editing such a test changes
# its examples.


# -- which rule wins ----------------------------------------------------------------------------------------
CONJUNCTS = [
    'request.method == "GET"',
    'request.method in ["PUT", "POST"]',
    '"GET" == request.method',
    'request.path.startsWith("/a/")',
    'request.path.startsWith("/a/b")',
    'request.path == "/a/b/c"',
    'request.path.startsWith("/")',
    'request.path in ["/a/x", "/b"]',
    'request.host == "scores.example"',
    'request.headers[?"X-T"].orValue("") == "1"',
    'request.headers[?"x-t"].orValue("1") == "1"',
    'request.headers[?"x-t"].orValue("") in ["1", "2"]',
    '"x-t" in request.headers && request.headers["x-t"] == "2"',
    "has(request.headers.host)",
    "size(request.segments) > 1",
    "size(request.segments) >= 2",
    'size(request.segments) > 1 && request.segments[1] == "b"',
    'request.segments[?1].orValue("b") == "b"',
    'request.query[?"q"].orValue("") == "1"',
    "true",
    "false",
    'request.path.endsWith("c")',
    '!(request.method == "GET")',
    'request.method == "GET" || request.path == "/b"',
    'request.class == "score-read"',
    "request.size > 10",
]
REQUESTS = [
    request_input(target, method, fields, size=size, request_class=kind)
    for target in ("/a/b/c", "/a/x", "/b", "/", "/a/b?q=1")
    for method, size, kind in (("GET", -1, "score-read"), ("PUT", 20, ""))
    for fields in ((), ((b"X-T", b"1"),), ((b"x-t", b"2"),))
]
WHENS = st.lists(st.sampled_from(CONJUNCTS), min_size=1, max_size=3).map(" && ".join)


@DETERMINED
@given(st.lists(WHENS, min_size=1, max_size=40))
def test_the_index_never_changes_which_rule_wins(whens):
    made = table(*(rule(f"r{i}", when) for i, when in enumerate(whens))).scopes["all"]
    for request in REQUESTS:
        plain = next((i for i, r in enumerate(made.rules) if r.when(request)), None)
        tried = list(made.tree.find(request))
        assert tried == sorted(tried)
        assert next((i for i in tried if made.rules[i].when(request)), None) == plain


@DETERMINED
@given(st.lists(WHENS, min_size=2, max_size=30))
def test_what_is_said_to_be_covered_or_contradictory_never_wins(whens):
    conditions = [split_condition(parse(when)) for when in whens]
    made = table(*(rule(f"r{i}", when) for i, when in enumerate(whens))).scopes["all"]
    idle = {i for i, _ in Coverage(conditions).find_covered()} | {
        i for i, c in enumerate(conditions) if c.is_false or c.find_contradiction()
    }
    for request in REQUESTS:
        assert next((i for i, r in enumerate(made.rules) if r.when(request)), None) not in idle


@pytest.mark.parametrize(
    ("earlier", "later", "covered"),
    [
        ('request.method == "GET"', 'request.method == "GET" && request.path == "/a"', True),
        ('request.path.startsWith("/a/")', 'request.path.startsWith("/a/b/")', True),
        ('request.path.startsWith("/a/")', 'request.path == "/a/b"', True),
        ('request.path.startsWith("/a/b/")', 'request.path.startsWith("/a/")', False),
        ('request.method in ["GET", "PUT"]', 'request.method == "PUT"', True),
        ('request.method == "PUT"', 'request.method in ["GET", "PUT"]', False),
        ("true", "request.size > 3", True),
        ("request.size > 3", "request.size > 3", True),
        ("request.size > 3", "request.size > 4", False),  # comparing parts of conditions does not show this
        ('"x" in request.headers', 'request.headers[?"X"].orValue("") == "1"', True),
        ("size(request.segments) > 0", 'request.segments[?2].orValue("") == "1"', True),
        ("size(request.segments) > 3", 'request.segments[?2].orValue("") == "1"', False),
    ],
)
def test_coverage(earlier, later, covered):
    warnings = table(rule("first", earlier), rule("second", later)).warnings
    if covered:
        assert [w for w in warnings if "'second' never matches" in w.what and "'first'" in w.what] != []
    else:
        assert not warnings


def test_an_index_over_many_rules_tries_few():
    conditions = [
        split_condition(parse(f'request.path.startsWith("/a/{i}/") && request.method == "GET"'))
        for i in range(500)
    ]
    tree = index.build(conditions)
    assert len(tree.find(request_input("/a/123/x"))) <= index.MAX_LEAF_RULES and 123 in tree.find(
        request_input("/a/123/x")
    )
    assert tree.max_steps([10] * 500) < 100


# -- what is refused at load --------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("given", "what"),
    [
        (rule("r", 'request.headers["X-Team"] == "a"'), 'request.headers["x-team"] may be missing'),
        (rule("r", 'request.path.startsWith("/other/")'), "outside of this scope"),
        (rule("r", 'request.host == "other"'), "outside of this scope"),
        (rule("r", "true", request_class="score-read"), "may be retried freely"),
        (rule("r", 'request.method == "PUT"', request_class="score-read"), "may be retried freely"),
        (rule("r", 'request.method in ["GET", "PUT"]', request_class="score-read"), "may be retried freely"),
        (rule("r", "true", request_class="nope"), "is not allowed in this scope"),
        (rule("r", "true", plan="nope"), "is not allowed in this scope"),
        (rule("r", "true", volume="0000000000000009"), "is not allowed in this scope"),
        (rule("r", "true", shard=2), "the shard 2 is out of range"),
        (rule("r", "true", units=9), "the number of units 9 is out of range"),
        (rule("r", "true", key="xyz"), "is not 16 hex digits"),
        (rule("r", "true", deadline="0s"), "the deadline '0s' is too short"),
        (rule("r", "request.size"), "yields int, but bool is expected"),
        (rule("r", "request.segments.exists(a, request.segments.exists(b, a + b == a))"), "steps"),
    ],
)
def test_a_rule_out_of_its_bounds_is_refused(given, what):
    scope = Scope(
        ("scores.example",), ("/feed/",), ("score-read", "event-write"), ("basic",), (FEED,), 20_000
    )
    with pytest.raises(TableError) as refusal:
        table(given, scope=scope)
    assert what in str(refusal.value) and "scopes.all.rules[0]" in str(refusal.value)


@pytest.mark.parametrize(
    ("expr", "fine"),
    [
        ('request.method == "GET" ? "score-read" : "event-write"', True),
        ('request.method != "GET" ? "event-write" : "score-read"', True),
        ('request.method == "PUT" ? "event-write" : "score-read"', False),  # other methods are possible: POST
        ('{"a": "score-read"}[?request.class].orValue("event-write")', False),
        ("request.method", False),
    ],
)
def test_a_computed_class_is_proven_for_every_text_that_it_yields(expr, fine):
    given = rule("r", "true", request_class=computed(expr))
    if fine:
        assert table(given).decide(request_input(method="POST")).request_class == 1
        return
    with pytest.raises(TableError):
        table(given)


def test_the_operator_may_give_the_right_to_repeat_unsafe_methods():
    from stoatrouter.matching.records import Rights

    scope = Scope(("*",), ("/",), ("score-read",), ("basic",), (FEED,), 1000, rights=Rights(True))
    rules = table(rule("r", "true", request_class="score-read"), scope=scope)
    assert rules.decide(request_input(method="PUT")).request_class == 0


def test_a_budget_is_of_what_one_request_may_meet():
    spread = [rule(f"r{i}", f'request.path.startsWith("/{i}/") && request.size > {i}') for i in range(100)]
    scope = Scope(("*",), ("/",), ("event-write",), ("basic",), (FEED,), 100)
    # each request is tested against few of the rules
    assert table(*spread, scope=scope).scopes["all"].max_steps <= 100
    with pytest.raises(TableError, match="fewer rules apply to a request"):
        table(*(rule(f"r{i}", f"request.size > {i}") for i in range(100)), scope=scope)


# -- files --------------------------------------------------------------------------------------------------
def test_teams_are_apart_and_errors_have_their_file_and_line(tmp_path):
    path = write_rules(
        tmp_path,
        operator=OPERATOR.replace('paths: ["/app/"]', 'paths: ["/app/", "/feed/"]'),
        app=f'rules: [\n{READS},\n{{name: "x", when: "1", class: "score-read"}}]\nscopes: {{}}',
    )
    with pytest.raises(SettingsError) as refusal:
        TableLoader(path, VOCABULARY).load()
    # a team's file may not set scopes
    assert "app.cue:4: scopes: field not allowed" in str(refusal.value)
    write_rules(
        tmp_path,
        operator=OPERATOR.replace('paths: ["/app/"]', 'paths: ["/app/", "/feed/"]'),
        app=f'rules: [\n{READS},\n{{name: "x", when: "1", class: "score-read"}}]',
    )
    with pytest.raises(SettingsError) as refusal:
        TableLoader(path, VOCABULARY).load()
    text = str(refusal.value)
    assert "rules.cue:5: scopes.app" in text and "also claimed by 'feed'" in text
    assert "app.cue:3: scopes.app.rules[1].when: 1:1: this yields int, but bool is expected here" in text


def test_a_bad_table_changes_nothing_and_a_good_one_all(tmp_path):
    path = write_rules(tmp_path)
    tables = TableLoader(path, VOCABULARY)
    first, _ = tables.load()
    write_rules(tmp_path, feed="rules: [")  # a half-written file
    with pytest.raises(SettingsError, match="unexpected end of the file"):
        tables.load()
    write_rules(tmp_path, feed="")  # an empty file, as when writing has just begun
    with pytest.raises(SettingsError, match="rules: is missing"):
        tables.load()
    write_rules(tmp_path)
    again, _ = tables.load()
    assert again.epoch == first.epoch
    assert again.scopes["app"] is first.scopes["app"]  # unchanged scopes are not compiled again
    assert again.decide(request_input()) == first.decide(request_input())


def test_hostile_sources_in_a_table_are_flaws_with_a_place():
    with pytest.raises(TableError) as refusal:
        table(
            rule("long", "(" * (MAX_LENGTH + 1)),
            rule("open", "((("),
            rule("loop", "request.segments.map(x, x).map("),
        )
    assert [error.path for error in refusal.value.errors] == [f"scopes.all.rules[{i}].when" for i in range(3)]


def test_the_page_for_operators_has_rules_that_load(tmp_path):
    page = Path(__file__).parents[1] / "docs" / "rules.md"
    blocks = page.read_text().split("```cue\n")[1:]
    operator, team = (block.partition("```")[0] for block in blocks[:2])
    loaded, _ = TableLoader(write_rules(tmp_path, operator, feed=team), VOCABULARY).load()
    assert loaded.size >= 4 and not loaded.warnings
