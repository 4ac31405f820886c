"""Checks of operators and size()."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import CheckerBase, UntypedError, failure_problem
from stoatrouter.expressions.typed import Op, Scope, Typed, fold_key

EQUALITY = ("==", "!=")
ORDERING = ("<", "<=", ">", ">=")
ARITHMETIC = ("+", "-", "*", "/", "%")
OPERATORS = (*EQUALITY, *ORDERING, "in", *ARITHMETIC, "!")
DIVISION = ("/", "%")
# The operators defined for each numeric type; durations cannot be negated
DEFINED: dict[t.Type, tuple[str, ...]] = {
    t.INT: ARITHMETIC,
    t.DOUBLE: ("+", "-", "*", "/"),
    t.DURATION: ("+", "-"),
}


class ArithmeticDetail(NamedTuple):
    """An operator, and whether it needs no helper: it cannot overflow, nor divide negative numbers."""

    operator: str
    unchecked: bool


class OperatorChecks(CheckerBase):
    """Checks operators and size(); raises UntypedError for a node that cannot be typed."""

    def check_operator(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check an operator by its symbol."""
        name = node.function
        if name == "!":
            if parts[0].type != t.BOOL:
                raise self.reject(node, f"! requires bool, not {parts[0].type}")
            return self.typed_node(node, t.BOOL, Op.NOT, parts, bound=b.BOOL_BOUND)
        if name == "in":
            return self.check_in(node, parts)
        if name in ARITHMETIC:
            return self.check_arithmetic(node, parts)
        return self.check_comparison(node, parts)

    def check_comparison(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check an equality or ordering of two values of the same type."""
        left, right = parts
        kind = t.common_type(left.type, right.type)
        if kind is None or not is_comparable(kind, node.function):
            raise self.reject_operands(node, parts)
        own_steps = b.comparison_steps(left.bound, right.bound)
        return self.typed_node(
            node, t.BOOL, Op.COMPARE, parts, detail=node.function, bound=b.BOOL_BOUND, own_steps=own_steps
        )

    def check_in(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check `in` over a list or map."""
        item, items = parts
        if isinstance(items.type, t.MapOf) and item.type == t.STRING:
            key = fold_key(item) if items.type.folded else item
            own_steps = 1 + b.scan_steps(key.bound.length)
            return self.typed_node(
                node, t.BOOL, Op.IN_MAP, (key, items), bound=b.BOOL_BOUND, own_steps=own_steps
            )
        if not isinstance(items.type, t.ListOf) or not is_element(item.type, items.type):
            raise self.reject(node, f"in is not defined for {item.type} and {items.type}")
        each = b.comparison_steps(item.bound, items.bound.inner or b.ANY)
        own_steps = 1 + each * items.bound.length
        return self.typed_node(node, t.BOOL, Op.IN_LIST, parts, bound=b.BOOL_BOUND, own_steps=own_steps)

    def check_arithmetic(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check + - * / % and unary minus, concatenation included."""
        if len(parts) == 1:
            zero = replace(parts[0], bound=b.int_bound(0, 0))
            return self.check_numeric(node, (zero, parts[0]), parts)
        left, right = (part.bound for part in parts)
        kind = t.common_type(parts[0].type, parts[1].type)
        if node.function != "+" or kind is None:
            return self.check_numeric(node, parts, parts)
        if isinstance(kind, t.ListOf):
            inner = [bound.inner for bound in (left, right) if bound.inner is not None and bound.length]
            element = inner[0].union(inner[-1]) if inner else b.ANY
            bound = b.list_bound(left.length + right.length, element, left.min_length + right.min_length)
        elif kind in (t.STRING, t.BYTES):
            bound = b.Bound(left.length + right.length, left.min_length + right.min_length)
        else:
            return self.check_numeric(node, parts, parts)
        return self.typed_node(
            node, kind, Op.ADD, parts, bound=bound, own_steps=1 + b.scan_steps(bound.length)
        )

    def check_numeric(self, node: s.Call, operands: tuple[Typed, ...], parts: tuple[Typed, ...]) -> Typed:
        """Check numeric arithmetic, which may overflow unless the bounds of the operands rule it out.

        The operands of a unary minus are a zero and its part.
        """
        name = node.function
        kind = parts[0].type
        negates = len(parts) == 1
        if (
            any(part.type != kind for part in parts)
            or name not in DEFINED.get(kind, ())
            or (negates and kind == t.DURATION)
        ):
            raise self.reject_operands(node, parts)
        op = Op.NEGATE if negates else Op.ARITHMETIC
        if kind == t.DOUBLE:
            return self.typed_node(node, kind, op, parts, detail=ArithmeticDetail(name, True))
        left, right = (operand.bound for operand in operands)
        interval = b.division_interval if name in DIVISION else b.arithmetic_interval
        low, high = interval(name, left, right)
        why = failure_reason(name, right, b.fits_type(low, high, kind))
        faults = (failure_problem(node, why),) if why else ()
        truncates = name in DIVISION and (left.low < 0 or right.low < 0)
        detail = ArithmeticDetail(name, not why and not truncates)
        bound = b.clip(low, high, kind)
        return self.typed_node(node, kind, op, parts, detail=detail, bound=bound, faults=faults)

    def reject_operands(self, node: s.Call, parts: tuple[Typed, ...]) -> UntypedError:
        """Record that an operator is not defined for these types; return the error to raise."""
        kinds = [part.type for part in parts]
        remedy = "convert one of them" if len(set(kinds)) > 1 else ""
        return self.reject(
            node, f"{node.function} is not defined for " + " and ".join(map(str, kinds)), remedy
        )

    def check_size(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        """Check size() of a string, bytes, a list or a map."""
        (part,) = parts
        if part.type not in (t.STRING, t.BYTES) and not isinstance(part.type, t.ListOf | t.MapOf):
            raise self.reject(node, f"{part.type} has no size")
        min_length = max(part.bound.min_length, scope.known_length(part.node))
        bound = b.int_bound(min_length, max(min_length, part.bound.length))
        return self.typed_node(node, t.INT, Op.SIZE, parts, bound=bound)


def is_comparable(kind: t.Type, operator: str) -> bool:
    """Return whether values of a type can be compared by an operator."""
    # Python compares list elements by identity first, so a list with NaN would be equal to itself.
    if isinstance(kind, t.ListOf) and t.DOUBLE in (kind.element, getattr(kind.element, "element", None)):
        return False
    return t.is_equatable(kind) if operator in EQUALITY else kind in t.COMPARABLE


def is_element(kind: t.Type, items: t.ListOf) -> bool:
    """Return whether `in` is defined for a type of item and a type of list; items cannot be lists."""
    if isinstance(kind, t.ListOf) or not t.is_equatable(kind):
        return False
    return t.common_type(items.element, kind) is not None


def failure_reason(operator: str, divisor: b.Bound, fits: bool) -> str:
    """Return why arithmetic of ints or durations may fail; empty if it cannot."""
    if operator in DIVISION and divisor.low <= 0 <= divisor.high:
        return "the divisor may be 0"
    return "" if fits else "it may overflow"
