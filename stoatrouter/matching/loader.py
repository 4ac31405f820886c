"""Loads a rule table: all scopes and rules are checked and compiled, or all faults are reported."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from stoatrouter.expressions import Environment
from stoatrouter.expressions import types as t
from stoatrouter.matching import index
from stoatrouter.matching.cache import Cache, PlanUse
from stoatrouter.matching.conjuncts import Condition, condition
from stoatrouter.matching.coverage import Coverage
from stoatrouter.matching.flaws import Flaw, TableError
from stoatrouter.matching.inputs import HTTP
from stoatrouter.matching.records import Rule, Rules, Scope
from stoatrouter.matching.scopes import Areas, collisions, outside
from stoatrouter.matching.table import Compartment, Compiled, Table, Value
from stoatrouter.matching.values import ANY, ValueChecker
from stoatrouter.matching.vocabulary import Bucket, Vocabulary

MOST_RULES, MOST_SCOPES = 20_000, 1_000


class Loader(ValueChecker):
    """One load of one table; it collects faults, and takes unchanged expressions from the cache."""

    def __init__(
        self,
        words: Vocabulary,
        environment: Environment = HTTP,
        before: Cache | None = None,
        buckets: Mapping[str, Bucket] | None = None,
    ) -> None:
        super().__init__(words, environment, before if before is not None else Cache())
        self.buckets = buckets
        self.plans: dict[str, tuple[str, str]] = {}  # of each volume, and the place of the rule that says so
        self.warnings: list[Flaw] = []
        self.plan_uses: list[PlanUse] = []  # of the scope being loaded

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
            for plan_use in kept[2]:
                self.one_plan(*plan_use)
            return kept[0]
        self.plan_uses = []
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
            self.cache.keep(made, rules, self.warnings[before[1] :], self.plan_uses)
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
                both = f"{demand_text(clash[0])} and {demand_text(clash[1])}"
                self.warnings.append(Flaw(place, f"rule {rule.name!r} never matches: it wants {both}"))
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
        reached = self.reached(parts) if self.buckets is not None else volumes
        self.plan_uses.append(PlanUse(place, reached, plans))
        self.one_plan(*self.plan_uses[-1])
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


FIELDS = ("class", "volume", "plan", "key", "shard", "units", "repeat", "deadline")
ATTRIBUTE = {"class": "request_class"}
PIECES_OWN = ("volume", "units", "hosts", "repeat")  # of which a call of the object front has none


def demand_text(demand: Any) -> str:
    """A demand in words, for warnings."""
    kind, name = demand.dimension
    what = {"prefix": "a path that starts with", "segment": f"segment {name} to be"}.get(
        kind, f"{kind} {name!r} to be" if name else f"the {kind} to be"
    )
    return f"{what} {' or '.join(sorted(map(repr, demand.values)))}"
