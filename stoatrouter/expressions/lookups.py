"""Checks of literals, names, fields and elements."""

from __future__ import annotations

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import CheckerBase, UntypedError
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.guards import key_fact
from stoatrouter.expressions.literals import in_range
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Op, Scope, Typed, fold_key

SCALARS = {"bool": t.BOOL, "int": t.INT, "double": t.DOUBLE, "string": t.STRING, "bytes": t.BYTES}


class LookupChecks(CheckerBase):
    """Checks literals, names, fields and elements; raises UntypedError for a node that cannot be typed."""

    def check_literal(self, node: s.Literal) -> Typed:
        """Check a literal; an int must fit into 64 bits."""
        value = node.value
        bound = b.ANY
        if isinstance(value, str | bytes):
            bound = b.Bound(len(value), len(value))
        elif node.kind == "int":
            if not in_range(value):
                raise self.reject(node, f"{value} does not fit into a 64-bit int")
            bound = b.int_bound(int(value), int(value))
        return self.typed_node(node, SCALARS[node.kind], Op.LITERAL, detail=value, bound=bound, own_steps=0)

    def check_name(self, node: s.Name | s.Select, scope: Scope) -> Typed:
        """Check a name or field: the variable of a macro, an input, or a key of a map."""
        if isinstance(node, s.Name) and node.name in scope.variables:
            element = scope.variables[node.name]
            return self.typed_node(node, element.type, Op.LOCAL, detail=node.name, bound=element.bound)
        # The variable of a macro cannot shadow an input, so a path has one meaning in the whole expression.
        path = s.path_of(node)
        if path is not None and (variable := self.environment.variables.get(path)) is not None:
            return self.typed_node(
                node, variable.type, Op.VARIABLE, detail=variable.attribute, bound=variable.bound
            )
        if path in self.environment.prefixes:
            raise self.reject_prefix(node, f"{path!r} is not a value", path)
        if isinstance(node, s.Name):
            known = ", ".join(sorted(self.environment.top_names() | set(scope.variables)))
            raise self.reject(node, f"unknown name {node.name!r}", f"available: {known}")
        above = s.path_of(node.operand)
        if above in self.environment.prefixes:
            raise self.reject_prefix(node, f"{above!r} has no field {node.field_name!r}", above)
        operand = self.check_node(node.operand, scope)
        if not isinstance(operand.type, t.MapOf):
            raise self.reject(node, f"{operand.type} has no field {node.field_name!r}")
        key = self.check_literal(s.Literal(node.at, 1, node.field_name, "string"))
        return self.check_key(node, operand, key, node.optional, scope)

    def reject_prefix(self, node: s.Node, what: str, prefix: str | None) -> UntypedError:
        """Record a problem with a prefix, with its fields as remedy; return the error to raise."""
        return self.reject(
            node, what, "its fields: " + ", ".join(self.environment.fields_below(prefix or ""))
        )

    def check_index(self, node: s.Index, scope: Scope) -> Typed:
        """Check an index into a list or map; a list index may be out of range unless guarded."""
        operand, index = self.check_siblings((node.operand, node.index), scope)
        if isinstance(operand.type, t.MapOf):
            if index.type != t.STRING:
                raise self.reject(node.index, f"a key must be a string, not {index.type}")
            return self.check_key(node, operand, index, node.optional, scope)
        if not isinstance(operand.type, t.ListOf):
            raise self.reject(node, f"{operand.type} has no elements", "only lists and maps do")
        if index.type != t.INT:
            raise self.reject(node.index, f"an index must be an int, not {index.type}")
        kind = operand.type.element
        bound = operand.bound.inner or b.ANY
        parts = (operand, index)
        if kind == t.NEVER:
            raise self.reject(node, "an empty list has no elements")
        if node.optional:
            return self.optional_node(node, kind, Op.ELEMENT_OPTIONAL, parts, bound=bound)
        min_length = max(operand.bound.min_length, scope.known_length(node.operand))
        if index.bound.low >= 0 and index.bound.high < min_length:
            return self.typed_node(node, kind, Op.ELEMENT_SURE, parts, bound=bound)
        return self.typed_node(node, kind, Op.ELEMENT, parts, bound=bound, faults=(out_of_range(node),))

    def check_key(self, node: s.Node, operand: Typed, key: Typed, optional: bool, scope: Scope) -> Typed:
        """Check a look-up in a map, which may fail unless a guard implies that the key exists."""
        assert isinstance(operand.type, t.MapOf)
        kind = operand.type.value
        bound = operand.bound.inner or b.ANY
        if operand.type.folded:
            key = fold_key(key)
        parts = (operand, key)
        if optional:
            return self.optional_node(node, kind, Op.KEY_OPTIONAL, parts, bound=bound)
        is_known = key_fact(operand.node, key.node, operand.type.folded) in scope.facts
        if is_known or is_literal_key(operand, key):
            return self.typed_node(node, kind, Op.KEY_SURE, parts, bound=bound)
        text, name = show(operand.node), show(key.node)
        remedy = f"use {text}[?{name}].orValue(...), or guard it: {name} in {text} && ..."
        fault = Problem(node.at, f"{text}[{name}] may be missing", remedy)
        return self.typed_node(node, kind, Op.KEY, parts, bound=bound, faults=(fault,))


def is_literal_key(mapping: Typed, key: Typed) -> bool:
    """Return whether a literal key is among the keys of a map literal."""
    if mapping.op is not Op.MAP or not key.is_literal:
        return False
    return key.detail in [part.detail for part in mapping.parts[::2] if part.is_literal]


def out_of_range(node: s.Index) -> Problem:
    """Return the fault of an index that may be out of range."""
    text, index = show(node.operand), show(node.index)
    remedy = f"use {text}[?{index}].orValue(...), or guard it: size({text}) > {index} && ..."
    return Problem(node.at, f"{show(node)} may be out of range", remedy)
