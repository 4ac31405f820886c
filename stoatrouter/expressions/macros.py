"""Checks of has(), try() and the macros over lists (cel-spec, doc/langdef.md, "Macros")."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import LIST_STEPS
from stoatrouter.expressions.guards import implied_facts
from stoatrouter.expressions.lookups import LookupChecks
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Op, Scope, Typed, fold_key

MACROS = ("all", "exists", "exists_one", "filter", "map")
OPTIONAL_NAME = "optional"  # the receiver of optional.of(); the variable of a macro must not have this name


class MacroDetail(NamedTuple):
    """The macro of a node, its variable, and whether the first part evaluated for each element is a test."""

    name: str
    variable: str
    has_test: bool


class MacroChecks(LookupChecks):
    """Checks has(), try() and macros over lists; raises UntypedError for a node that cannot be typed."""

    def check_has(self, node: s.Call, scope: Scope) -> Typed:
        """Check has(), whose argument is a field of a map."""
        field = node.arguments[0]
        if not isinstance(field, s.Select) or field.optional:
            what = "has() requires a field of a map, such as has(request.headers.host)"
            raise self.reject(node, what, "for other keys: 'name' in map")
        path = s.path_of(field.operand)
        if path in self.environment.prefixes:
            what = f"has() requires a field of a map; {path!r} is not a map"
            raise self.reject(node, what, "its fields always exist")
        operand = self.check_node(field.operand, scope)
        if not isinstance(operand.type, t.MapOf):
            raise self.reject(node, f"has() requires a field of a map, not of {operand.type}")
        key = self.check_literal(s.Literal(field.at, 1, field.field_name, "string"))
        key = fold_key(key) if operand.type.folded else key
        return self.typed_node(node, t.BOOL, Op.IN_MAP, (key, operand), bound=b.BOOL_BOUND)

    def check_try(self, node: s.Call, scope: Scope) -> Typed:
        """Check try(), which yields an empty optional if its argument fails."""
        (part,) = self.check_siblings(node.arguments, scope)
        if not part.faults:
            raise self.reject(node, f"{show(node.arguments[0])} cannot fail", "remove try()")
        return replace(self.optional_node(node, part.type, Op.TRY, (part,), bound=part.bound), faults=())

    def variable_name(self, node: s.Call) -> str:
        """Return the name of the variable of a macro."""
        name = node.arguments[0]
        if not isinstance(name, s.Name):
            raise self.reject(name, f"the first argument of {node.function} must be the name of a variable")
        return name.name

    def macro_scope(self, node: s.Call, element: Typed, scope: Scope) -> Scope:
        """Return the scope inside a macro, with its variable, whose name must not be in use already."""
        name = self.variable_name(node)
        # A name must have one meaning in an expression: facts are compared by name, and readers rely on it.
        if name in self.environment.top_names() | set(scope.variables) | {OPTIONAL_NAME}:
            what = f"the name {name!r} is already in use"
            raise self.reject(node.arguments[0], what, "choose another name")
        return scope.with_variable(name, element)

    def check_macro(self, node: s.Call, scope: Scope) -> Typed:
        """Check a macro over a list; its cost has the test and the body once for each element."""
        name = node.function
        items = self.check_macro_items(node, scope)
        assert isinstance(items.type, t.ListOf)
        element = replace(items, type=items.type.element, bound=items.bound.inner or b.ANY)
        inner = self.macro_scope(node, element, scope)
        has_test = name != "map" or len(node.arguments) == 3
        run = []
        if has_test:
            run.append(self.check_macro_test(node, inner))
        if name == "map":
            run.append(self.check_map_body(node, inner, has_test))
        kind, bound = macro_result(name, items, run[-1], has_test)
        max_items = items.bound.length
        return self.typed_node(
            node,
            kind,
            Op.MACRO,
            (items, *run),
            detail=MacroDetail(name, self.variable_name(node), has_test),
            bound=bound,
            own_steps=1 + max_items + (LIST_STEPS if isinstance(kind, t.ListOf) else 0),
            repeats=(1, *(max_items for _ in run)),
        )

    def check_macro_items(self, node: s.Call, scope: Scope) -> Typed:
        """Check the list that a macro iterates over, and the number of arguments of the macro."""
        assert node.receiver is not None
        name = node.function
        count = len(node.arguments)
        if count != 2 and not (name == "map" and count == 3):
            raise self.reject(node, f"{name} requires a variable and an expression")
        items = self.check_node(node.receiver, scope)
        if not isinstance(items.type, t.ListOf):
            remedy = "macros over maps are not supported" if isinstance(items.type, t.MapOf) else ""
            raise self.reject(node, f"{name} requires a list, not {items.type}", remedy)
        return items

    def check_macro_test(self, node: s.Call, inner: Scope) -> Typed:
        """Check the test of a macro, which is its second argument."""
        test = self.check_node(node.arguments[1], inner)
        if test.type != t.BOOL:
            raise self.reject(node.arguments[1], f"{node.function} requires a bool here, not {test.type}")
        return test

    def check_map_body(self, node: s.Call, inner: Scope, has_test: bool) -> Typed:
        """Check the body of map(), with the facts that its test implies."""
        implied = implied_facts(node.arguments[1], True, self.environment) if has_test else ()
        body = self.check_node(node.arguments[-1], inner.with_facts(implied))
        if isinstance(body.type, t.OptionalOf):
            raise self.reject(node.arguments[-1], "a list of optionals is not supported", "use orValue first")
        return body


def macro_result(name: str, items: Typed, last: Typed, has_test: bool) -> tuple[t.Type, b.Bound]:
    """Return the type and bound of the value of a macro; `last` is its body, or its test if it has none."""
    max_items = items.bound.length
    if name == "filter":
        return items.type, b.list_bound(max_items, items.bound.inner or b.ANY)
    if name == "map":
        return t.ListOf(last.type), b.list_bound(
            max_items, last.bound, 0 if has_test else items.bound.min_length
        )
    return t.BOOL, b.BOOL_BOUND
