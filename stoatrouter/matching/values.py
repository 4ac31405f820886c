"""Checks of the values that rules yield: class, plan, volume, key, shard, units, deadline."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stoatrouter.expressions import Checked, Environment, ExpressionError
from stoatrouter.expressions import types as t
from stoatrouter.expressions.conversions import duration_of_text
from stoatrouter.expressions.errors import EvaluationError
from stoatrouter.matching.cache import Cache
from stoatrouter.matching.conjuncts import Condition
from stoatrouter.matching.flaws import Flaw
from stoatrouter.matching.outcomes import Outcome, outcomes, proves_safe
from stoatrouter.matching.records import Computed, Scope
from stoatrouter.matching.table import LEAST_DEADLINE, Run, Value
from stoatrouter.matching.vocabulary import Vocabulary

HEX = frozenset("0123456789abcdef")
ANY = "*"  # of a scope's volumes: any at all, computed ones too
YIELD_STEPS = 2_000  # of one computed value


class ValueChecker:
    """Checks and compiles the values that rules yield; collects what is wrong with them."""

    def __init__(self, words: Vocabulary, environment: Environment, cache: Cache) -> None:
        self.words, self.environment, self.cache = words, environment, cache
        self.flaws: list[Flaw] = []

    def wrong(self, path: str, what: str, remedy: str = "") -> None:
        """Record a flaw at a path of the file."""
        self.flaws.append(Flaw(path, what, remedy))

    def expression(
        self, path: str, source: str, want: t.Type | None, steps: int
    ) -> tuple[Checked, Run] | None:
        """Check and compile an expression of at most `steps` steps; None where it is wrong."""
        try:
            return self.cache.get(source, want, self.environment, steps)
        except ExpressionError as error:
            self.flaws += [Flaw(path, p.what, p.remedy, str(p.at)) for p in error.problems]
            return None

    def only(self, place: str, scope: Scope, name: str) -> str | None:
        """The default of a field that a rule leaves out: the only one that its scope allows, else None."""
        allowed = {"class": scope.classes, "plan": scope.plans, "volume": scope.volumes}.get(name)
        if allowed is None:
            return None
        if len(allowed) == 1 and allowed[0] != ANY:
            return allowed[0]
        self.wrong(place, f"no {name} is given", "this scope has: " + ", ".join(allowed))
        return None

    def named(
        self, path: str, allowed: Sequence[str], given: str | Computed, what: str, safe: bool = False
    ) -> tuple[Value, int, frozenset[Any]] | None:
        """A value that must be one of those that the scope allows, for every request."""
        if isinstance(given, str):
            if given not in allowed:
                self.wrong(path, f"{what} {given!r} is not of this scope", "it has: " + ", ".join(allowed))
                return None
            return Value(given), 0, frozenset((Outcome(given, safe),))
        made = self.expression(f"{path}.expr", given.expr, t.STRING, YIELD_STEPS)
        if made is None:
            return None
        possible = outcomes(made[0].root.node, safe)
        if possible is None:
            self.wrong(
                f"{path}.expr",
                f"which {what} this yields cannot be told before a request comes",
                "use literals, ?: and maps of literals",
            )
            return None
        reached = sorted({o.text for o in possible} - set(allowed))
        if reached:
            self.wrong(
                f"{path}.expr", f"{what} {reached[0]!r} is not of this scope", "it has: " + ", ".join(allowed)
            )
            return None
        return Value(run=made[1]), made[0].cost, possible

    def class_value(self, path: str, scope: Scope, given: str | Computed, parts: Condition) -> Any:
        """The value of `class`, with its steps; None where it is wrong."""
        made = self.named(path, scope.classes, given, "class", proves_safe(parts))
        if made is None:
            return None
        free = sorted({o.text for o in made[2] if not o.safe and self.repeatable(o.text)})
        if free and not scope.rights.repeat_unsafe_methods:
            # Guards data: what a head may repeat freely must be harmless to repeat, and a PUT is not.
            self.wrong(
                path,
                f"class {free[0]!r} may be repeated freely, but the condition lets methods through that "
                "are not safe",
                'add request.method in ["GET", "HEAD"] to it, or ask the operator for '
                "the right repeat_unsafe_methods",
            )
            return None
        return made[:2]

    def repeatable(self, name: str) -> bool:
        """Whether requests of a class may be repeated freely."""
        number = self.words.class_number(name)
        return number is not None and self.words.classes[number].repeatable

    def plan_value(self, path: str, scope: Scope, given: str | Computed, parts: Condition) -> Any:
        """The value of `plan`, with its steps and the plans it can yield; None where it is wrong."""
        made = self.named(path, scope.plans, given, "plan")
        return made

    def volume_value(self, path: str, scope: Scope, given: str | Computed, parts: Condition) -> Any:
        """The value of `volume`, with its steps and, where known, the volumes; None where it is wrong."""
        if ANY not in scope.volumes:
            return self.named(path, scope.volumes, given, "volume")
        hexed = self.hexed(path, given)
        if hexed is not None and hexed[0].run is None:
            return *hexed, frozenset((Outcome(hexed[0].constant, False),))
        return hexed

    def key_value(self, path: str, scope: Scope, given: str | Computed, parts: Condition) -> Any:
        """The value of `key`, with its steps; None where it is wrong."""
        return self.hexed(path, given)

    def hexed(self, path: str, given: str | Computed) -> tuple[Value, int] | None:
        """A value of 16 hex digits: a literal, or an int that becomes them."""
        if isinstance(given, str):
            if len(given) != 16 or not set(given) <= HEX:
                self.wrong(path, f"{given!r} is not 16 hex digits in lower case")
                return None
            return Value(given), 0
        made = self.expression(f"{path}.expr", given.expr, None, YIELD_STEPS)
        if made is None:
            return None
        hexed = getattr(made[0].root.node, "function", None) == "hex16"
        if made[0].type != t.INT and not hexed:
            self.wrong(
                f"{path}.expr",
                f"this yields {made[0].type}, but an int is wanted here",
                "write hash(...); it becomes 16 hex digits",
            )
            return None
        return Value(run=made[1]), made[0].cost

    def shard_value(self, path: str, scope: Scope, given: int | Computed, parts: Condition) -> Any:
        """The value of `shard`, with its steps; None where it is wrong."""
        most = self.words.shards - 1 if self.words.shards else (1 << 31) - 1
        return self.number(path, given, t.INT, -1, most, "shard", "write hash(...) % " + str(most + 1))

    def units_value(self, path: str, scope: Scope, given: float | Computed, parts: Condition) -> Any:
        """The value of `units`, with its steps; None where it is wrong."""
        return self.number(
            path,
            given,
            t.INT,
            1,
            int(self.words.max_units),
            "number of units",
            f"from 1 to {self.words.max_units:g}",
        )

    def number(self, path: str, given: Any, want: t.Type, low: int, high: int, what: str, remedy: str) -> Any:
        """A number whose bounds prove that it is in range."""
        if not isinstance(given, Computed):
            if not low <= given <= high:
                self.wrong(path, f"{given:g} is out of the {what}'s range", f"from {low} to {high}")
                return None
            return Value(given), 0
        made = self.expression(f"{path}.expr", given.expr, want, YIELD_STEPS)
        if made is None:
            return None
        bound = made[0].bound
        if bound.low < low or bound.high > high:
            self.wrong(
                f"{path}.expr",
                f"the {what} may lie from {bound.low} to {bound.high}, {low} to {high} are allowed",
                remedy,
            )
            return None
        return Value(run=made[1]), made[0].cost

    def repeat_value(self, path: str, scope: Scope, given: bool | Computed, parts: Condition) -> Any:
        """The value of `repeat`, with its steps; None where it is wrong."""
        if isinstance(given, bool):
            return Value(given), 0
        made = self.expression(f"{path}.expr", given.expr, t.BOOL, YIELD_STEPS)
        return made and (Value(run=made[1]), made[0].cost)

    def deadline_value(self, path: str, scope: Scope, given: str | Computed, parts: Condition) -> Any:
        """The value of `deadline`, with its steps; None where it is wrong."""
        if isinstance(given, str):
            try:
                span = duration_of_text(given)
            except EvaluationError as error:
                self.wrong(path, f"{given!r}: {error}", "like '250ms' or '2s'")
                return None
            if span < LEAST_DEADLINE:
                self.wrong(path, f"{given!r} is no deadline", "1ms or more")
                return None
            return Value(span), 0
        made = self.expression(f"{path}.expr", given.expr, t.DURATION, YIELD_STEPS)
        return made and (Value(run=made[1]), made[0].cost)
