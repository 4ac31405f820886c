"""Loads a rule table: all scopes and rules are checked and compiled, or all errors are reported."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from stoatrouter.expressions import Environment
from stoatrouter.matching import index
from stoatrouter.matching.cache import Cache
from stoatrouter.matching.conjuncts import Constraint
from stoatrouter.matching.coverage import Coverage
from stoatrouter.matching.diagnostics import Diagnostic, TableError
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT
from stoatrouter.matching.records import Rule, Rules, Scope
from stoatrouter.matching.rule_compiler import RuleCompiler
from stoatrouter.matching.scopes import ScopeIndex, find_collisions
from stoatrouter.matching.table import CompiledRule, CompiledScope, Table
from stoatrouter.matching.vocabulary import Bucket, Vocabulary

MAX_RULES = 20_000  # of a table
MAX_SCOPES = 1_000  # of a table
DEAREST_SHOWN = 3  # rules that an error about a scope's steps names


class TableCompiler(RuleCompiler):
    """One load of one table; it collects errors, and takes what is unchanged from the cache."""

    def __init__(
        self,
        vocabulary: Vocabulary,
        environment: Environment = HTTP_ENVIRONMENT,
        cache: Cache | None = None,
        buckets: Mapping[str, Bucket] | None = None,
    ) -> None:
        """Prepare a load.

        Args:
            vocabulary: The classes, plans and bounds of the settings.
            environment: What expressions may use.
            cache: What earlier loads left; None: nothing.
            buckets: The buckets of the object front; None for the HTTP front.
        """
        super().__init__(vocabulary, environment, Cache() if cache is None else cache, buckets)
        self.warnings: list[Diagnostic] = []

    def load(self, rules: Rules, teams: Mapping[str, Sequence[Rule]], epoch: str) -> Table:
        """Compile a table.

        Args:
            rules: The operator's file.
            teams: The rules of scopes that name a file of their own.
            epoch: A short digest of all files.

        Raises:
            TableError: The table has errors; it names them all.
        """
        self.cache.begin(self.environment, self.vocabulary)
        rules_by_scope = {name: teams.get(name, scope.rules) for name, scope in rules.scopes.items()}
        self.check_scopes(rules, rules_by_scope)
        compiled = {
            name: self.load_scope(name, scope, rules_by_scope[name]) for name, scope in rules.scopes.items()
        }
        if self.errors:
            raise TableError(self.errors)
        self.cache.sweep(compiled)
        return Table(
            {name: scope for name, scope in compiled.items() if scope is not None},
            ScopeIndex(rules.scopes),
            rules.otherwise,
            self.vocabulary,
            sorted(set(self.warnings)),
            epoch,
            any_node=self.buckets is not None,
        )

    def check_scopes(self, rules: Rules, rules_by_scope: Mapping[str, Sequence[Rule]]) -> None:
        """Check how many scopes and rules there are, and that no two scopes claim the same.

        Raises:
            TableError: There are more rules than a load may take time for.
        """
        if len(rules.scopes) > MAX_SCOPES:
            self.report("scopes", f"{len(rules.scopes)} scopes", f"{MAX_SCOPES} at most")
        if sum(map(len, rules_by_scope.values())) > MAX_RULES:
            raise TableError([Diagnostic("scopes", "too many rules", f"{MAX_RULES} at most")])
        for first, second, host, path in find_collisions(rules.scopes):
            self.report(
                f"scopes.{second}",
                f"host {host!r} with path {path!r} is claimed by {first!r} as well",
                "give each path to one scope; the longer prefix has its own requests",
            )

    # -- one scope ----------------------------------------------------------------------------------------
    def load_scope(self, name: str, scope: Scope, rules: Sequence[Rule]) -> CompiledScope | None:
        """Take a scope from the cache, or compile it; returns None where a rule has errors."""
        cached = self.cache.find_scope(name, scope, rules)
        if cached is not None:
            self.warnings += cached.warnings
            for use in cached.plan_uses:
                self.check_plan_use(use)
            return cached.compiled
        self.plan_uses = []
        errors_before = len(self.errors)
        warnings_before = len(self.warnings)
        compiled = self.compile_scope(name, scope, rules)
        if compiled is not None and len(self.errors) == errors_before:
            warnings = self.warnings[warnings_before:]
            self.cache.store_scope(compiled, rules, warnings, self.plan_uses)
        return compiled

    def compile_scope(self, name: str, scope: Scope, rules: Sequence[Rule]) -> CompiledScope | None:
        """Check and compile one scope; returns None where a rule has errors, which are recorded."""
        path = f"scopes.{name}"
        self.check_scope(path, scope)
        places = [f"{path}.rules[{number}]" for number in range(len(rules))]
        self.check_rule_names(places, rules)
        results = [self.compile_rule(place, scope, rule) for place, rule in zip(places, rules, strict=True)]
        compiled = [rule for rule in results if rule is not None]
        if len(compiled) < len(rules):
            return None
        self.warn_of_idle_rules(places, compiled)
        tree = index.build([rule.condition for rule in compiled])
        yield_steps = max((rule.yield_cost for rule in compiled), default=0)
        max_steps = tree.max_steps([rule.cost for rule in compiled]) + yield_steps
        if max_steps > scope.steps:
            self.report_steps(path, scope, max_steps, compiled)
        return CompiledScope(name, scope, tuple(compiled), tree, max_steps)

    def check_scope(self, path: str, scope: Scope) -> None:
        """Check that the classes and plans of a scope exist and its paths are prefixes."""
        for request_class in scope.classes:
            if self.vocabulary.class_number(request_class) is None:
                known = ", ".join(each.name for each in self.vocabulary.classes)
                self.report(f"{path}.classes", f"there is no class {request_class!r}", f"there is: {known}")
        for plan in scope.plans:
            if plan not in self.vocabulary.plans:
                known = ", ".join(self.vocabulary.plans)
                self.report(f"{path}.plans", f"there is no plan {plan!r}", f"there is: {known}")
        for prefix in scope.paths:
            if not prefix.startswith("/"):
                self.report(f"{path}.paths", f"{prefix!r} is no path prefix", "it starts with /")

    def check_rule_names(self, places: Sequence[str], rules: Sequence[Rule]) -> None:
        """Check that the names of a scope's rules differ."""
        first_uses: dict[str, int] = {}
        for number, (place, rule) in enumerate(zip(places, rules, strict=True)):
            first = first_uses.setdefault(rule.name, number)
            if first != number:
                self.report(place, f"the name {rule.name!r} stands twice", f"it is that of rules[{first}]")

    def report_steps(self, path: str, scope: Scope, max_steps: int, compiled: Sequence[CompiledRule]) -> None:
        """Record that a request of a scope may take too many steps."""
        dearest = sorted(compiled, key=lambda rule: -rule.cost)[:DEAREST_SHOWN]
        self.report(
            path,
            f"a request may take {max_steps} steps, {scope.steps} at most",
            "dearest: "
            + ", ".join(f"{rule.cost} for {rule.name}" for rule in dearest)
            + "; conditions on host, method, path or a header keep rules apart",
        )

    def warn_of_idle_rules(self, places: Sequence[str], compiled: Sequence[CompiledRule]) -> None:
        """Record warnings for rules that can never match."""
        for place, rule in zip(places, compiled, strict=True):
            never = f"rule {rule.name!r} never matches"
            contradiction = rule.condition.find_contradiction()
            if rule.condition.is_false:
                self.warnings.append(Diagnostic(place, f"{never}: its condition is false"))
            elif contradiction is not None:
                both = " and ".join(map(describe_constraint, contradiction))
                self.warnings.append(Diagnostic(place, f"{never}: it wants {both}"))
        for covered in Coverage([rule.condition for rule in compiled]).find_covered():
            name = compiled[covered.rule].name
            covering = compiled[covered.covered_by].name
            what = f"rule {name!r} never matches: {covering!r} before it covers it"
            self.warnings.append(Diagnostic(places[covered.rule], what, "move it up, or remove one"))


def describe_constraint(constraint: Constraint) -> str:
    """Describe a constraint in words, for warnings."""
    kind, name = constraint.dimension
    match kind:
        case "prefix":
            subject = "a path that starts with"
        case "segment":
            subject = f"segment {name} to be"
        case _:
            subject = f"{kind} {name!r} to be" if name else f"the {kind} to be"
    return f"{subject} {' or '.join(sorted(map(repr, constraint.values)))}"
