"""Requests and rule tables for tests of matching, built in memory."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

from stoatrouter.matching.inputs import read_input
from stoatrouter.matching.records import Otherwise, Rule, Rules, Scope
from stoatrouter.matching.table_compiler import TableCompiler
from tests.rules import APP, FEED, VOCABULARY

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


def request_input(target="/feed/a", method="GET", fields=(), peer="10.0.0.1", **more):
    return read_input(method, target, ((b"Host", b"scores.example"), *fields), peer, **more)


def table(*rules, scope=EVERYTHING):
    settings_record = Rules({"all": scope}, Otherwise(404, "no rule matches"))
    return TableCompiler(VOCABULARY).load(settings_record, {"all": rules}, "epoch")


def rule(name, when, **more):
    fields = {"request_class": "event-write", "plan": "basic", "volume": FEED, **more}
    return Rule(name, when, **fields)


def computed(expr):
    from stoatrouter.matching.records import Computed

    return Computed(expr)
