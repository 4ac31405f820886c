"""Checks the values that rules yield: class, plan, volume, key, shard, units, repeat, deadline.

Each check proves that every value that can be yielded is allowed, so that no request fails on one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from stoatrouter.expressions import Environment, ExpressionError
from stoatrouter.expressions import types as t
from stoatrouter.expressions.conversions import duration_of_text
from stoatrouter.expressions.errors import EvaluationError
from stoatrouter.matching.cache import Cache, Expression
from stoatrouter.matching.conjuncts import Condition
from stoatrouter.matching.diagnostics import Diagnostic
from stoatrouter.matching.records import Computed, RuleField, Scope
from stoatrouter.matching.table import MIN_DEADLINE, Value
from stoatrouter.matching.vocabulary import Vocabulary
from stoatrouter.matching.yielded_texts import YieldedText, find_yielded_texts, implies_safe_method

HEX_DIGITS = frozenset("0123456789abcdef")
HEX_LENGTH = 16  # digits of a volume or key
ANY_VOLUME = "*"  # in a scope's volumes: any volume, including computed ones
MAX_YIELD_STEPS = 2_000  # steps of one computed value
MAX_SHARD = (1 << 31) - 1  # used if the number of shards is not known


@dataclass(slots=True, frozen=True)
class CheckedValue:
    """A value that passed its check.

    Attributes:
        value: The value, ready to be evaluated.
        cost: Worst-case steps of its evaluation.
        yielded_texts: All texts that it can yield; None if they are not known.
    """

    value: Value
    cost: int = 0
    yielded_texts: frozenset[YieldedText] | None = None


class NumberRange(NamedTuple):
    """The range of a numeric field, both ends included, with the texts that diagnostics use."""

    low: int
    high: int
    subject: str
    remedy: str


class ValueChecker:
    """Checks and compiles the values that rules yield; collects the errors that it finds."""

    def __init__(self, vocabulary: Vocabulary, environment: Environment, cache: Cache) -> None:
        """Create a checker for the values of one table.

        Args:
            vocabulary: The classes, plans and bounds of the settings.
            environment: The variables that expressions may use.
            cache: Compiled expressions of earlier loads.
        """
        self.vocabulary = vocabulary
        self.environment = environment
        self.cache = cache
        self.errors: list[Diagnostic] = []

    def report(self, path: str, what: str, remedy: str = "") -> None:
        """Record an error at a path of the file."""
        self.errors.append(Diagnostic(path, what, remedy))

    def compile(
        self, path: str, source: str, wanted_type: t.Type | None, max_steps: int
    ) -> Expression | None:
        """Check and compile an expression of at most `max_steps` steps; record errors and return None."""
        try:
            return self.cache.compile(source, wanted_type, self.environment, max_steps)
        except ExpressionError as error:
            self.errors += [
                Diagnostic(path, problem.what, problem.remedy, str(problem.at)) for problem in error.problems
            ]
            return None

    def find_default(self, rule_path: str, scope: Scope, field: RuleField) -> str | None:
        """Return the default of a field that a rule omits: the only value that its scope allows.

        Returns None for fields without a default, and, with an error, if the scope allows several values.
        """
        match field:
            case RuleField.CLASS:
                allowed = scope.classes
            case RuleField.PLAN:
                allowed = scope.plans
            case RuleField.VOLUME:
                allowed = scope.volumes
            case _:
                return None
        if len(allowed) == 1 and allowed[0] != ANY_VOLUME:
            return allowed[0]
        self.report(rule_path, f"no {field} is given", "allowed in this scope: " + ", ".join(allowed))
        return None

    def check_value(
        self, field: RuleField, path: str, scope: Scope, given: Any, condition: Condition
    ) -> CheckedValue | None:
        """Check and compile the value of a field; record errors and return None if there are any.

        The scope defines what is allowed, `given` is the rule's value, a constant or Computed, and the rule's
        condition restricts the requests that are possible.
        """
        match field:
            case RuleField.CLASS:
                return self.check_class(path, scope, given, condition)
            case RuleField.VOLUME:
                return self.check_volume(path, scope, given)
            case RuleField.PLAN:
                return self.check_name(path, scope.plans, given, "plan")
            case RuleField.KEY:
                return self.check_hex(path, given)
            case RuleField.SHARD:
                return self.check_shard(path, given)
            case RuleField.UNITS:
                return self.check_units(path, given)
            case RuleField.REPEAT:
                return self.check_repeat(path, given)
            case RuleField.DEADLINE:
                return self.check_deadline(path, given)

    # -- names --------------------------------------------------------------------------------------------
    def check_name(
        self, path: str, allowed: Sequence[str], given: str | Computed, subject: str, safe: bool = False
    ) -> CheckedValue | None:
        """Check that a value is one of the scope's names for every request.

        `subject` is the kind of the names, for error messages; `safe` is whether the rule's condition holds
        for safe methods only.
        """
        if isinstance(given, str):
            if not self.check_allowed(path, allowed, {given}, subject):
                return None
            return CheckedValue(Value(given), yielded_texts=frozenset((YieldedText(given, safe),)))
        path = f"{path}.expr"
        expression = self.compile(path, given.expr, t.STRING, MAX_YIELD_STEPS)
        if expression is None:
            return None
        yielded_texts = find_yielded_texts(expression.checked.root.node, safe)
        if yielded_texts is None:
            self.report(
                path,
                f"the values that this can yield as {subject} cannot be determined at load",
                "use literals, ?: and maps of literals",
            )
            return None
        if not self.check_allowed(path, allowed, {yielded.text for yielded in yielded_texts}, subject):
            return None
        return CheckedValue(Value(run=expression.run), expression.checked.cost, yielded_texts)

    def check_allowed(self, path: str, allowed: Sequence[str], names: set[str], subject: str) -> bool:
        """Return whether the scope has all of some names; report the first one that it does not have."""
        foreign = sorted(names - set(allowed))
        if foreign:
            remedy = "allowed: " + ", ".join(allowed)
            self.report(path, f"{subject} {foreign[0]!r} is not allowed in this scope", remedy)
        return not foreign

    def check_class(
        self, path: str, scope: Scope, given: str | Computed, condition: Condition
    ) -> CheckedValue | None:
        """Check `class`, and that only safe requests can get a class that heads may retry freely."""
        checked = self.check_name(path, scope.classes, given, "class", implies_safe_method(condition))
        if checked is None or scope.rights.repeat_unsafe_methods:
            return checked
        yielded_texts = checked.yielded_texts or ()
        unsafe = sorted({o.text for o in yielded_texts if not o.safe and self.is_repeatable(o.text)})
        if unsafe:
            # Protects data: what a head may retry freely must be idempotent, and a PUT is not taken to be.
            self.report(
                path,
                f"class {unsafe[0]!r} may be retried freely, but the condition allows methods that "
                "are not safe",
                'add request.method in ["GET", "HEAD"] to the condition, or ask the operator for '
                "the right repeat_unsafe_methods",
            )
            return None
        return checked

    def is_repeatable(self, name: str) -> bool:
        """Return whether requests of a class may be retried freely."""
        number = self.vocabulary.class_number(name)
        return number is not None and self.vocabulary.classes[number].repeatable

    def check_volume(self, path: str, scope: Scope, given: str | Computed) -> CheckedValue | None:
        """Check `volume`: one of the scope's, or any volume if the scope has ANY_VOLUME."""
        if ANY_VOLUME not in scope.volumes:
            return self.check_name(path, scope.volumes, given, "volume")
        checked = self.check_hex(path, given)
        if checked is not None and checked.value.run is None:
            yielded_texts = frozenset((YieldedText(checked.value.constant, False),))
            return CheckedValue(checked.value, checked.cost, yielded_texts)
        return checked

    def check_hex(self, path: str, given: str | Computed) -> CheckedValue | None:
        """Check a value of 16 hex digits: a literal, or an int, which is formatted as hex digits."""
        if isinstance(given, str):
            if len(given) != HEX_LENGTH or not set(given) <= HEX_DIGITS:
                self.report(path, f"{given!r} is not 16 hex digits in lower case")
                return None
            return CheckedValue(Value(given))
        expression = self.compile(f"{path}.expr", given.expr, None, MAX_YIELD_STEPS)
        if expression is None:
            return None
        checked = expression.checked
        is_hex = getattr(checked.root.node, "function", None) == "hex16"
        if checked.type != t.INT and not is_hex:
            self.report(
                f"{path}.expr",
                f"this yields {checked.type}, but int is expected here",
                "use hash(...), which is formatted as 16 hex digits",
            )
            return None
        return CheckedValue(Value(run=expression.run), checked.cost)

    # -- numbers and times --------------------------------------------------------------------------------
    def check_shard(self, path: str, given: int | Computed) -> CheckedValue | None:
        """Check `shard`: one of the settings' shards, or -1 for any."""
        shards = self.vocabulary.shards
        high = shards - 1 if shards else MAX_SHARD
        return self.check_number(path, given, NumberRange(-1, high, "shard", f"use hash(...) % {high + 1}"))

    def check_units(self, path: str, given: float | Computed) -> CheckedValue | None:
        """Check `units`: from 1 to the maximum that the settings allow for one request."""
        most = self.vocabulary.max_units
        return self.check_number(
            path, given, NumberRange(1, int(most), "number of units", f"from 1 to {most:g}")
        )

    def check_number(self, path: str, given: float | Computed, allowed: NumberRange) -> CheckedValue | None:
        """Check that a number, or the bound of an expression, lies in the allowed range."""
        low, high, subject, remedy = allowed
        if not isinstance(given, Computed):
            if not low <= given <= high:
                self.report(path, f"the {subject} {given:g} is out of range", f"from {low} to {high}")
                return None
            return CheckedValue(Value(given))
        expression = self.compile(f"{path}.expr", given.expr, t.INT, MAX_YIELD_STEPS)
        if expression is None:
            return None
        bound = expression.checked.bound
        if bound.low < low or bound.high > high:
            self.report(
                f"{path}.expr",
                f"the {subject} may be from {bound.low} to {bound.high}; allowed are {low} to {high}",
                remedy,
            )
            return None
        return CheckedValue(Value(run=expression.run), expression.checked.cost)

    def check_repeat(self, path: str, given: bool | Computed) -> CheckedValue | None:
        """Check `repeat`: whether the request is a retry."""
        if isinstance(given, bool):
            return CheckedValue(Value(given))
        return self.check_computed(path, given, t.BOOL)

    def check_deadline(self, path: str, given: str | Computed) -> CheckedValue | None:
        """Check `deadline`: a duration of at least MIN_DEADLINE."""
        if isinstance(given, Computed):
            return self.check_computed(path, given, t.DURATION)
        try:
            deadline = duration_of_text(given)
        except EvaluationError as error:
            self.report(path, f"{given!r}: {error}", "for example '250ms' or '2s'")
            return None
        if deadline < MIN_DEADLINE:
            self.report(path, f"the deadline {given!r} is too short", "the minimum is 1ms")
            return None
        return CheckedValue(Value(deadline))

    def check_computed(self, path: str, given: Computed, wanted_type: t.Type) -> CheckedValue | None:
        """Check an expression whose value is restricted only by its type."""
        expression = self.compile(f"{path}.expr", given.expr, wanted_type, MAX_YIELD_STEPS)
        if expression is None:
            return None
        return CheckedValue(Value(run=expression.run), expression.checked.cost)
