"""Cache of a table's unchanged scopes and compiled expressions, which the next load of the table reuses."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stoatrouter.expressions import Checked, Environment, Limits, check, parse
from stoatrouter.expressions import types as t
from stoatrouter.expressions.compiler import compile_many
from stoatrouter.matching.diagnostics import Diagnostic
from stoatrouter.matching.records import Rule, Scope
from stoatrouter.matching.table import CompiledFunction, CompiledScope
from stoatrouter.matching.vocabulary import Vocabulary


class PlanUse(NamedTuple):
    """The volumes and plans that one rule can yield; each volume must have a single plan."""

    rule_path: str  # such as `scopes.app.rules[1]`
    volumes: frozenset[str]
    plans: frozenset[str]


class Expression(NamedTuple):
    """A checked expression and the function that it was compiled to."""

    checked: Checked
    run: CompiledFunction


class ExpressionKey(NamedTuple):
    """Cache key of an expression; the environment is the same for the whole cache."""

    source: str
    wanted_type: t.Type | None
    max_steps: int


@dataclass(slots=True, frozen=True)
class CachedScope:
    """A scope that was compiled without errors, with its source."""

    scope: Scope
    rules: tuple[Rule, ...]
    compiled: CompiledScope
    warnings: tuple[Diagnostic, ...]
    plan_uses: tuple[PlanUse, ...]


class Cache:
    """Cache for successive loads of one rule file."""

    def __init__(self) -> None:
        """Start empty."""
        self.expressions: dict[ExpressionKey, Expression] = {}
        self.used: set[ExpressionKey] = set()  # keys that the load in progress has used
        self.scopes: dict[str, CachedScope] = {}
        self.environment: Environment | None = None
        self.vocabulary: Vocabulary | None = None

    def begin(self, environment: Environment, vocabulary: Vocabulary) -> None:
        """Begin a load; clear the cache if the environment or the vocabulary has changed."""
        if (environment, vocabulary) != (self.environment, self.vocabulary):
            self.expressions.clear()
            self.scopes.clear()
        self.environment = environment
        self.vocabulary = vocabulary

    def find_scope(self, name: str, scope: Scope, rules: Sequence[Rule]) -> CachedScope | None:
        """Return the cached scope if it is unchanged since it was compiled, otherwise None."""
        cached = self.scopes.get(name)
        if cached is None or cached.scope != scope or cached.rules != tuple(rules):
            return None
        return cached

    def store_scope(
        self,
        compiled: CompiledScope,
        rules: Sequence[Rule],
        warnings: Sequence[Diagnostic],
        plan_uses: Sequence[PlanUse],
    ) -> None:
        """Store a scope that was compiled without errors, for the next load."""
        self.scopes[compiled.name] = CachedScope(
            compiled.scope, tuple(rules), compiled, tuple(warnings), tuple(plan_uses)
        )

    def compile(
        self, source: str, wanted_type: t.Type | None, environment: Environment, max_steps: int
    ) -> Expression:
        """Return a checked and compiled expression, from the cache if it is there.

        Args:
            source: The expression's source.
            wanted_type: The type that it must yield; None allows any type.
            environment: The variables that it may use.
            max_steps: The maximum number of steps in the worst case.

        Raises:
            ExpressionError: The expression has errors.
        """
        key = ExpressionKey(source, wanted_type, max_steps)
        self.used.add(key)
        expression = self.expressions.get(key)
        if expression is None:
            limits = Limits(max_steps=min(Limits().max_steps, max_steps))
            checked = check(parse(source), environment, wanted_type, limits)
            expression = self.expressions[key] = Expression(checked, compile_many([checked])[0])
        return expression

    def remove_unused(self, scopes: Iterable[str]) -> None:
        """Remove expressions that the load in progress did not use, and scopes that no longer exist."""
        self.expressions = {key: self.expressions[key] for key in self.used if key in self.expressions}
        self.used = set()
        self.scopes = {name: self.scopes[name] for name in scopes if name in self.scopes}
