"""Tests of settings: the supported subset of CUE, unification with a schema, and errors with their place."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stoatrouter.matching.records import Rules
from stoatrouter.settings import SettingsError, load, load_data, load_text
from tests.rules import OPERATOR

# A source and the data that it yields, or a part of the error; from CUE's specification.
CASES = [
    ("a: 1", {"a": 1}),
    ('a: 1, b: "x"', {"a": 1, "b": "x"}),
    ("a: b: c: 1\na: b: d: 2", {"a": {"b": {"c": 1, "d": 2}}}),
    ("a: 1 // said\n// alone\nb: 2", {"a": 1, "b": 2}),
    ('"a b": 1', {"a b": 1}),
    ("a: [1, 2,\n 3,\n]", {"a": [1, 2, 3]}),
    ("a: -1.5", {"a": -1.5}),
    ("a: 1_000", {"a": 1000}),
    ("a: 0x1F", {"a": 31}),
    ("a: 64Ki", {"a": 65536}),
    ("a: 1.5K", {"a": 1500}),
    ("a: 1e3", {"a": 1000.0}),
    ("a: true, b: null", {"a": True, "b": None}),
    (r'a: "\t\u00e9\"\\"', {"a": '\té"\\'}),
    ('a: #"\\d"x"#', {"a": '\\d"x'}),
    ('a: """\n\tone\n\t  two\n\t"""', {"a": "one\n  two"}),
    ("a: int & 5", {"a": 5}),
    ("a: 5 & int & >0 & <=8", {"a": 5}),
    ("a: number & 1.5, b: number & 2", {"a": 1.5, "b": 2}),
    ('a: *"x" | "y"', {"a": "x"}),
    ('a: *"x" | "y"\na: "y"', {"a": "y"}),
    ("a: *1 | int, b: a", {"a": 1, "b": 1}),
    ("a: 5, a: int", {"a": 5}),
    ("_h: 1, a: _h", {"a": 1}),
    ("#D: {x: int, y?: string}\na: #D & {x: 1}", {"a": {"x": 1}}),
    ("#D: {x: int, ...}\na: #D & {x: 1, z: 2}", {"a": {"x": 1, "z": 2}}),
    ("#D: {x: *1 | int}\na: #D", {"a": {"x": 1}}),
    ("a: {[string]: int}\na: b: 1", {"a": {"b": 1}}),
    ('a: {[=~"^x"]: int, ...}\na: {x1: 1, y: "s"}', {"a": {"x1": 1, "y": "s"}}),
    ("a: [...int] & [1, 2]", {"a": [1, 2]}),
    ("a: {b: 1}\nc: a.b", {"c": 1, "a": {"b": 1}}),
    ("x: {a: int, b: a}\ny: x & {a: 5}\nx: a: 3", "the constraints conflict"),
    ("#X: {a: int, b: a}\ny: #X & {a: 5}", {"y": {"a": 5, "b": 5}}),
    ("a: b & 1, b: a", {"a": 1, "b": 1}),
    ("#L: {v: int, n?: #L}\na: #L & {v: 1, n: v: 2}", {"a": {"v": 1, "n": {"v": 2}}}),
    ("a: string | {x: int}\na: x: 1", {"a": {"x": 1}}),
    ("a: !=3 & 4", {"a": 4}),
    ("a: 1 | 1", {"a": 1}),
    ("a: uint & 3", {"a": 3}),
    ("package p\na: 1", {"a": 1}),
    ("", {}),
    ("a: 1, a: 2", "found 2, but 1 at text:1"),
    ("a: int", "has no value (allowed: int)"),
    ("a: 5 & string", "found string"),
    ("a: 9 & <=8", "the constraints conflict"),
    ("a: 1.5 & int", "found int, but 1.5"),
    ("a: 1 & float", "found float, but 1"),
    ("#D: {x: int}\na: #D & {x: 1, z: 2}", "a.z: field not allowed (allowed fields: x)"),
    ("#D: {x!: int}\na: #D", "a.x: is missing"),
    ('a: "x" | "y"', "more than one alternative fits"),
    ('a: "x" | "y"\na: "z"', 'found "x" | "y" & "z"'),
    ("a: [1, 2] & [1]", "a list of 2 elements"),
    ("a: b", "unknown name 'b'"),
    ("a: a", "has no value"),
    ("#L: {n: #L}\na: #L", "infinite recursion: a definition contains itself"),
    ('a: =~"(" & "x"', "is not a valid pattern"),
    ("a: b.c, b: {}", "has no field 'c'"),
    ("a: 1 b: 2", "unexpected 'b' (column 6)"),
    ("a: {", "unexpected end of the file"),
    ("a 1", "unexpected '1' (column 3)"),
    ("a: [1, , 2]", "comma"),
    (r'a: "\(b)"', "interpolation is not supported"),
    ("let x = 1", "let is not supported"),
    ("if a {b: 1}", "a comprehension is not supported"),
    (r'a: "\q"', "unknown escape"),
    ("a: 012", "is not a valid number"),
    ('listen = "x"', "this is TOML"),
    ("[buckets.x]", "this is TOML"),
    ("a: " + "[" * 100, "brackets are nested more than"),
    ('a: "x\ny"', "unexpected '\"' (column 4)"),
    ('import "x/y"\na: 1', "cue.mod"),
    # These fields were dropped silently, as hidden ones are, because is_hidden took the first character of ""
    # for one of "#_". In CUE all three are ordinary fields.
    ('a: 1\n"": 2', 'text:2: found "" as a field name'),
    ('a: {"": 2}', "as a field name"),
    ('"_x": 1', 'found "_x" as a field name'),
    ('"#x"?: 1', 'found "#x" as a field name'),
]


@pytest.mark.parametrize(("source", "expected"), CASES, ids=lambda value: str(value)[:50])
def test_subset_of_cue(source, expected):
    if isinstance(expected, dict):
        assert load_data(source) == expected
        return
    with pytest.raises(SettingsError) as refusal:
        load_data(source)
    assert expected in str(refusal.value)
    assert all(fault.at.file == "text" and fault.at.line >= 1 for fault in refusal.value.faults)


def test_all_errors_at_once_each_with_line_path_found_and_allowed():
    bad = OPERATOR.replace('paths: ["/feed/"]', 'paths: "/feed/"').replace(
        'hosts: ["*"]', 'hosts: ["*"], stepz: 1'
    )
    with pytest.raises(SettingsError) as refusal:
        load_text(
            bad + 'scopes: app: rights: repeat_unsafe_methods: "yes"\notherwise: status: 200\n',
            "rules.cue",
            Rules,
            "rules.#Rules",
        )
    lines = str(refusal.value).splitlines()
    assert len(lines) == 4
    assert lines[0].startswith('rules.cue:3: scopes.feed.paths: found "/feed/" (allowed: ')
    assert lines[1].startswith(
        "rules.cue:7: scopes.archive.stepz: field not allowed (allowed fields: classes,"
    )
    assert lines[2] == (
        'rules.cue:10: scopes.app.rights.repeat_unsafe_methods: found "yes" (allowed: *false | bool)'
    )
    assert lines[3].startswith("rules.cue:11: otherwise.status: found 200 (allowed: ")


def test_files_of_a_package_and_imports_are_taken_together(tmp_path):
    (tmp_path / "cue.mod").mkdir()
    (tmp_path / "cue.mod" / "module.cue").write_text('module: "stoat.example"\nlanguage: version: "v0.9.0"\n')
    (tmp_path / "shared").mkdir()
    (tmp_path / "shared" / "a.cue").write_text(
        'package shared\n#Area: {plans: ["basic"], steps: 500}\nvolume: _v\n'
    )
    (tmp_path / "shared" / "b.cue").write_text('package shared\n_v: "00000000f0a70001"\n')
    (tmp_path / "other.cue").write_text("package other\nthis is not read")
    (tmp_path / "more.cue").write_text('package rules\nscopes: feed: classes: ["score-read"]\n')
    main = tmp_path / "rules.cue"
    main.write_text(
        'package rules\nimport "stoat.example/shared"\n'
        'scopes: feed: {plans: ["basic"], steps: 500, hosts: ["*"], volumes: [shared.volume]}\n'
    )
    feed = load(main, Rules, "rules.#Rules").record.scopes["feed"]
    assert (feed.volumes, feed.classes, feed.steps, feed.paths) == (
        ("00000000f0a70001",),
        ("score-read",),
        500,
        ("/",),
    )
    main.write_text('package rules\nimport "stoat.example/none"\nimport "elsewhere/x"\n')
    with pytest.raises(SettingsError) as refusal:
        load(main, Rules, "rules.#Rules")
    assert "no file of package 'none'" in str(refusal.value) and "does not belong to module" in str(
        refusal.value
    )


# Hypothesis seeds a derandomized test with a digest of its source: editing it changes its examples.
@settings(max_examples=600, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.one_of(
        st.text(max_size=40),
        st.lists(
            st.sampled_from(
                [
                    "a",
                    ":",
                    "b",
                    "{",
                    "}",
                    "[",
                    "]",
                    "1",
                    '"x"',
                    "|",
                    "&",
                    "*",
                    "int",
                    "string",
                    ",",
                    "\n",
                    "...",
                    "?",
                    "!",
                    "#D",
                    "_",
                    ">",
                    "<=8",
                    '=~"^x"',
                    ".",
                    "(",
                    ")",
                    "-",
                    '#"q"#',
                    '"""\n',
                    "package p",
                    "import",
                ]
            ),
            max_size=25,
        ).map(" ".join),
    )
)
def test_any_text_is_data_or_a_located_refusal(source):
    try:
        load_data(source)
    except SettingsError as error:
        assert error.faults and all(fault.at.line >= 1 for fault in error.faults)
