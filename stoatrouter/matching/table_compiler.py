"""Compiles a rule table: checks and compiles all scopes and rules, or reports all errors."""

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

MAX_RULES = 20_000  # in a table
MAX_SCOPES = 1_000  # in a table
MAX_RULES_SHOWN = 3  # costliest rules named in an error about a scope's steps


class TableCompiler(RuleCompiler):
    """Compiles one table; collects errors and takes unchanged scopes and expressions from the cache."""

    def __init__(
        self,
        vocabulary: Vocabulary,
        environment: Environment = HTTP_ENVIRONMENT,
        cache: Cache | None = None,
        buckets: Mapping[str, Bucket] | None = None,
    ) -> None:
        """Create a compiler for one table.

        Args:
            vocabulary: The classes, plans and bounds of the settings.
            environment: The variables that expressions may use.
            cache: The cache of earlier loads; None creates an empty one.
            buckets: The buckets of the object front; None for the HTTP front.
        """
        super().__init__(vocabulary, environment, Cache() if cache is None else cache, buckets)
        self.warnings: list[Diagnostic] = []

    def load(self, rules: Rules, teams: Mapping[str, Sequence[Rule]], epoch: str) -> Table:
        """Compile a table.

        Args:
            rules: The operator's file.
            teams: The rules of scopes that have a file of their own, by scope.
            epoch: A short digest of all files.

        Raises:
            TableError: The table has errors; the exception holds all of them.
        """
        self.cache.begin(self.environment, self.vocabulary)
        rules_by_scope = {name: teams.get(name, scope.rules) for name, scope in rules.scopes.items()}
        self.check_scopes(rules, rules_by_scope)
        compiled = {
            name: self.load_scope(name, scope, rules_by_scope[name]) for name, scope in rules.scopes.items()
        }
        if self.errors:
            raise TableError(self.errors)
        self.cache.remove_unused(compiled)
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
        """Check the number of scopes and rules, and that no two scopes claim the same host and path.

        Raises:
            TableError: There are more than MAX_RULES rules, which would take too long to load.
        """
        if len(rules.scopes) > MAX_SCOPES:
            self.report("scopes", f"there are {len(rules.scopes)} scopes", f"the limit is {MAX_SCOPES}")
        if sum(map(len, rules_by_scope.values())) > MAX_RULES:
            raise TableError([Diagnostic("scopes", "too many rules", f"the limit is {MAX_RULES}")])
        for first, second, host, path in find_collisions(rules.scopes):
            self.report(
                f"scopes.{second}",
                f"host {host!r} with path {path!r} is also claimed by {first!r}",
                "assign each path to one scope; a longer prefix takes precedence",
            )

    # -- one scope ----------------------------------------------------------------------------------------
    def load_scope(self, name: str, scope: Scope, rules: Sequence[Rule]) -> CompiledScope | None:
        """Return a scope from the cache, or compile it; None if a rule has errors."""
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
        """Check and compile one scope; record errors and return None if a rule has any."""
        path = f"scopes.{name}"
        self.check_scope(path, scope)
        rule_paths = [f"{path}.rules[{number}]" for number in range(len(rules))]
        self.check_rule_names(rule_paths, rules)
        results = [
            self.compile_rule(rule_path, scope, rule)
            for rule_path, rule in zip(rule_paths, rules, strict=True)
        ]
        compiled = [rule for rule in results if rule is not None]
        if len(compiled) < len(rules):
            return None
        self.warn_of_unreachable_rules(rule_paths, compiled)
        tree = index.build([rule.condition for rule in compiled])
        yield_steps = max((rule.yield_cost for rule in compiled), default=0)
        max_steps = tree.max_steps([rule.cost for rule in compiled]) + yield_steps
        if max_steps > scope.steps:
            self.report_steps(path, scope, max_steps, compiled)
        return CompiledScope(name, scope, tuple(compiled), tree, max_steps)

    def check_scope(self, path: str, scope: Scope) -> None:
        """Check that the classes and plans of a scope exist and that its paths are prefixes."""
        for request_class in scope.classes:
            if self.vocabulary.class_number(request_class) is None:
                known = ", ".join(each.name for each in self.vocabulary.classes)
                self.report(f"{path}.classes", f"unknown class {request_class!r}", f"available: {known}")
        for plan in scope.plans:
            if plan not in self.vocabulary.plans:
                known = ", ".join(self.vocabulary.plans)
                self.report(f"{path}.plans", f"unknown plan {plan!r}", f"available: {known}")
        for prefix in scope.paths:
            if not prefix.startswith("/"):
                self.report(
                    f"{path}.paths", f"{prefix!r} is not a path prefix", "a path prefix starts with /"
                )

    def check_rule_names(self, rule_paths: Sequence[str], rules: Sequence[Rule]) -> None:
        """Check that the names of a scope's rules are unique."""
        first_uses: dict[str, int] = {}
        for number, (rule_path, rule) in enumerate(zip(rule_paths, rules, strict=True)):
            first = first_uses.setdefault(rule.name, number)
            if first != number:
                self.report(
                    rule_path, f"duplicate rule name {rule.name!r}", f"already used by rules[{first}]"
                )

    def report_steps(self, path: str, scope: Scope, max_steps: int, compiled: Sequence[CompiledRule]) -> None:
        """Record an error: a request of the scope may take too many steps."""
        costliest = sorted(compiled, key=lambda rule: -rule.cost)[:MAX_RULES_SHOWN]
        self.report(
            path,
            f"a request may take {max_steps} steps; the limit is {scope.steps}",
            "most expensive: "
            + ", ".join(f"{rule.cost} for {rule.name}" for rule in costliest)
            + "; with conditions on host, method, path or a header, fewer rules apply to a request",
        )

    def warn_of_unreachable_rules(self, rule_paths: Sequence[str], compiled: Sequence[CompiledRule]) -> None:
        """Record warnings for rules that can never match."""
        for rule_path, rule in zip(rule_paths, compiled, strict=True):
            never = f"rule {rule.name!r} never matches"
            contradiction = rule.condition.find_contradiction()
            if rule.condition.is_false:
                self.warnings.append(Diagnostic(rule_path, f"{never}: its condition is false"))
            elif contradiction is not None:
                both = " and ".join(map(describe_constraint, contradiction))
                self.warnings.append(Diagnostic(rule_path, f"{never}: it requires {both}"))
        for covered in Coverage([rule.condition for rule in compiled]).find_covered():
            name = compiled[covered.rule].name
            covering = compiled[covered.covered_by].name
            what = f"rule {name!r} never matches: the earlier rule {covering!r} matches all its requests"
            self.warnings.append(
                Diagnostic(rule_paths[covered.rule], what, "move it up, or remove one of the rules")
            )


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
