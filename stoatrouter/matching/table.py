"""Rule tables: the compiled rules of all scopes, which decide every request."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from stoatrouter.expressions.runtime import hex16, stable_hash
from stoatrouter.matching import index
from stoatrouter.matching.conjuncts import Condition
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.diagnostics import Diagnostic
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.records import Otherwise, Rule, Scope
from stoatrouter.matching.scopes import ScopeIndex
from stoatrouter.matching.vocabulary import Vocabulary

MAX_UNITS_SIZE = 64 * 1024  # bytes from which a request counts as the largest, as in the object front
MIN_DEADLINE = timedelta(milliseconds=1)

CompiledFunction = Callable[[Input], Any]


@dataclass(slots=True, frozen=True)
class Value:
    """A constant or a compiled expression."""

    constant: Any = None
    run: CompiledFunction | None = None

    def evaluate(self, request: Input) -> Any:
        """Return the value for a request; raises EvaluationError if the expression fails."""
        return self.constant if self.run is None else self.run(request)


@dataclass(slots=True)
class CompiledRule:
    """One compiled rule.

    Attributes:
        name: The rule's name.
        when: The compiled condition.
        condition: The condition, split into conjuncts.
        cost: Worst-case steps of `when`.
        rule: The rule as written in the file.
        values: The values that it yields, by the field's name in the file.
        yield_cost: Worst-case steps of all values.
    """

    name: str
    when: CompiledFunction
    condition: Condition
    cost: int
    rule: Rule
    values: dict[str, Value] = field(default_factory=dict)
    yield_cost: int = 0


@dataclass(slots=True, frozen=True)
class CompiledScope:
    """A scope with its compiled rules.

    Attributes:
        name: The scope's name.
        scope: The scope as written in the file.
        rules: Its rules, in order.
        tree: The index of their conditions.
        max_steps: The maximum number of steps of a request of this scope.
    """

    name: str
    scope: Scope
    rules: tuple[CompiledRule, ...]
    tree: index.Tree
    max_steps: int


class Match(NamedTuple):
    """The scope that a request belongs to, and the first of its rules that matches."""

    scope: CompiledScope | None
    rule: CompiledRule | None


NO_MATCH = Match(None, None)


class Table:
    """The rules of all scopes; immutable."""

    def __init__(
        self,
        scopes: Mapping[str, CompiledScope],
        scope_index: ScopeIndex,
        otherwise: Otherwise,
        vocabulary: Vocabulary,
        warnings: Sequence[Diagnostic],
        epoch: str,
        any_node: bool = False,
    ) -> None:
        """Create a table.

        Args:
            scopes: The compiled scopes by name.
            scope_index: The index that finds the scope of a request.
            otherwise: The answer to a request that no rule matches.
            vocabulary: The classes and plans that decisions refer to by number.
            warnings: The warnings of its compilation.
            epoch: A short digest of the files.
            any_node: Whether a request without a key creates a new object, which any node accepts.
        """
        self.scopes = scopes
        self.scope_index = scope_index
        self.otherwise = otherwise
        self.vocabulary = vocabulary
        self.warnings = tuple(warnings)
        self.epoch = epoch
        self.any_node = any_node
        self.volume_owners = {v: name for name, scope in scopes.items() for v in scope.scope.volumes}

    @property
    def size(self) -> int:
        """Return the number of rules in the table."""
        return sum(len(scope.rules) for scope in self.scopes.values())

    def match(self, request: Input) -> Match:
        """Return the scope that a request belongs to and the first of its rules that matches."""
        name = self.scope_index.find_scope(request.host, request.path)
        if name is None:
            return NO_MATCH
        scope = self.scopes[name]
        rules = scope.rules
        for position in scope.tree.find(request):
            if rules[position].when(request):
                return Match(scope, rules[position])
        return Match(scope, None)

    def decide(self, request: Input) -> Decision | Refusal:
        """Decide a request."""
        return self.decide_match(self.match(request), request)

    def decide_match(self, match: Match, request: Input) -> Decision | Refusal:
        """Return the decision for a request whose match is known."""
        scope, rule = match
        if scope is None or rule is None:
            return Refusal(self.otherwise.status, self.otherwise.reason, scope.name if scope else None)
        refusal = rule.rule.refuse
        if refusal is not None:
            return Refusal(refusal.status, refusal.reason, scope.name, rule.name)
        decision = self.evaluate(scope, rule, request)
        # A computed volume may be one that belongs to another team.
        owner = self.volume_owners.get(decision.volume, scope.name)
        if owner != scope.name and decision.volume not in scope.scope.volumes:
            return Refusal(403, "this volume belongs to another scope", scope.name, rule.name)
        return decision

    def evaluate(self, scope: CompiledScope, rule: CompiledRule, request: Input) -> Decision:
        """Evaluate the values that a matched rule yields."""
        values = rule.values
        request_class = self.vocabulary.class_number(values["class"].evaluate(request))
        assert request_class is not None  # every text that can be yielded was checked at load
        plan = self.vocabulary.plans.index(values["plan"].evaluate(request)) if "plan" in values else -1
        key = format_hex16(values["key"].evaluate(request)) if "key" in values else path_key(request)
        return Decision(
            scope=scope.name,
            rule=rule.name,
            request_class=request_class,
            plan=plan,
            key=key,
            shard=self._evaluate_shard(values, request, key),
            units=self._evaluate_units(values, request),
            deadline=self._evaluate_deadline(values, request, request_class),
            volume=format_hex16(values["volume"].evaluate(request)) if "volume" in values else "",
            hosts=rule.rule.hosts or scope.scope.hosts_of_volume,
            repeat=bool(values["repeat"].evaluate(request)) if "repeat" in values else False,
        )

    def _evaluate_shard(self, values: Mapping[str, Value], request: Input, key: str) -> int:
        """Return the shard that a rule yields, else the key's; -1 if any node accepts the request."""
        if "shard" in values:
            shard: int = values["shard"].evaluate(request)
            return shard
        shards = self.vocabulary.shards
        takes_any = self.any_node and "key" not in values
        return int(key, 16) % shards if shards and not takes_any else -1

    def _evaluate_units(self, values: Mapping[str, Value], request: Input) -> float:
        """Return the units that a rule yields, else those derived from the request's size."""
        if "units" in values:
            return float(values["units"].evaluate(request))
        return units_of_size(request.size, self.vocabulary.max_units)

    def _evaluate_deadline(
        self, values: Mapping[str, Value], request: Input, request_class: int
    ) -> timedelta:
        """Return the deadline that a rule yields, from MIN_DEADLINE to the class's, else the class's."""
        limit = self.vocabulary.classes[request_class].deadline
        if "deadline" not in values:
            return limit
        deadline: timedelta = values["deadline"].evaluate(request)
        return min(limit, max(MIN_DEADLINE, deadline))


def path_key(request: Input) -> str:
    """Return the default key of a request: a hash of its path."""
    return hex16(stable_hash(request.path))


def format_hex16(value: int | str) -> str:
    """Return a volume or key as 16 hex digits."""
    return hex16(value) if isinstance(value, int) else value


def units_of_size(size: int, max_units: float) -> float:
    """Return units in proportion to the declared size in bytes: `max_units` from MAX_UNITS_SIZE bytes on."""
    return min(max_units, float(max(1, -(-int(max_units) * max(size, 0) // MAX_UNITS_SIZE))))
