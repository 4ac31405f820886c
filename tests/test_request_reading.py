"""Tests of how requests are parsed for rules, and which are refused before any rule is tried."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, UnreadableRequestError, read_input
from tests.matching_tables import DETERMINED, request_input

READING = [
    # target, header fields, attribute, value
    ("/a%2Fb/c", (), "segments", ["a/b", "c"]),
    ("/a%2fb/c", (), "path", "/a%2Fb/c"),
    ("/%73cores", (), "path", "/scores"),
    ("//a//", (), "segments", ["", "a", "", ""]),
    ("/", (), "segments", []),
    ("/a;b=c", (), "segments", ["a;b=c"]),
    ("/caf%C3%A9", (), "segments", ["café"]),
    ("/a?x=1&x=2&y", (), "query", {"x": "1", "y": ""}),
    ("/a?x=a+b%20c%2B", (), "query", {"x": "a b c+"}),
    ("/a?&&x=1&", (), "query", {"x": "1"}),
    ("/a?=v", (), "query", {"": "v"}),
    ("http://Other.Example:80/x", (), "host", "other.example"),
    ("http://other.example?x=1", (), "path", "/"),
    ("/a", ((b"X-EMPTY", b""),), "headers", {"host": "scores.example", "x-empty": ""}),
    ("/a", ((b"x-a", b"1"), (b"X-A", b"2")), "headers", {"host": "scores.example", "x-a": "1, 2"}),
    ("/a", ((b"x-a", b"\xff\xfe1"),), "headers", {"host": "scores.example", "x-a": "\ufffd\ufffd1"}),
    ("/a", ((b"x-a", "é".encode()),), "headers", {"host": "scores.example", "x-a": "é"}),
    ("/a", ((b"x-a", b"v" * 8192),), "headers", {"host": "scores.example", "x-a": "v" * 8192}),
    ("/a", ((b"Cookie", b"a=1; b=2"), (b"Cookie", b"a=3; c")), "cookies", {"a": "1", "b": "2"}),
]
# target, header fields, status of the refusal
UNREADABLE = [
    ("/a/../b", (), 400),
    ("/a/./b", (), 400),
    ("/a/%2e%2E/b", (), 400),
    ("/a%00b", (), 400),
    ("/a%0d%0a", (), 400),
    ("/a%zz", (), 400),
    ("/a%", (), 400),
    ("/%ff", (), 400),
    ("/a?x=%ff", (), 400),
    ("/a?x=%q1", (), 400),
    ("/" + "a" * 2048, (), 414),
    ("/" + "a" * 256, (), 414),
    ("/a" * 33, (), 414),
    ("/a?" + "x" * 4097, (), 414),
    ("/a?" + "x&" * 64, (), 414),
    ("/a", ((b"x-a", b"v" * 8193),), 431),
    ("/a b", (), 400),
    ("*", (), 400),
    ("/a", tuple((b"x-%d" % i, b"") for i in range(64)), 431),
    ("/a", ((b"Host", b"other"),), 400),
    ("/a", tuple((b"x-a", b"v" * 200) for _ in range(50)), 431),
    ("/a", ((b"Cookie", b"a=1;" * 65),), 431),
    ("http://a b/x", (), 400),
    ("http://h@x/y", (), 400),
    ("ftp://x/y", (), 400),
    ("/é", (), 400),
]


@pytest.mark.parametrize(("target", "fields", "name", "value"), READING)
def test_reading(target, fields, name, value):
    assert getattr(request_input(target, fields=fields), name) == value


@pytest.mark.parametrize(("target", "fields", "status"), UNREADABLE)
def test_what_has_two_readings_or_is_too_large_is_refused_before_rules(target, fields, status):
    with pytest.raises(UnreadableRequestError) as refusal:
        request_input(target, fields=fields)
    assert refusal.value.status == status and str(refusal.value)


@DETERMINED
@given(st.binary(max_size=60), st.lists(st.tuples(st.binary(max_size=8), st.binary(max_size=20)), max_size=4))
def test_any_bytes_are_read_or_refused(target, fields):
    try:
        given = read_input("GET", "/" + target.decode("latin-1"), tuple(fields), "10.0.0.1")
    except UnreadableRequestError as error:
        assert 400 <= error.status < 500
        return
    # whatever an expression may ask for is there, and within the bounds that costs come from
    for variable in HTTP_ENVIRONMENT.variables.values():
        value = getattr(given, variable.attribute)
        if isinstance(value, str | list | dict):
            assert len(value) <= variable.bound.length
