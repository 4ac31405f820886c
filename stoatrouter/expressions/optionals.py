"""Checks of optionals: optional.of() and the methods of optionals (cel-go's optional library)."""

from __future__ import annotations

from dataclasses import replace

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.guards import value_fact
from stoatrouter.expressions.macros import MacroChecks
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Op, Scope, Typed

METHODS = ("hasValue", "value", "or", "orValue")
CONSTRUCTORS = ("of", "none", "ofNonZeroValue")


class OptionalChecks(MacroChecks):
    """Checks optionals; raises UntypedError for a node that cannot be typed."""

    def check_optional_of(self, node: s.Call, scope: Scope) -> Typed:
        """Check optional.of(); other constructors are not supported."""
        if node.function != "of" or len(node.arguments) != 1:
            what = f"optional.{node.function} is not supported"
            raise self.reject(node, what, "use ?: with a value of the type")
        parts = self.check_siblings(node.arguments, scope)
        return self.optional_node(node, parts[0].type, Op.SAME, parts, bound=parts[0].bound)

    def check_optional_method(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        """Check hasValue, value, or and orValue."""
        optional, *others = parts
        kind = optional.type
        assert isinstance(kind, t.OptionalOf)
        accepted: tuple[t.Type, ...] = ()
        if node.function == "orValue":
            accepted = (kind.value,)
        elif node.function == "or":
            accepted = (kind,)
        if len(others) != len(accepted) or any(
            t.common_type(other.type, one) is None for other, one in zip(others, accepted, strict=True)
        ):
            found = ", ".join(str(other.type) for other in others)
            what = f"{node.function} of {kind} requires ({', '.join(map(str, accepted))}), not ({found})"
            raise self.reject(node, what)
        if node.function == "hasValue":
            return self.typed_node(node, t.BOOL, Op.HAS_VALUE, parts, bound=b.BOOL_BOUND)
        if node.function == "value":
            return self.check_value(node, parts, kind.value, scope)
        result = t.common_type(accepted[0], others[0].type)
        assert result is not None
        return self.typed_node(node, result, Op.OR, parts, bound=optional.bound.union(others[0].bound))

    def check_value(self, node: s.Call, parts: tuple[Typed, ...], kind: t.Type, scope: Scope) -> Typed:
        """Check value(), which may fail unless a guard implies that the optional has a value."""
        optional = parts[0]
        if value_fact(optional.node) in scope.facts:
            return self.typed_node(node, kind, Op.SAME, parts, bound=optional.bound)
        text = show(optional.node)
        remedy = f"use {text}.orValue(...), or guard it: {text}.hasValue() && ..."
        fault = Problem(node.at, f"{text} may have no value", remedy)
        return self.typed_node(node, kind, Op.VALUE, parts, bound=optional.bound, faults=(fault,))

    def check_optional_map(self, node: s.Call, scope: Scope) -> Typed:
        """Check optMap()."""
        assert node.receiver is not None
        operand = self.check_node(node.receiver, scope)
        if not isinstance(operand.type, t.OptionalOf):
            raise self.reject(node, f"optMap requires an optional, not {operand.type}")
        inner = self.macro_scope(node, replace(operand, type=operand.type.value), scope)
        body = self.check_node(node.arguments[1], inner)
        name = self.variable_name(node)
        parts = (operand, body)
        return self.optional_node(node, body.type, Op.OPTIONAL_MAP, parts, bound=body.bound, detail=name)
