"""Checks of optionals, has(), try() and the macros over lists."""

from __future__ import annotations

from dataclasses import replace

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import LIST_STEPS
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.guards import facts, value_fact
from stoatrouter.expressions.lookups import LookupChecks
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Scope, Typed, folded


class MacroChecks(LookupChecks):
    """Checks optionals, has(), try() and the macros over lists."""

    def has(self, node: s.Call, scope: Scope) -> Typed:
        """Check has(); raises Stop where its argument is no field of a map."""
        wanted = node.arguments[0]
        if not isinstance(wanted, s.Select) or wanted.optional:
            raise self.wrong(
                node,
                "has() wants a field of a map, like has(request.headers.host)",
                "for other keys: 'name' in map",
            )
        path = s.path_of(wanted.operand)
        if path in self.environment.prefixes:
            raise self.wrong(
                node, f"has() wants a field of a map; {path!r} is none", "its fields are always there"
            )
        operand = self.of(wanted.operand, scope)
        if not isinstance(operand.type, t.MapOf):
            raise self.wrong(node, f"has() wants a field of a map, not of {operand.type}")
        key = self.literal(s.Literal(wanted.at, 1, wanted.field_name, "string"))
        key = folded(key) if operand.type.folded else key
        return self.made(node, t.BOOL, "in map", (key, operand), bound=b.TRUTH)

    def tried(self, node: s.Call, scope: Scope) -> Typed:
        """Check try(): its part may fail, and then yields an empty optional; raises Stop."""
        (part,) = self.all_of(node.arguments, scope)
        if not part.faults:
            raise self.wrong(node, f"{show(node.arguments[0])} cannot fail", "leave try() away")
        return replace(self.optional(node, part.type, "try", (part,), bound=part.bound), faults=())

    def optional_of(self, node: s.Call, scope: Scope) -> Typed:
        """Check optional.of(); raises Stop for other ways to make an optional."""
        if node.function != "of" or len(node.arguments) != 1:
            raise self.wrong(node, f"optional.{node.function} is left out", "use ?: with a value of the type")
        parts = self.all_of(node.arguments, scope)
        return self.optional(node, parts[0].type, "same", parts, bound=parts[0].bound)

    def of_optional(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        """Check hasValue, value, or and orValue; raises Stop."""
        kind = parts[0].type
        assert isinstance(kind, t.OptionalOf)
        name, rest, bound = node.function, parts[1:], parts[0].bound
        wanted = {"hasValue": (), "value": (), "orValue": (kind.value,), "or": (kind,)}[name]
        if len(rest) != len(wanted) or any(
            t.joined(r.type, w) is None for r, w in zip(rest, wanted, strict=True)
        ):
            raise self.wrong(
                node,
                f"{name} of {kind} wants ({', '.join(map(str, wanted))}), not "
                f"({', '.join(str(r.type) for r in rest)})",
            )
        if name == "hasValue":
            return self.made(node, t.BOOL, "has value", parts, bound=b.TRUTH)
        if name == "value":
            if value_fact(parts[0].node) in scope.known:
                return self.made(node, kind.value, "same", parts, bound=bound)
            text = show(parts[0].node)
            fault = Problem(
                node.at,
                f"{text} may have no value",
                f"write {text}.orValue(...), or guard it: {text}.hasValue() && ...",
            )
            return self.made(node, kind.value, "value", parts, bound=bound, faults=(fault,))
        result = t.joined(kind.value if name == "orValue" else kind, rest[0].type)
        assert result is not None
        return self.made(node, result, "or", parts, bound=bound.joined(rest[0].bound))

    def optional_map(self, node: s.Call, scope: Scope) -> Typed:
        """Check optMap; raises Stop."""
        assert node.receiver is not None
        operand = self.of(node.receiver, scope)
        if not isinstance(operand.type, t.OptionalOf):
            raise self.wrong(node, f"optMap wants an optional, not {operand.type}")
        inner = self.with_local(node, replace(operand, type=operand.type.value), scope)
        body = self.of(node.arguments[1], inner)
        return self.optional(
            node, body.type, "optional map", (operand, body), bound=body.bound, detail=self.variable(node)
        )

    def variable(self, node: s.Call) -> str:
        """The name of a macro's variable; raises Stop where there is none."""
        name = node.arguments[0]
        if not isinstance(name, s.Name):
            raise self.wrong(name, f"the first argument of {node.function} is the name of a variable")
        return name.name

    def with_local(self, node: s.Call, element: Typed, scope: Scope) -> Scope:
        """The scope within a macro, with its variable; raises Stop where the name is taken."""
        name = self.variable(node)
        taken = {v.partition(".")[0] for v in self.environment.variables} | set(scope.locals) | {"optional"}
        # Guards the reader, and what guards have shown: within an expression a name means one thing.
        if name in taken:
            raise self.wrong(
                node.arguments[0], f"{name!r} stands for something else already", "choose another name"
            )
        return Scope({**scope.locals, name: element}, scope.known)

    def macro(self, node: s.Call, scope: Scope) -> Typed:
        """Check a macro over a list, which costs its body once for each element; raises Stop."""
        assert node.receiver is not None
        name, count = node.function, len(node.arguments)
        if count != 2 and not (name == "map" and count == 3):
            raise self.wrong(node, f"{name} wants a variable and an expression")
        items = self.of(node.receiver, scope)
        if not isinstance(items.type, t.ListOf):
            raise self.wrong(
                node,
                f"{name} wants a list, not {items.type}",
                "macros over maps are left out" if isinstance(items.type, t.MapOf) else "",
            )
        most, inner_bound = items.bound.length, items.bound.inner or b.ANY
        element = replace(items, type=items.type.element, bound=inner_bound)
        inner = self.with_local(node, element, scope)
        test = self.of(node.arguments[1], inner) if name != "map" or count == 3 else None
        if test is not None and test.type != t.BOOL:
            raise self.wrong(node.arguments[1], f"{name} wants a bool here, not {test.type}")
        body = (
            self.of(
                node.arguments[-1],
                inner.knowing(facts(node.arguments[1], True, self.environment) if count == 3 else ()),
            )
            if name == "map"
            else None
        )
        run = tuple(part for part in (test, body) if part is not None)
        if body is not None and isinstance(body.type, t.OptionalOf):
            raise self.wrong(node.arguments[-1], "a list of optionals is left out", "use orValue first")
        kind: t.Type = t.BOOL
        bound = b.TRUTH
        if name == "filter":
            kind, bound = items.type, b.many(most, inner_bound)
        elif body is not None:
            kind = t.ListOf(body.type)
            bound = b.many(most, body.bound, 0 if test is not None else items.bound.least)
        makes = LIST_STEPS if name in ("filter", "map") else 0
        return self.made(
            node,
            kind,
            "macro",
            (items, *run),
            detail=(name, self.variable(node), test is not None),
            bound=bound,
            own=1 + makes + most,
            repeats=(1, *(most for _ in run)),
        )
