"""Checks of operators and size()."""

from __future__ import annotations

from dataclasses import replace

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import CheckerBase
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Scope, Typed, folded

EQUAL, ARITHMETIC = ("==", "!="), ("+", "-", "*", "/", "%")


class OperatorChecks(CheckerBase):
    """Checks operators and size()."""

    def operator(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check an operator; raises Stop where it is not defined for these types."""
        name, kinds = node.function, [part.type for part in parts]
        if name == "!":
            if kinds != [t.BOOL]:
                raise self.wrong(node, f"! wants bool, not {kinds[0]}")
            return self.made(node, t.BOOL, "not", parts, bound=b.TRUTH)
        if name == "in":
            return self.contained(node, parts)
        if name in ARITHMETIC:
            return self.arithmetic(node, parts)
        left, right = parts
        kind = t.joined(*kinds)
        fine = kind is not None and (t.equatable(kind) if name in EQUAL else kind in t.COMPARABLE)
        # Guards the meaning of NaN: lists of doubles would be compared by identity first.
        if not fine or (
            isinstance(kind, t.ListOf) and t.DOUBLE in (kind.element, getattr(kind.element, "element", 0))
        ):
            raise self.wrong(
                node,
                f"{name} is not defined for {kinds[0]} and {kinds[1]}",
                "convert one of them" if kinds[0] != kinds[1] else "",
            )
        return self.made(
            node,
            t.BOOL,
            "compare",
            parts,
            detail=name,
            bound=b.TRUTH,
            own=b.comparing(left.bound, right.bound),
        )

    def contained(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check `in` over a list or map; raises Stop."""
        item, items = parts
        if isinstance(items.type, t.MapOf) and item.type == t.STRING:
            if items.type.folded:
                item = folded(item)
            return self.made(
                node, t.BOOL, "in map", (item, items), bound=b.TRUTH, own=1 + b.walk(item.bound.length)
            )
        if (
            not isinstance(items.type, t.ListOf)
            or t.joined(items.type.element, item.type) is None
            or not t.equatable(item.type)
            or isinstance(item.type, t.ListOf)
        ):
            raise self.wrong(node, f"in is not defined for {item.type} and {items.type}")
        each = b.comparing(item.bound, items.bound.inner or b.ANY)
        return self.made(node, t.BOOL, "in list", parts, bound=b.TRUTH, own=1 + each * items.bound.length)

    def arithmetic(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        """Check + - * / % and the sign, concatenation included; raises Stop."""
        name, kinds = node.function, [part.type for part in parts]
        if len(parts) == 1:
            zero = replace(parts[0], bound=b.whole(0, 0))
            return self.numbers(node, "-", (zero, parts[0]), parts)
        left, right = (part.bound for part in parts)
        kind = t.joined(*kinds)
        if name == "+" and kind in (t.STRING, t.BYTES):
            bound = b.Bound(left.length + right.length, left.least + right.least)
            return self.made(node, kind, "add", parts, bound=bound, own=1 + b.walk(bound.length))
        if name == "+" and isinstance(kind, t.ListOf):
            inner = [x.inner for x in (left, right) if x.inner is not None and x.length]
            bound = b.many(
                left.length + right.length,
                inner[0].joined(inner[-1]) if inner else b.ANY,
                left.least + right.least,
            )
            return self.made(node, kind, "add", parts, bound=bound, own=1 + b.walk(bound.length))
        return self.numbers(node, name, parts, parts)

    def numbers(
        self, node: s.Call, name: str, operands: tuple[Typed, ...], parts: tuple[Typed, ...]
    ) -> Typed:
        """Check arithmetic of numbers, which may overflow unless their bounds rule it out; raises Stop."""
        kind = parts[0].type
        allowed = {t.INT: ARITHMETIC, t.DOUBLE: ("+", "-", "*", "/"), t.DURATION: ("+", "-")}
        if (
            any(part.type != kind for part in parts)
            or name not in allowed.get(kind, ())
            or (len(parts) == 1 and kind == t.DURATION)
        ):
            raise self.wrong(
                node,
                f"{name} is not defined for " + " and ".join(str(p.type) for p in parts),
                "convert one of them" if len({p.type for p in parts}) > 1 else "",
            )
        op = "negate" if len(parts) == 1 else "arithmetic"
        if kind == t.DOUBLE:
            return self.made(node, kind, op, parts, detail=(name, True))
        left, right = (o.bound for o in operands)
        if name in "/%":
            low, high = b.quotient(name, left, right)
            faulty = right.low <= 0 <= right.high and "the divisor may be 0"
            faulty = faulty or (not b.fits(low, high) and "it may overflow")
        else:
            low, high = b.arithmetic(name, left, right)
            faulty = not b.fits(low, high, kind) and "it may overflow"
        faults = (
            (
                Problem(
                    node.at,
                    f"{show(node)} may fail: {faulty}",
                    f"give it a fallback: try({show(node)}).orValue(...)",
                ),
            )
            if faulty
            else ()
        )
        simple = not faulty and (name not in "/%" or (left.low >= 0 and right.low >= 0))
        return self.made(
            node, kind, op, parts, detail=(name, simple), bound=b.clipped(low, high, kind), faults=faults
        )

    def size(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        """Check size(); raises Stop where the value has none."""
        (part,) = parts
        if part.type not in (t.STRING, t.BYTES) and not isinstance(part.type, t.ListOf | t.MapOf):
            raise self.wrong(node, f"{part.type} has no size")
        least = max(part.bound.least, scope.longest(part.node))
        return self.made(node, t.INT, "size", parts, bound=b.whole(least, max(least, part.bound.length)))
