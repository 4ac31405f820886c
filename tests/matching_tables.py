"""Requests and rule tables made in memory, as tests of matching use them."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

from stoatrouter.matching.inputs import read_input
from stoatrouter.matching.records import Otherwise, Rule, Rules, Scope
from stoatrouter.matching.table_compiler import TableCompiler
from tests.rules import APP, FEED, WORDS

DETERMINED = settings(
    max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
EVERYTHING = Scope(
    ("*",),
    ("/",),
    ("score-read", "event-write", "stats-export"),
    ("basic", "premium"),
    (FEED, APP),
    1_000_000,
)


def ask(target="/feed/a", method="GET", fields=(), peer="10.0.0.1", **more):
    return read_input(method, target, ((b"Host", b"scores.example"), *fields), peer, **more)


def table(*rules, scope=EVERYTHING):
    made = Rules({"all": scope}, Otherwise(404, "no rule matches"))
    return TableCompiler(WORDS).load(made, {"all": rules}, "epoch")


def rule(name, when, **more):
    given = {"request_class": "event-write", "plan": "basic", "volume": FEED, **more}
    return Rule(name, when, **given)


def computed(expr):
    from stoatrouter.matching.records import Computed

    return Computed(expr)
