"""Checks of literals, names, fields and elements."""

from __future__ import annotations

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import CheckerBase
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.guards import key_fact
from stoatrouter.expressions.literals import in_range
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Scope, Typed, folded

SCALARS = {"bool": t.BOOL, "int": t.INT, "double": t.DOUBLE, "string": t.STRING, "bytes": t.BYTES}


class LookupChecks(CheckerBase):
    """Checks literals, names, fields and elements."""

    def literal(self, node: s.Literal) -> Typed:
        """Check a literal; raises Stop for an int out of 64 bits."""
        value, bound = node.value, b.ANY
        if isinstance(value, str | bytes):
            bound = b.Bound(len(value), len(value))
        elif node.kind == "int":
            if not in_range(value):
                raise self.wrong(node, f"{value} is out of an int's 64 bits")
            bound = b.whole(int(value), int(value))
        return self.made(node, SCALARS[node.kind], "literal", detail=value, bound=bound, own=0)

    def named(self, node: s.Name | s.Select, scope: Scope) -> Typed:
        """Check a name or field: a macro's variable, an input, or a key of a map; raises Stop."""
        path = s.path_of(node)
        first = path.partition(".")[0] if path is not None else None
        if isinstance(node, s.Name) and node.name in scope.locals:
            return self.made(
                node,
                scope.locals[node.name].type,
                "local",
                detail=node.name,
                bound=scope.locals[node.name].bound,
            )
        if first not in scope.locals and path is not None:
            if (found := self.environment.variables.get(path)) is not None:
                return self.made(node, found.type, "variable", detail=found.attribute, bound=found.bound)
            if path in self.environment.prefixes:
                raise self.wrong(
                    node,
                    f"{path!r} is no value by itself",
                    "it has: " + ", ".join(self.environment.fields_below(path)),
                )
        if isinstance(node, s.Name):
            raise self.wrong(
                node,
                f"there is no {node.name!r}",
                "there is: "
                + ", ".join(
                    sorted(
                        {name.partition(".")[0] for name in self.environment.variables} | set(scope.locals)
                    )
                ),
            )
        above = s.path_of(node.operand)
        if above in self.environment.prefixes and first not in scope.locals:
            raise self.wrong(
                node,
                f"{above!r} has no field {node.field_name!r}",
                "it has: " + ", ".join(self.environment.fields_below(above or "")),
            )
        operand = self.of(node.operand, scope)
        if not isinstance(operand.type, t.MapOf):
            raise self.wrong(node, f"{operand.type} has no field {node.field_name!r}")
        key = self.literal(s.Literal(node.at, 1, node.field_name, "string"))
        return self.keyed(node, operand, key, node.optional, scope)

    def indexed(self, node: s.Index, scope: Scope) -> Typed:
        """Check an index into a list or map; raises Stop."""
        operand, index = self.all_of((node.operand, node.index), scope)
        if isinstance(operand.type, t.MapOf):
            if index.type != t.STRING:
                raise self.wrong(node.index, f"a key is a string, not {index.type}")
            return self.keyed(node, operand, index, node.optional, scope)
        if not isinstance(operand.type, t.ListOf):
            raise self.wrong(node, f"{operand.type} has no elements", "only lists and maps have")
        if index.type != t.INT:
            raise self.wrong(node.index, f"an index is an int, not {index.type}")
        kind, bound = operand.type.element, operand.bound.inner or b.ANY
        if kind == t.NEVER:
            raise self.wrong(node, "an empty list has no elements")
        if node.optional:
            return self.optional(node, kind, "element?", (operand, index), bound=bound)
        sure = max(operand.bound.least, scope.longest(node.operand))
        if index.bound.low >= 0 and index.bound.high < sure:
            return self.made(node, kind, "element!", (operand, index), bound=bound)
        text = show(node.operand)
        fault = Problem(
            node.at,
            f"{show(node)} may lie outside of the list",
            f"write {text}[?{show(node.index)}].orValue(...), or guard it: "
            f"size({text}) > {show(node.index)} && ...",
        )
        return self.made(node, kind, "element", (operand, index), bound=bound, faults=(fault,))

    def keyed(self, node: s.Node, operand: Typed, key: Typed, optional: bool, scope: Scope) -> Typed:
        """Check a look-up in a map; it may fail unless a guard has shown that the key is there."""
        assert isinstance(operand.type, t.MapOf)
        kind, bound = operand.type.value, operand.bound.inner or b.ANY
        if operand.type.folded:
            key = folded(key)
        if optional:
            return self.optional(node, kind, "key?", (operand, key), bound=bound)
        written = (
            operand.op == "map"
            and key.op == "literal"
            and key.detail in [part.detail for part in operand.parts[::2] if part.op == "literal"]
        )
        if written or key_fact(operand.node, key.node, operand.type.folded) in scope.known:
            return self.made(node, kind, "key!", (operand, key), bound=bound)
        text, name = show(operand.node), show(key.node)
        remedy = f"write {text}[?{name}].orValue(...), or guard it: {name} in {text} && ..."
        fault = Problem(node.at, f"{text}[{name}] may be missing", remedy)
        return self.made(node, kind, "key", (operand, key), bound=bound, faults=(fault,))
