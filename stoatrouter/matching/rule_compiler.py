"""Checks and compiles one rule: its condition, the values it yields, and that each volume has one plan."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from stoatrouter.expressions import Environment
from stoatrouter.expressions import types as t
from stoatrouter.matching.cache import Cache, PlanUse
from stoatrouter.matching.conjuncts import Condition, split_condition
from stoatrouter.matching.records import Rule, RuleField, Scope
from stoatrouter.matching.scopes import describe_outside
from stoatrouter.matching.table import CompiledRule
from stoatrouter.matching.values import ANY_VOLUME, CheckedValue, ValueChecker
from stoatrouter.matching.vocabulary import Bucket, Vocabulary

BUCKET = ("bucket", "")
# Fields that a rule of the object front must not have: they differ between the pieces of an object.
PIECE_FIELDS = ("volume", "units", "hosts", "repeat")
BUCKET_FIELDS = (RuleField.VOLUME, RuleField.PLAN)  # which the object front derives from the bucket
NO_CONDITION = Condition((), frozenset())


class VolumePlan(NamedTuple):
    """The plan of a volume, and what assigned it: a rule's path in the file, or a bucket."""

    plan: str
    assigned_by: str


class RuleCompiler(ValueChecker):
    """Checks and compiles rules; collects the errors that it finds."""

    def __init__(
        self,
        vocabulary: Vocabulary,
        environment: Environment,
        cache: Cache,
        buckets: Mapping[str, Bucket] | None,
    ) -> None:
        """Create a compiler for the rules of one table.

        Args:
            vocabulary: The classes, plans and bounds of the settings.
            environment: The variables that expressions may use.
            cache: Compiled expressions of earlier loads.
            buckets: The buckets of the object front; None for the HTTP front.
        """
        super().__init__(vocabulary, environment, cache)
        self.buckets = buckets
        self.volume_plans = {
            bucket.volume: VolumePlan(bucket.plan, f"the bucket {name!r}")
            for name, bucket in (buckets or {}).items()
            if bucket.plan is not None
        }
        self.plan_uses: list[PlanUse] = []  # of the scope being compiled

    def compile_rule(self, rule_path: str, scope: Scope, rule: Rule) -> CompiledRule | None:
        """Check and compile one rule; record its errors and return None if there are any.

        Args:
            rule_path: The rule's path in the file.
            scope: The scope that it belongs to.
            rule: The rule as written in the file.
        """
        errors_before = len(self.errors)
        when = self.compile(f"{rule_path}.when", rule.when, t.BOOL, scope.steps)
        condition = NO_CONDITION if when is None else split_condition(when.checked.root.node)
        outside = describe_outside(scope, condition)
        if outside is not None:
            self.report(
                f"{rule_path}.when",
                f"{outside} is outside of this scope",
                f"the scope has hosts {', '.join(scope.hosts)} and paths {', '.join(scope.paths)}",
            )
        checked: dict[RuleField, CheckedValue] = {}
        if rule.refuse is None:
            checked = self.check_values(rule_path, scope, rule, condition)
        else:
            self.check_refusal(rule_path, rule, rule.refuse.status)
        if len(self.errors) > errors_before or when is None:
            return None
        values = {field.value: each.value for field, each in checked.items()}
        yield_cost = sum(each.cost for each in checked.values())
        return CompiledRule(rule.name, when.run, condition, when.checked.cost, rule, values, yield_cost)

    def check_refusal(self, rule_path: str, rule: Rule, status: int) -> None:
        """Check the status of a rule that refuses, and that the rule yields no values."""
        given = [field for field in RuleField if getattr(rule, field.attribute) is not None]
        if given:
            self.report(rule_path, f"a rule with refuse must not set {given[0]}", "remove it")
        if not 400 <= status <= 599:
            self.report(
                f"{rule_path}.refuse.status", f"{status} is not the status of a refusal", "use 400 to 599"
            )

    def check_values(
        self, rule_path: str, scope: Scope, rule: Rule, condition: Condition
    ) -> dict[RuleField, CheckedValue]:
        """Check and compile the values that a rule yields; values with errors are omitted."""
        if self.buckets is not None:
            for name in PIECE_FIELDS:
                if getattr(rule, name) is not None:
                    self.report(
                        f"{rule_path}.{name}",
                        f"{name} cannot be set: each piece of an object has its own",
                        "remove it",
                    )
        checked: dict[RuleField, CheckedValue] = {}
        for field in RuleField:
            given = self.find_given_value(rule_path, scope, rule, field)
            if given is None:
                continue
            value = self.check_value(field, f"{rule_path}.{field}", scope, given, condition)
            if value is not None:
                checked[field] = value
        use = self.find_plan_use(rule_path, condition, checked)
        self.plan_uses.append(use)
        self.check_plan_use(use)
        return checked

    def find_given_value(self, rule_path: str, scope: Scope, rule: Rule, field: RuleField) -> Any:
        """Return a rule's value for a field, else the scope's default; None if there is neither."""
        given = getattr(rule, field.attribute)
        if given is not None or (self.buckets is not None and field in BUCKET_FIELDS):
            return given
        return self.find_default(rule_path, scope, field)

    # -- one plan for each volume -------------------------------------------------------------------------
    def find_plan_use(
        self, rule_path: str, condition: Condition, checked: Mapping[RuleField, CheckedValue]
    ) -> PlanUse:
        """Return the volumes and plans that a rule can yield."""
        plans = texts_of_value(checked.get(RuleField.PLAN))
        if self.buckets is not None:
            return PlanUse(rule_path, self.reachable_volumes(condition), plans)
        volume = checked.get(RuleField.VOLUME)
        if volume is not None and volume.yielded_texts is None:
            return PlanUse(rule_path, frozenset((f"{ANY_VOLUME} {rule_path}",)), plans)
        return PlanUse(rule_path, texts_of_value(volume), plans)

    def reachable_volumes(self, condition: Condition) -> frozenset[str]:
        """Return the volumes of the buckets that a condition admits."""
        allowed = [each.values for each in condition.constraints if each.dimension == BUCKET]
        return frozenset(
            bucket.volume
            for name, bucket in (self.buckets or {}).items()
            if all(name in names for names in allowed)
        )

    def check_plan_use(self, use: PlanUse) -> None:
        """Record an error if a volume gets two plans.

        Limits apply to a volume and plan, so a volume with two plans would have two limits.
        """
        for volume in sorted(use.volumes):
            for plan in sorted(use.plans):
                first = self.volume_plans.setdefault(volume, VolumePlan(plan, use.rule_path))
                if first.plan != plan:
                    subject = "a computed volume" if volume.startswith(ANY_VOLUME) else f"volume {volume!r}"
                    self.report(
                        use.rule_path,
                        f"{subject} has plan {plan!r} here and {first.plan!r} at {first.assigned_by}",
                        "a volume must have a single plan",
                    )
                    return


def texts_of_value(checked: CheckedValue | None) -> frozenset[str]:
    """Return the texts that a value can yield; empty if there is no value or they are not known."""
    if checked is None or checked.yielded_texts is None:
        return frozenset()
    return frozenset(yielded.text for yielded in checked.yielded_texts)
