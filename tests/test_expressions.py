"""The expression language: conformance table, a reference implementation, bounds and arbitrary text."""

from __future__ import annotations

import ast
import ipaddress
import math
import re
import time
import tracemalloc
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stoatrouter import expressions as ex
from stoatrouter.expressions import types as t
from stoatrouter.expressions.show import format_node
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, read_input
from tests.reference import Fault, Opt, Reference

REQUEST = read_input(
    "GET",
    "/scores/liga%201/m%2F7?a=1&a=2&b=",
    (
        (b"Host", b"Scores.Example:8443"),
        (b"X-Team", b"feed"),
        (b"Cookie", b"s=1; t=2"),
        (b"X-Empty", b""),
        (b"X-Twice", b"a"),
        (b"x-twice", b"b"),
    ),
    "10.1.2.3",
    212,
    "score-read",
)
VARIABLES = {name: getattr(REQUEST, v.attribute) for name, v in HTTP_ENVIRONMENT.variables.items()}
# Hypothesis seeds a derandomized test with a digest of its source: editing such a test changes its examples.
DETERMINED = settings(
    max_examples=400, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


def conformance_cases():
    for line in (Path(__file__).parent / "data" / "expressions.txt").read_text().splitlines():
        if line and not line.startswith("#"):
            source, _, value = line.partition(" ==> ")
            yield source, value.strip()


def parse_expected(text):
    """Return a value that the conformance table states."""
    if text in ("inf", "-inf"):
        return float(text)
    if found := re.fullmatch(r"duration\((.+)\)", text):
        return timedelta(seconds=float(found[1]))
    return None if text == "none" else ast.literal_eval(text)


@pytest.mark.parametrize(("source", "value"), list(conformance_cases()), ids=lambda text: text[:60])
def test_conformance(source, value):
    if value.startswith("!"):
        with pytest.raises(ex.ExpressionError) as refusal:
            ex.load(source, HTTP_ENVIRONMENT)
        assert value[1:].strip() in str(refusal.value)
        return
    made = ex.load(source, HTTP_ENVIRONMENT).run(REQUEST)
    assert made == parse_expected(value) and type(made) is type(parse_expected(value))


def test_a_refusal_names_place_header_and_guard():
    with pytest.raises(ex.ExpressionError) as refusal:
        ex.load(
            'request.method == "GET" &&\n  request.headers["X-Team"] == "a" && 1 / size(request.path) == 0 && x',
            HTTP_ENVIRONMENT,
        )
    first, *others = refusal.value.problems
    assert str(first.at) == "2:19" and 'request.headers["x-team"]' in first.what
    assert ".orValue(" in first.remedy and '"x-team" in request.headers && ' in first.remedy
    assert [problem.what for problem in others] == ["unknown name 'x'"]  # all problems are reported at once


# -- generated expressions ----------------------------------------------------------------------------------
TEXTS = st.sampled_from(
    ["", "a", "feed", "GET", "12", "-7", "x-team", "X-Twice", "é", "/scores/", "a b", "99999999999999999999"]
)
INTS = st.one_of(st.integers(-3, 12), st.sampled_from([-(1 << 63), (1 << 63) - 1, 1 << 62, 1 << 53]))


def quoted(text):
    return '"' + text.replace("\\", "\\\\") + '"'


LEAVES = {
    "b": ["true", "false", '"x-team" in request.headers', "has(request.query.a)"],
    "i": ["request.size", "size(request.segments)"],
    "s": [
        "request.method",
        "request.path",
        "request.host",
        'request.headers["x-team"]',
        "request.query.zz",
        'request.cookies[?"s"].orValue("-")',
        "request.segments[1]",
    ],
    "d": ["0.0", "1.5", "-2.25", "1e300", "0.1"],
    "l": [
        "request.segments",
        'request.headers.values("x-twice")',
        '["a", "feed"]',
        '["b"].filter(x, x == "c")',
    ],
}
# b, i, s, d and l stand for expressions of a kind: bool, int, string, double, list of strings; <=> for a
# comparison; V for a new variable
FORMS = {
    "b": """({b} && {b}) | ({b} || {b} || {b}) | !({b}) | ({i} <=> {i}) | ({s} <=> {s}) | ({d} <=> {d}) | ({s} in {l})
        | ({l} == {l}) | {s}.startsWith({s}) | {s}.contains({s}) | {s}.endsWith({s}) | {s}.matches("^[a-z]+[0-9]?$")
        | {l}.exists(V, V == {s}) | {l}.all(V, V != {s}) | {l}.exists_one(V, V == {s}) | ({b} ? {b} : {b})
        | {l}.all(V, 1 / (size(V) - {i}) < 1) | ({s} in request.headers) | request.headers[?{s}].hasValue()""",
    "i": """({i} + {i}) | ({i} - {i}) | ({i} * {i}) | ({i} / {i}) | ({i} % {i}) | -({i}) | size({s}) | {l}.size()
        | int({s}) | int({d}) | {s}.indexOf({s}) | ({b} ? {i} : {i}) | (hash({s}) % 100)
        | request.query[?{s}].optMap(V, V.size()).orValue({i})""",
    "s": """({s} + {s}) | {s}.lowerAscii() | {s}.upperAscii() | string({i}) | {s}.substring({i}, {i}) | {l}.join({s})
        | ({b} ? {s} : {s}) | hex16({i}) | {s}.trim() | {l}[{i}] | {l}[?{i}].orValue({s}) | request.headers[{s}]
        | request.headers[?{s}].orValue({s}) | string({b}) | {{"a": "1", "feed": {s}}}[{s}]""",
    "d": "({d} + {d}) | ({d} * {d}) | ({d} / {d}) | double({i}) | ({d} - {d}) | -({d})",
    "l": """{l}.filter(V, V != {s}) | {l}.map(V, V + {s}) | {l}.map(V, size(V) > 1, V + {s}) | {s}.split({s})
        | ({l} + {l}) | [{s}, {s}] | ({b} ? {l} : {l})""",
}
PARTS = {
    kind: [form.strip() for form in re.split(r" \|(?!\|) ?|\n +\| ", forms)] for kind, forms in FORMS.items()
}


@st.composite
def expressions(draw, kinds="bisdl", max_depth=4):
    """Generate sources of well-typed expressions. Some may fail: agrees() wraps those in try()."""
    names = iter(f"v{i}" for i in range(100_000))

    def expression_of(kind, depth):
        if depth == 0 or draw(st.integers(0, 5)) == 0:
            leaves = LEAVES[kind]
            choices = 2 * len(leaves) if kind in "is" else len(leaves)
            choice = draw(st.integers(0, choices - 1))
            if choice < len(leaves):
                return leaves[choice]
            return str(draw(INTS)) if kind == "i" else quoted(draw(TEXTS))
        form = re.sub(r"\bV\b", next(names), draw(st.sampled_from(PARTS[kind])))
        form = form.replace("<=>", draw(st.sampled_from(["==", "!=", "<", "<=", ">", ">="])))
        form = re.sub(
            r"(?<!\{)\{([bisdl])\}",
            lambda match: expression_of(match[1], depth - 1).replace("{", "{{").replace("}", "}}"),
            form,
        )
        return form.replace("{{", "{").replace("}}", "}")

    return expression_of(draw(st.sampled_from(kinds)), max_depth)


HIGH_LIMITS = ex.Limits(max_steps=10**15, max_result_size=10**12, max_value_size=10**12)


def same_value(a, b):
    return a == b or (isinstance(a, float) and isinstance(b, float) and math.isnan(a) and math.isnan(b))


def agrees(source):
    """Check that a compiled expression and the reference yield the same value, within the bound of steps."""
    tree = ex.parse(source)
    try:
        checked = ex.check(tree, HTTP_ENVIRONMENT, None, HIGH_LIMITS)
    except ex.ExpressionError as error:
        assert all("may" in problem.what for problem in error.problems), (source, str(error))
        tree = ex.parse(f"try({source})")  # an expression that may fail is accepted only within try()
        checked = ex.check(tree, HTTP_ENVIRONMENT, None, HIGH_LIMITS)
    reference = Reference(VARIABLES, ("request.headers",))
    value = ex.compile_checked(checked).run(REQUEST)
    expected = reference.of(tree)
    if isinstance(expected, Opt):
        assert (value is not None) == bool(expected.value), source
        expected = expected.value[0] if expected.value else None
    assert same_value(value, expected) and type(value) is type(expected), (source, value, expected)
    assert reference.steps <= checked.cost, (source, reference.steps, checked.cost)
    return value, checked


@DETERMINED
@given(expressions())
def test_compiled_and_reference_agree_within_the_bound(source):
    made = agrees(source)
    if made[0] is not None:
        value, checked = made
        if isinstance(value, str | bytes | list):
            assert len(value) <= checked.bound.length, source
        if isinstance(value, int) and not isinstance(value, bool):
            assert checked.bound.low <= value <= checked.bound.high, source


@DETERMINED
@given(expressions("b", 3))
def test_what_is_shown_reads_as_it_was(source):
    tree = ex.parse(source)
    assert ex.parse(format_node(tree)) == tree


@settings(DETERMINED, max_examples=1500)
@given(
    st.one_of(
        st.text(max_size=40),
        st.lists(
            st.sampled_from(
                [
                    "request",
                    ".",
                    "headers",
                    "[",
                    "]",
                    "?",
                    "(",
                    ")",
                    '"x"',
                    "1",
                    "&&",
                    "||",
                    "!",
                    "-",
                    "map",
                    "x",
                    ",",
                    " in ",
                    ":",
                    "try",
                    "{",
                    "}",
                    "==",
                    "+",
                    "has",
                    "int",
                    "size",
                    "b'\\xff'",
                    "r'\\'",
                    "9" * 25,
                    "\n",
                    "//",
                    "orValue",
                ]
            ),
            max_size=25,
        ).map("".join),
    )
)
def test_any_text_is_a_value_or_a_located_refusal(source):
    try:
        ex.load(source, HTTP_ENVIRONMENT).run(REQUEST)
    except ex.ExpressionError as error:
        assert error.problems and all(p.at.line >= 1 and p.at.column >= 1 and p.what for p in error.problems)


# -- expressions written to loop or to grow -----------------------------------------------------------------
HOSTILE = {
    "parentheses": "(" * 10_000 + "1" + ")" * 10_000,
    "parentheses that fit": "(" * 4_000 + "1" + ")" * 4_000,
    "open parentheses": "(" * 8_000,
    "denials": "!" * 8_000 + "true",
    "sums": "1" + "+1" * 4_000,
    "alternatives": "true" + "||true" * 1_000,
    "fields": "request" + ".a" * 4_000,
    "conditionals": "true?1:" * 1_000 + "1",
    "lists of lists": "[" * 4_000 + "]" * 4_000,
    "calls": "size(" * 1_500 + '""' + ")" * 1_500,
    "doubling": "[request.path]" + "".join(f".map(v{i}, v{i} + v{i})" for i in range(60)),
    "nested macros": "".join(f"request.segments.map(v{i}, " for i in range(40)) + "1" + ")" * 40,
    "backtracking": 'request.path.matches("(a*)*b") && request.path.matches("(x+x+)+y")',
    "large pattern": f'"a".matches("{"(a|b)" * 60}")',
    "many digits": "9" * 8_000,
}


@pytest.mark.parametrize("kind", HOSTILE)
def test_hostile_text_is_refused_or_bounded_in_memory(kind):
    tracemalloc.start()
    try:
        value = ex.load(HOSTILE[kind], HTTP_ENVIRONMENT).run(REQUEST)
        assert kind in ("parentheses that fit", "alternatives", "backtracking"), kind
        assert value in (1, True, False), kind
    except ex.ExpressionError as error:
        assert error.problems
    finally:
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert peak < 64 * 1024 * 1024


def test_a_pattern_that_backtracks_elsewhere_is_linear_here():
    """The pattern takes linear time: a backtracking matcher would not finish within the wide margin."""
    program = ex.load('request.headers[?"x-long"].orValue("").matches("(a+)+$")', HTTP_ENVIRONMENT)

    def measure(length):
        request = read_input("GET", "/", ((b"X-Long", b"a" * length + b"!"),), "10.0.0.1")
        started_at = time.perf_counter()
        program.run(request)
        return time.perf_counter() - started_at

    assert min(measure(8000) for _ in range(5)) < 1  # seconds; backtracking would need 2 ** 8000 steps


def test_no_builtins_are_in_reach():
    program = ex.load('request.path.split("/").exists(p, p == "open" || p == "__import__")', HTTP_ENVIRONMENT)
    assert program.run.__globals__["__builtins__"] == {}
    with pytest.raises(ex.ExpressionError):
        ex.load("request.method.__class__", HTTP_ENVIRONMENT)


def test_types_say_what_they_are():
    assert str(ex.load('request.headers[?"a"]', HTTP_ENVIRONMENT).type) == "optional_type(string)"
    with pytest.raises(ex.ExpressionError, match="this yields int, but bool is expected here"):
        ex.load("1", HTTP_ENVIRONMENT, t.BOOL)


def test_addresses_of_both_families():
    inside = ex.load('cidr("10.0.0.0/8").containsIP(source.ip)', HTTP_ENVIRONMENT)
    assert inside.run(read_input("GET", "/", (), "::ffff:10.0.0.9")) is True
    assert inside.run(read_input("GET", "/", (), "fe80::1%lo")) is False
    assert str(REQUEST.ip) == str(ipaddress.ip_address("10.1.2.3"))


def test_reference_has_faults_of_its_own():
    """The reference is independent: it yields a fault where the compiled form requires try()."""
    with pytest.raises(Fault):
        Reference(VARIABLES, ("request.headers",)).of(ex.parse('request.headers["nope"]'))


# -- the reference page -------------------------------------------------------------------------------------
def examples():
    """Yield the examples of docs/expressions.md, with their stated results."""
    page = (Path(__file__).parents[1] / "docs" / "expressions.md").read_text()
    for block in re.findall(r"```cel\n(.*?)```", page, re.DOTALL):
        for line in block.splitlines():
            source, _, result = line.partition(" // ")
            yield source.strip(), result.strip()


@pytest.mark.parametrize(("source", "stated"), list(examples()), ids=lambda text: text[:60])
def test_examples_of_the_page(source, stated):
    if stated.startswith("refused: "):
        with pytest.raises(ex.ExpressionError, match=re.escape(stated.removeprefix("refused: "))):
            ex.load(source, HTTP_ENVIRONMENT)
    else:
        assert stated.startswith("-> "), stated
        value = ex.load(source, HTTP_ENVIRONMENT).run(REQUEST)
        assert value == ex.load(stated[3:], HTTP_ENVIRONMENT).run(REQUEST)
