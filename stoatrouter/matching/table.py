"""Rule tables: compiled rules by scope, used for every request."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from stoatrouter.expressions.runtime import hex16, stable_hash
from stoatrouter.matching import index
from stoatrouter.matching.conjuncts import Condition
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.flaws import Flaw
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.records import Otherwise, Rule, Scope
from stoatrouter.matching.scopes import Areas
from stoatrouter.matching.vocabulary import Vocabulary

PIECE = 64 * 1024  # bytes that count as the largest request there is, as in the object front
LEAST_DEADLINE = timedelta(milliseconds=1)


Run = Callable[[Input], Any]


@dataclass(slots=True, frozen=True)
class Value:
    """A constant, or a compiled expression."""

    constant: Any = None
    run: Run | None = None

    def of(self, given: Input) -> Any:
        """The value for a request; raises EvaluationError where an expression fails."""
        return self.constant if self.run is None else self.run(given)


@dataclass(slots=True)
class Compiled:
    """One compiled rule."""

    name: str
    when: Run
    condition: Condition
    cost: int  # steps of `when` in the worst case
    rule: Rule
    values: dict[str, Value] = field(default_factory=dict)
    yield_cost: int = 0


@dataclass(slots=True, frozen=True)
class Compartment:
    """A scope with its compiled rules."""

    name: str
    scope: Scope
    rules: tuple[Compiled, ...]
    tree: index.Tree
    worst: int  # steps that a request of this scope may take


class Table:
    """The rules of all scopes; immutable."""

    def __init__(
        self,
        compartments: Mapping[str, Compartment],
        areas: Areas,
        otherwise: Otherwise,
        words: Vocabulary,
        warnings: Sequence[Flaw],
        epoch: str,
        any_node: bool = False,
    ) -> None:
        self.compartments, self.areas, self.otherwise, self.words = compartments, areas, otherwise, words
        self.warnings, self.epoch = tuple(warnings), epoch
        self.any_node = any_node  # where no key is given: a new object, that any node takes
        self.owners = {volume: name for name, c in compartments.items() for volume in c.scope.volumes}

    @property
    def size(self) -> int:
        """How many rules the table has."""
        return sum(len(c.rules) for c in self.compartments.values())

    def match(self, given: Input) -> tuple[Compartment | None, Compiled | None]:
        """The scope that a request belongs to, and the first of its rules that matches."""
        owner = self.areas.owner(given.host, given.path)
        if owner is None:
            return None, None
        home = self.compartments[owner]
        rules = home.rules
        for i in home.tree.find(given):
            if rules[i].when(given):
                return home, rules[i]
        return home, None

    def decide(self, given: Input) -> Decision | Refusal:
        """Decide a request."""
        return self.decided(*self.match(given), given)

    def decided(self, home: Compartment | None, rule: Compiled | None, given: Input) -> Decision | Refusal:
        """The decision that follows from a match."""
        if home is None or rule is None:
            return Refusal(self.otherwise.status, self.otherwise.reason, home.name if home else None)
        if rule.rule.refuse is not None:
            return Refusal(rule.rule.refuse.status, rule.rule.refuse.reason, home.name, rule.name)
        decided = self.yielded(home, rule, given)
        # Guards volumes against a computed one that falls on another team's.
        if (
            self.owners.get(decided.volume, home.name) != home.name
            and decided.volume not in home.scope.volumes
        ):
            return Refusal(403, "this volume belongs to another scope", home.name, rule.name)
        return decided

    def yielded(self, home: Compartment, rule: Compiled, given: Input) -> Decision:
        """The values that a matched rule yields."""
        values, words = rule.values, self.words
        kind = words.class_number(values["class"].of(given))
        plan = words.plans.index(values["plan"].of(given)) if "plan" in values else -1
        assert kind is not None  # checked at load, for every text that can be yielded
        key = as_hex(values["key"].of(given)) if "key" in values else hex16(stable_hash(given.path))
        shard = (
            values["shard"].of(given)
            if "shard" in values
            else (
                int(key, 16) % words.shards if words.shards and ("key" in values or not self.any_node) else -1
            )
        )
        units = (
            float(values["units"].of(given)) if "units" in values else by_size(given.size, words.max_units)
        )
        most = words.classes[kind].deadline
        deadline = (
            min(most, max(LEAST_DEADLINE, values["deadline"].of(given))) if "deadline" in values else most
        )
        return Decision(
            home.name,
            rule.name,
            kind,
            as_hex(values["volume"].of(given)) if "volume" in values else "",
            plan,
            key,
            shard,
            units,
            rule.rule.hosts or home.scope.hosts_of_volume,
            bool(values["repeat"].of(given)) if "repeat" in values else False,
            deadline,
        )


def as_hex(value: int | str) -> str:
    """A volume or key as 16 hex digits."""
    return hex16(value) if isinstance(value, int) else value


def by_size(size: int, most: float) -> float:
    """Units by the stated size in bytes: PIECE bytes or more count as the largest request."""
    return min(most, float(max(1, -(-int(most) * max(size, 0) // PIECE))))
