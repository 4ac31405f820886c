"""Explains a decision: the rules that were tried, the conjunct of each that failed, and the result.

Requests are parsed and matched by the same code and table as in production.
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
from stoatrouter.matching.conjuncts import flatten_conjuncts
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.matcher import are_equivalent, rule_label
from stoatrouter.matching.table import CompiledRule, CompiledScope, Table

MAX_EXAMPLES = 5  # requests listed for each difference
UNLIMITED_STEPS = Limits(max_steps=1 << 40)  # the limits of the rule were checked when it was loaded


@dataclass(slots=True, frozen=True)
class TriedRule:
    """A rule that was tried; `failed` is its first conjunct that does not hold, None if all hold."""

    rule: str
    failed: str | None
    steps: int  # cost of its condition in the worst case


@dataclass(slots=True, frozen=True)
class Explanation:
    """How one request was decided.

    Attributes:
        scope: The scope that it belongs to, if any.
        rules: The number of rules in that scope.
        tried: The rules that were tried, in order.
        decision: The result.
        steps: Worst-case cost of all conditions that were tried and of the values yielded.
    """

    scope: str | None
    rules: int
    tried: tuple[TriedRule, ...]
    decision: Decision | Refusal
    steps: int


def explain(table: Table, request: Input, environment: Environment) -> Explanation:
    """Decide a request and record how the decision was made."""
    match = table.match(request)
    decision = table.decide_match(match, request)
    scope, rule = match
    if scope is None:
        return Explanation(None, 0, (), decision, 0)
    tried = tuple(find_tried_rules(scope, rule, request, environment))
    steps = sum(each.steps for each in tried) + (rule.yield_cost if rule is not None else 0)
    return Explanation(scope.name, len(scope.rules), tried, decision, steps)


def find_tried_rules(
    scope: CompiledScope, matched: CompiledRule | None, request: Input, environment: Environment
) -> Iterator[TriedRule]:
    """Yield the rules of a scope that were tried for a request, in order, up to the one that matched."""
    for position in scope.tree.find(request):
        rule = scope.rules[position]
        failed = (
            None if rule is matched else find_failed_conjunct(parse(rule.rule.when), request, environment)
        )
        yield TriedRule(rule.name, failed, rule.cost)
        if rule is matched:
            return


def find_failed_conjunct(when: s.Node, request: Input, environment: Environment) -> str | None:
    """Return the source text of the first conjunct that does not hold.

    Each conjunct is evaluated together with those before it, as they may guard it against errors.
    """
    terms = flatten_conjuncts(when)
    for count in range(1, len(terms) + 1):
        node = terms[0] if count == 1 else s.Logic(when.at, when.depth + 1, "&&", tuple(terms[:count]))
        program = compile_checked(check(node, environment, t.BOOL, UNLIMITED_STEPS))
        if not program.run(request):
            return show(terms[count - 1])
    return None


class DecisionPair(NamedTuple):
    """The decisions of two tables on one request."""

    old: Decision | Refusal
    new: Decision | Refusal


@dataclass(slots=True)
class Difference:
    """Requests that two tables decide differently, for one pair of deciding rules.

    Attributes:
        old: The scope and rule that decided in the old table.
        new: The scope and rule that decided in the new table.
        example: The decisions on the first of the requests.
        count: The number of requests.
        lines: The line numbers in the log of the first MAX_EXAMPLES requests.
    """

    old: str
    new: str
    example: DecisionPair
    count: int = 0
    lines: list[int] = field(default_factory=list)


def find_differences(
    old: Table, new: Table, requests: Iterable[tuple[int, Input | Exception]]
) -> tuple[list[Difference], Counter[str]]:
    """Compare two tables on recorded requests, as `samples.read_samples` yields them.

    Returns:
        The differences in descending order of their requests, and counts of `requests`, `changed` requests
        and `unreadable` lines.
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
    """Return a decision as JSON-compatible data, for output."""
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
