"""Why a request is decided as it is: the rules that were tried, the conjunct that failed, the result.

It uses the same parsing and the same table as in service.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from stoatrouter.expressions import Environment, Limits, check, compile_checked, parse
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.show import show
from stoatrouter.matching.conjuncts import conjuncts
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.matcher import are_equivalent, rule_label
from stoatrouter.matching.table import CompiledRule, CompiledScope, Table

MAX_EXAMPLES = 5  # requests that are named of each difference
UNLIMITED = Limits(steps=1 << 40)  # the rule was checked against its limits when it was loaded


@dataclass(slots=True, frozen=True)
class TriedRule:
    """A rule that was tried; `failed` is its first conjunct that does not hold, None where all do."""

    rule: str
    failed: str | None
    steps: int  # of its condition, in the worst case


@dataclass(slots=True, frozen=True)
class Explanation:
    """How one request was decided.

    Attributes:
        scope: The scope that it belongs to, if any.
        rules: How many rules that scope has.
        tried: The rules that were tried, in order.
        decision: The result.
        steps: Steps in the worst case, of all that was tried.
    """

    scope: str | None
    rules: int
    tried: tuple[TriedRule, ...]
    decision: Decision | Refusal
    steps: int


def explain(table: Table, request: Input, environment: Environment) -> Explanation:
    """Decide a request and record how."""
    match = table.match(request)
    decision = table.decide_match(match, request)
    scope, rule = match
    if scope is None:
        return Explanation(None, 0, (), decision, 0)
    tried = tuple(find_tried(scope, rule, request, environment))
    steps = sum(each.steps for each in tried) + (rule.yield_cost if rule is not None else 0)
    return Explanation(scope.name, len(scope.rules), tried, decision, steps)


def find_tried(
    scope: CompiledScope, matched: CompiledRule | None, request: Input, environment: Environment
) -> Iterator[TriedRule]:
    """Yield the rules of a scope that were tried for a request, in order, up to the one that matched."""
    for position in scope.tree.find(request):
        rule = scope.rules[position]
        failed = None if rule is matched else find_failed(parse(rule.rule.when), request, environment)
        yield TriedRule(rule.name, failed, rule.cost)
        if rule is matched:
            return


def find_failed(when: s.Node, request: Input, environment: Environment) -> str | None:
    """Find the first conjunct that does not hold, as source text.

    Each is tried behind those before it, which may guard it.
    """
    terms = conjuncts(when)
    for count in range(1, len(terms) + 1):
        node = terms[0] if count == 1 else s.Logic(when.at, when.depth + 1, "&&", tuple(terms[:count]))
        program = compile_checked(check(node, environment, t.BOOL, UNLIMITED))
        if not program.run(request):
            return show(terms[count - 1])
    return None


class DecisionPair(NamedTuple):
    """What two tables decide of one request."""

    old: Decision | Refusal
    new: Decision | Refusal


@dataclass(slots=True)
class Difference:
    """Requests that two tables decide differently, by the rules that decided.

    Attributes:
        old: The scope and rule of the old table.
        new: Likewise of the new table.
        example: The decisions on the first of the requests.
        count: How many requests there are.
        lines: The lines of the first MAX_EXAMPLES of them in the log.
    """

    old: str
    new: str
    example: DecisionPair
    count: int = 0
    lines: list[int] = field(default_factory=list)


def find_differences(
    old: Table, new: Table, requests: Iterable[tuple[int, Input | Exception]]
) -> tuple[list[Difference], Counter[str]]:
    """Find the differences between two tables on recorded requests.

    Args:
        old: A table.
        new: Another table.
        requests: Lines of a log with the requests that were recorded there (`samples.read_samples`).

    Returns:
        The differences, that with the most requests first, and counts of `requests`, `changed` ones and
        `unreadable` lines.
    """
    found: dict[tuple[str, str], Difference] = {}
    counts: Counter[str] = Counter()
    for line, request in requests:
        if isinstance(request, Exception):
            counts["unreadable"] += 1
            continue
        counts["requests"] += 1
        pair = DecisionPair(old.decide(request), new.decide(request))
        if are_equivalent(pair.old, pair.new):
            continue
        counts["changed"] += 1
        labels = rule_label(pair.old), rule_label(pair.new)
        difference = found.setdefault(labels, Difference(*labels, example=pair))
        difference.count += 1
        if len(difference.lines) < MAX_EXAMPLES:
            difference.lines.append(line)
    return sorted(found.values(), key=lambda difference: -difference.count), counts


def decision_data(decision: Decision | Refusal, table: Table) -> dict[str, Any]:
    """A decision as data for output."""
    if isinstance(decision, Refusal):
        return {
            "refused": decision.status,
            "reason": decision.reason,
            "scope": decision.scope,
            "rule": decision.rule,
        }
    vocabulary = table.vocabulary
    return {
        "scope": decision.scope,
        "rule": decision.rule,
        "class": vocabulary.classes[decision.request_class].name,
        "volume": decision.volume,
        "plan": vocabulary.plans[decision.plan] if decision.plan >= 0 else None,
        "key": decision.key,
        "shard": decision.shard,
        "units": decision.units,
        "hosts": decision.hosts,
        "repeat": decision.repeat,
        "deadline_ms": decision.deadline.total_seconds() * 1000,
    }
