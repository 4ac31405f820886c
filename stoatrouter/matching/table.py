"""Rule tables: loaded whole or rejected whole with all faults, then used for every request."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from stoatrouter.expressions import (
    Checked,
    Environment,
    ExpressionError,
    Limits,
    check,
    parse,
)
from stoatrouter.expressions import types as t
from stoatrouter.expressions.compiler import compile_many
from stoatrouter.expressions.errors import EvaluationError
from stoatrouter.expressions.runtime import duration_of_text, hex16, stable_hash
from stoatrouter.matching import index
from stoatrouter.matching.conjuncts import Condition, condition
from stoatrouter.matching.coverage import Coverage
from stoatrouter.matching.inputs import HTTP, Input
from stoatrouter.matching.outcomes import Outcome, outcomes, proves_safe
from stoatrouter.matching.records import Computed, Otherwise, Rule, Rules, Scope
from stoatrouter.matching.scopes import Areas, collisions, outside

PIECE = 64 * 1024  # bytes that count as the largest request there is, as in the object front
LEAST_DEADLINE = timedelta(milliseconds=1)
HEX = frozenset("0123456789abcdef")
ANY = "*"  # of a scope's volumes: any at all, computed ones too
MOST_RULES, MOST_SCOPES = 20_000, 1_000
YIELD_STEPS = 2_000  # of one computed value


@dataclass(slots=True, frozen=True)
class KnownClass:
    """What a table needs to know of a request class."""

    name: str
    repeatable: bool  # may be repeated freely
    deadline: timedelta


@dataclass(slots=True, frozen=True)
class Vocabulary:
    """The words that rules may use: classes and plans of the settings in their order, and bounds."""

    classes: tuple[KnownClass, ...]
    plans: tuple[str, ...]
    shards: int  # 0: not told
    max_units: float

    def class_number(self, name: str) -> int | None:
        """The number of a class; None where there is no such class."""
        return next((i for i, known in enumerate(self.classes) if known.name == name), None)


@dataclass(slots=True, frozen=True, order=True)
class Flaw:
    """A fault of a table, or a warning; `path` is the field's path in the file."""

    path: str
    what: str
    remedy: str = ""
    at: str = ""  # line and column within the expression

    def __str__(self) -> str:
        inner = f"{self.at}: " if self.at else ""
        return f"{self.path}: {inner}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


@dataclass(slots=True, frozen=True)
class Bucket:
    """A bucket of the object front: its volume, and its plan unless the table yields that."""

    volume: str
    plan: str | None


class TableError(Exception):
    """A table was rejected; `flaws` are all its faults."""

    def __init__(self, flaws: Sequence[Flaw]) -> None:
        self.flaws = tuple(sorted(set(flaws)))
        super().__init__("; ".join(map(str, self.flaws)))


@dataclass(slots=True, frozen=True)
class Decision:
    """What a request becomes for the core."""

    scope: str
    rule: str
    request_class: int
    volume: str
    plan: int
    key: str
    shard: int
    units: float
    hosts: int
    repeat: bool
    deadline: timedelta


@dataclass(slots=True, frozen=True)
class Refusal:
    """A request that a rule refuses, or that no rule matches."""

    status: int
    reason: str
    scope: str | None = None
    rule: str | None = None


Run = Callable[[Input], Any]
Said = tuple[str, frozenset[str], frozenset[str]]  # a rule's place, its volumes, its plans


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


# -- loading ------------------------------------------------------------------------------------------------
class Loader:
    """One load of one table; it collects faults, and takes unchanged expressions from the cache."""

    def __init__(
        self,
        words: Vocabulary,
        environment: Environment = HTTP,
        before: Cache | None = None,
        buckets: Mapping[str, Bucket] | None = None,
    ) -> None:
        self.words, self.environment, self.buckets = words, environment, buckets
        self.plans: dict[str, tuple[str, str]] = {}  # of each volume, and where that is said
        self.cache = before if before is not None else Cache()
        self.flaws: list[Flaw] = []
        self.warnings: list[Flaw] = []
        self.said: list[Said] = []  # of the scope at hand

    def wrong(self, path: str, what: str, remedy: str = "") -> None:
        """Record a flaw at a path of the file."""
        self.flaws.append(Flaw(path, what, remedy))

    def load(self, rules: Rules, teams: Mapping[str, Sequence[Rule]], epoch: str) -> Table:
        """Make the table; raises TableError.

        `teams` has the rules of scopes that name a file of their own.
        """
        self.cache.begin(self.environment, self.words)
        if len(rules.scopes) > MOST_SCOPES:
            self.wrong("scopes", f"{len(rules.scopes)} scopes", f"{MOST_SCOPES} at most")
        if sum(len(teams.get(n, s.rules)) for n, s in rules.scopes.items()) > MOST_RULES:
            raise TableError([Flaw("scopes", "too many rules", f"{MOST_RULES} at most")])
        for name, bucket in (self.buckets or {}).items():
            if bucket.plan is not None:
                self.plans[bucket.volume] = bucket.plan, f"the bucket {name!r}"
        for first, second, host, path in collisions(rules.scopes):
            self.wrong(
                f"scopes.{second}",
                f"host {host!r} with path {path!r} is claimed by {first!r} as well",
                "give each path to one scope; the longer prefix has its own requests",
            )
        made = {
            name: self.compartment(name, scope, teams.get(name, scope.rules))
            for name, scope in rules.scopes.items()
        }
        if self.flaws:
            raise TableError(self.flaws)
        self.cache.sweep(made)
        return Table(
            {name: c for name, c in made.items() if c is not None},
            Areas(rules.scopes),
            rules.otherwise,
            self.words,
            sorted(set(self.warnings)),
            epoch,
            self.buckets is not None,
        )

    def compartment(self, name: str, scope: Scope, rules: Sequence[Rule]) -> Compartment | None:
        """Check and compile one scope; None where a rule cannot be compiled. Flaws are recorded."""
        kept = self.cache.compartment(name, scope, rules)
        if kept is not None:
            self.warnings += kept[1]
            for said in kept[2]:
                self.one_plan(*said)
            return kept[0]
        self.said = []
        path = f"scopes.{name}"
        before = len(self.flaws), len(self.warnings)
        self.scope_words(path, scope)
        places = [f"{path}.rules[{i}]" for i in range(len(rules))]
        compiled: list[Compiled] = []
        whole = True
        names: dict[str, int] = {}
        for i, (place, rule) in enumerate(zip(places, rules, strict=True)):
            if names.setdefault(rule.name, i) != i:
                self.wrong(
                    place, f"the name {rule.name!r} stands twice", f"it is that of rules[{names[rule.name]}]"
                )
            made = self.rule(place, scope, rule)
            whole = whole and made is not None
            if made is not None:
                compiled.append(made)
        if not whole:
            return None
        self.idle(places, compiled)
        tree = index.build([c.condition for c in compiled])
        worst = tree.worst([c.cost for c in compiled]) + max((c.yield_cost for c in compiled), default=0)
        if worst > scope.steps:
            dear = sorted(compiled, key=lambda c: -c.cost)[:3]
            self.wrong(
                path,
                f"a request may take {worst} steps, {scope.steps} at most",
                "dearest: "
                + ", ".join(f"{c.cost} for {c.name}" for c in dear)
                + "; conditions on host, method, path or a header keep rules apart",
            )
        made = Compartment(name, scope, tuple(compiled), tree, worst)
        if len(self.flaws) == before[0]:
            self.cache.keep(made, rules, self.warnings[before[1] :], self.said)
        return made

    def scope_words(self, path: str, scope: Scope) -> None:
        """Check that the classes and plans of a scope exist and its paths are prefixes."""
        for kind in scope.classes:
            if self.words.class_number(kind) is None:
                self.wrong(
                    f"{path}.classes",
                    f"there is no class {kind!r}",
                    "there is: " + ", ".join(c.name for c in self.words.classes),
                )
        for plan in scope.plans:
            if plan not in self.words.plans:
                self.wrong(
                    f"{path}.plans", f"there is no plan {plan!r}", "there is: " + ", ".join(self.words.plans)
                )
        for claimed in scope.paths:
            if not claimed.startswith("/"):
                self.wrong(f"{path}.paths", f"{claimed!r} is no path prefix", "it starts with /")

    def idle(self, places: list[str], compiled: list[Compiled]) -> None:
        """Record warnings for rules that can never match."""
        for place, rule in zip(places, compiled, strict=True):
            clash = rule.condition.contradiction()
            if rule.condition.never:
                self.warnings.append(Flaw(place, f"rule {rule.name!r} never matches: its condition is false"))
            elif clash is not None:
                self.warnings.append(
                    Flaw(
                        place,
                        f"rule {rule.name!r} never matches: it wants {said(clash[0])} and {said(clash[1])}",
                    )
                )
        for i, j in Coverage([c.condition for c in compiled]).covered():
            self.warnings.append(
                Flaw(
                    places[i],
                    f"rule {compiled[i].name!r} never matches: {compiled[j].name!r} before it covers it",
                    "move it up, or remove one",
                )
            )

    # -- one rule -----------------------------------------------------------------------------------------
    def rule(self, place: str, scope: Scope, rule: Rule) -> Compiled | None:
        """Check and compile one rule; None where it is wrong. Flaws are recorded."""
        before = len(self.flaws)
        when = self.expression(f"{place}.when", rule.when, t.BOOL, scope.steps)
        parts = condition(when[0].root.node) if when is not None else Condition((), frozenset())
        if when is not None and (beyond := outside(scope, parts)) is not None:
            self.wrong(
                f"{place}.when",
                f"{beyond} is outside of this scope",
                f"it has hosts {', '.join(scope.hosts)} and paths {', '.join(scope.paths)}",
            )
        values: dict[str, Value] = {}
        cost = 0
        if rule.refuse is None:
            cost = self.values(place, scope, rule, parts, values)
        elif given := [name for name in FIELDS if getattr(rule, ATTRIBUTE.get(name, name)) is not None]:
            self.wrong(place, f"a rule that refuses yields no {given[0]}", "leave it out")
        if self.buckets is not None and rule.refuse is None:
            for name in PIECES_OWN:
                if getattr(rule, name) is not None:
                    self.wrong(f"{place}.{name}", f"an object's pieces have their own {name}", "leave it out")
        if rule.refuse is not None and not 400 <= rule.refuse.status <= 599:
            self.wrong(f"{place}.refuse.status", f"{rule.refuse.status} is no refusal", "400 to 599")
        if len(self.flaws) > before or when is None:
            return None
        return Compiled(rule.name, when[1], parts, when[0].cost, rule, values, cost)

    def expression(
        self, path: str, source: str, want: t.Type | None, steps: int
    ) -> tuple[Checked, Run] | None:
        """Check and compile an expression of at most `steps` steps; None where it is wrong."""
        try:
            return self.cache.get(source, want, self.environment, steps)
        except ExpressionError as error:
            self.flaws += [Flaw(path, p.what, p.remedy, str(p.at)) for p in error.problems]
            return None

    def values(self, place: str, scope: Scope, rule: Rule, parts: Condition, values: dict[str, Value]) -> int:
        """Fill in what a rule yields; returns the steps that it takes."""
        cost = 0
        plans: frozenset[str] = frozenset()
        volumes: frozenset[str] = frozenset()
        for name in FIELDS:
            given = getattr(rule, ATTRIBUTE.get(name, name))
            if given is None and not (self.buckets is not None and name in ("volume", "plan")):
                given = self.only(place, scope, name)
            if given is None:
                continue
            checker: Callable[..., tuple[Value, int] | None] = getattr(self, f"{name}_value")
            made = checker(f"{place}.{name}", scope, given, parts)
            if made is not None:
                values[name], steps = made[:2]
                cost += steps
                if name == "plan":
                    plans = frozenset(o.text for o in made[2])
                if name == "volume":
                    volumes = (
                        frozenset(o.text for o in made[2])
                        if len(made) > 2
                        else frozenset((f"{ANY} {place}",))
                    )
        self.said.append((place, self.reached(parts) if self.buckets is not None else volumes, plans))
        self.one_plan(*self.said[-1])
        return cost

    def reached(self, parts: Condition) -> frozenset[str]:
        """The volumes of the buckets that a condition lets through."""
        named = [d.values for d in parts.demands if d.dimension == ("bucket", "")]
        return frozenset(
            bucket.volume
            for name, bucket in (self.buckets or {}).items()
            if all(name in values for values in named)
        )

    def one_plan(self, place: str, volumes: frozenset[str], plans: frozenset[str]) -> None:
        """Record a flaw where a volume gets two plans.

        Limits are kept by volume and plan, so a volume with two plans would have two limits.
        """
        for volume in sorted(volumes):
            for plan in sorted(plans):
                first, where = self.plans.setdefault(volume, (plan, place))
                if first != plan:
                    name = "a computed volume" if volume.startswith(ANY) else f"volume {volume!r}"
                    self.wrong(
                        place,
                        f"{name} has plan {plan!r} here and {first!r} at {where}",
                        "a volume has one plan",
                    )
                    return

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


FIELDS = ("class", "volume", "plan", "key", "shard", "units", "repeat", "deadline")
ATTRIBUTE = {"class": "request_class"}
PIECES_OWN = ("volume", "units", "hosts", "repeat")  # of which a call of the object front has none


def said(demand: Any) -> str:
    """A demand in words, for warnings."""
    kind, name = demand.dimension
    what = {"prefix": "a path that starts with", "segment": f"segment {name} to be"}.get(
        kind, f"{kind} {name!r} to be" if name else f"the {kind} to be"
    )
    return f"{what} {' or '.join(sorted(map(repr, demand.values)))}"


class Cache:
    """What one load leaves for the next: unchanged scopes, and expressions by their source."""

    def __init__(self) -> None:
        self.known: dict[tuple[str, t.Type | None, int], tuple[Checked, Run]] = {}
        self.used: set[tuple[str, t.Type | None, int]] = set()
        self.environment: Environment | None = None
        self.words: Vocabulary | None = None
        self.scopes: dict[str, tuple[Scope, tuple[Rule, ...], Compartment, list[Flaw], list[Said]]] = {}

    def begin(self, environment: Environment, words: Vocabulary) -> None:
        """Clear the cache where the environment or the vocabulary differs."""
        if (environment, words) != (self.environment, self.words):
            self.known.clear()
            self.scopes.clear()
        self.environment, self.words = environment, words

    def compartment(
        self, name: str, scope: Scope, rules: Sequence[Rule]
    ) -> tuple[Compartment, list[Flaw], list[Said]] | None:
        """A scope that is unchanged since it was found good, with its warnings; or None."""
        kept = self.scopes.get(name)
        if kept is None or kept[0] != scope or kept[1] != tuple(rules):
            return None
        return kept[2], kept[3], kept[4]

    def keep(self, made: Compartment, rules: Sequence[Rule], warnings: list[Flaw], said: list[Said]) -> None:
        """Keep a scope that was found good for the next load."""
        self.scopes[made.name] = made.scope, tuple(rules), made, warnings, said

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
