"""What one load of a table leaves for the next."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from stoatrouter.expressions import Checked, Environment, Limits, check, parse
from stoatrouter.expressions import types as t
from stoatrouter.expressions.compiler import compile_many
from stoatrouter.matching.flaws import Flaw
from stoatrouter.matching.records import Rule, Scope
from stoatrouter.matching.table import Compartment, Run
from stoatrouter.matching.vocabulary import Vocabulary


class PlanUse(NamedTuple):
    """The volumes and plans that one rule can yield; a volume must have one plan."""

    place: str  # the rule's path in the file
    volumes: frozenset[str]
    plans: frozenset[str]


class Cache:
    """What one load leaves for the next: unchanged scopes, and expressions by their source."""

    def __init__(self) -> None:
        self.known: dict[tuple[str, t.Type | None, int], tuple[Checked, Run]] = {}
        self.used: set[tuple[str, t.Type | None, int]] = set()
        self.environment: Environment | None = None
        self.words: Vocabulary | None = None
        self.scopes: dict[str, tuple[Scope, tuple[Rule, ...], Compartment, list[Flaw], list[PlanUse]]] = {}

    def begin(self, environment: Environment, words: Vocabulary) -> None:
        """Clear the cache where the environment or the vocabulary differs."""
        if (environment, words) != (self.environment, self.words):
            self.known.clear()
            self.scopes.clear()
        self.environment, self.words = environment, words

    def compartment(
        self, name: str, scope: Scope, rules: Sequence[Rule]
    ) -> tuple[Compartment, list[Flaw], list[PlanUse]] | None:
        """A scope that is unchanged since it was found good, with its warnings; or None."""
        kept = self.scopes.get(name)
        if kept is None or kept[0] != scope or kept[1] != tuple(rules):
            return None
        return kept[2], kept[3], kept[4]

    def keep(
        self, made: Compartment, rules: Sequence[Rule], warnings: list[Flaw], plan_uses: list[PlanUse]
    ) -> None:
        """Keep a scope that was found good for the next load."""
        self.scopes[made.name] = made.scope, tuple(rules), made, warnings, plan_uses

    def get(
        self, source: str, want: t.Type | None, environment: Environment, steps: int
    ) -> tuple[Checked, Run]:
        """A checked and compiled expression, from the cache where it is known; raises ExpressionError."""
        key = (source, want, steps)
        self.used.add(key)
        if (found := self.known.get(key)) is None:
            checked = check(parse(source), environment, want, Limits(steps=min(Limits().steps, steps)))
            found = self.known[key] = checked, compile_many([checked])[0]
        return found

    def sweep(self, scopes: Iterable[str]) -> None:
        """Forget expressions that this load did not use, and scopes that are gone."""
        self.known = {key: self.known[key] for key in self.used if key in self.known}
        self.used = set()
        self.scopes = {name: self.scopes[name] for name in scopes if name in self.scopes}
