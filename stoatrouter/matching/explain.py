"""Why a request is decided as it is: the rules that were tried, the conjunct that failed, the result.

It uses the same parsing and the same table as in service.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from stoatrouter.expressions import Environment, Limits, check, compile_checked, parse
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.show import show
from stoatrouter.matching.conjuncts import conjuncts
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.matcher import alike, named
from stoatrouter.matching.table import Compartment, Compiled, Table

MOST_EXAMPLES = 5  # requests that are kept of each difference


@dataclass(slots=True, frozen=True)
class Looked:
    """A rule that was tried; `failed` is its first conjunct that does not hold, None where all do."""

    rule: str
    failed: str | None
    steps: int  # of its condition, in the worst case


@dataclass(slots=True, frozen=True)
class Explanation:
    """How one request was decided."""

    scope: str | None
    rules: int  # of the scope
    looked: tuple[Looked, ...]
    decided: Decision | Refusal
    steps: int  # in the worst case, of all that was looked at


def explain(table: Table, given: Input, environment: Environment) -> Explanation:
    """Decide a request and record how."""
    home, matched = table.match(given)
    decided = table.decided(home, matched, given)
    if home is None:
        return Explanation(None, 0, (), decided, 0)
    looked = tuple(looks(home, matched, given, environment))
    steps = sum(each.steps for each in looked) + (matched.yield_cost if matched is not None else 0)
    return Explanation(home.name, len(home.rules), looked, decided, steps)


def looks(
    home: Compartment, matched: Compiled | None, given: Input, environment: Environment
) -> Iterable[Looked]:
    """The rules of a scope that were tried for a request, in order, up to the one that matched."""
    for i in home.tree.find(given):
        rule = home.rules[i]
        failed = None if rule is matched else first_failed(parse(rule.rule.when), given, environment)
        yield Looked(rule.name, failed, rule.cost)
        if rule is matched:
            return


def first_failed(when: s.Node, given: Input, environment: Environment) -> str | None:
    """The first conjunct that does not hold.

    Each is tried behind those before it, which may guard it.
    """
    terms = conjuncts(when)
    for count in range(1, len(terms) + 1):
        node = terms[0] if count == 1 else s.Logic(when.at, when.depth + 1, "&&", tuple(terms[:count]))
        program = compile_checked(check(node, environment, t.BOOL, Limits(steps=1 << 40)))
        if not program.run(given):
            return show(terms[count - 1])
    return None


@dataclass(slots=True)
class Difference:
    """Requests that two tables decide differently, by the rules that decided."""

    old: str
    new: str
    count: int = 0
    lines: list[int] | None = None
    example: tuple[Any, Any] | None = None


def differences(
    old: Table, new: Table, requests: Iterable[tuple[int, Input | Exception]]
) -> tuple[list[Difference], Counter[str]]:
    """The differences between two tables on recorded requests, by rule, and counts of requests."""
    found: dict[tuple[str, str], Difference] = {}
    counts: Counter[str] = Counter()
    for number, given in requests:
        if isinstance(given, Exception):
            counts["unreadable"] += 1
            continue
        counts["requests"] += 1
        before, after = old.decide(given), new.decide(given)
        if alike(before, after):
            continue
        counts["changed"] += 1
        pair = named(before), named(after)
        each = found.setdefault(pair, Difference(*pair, lines=[], example=(before, after)))
        each.count += 1
        if each.lines is not None and len(each.lines) < MOST_EXAMPLES:
            each.lines.append(number)
    return sorted(found.values(), key=lambda d: -d.count), counts


def decision_data(decided: Decision | Refusal, table: Table) -> dict[str, Any]:
    """A decision as data for output."""
    if isinstance(decided, Refusal):
        return {
            "refused": decided.status,
            "reason": decided.reason,
            "scope": decided.scope,
            "rule": decided.rule,
        }
    words = table.words
    return {
        "scope": decided.scope,
        "rule": decided.rule,
        "class": words.classes[decided.request_class].name,
        "volume": decided.volume,
        "plan": words.plans[decided.plan] if decided.plan >= 0 else None,
        "key": decided.key,
        "shard": decided.shard,
        "units": decided.units,
        "hosts": decided.hosts,
        "repeat": decided.repeat,
        "deadline_ms": decided.deadline.total_seconds() * 1000,
    }
