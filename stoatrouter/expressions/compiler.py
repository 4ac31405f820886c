"""Compiles a checked expression to a Python function at load, by means of the `ast` module.

The function can access only the object of inputs, the helpers of runtime.py and conversions.py that it uses,
and the objects prepared from its literals. It has no `__builtins__`, and no text of the expression becomes
Python source.
"""

from __future__ import annotations

import ast
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stoatrouter.expressions import conversions, runtime
from stoatrouter.expressions import python_ast as py
from stoatrouter.expressions import types as t
from stoatrouter.expressions.calls import CallDetail
from stoatrouter.expressions.functions import Target
from stoatrouter.expressions.macros import MacroDetail
from stoatrouter.expressions.operators import DIVISION, ArithmeticDetail
from stoatrouter.expressions.typed import Checked, Op, Typed

COMPARISONS: dict[str, type[ast.cmpop]] = {
    "==": ast.Eq,
    "!=": ast.NotEq,
    "<": ast.Lt,
    "<=": ast.LtE,
    ">": ast.Gt,
    ">=": ast.GtE,
}
ARITHMETIC: dict[str, type[ast.operator]] = {
    "+": ast.Add,
    "-": ast.Sub,
    "*": ast.Mult,
    "/": ast.FloorDiv,
    "%": ast.Mod,
}
BUILTINS: dict[str, Any] = {"len": len, "any": any, "all": all, "float": float, "str": str}
TRUTH_HELPERS = {"all": "all", "exists": "any", "exists_one": "exactly_one"}
EMITTERS = {op: f"emit_{op.name.lower()}" for op in Op}  # names of methods of Emitter


@dataclass(slots=True, frozen=True)
class Program:
    """A compiled expression. `run` takes the object of inputs and does not raise."""

    run: Callable[[Any], Any]
    checked: Checked

    @property
    def type(self) -> t.Type:
        """Return the type of the value."""
        return self.checked.type

    @property
    def cost(self) -> int:
        """Return the number of steps in the worst case."""
        return self.checked.cost


def compile_checked(checked: Checked) -> Program:
    """Compile one expression."""
    (run,) = compile_many([checked])
    return Program(run, checked)


def compile_many(expressions: list[Checked]) -> list[Callable[[Any], Any]]:
    """Compile several expressions as one Python module, which is cheaper than one module for each."""
    emitter = Emitter()
    names = [f"f{i}" for i in range(len(expressions))]
    body: list[ast.stmt] = [
        py.function(name, emitter.emit(checked.root))
        for name, checked in zip(names, expressions, strict=True)
    ]
    module = ast.fix_missing_locations(ast.Module(body=body, type_ignores=[]))
    scope = {"__builtins__": {}, **emitter.names}
    exec(compile(module, "<expressions>", "exec", dont_inherit=True, optimize=0), scope)  # noqa: S102
    # removed from their globals: a reference cycle would keep the functions until the garbage collector runs
    return [scope.pop(name) for name in names]


def find_function(name: str) -> Any:
    """Return a function of runtime.py or conversions.py by its name."""
    return getattr(conversions, name, None) or getattr(runtime, name)


class Emitter:
    """Builds the Python syntax tree of typed nodes and collects the names that it refers to.

    Each `emit_` method returns the Python expression of one `Op`.
    """

    def __init__(self) -> None:
        """Start without names."""
        self.names: dict[str, Any] = {}

    def emit(self, typed: Typed) -> ast.expr:
        """Return the Python expression of a node."""
        method: Callable[[Typed], ast.expr] = getattr(self, EMITTERS[typed.op])
        return method(typed)

    def emit_parts(self, typed: Typed) -> list[ast.expr]:
        """Return the Python expressions of the parts of a node."""
        return [self.emit(part) for part in typed.parts]

    def call_helper(self, name: str, *given: ast.expr) -> ast.Call:
        """Return a call of a builtin or of a function of runtime.py or conversions.py."""
        self.names[f"h_{name}"] = BUILTINS.get(name) or find_function(name)
        return ast.Call(py.load(f"h_{name}"), list(given), [])

    def constant(self, value: Any) -> ast.expr:
        """Return a reference to a value that has no Python literal, bound to a new name."""
        name = f"k{len(self.names)}"
        self.names[name] = value
        return py.load(name)

    # -- values -------------------------------------------------------------------------------------------
    def emit_literal(self, typed: Typed) -> ast.expr:
        """Emit a literal; a duration becomes a named constant."""
        if typed.type == t.DURATION:
            return self.constant(typed.detail)
        return ast.Constant(typed.detail)

    def emit_variable(self, typed: Typed) -> ast.expr:
        """Emit an attribute of the object of inputs."""
        return ast.Attribute(py.load(py.INPUT), typed.detail, ast.Load())

    def emit_local(self, typed: Typed) -> ast.expr:
        """Emit the variable of a comprehension or lambda."""
        return py.load(py.local_name(typed.detail))

    def emit_list(self, typed: Typed) -> ast.expr:
        """Emit a list display."""
        return ast.List(self.emit_parts(typed), ast.Load())

    def emit_map(self, typed: Typed) -> ast.expr:
        """Emit a dict display, or a named constant if all keys and values are literals."""
        parts = self.emit_parts(typed)
        if all(part.is_literal for part in typed.parts):
            keys, values = typed.parts[::2], typed.parts[1::2]
            return self.constant({k.detail: v.detail for k, v in zip(keys, values, strict=True)})
        return ast.Dict(list(parts[::2]), parts[1::2])

    def emit_same(self, typed: Typed) -> ast.expr:
        """Emit the part itself: an optional with a value is represented by that value."""
        return self.emit(typed.parts[0])

    def emit_folded(self, typed: Typed) -> ast.expr:
        """Emit `key.lower()`."""
        return py.call_method(self.emit(typed.parts[0]), "lower")

    # -- look-ups -----------------------------------------------------------------------------------------
    def emit_key_sure(self, typed: Typed) -> ast.expr:
        """Emit `mapping[key]`, for a key that is known to exist."""
        container, index = self.emit_parts(typed)
        return ast.Subscript(container, index, ast.Load())

    def emit_element_sure(self, typed: Typed) -> ast.expr:
        """Emit `items[index]`, for an index that is known to be in range."""
        return self.emit_key_sure(typed)

    def emit_key(self, typed: Typed) -> ast.expr:
        """Emit a helper that raises EvaluationError for a missing key."""
        return self.call_helper("key", *self.emit_parts(typed))

    def emit_element(self, typed: Typed) -> ast.expr:
        """Emit a helper that raises EvaluationError for an index out of range."""
        return self.call_helper("element", *self.emit_parts(typed))

    def emit_key_optional(self, typed: Typed) -> ast.expr:
        """Emit `mapping.get(key)`."""
        mapping, key = self.emit_parts(typed)
        return py.call_method(mapping, "get", key)

    def emit_element_optional(self, typed: Typed) -> ast.expr:
        """Emit a helper that returns None for an index out of range."""
        return self.call_helper("element_or_none", *self.emit_parts(typed))

    # -- optionals ----------------------------------------------------------------------------------------
    def emit_has_value(self, typed: Typed) -> ast.expr:
        """Emit `optional is not None`, or `key in mapping` for a look-up in a map."""
        (part,) = typed.parts
        if part.op is Op.KEY_OPTIONAL:
            mapping, key = self.emit_parts(part)
            return py.compare(key, ast.In, mapping)
        return py.compare(self.emit(part), ast.IsNot, ast.Constant(None))

    def emit_value(self, typed: Typed) -> ast.expr:
        """Emit a helper that raises EvaluationError for an empty optional."""
        return self.call_helper("value", *self.emit_parts(typed))

    def emit_or(self, typed: Typed) -> ast.expr:
        """Emit `mapping.get(key, literal)`, or a helper, which is lazy if the alternative may fail."""
        optional, other = typed.parts
        if optional.op is Op.KEY_OPTIONAL and other.is_literal:
            mapping, key = self.emit_parts(optional)
            return py.call_method(mapping, "get", key, self.emit(other))
        if other.faults:
            return self.call_helper("or_lazy", self.emit(optional), py.deferred(self.emit(other)))
        return self.call_helper("or_value", *self.emit_parts(typed))

    def emit_optional_map(self, typed: Typed) -> ast.expr:
        """Emit a helper that calls the body if the optional has a value."""
        optional, body = self.emit_parts(typed)
        return self.call_helper("optional_map", optional, py.deferred(body, py.local_name(typed.detail)))

    def emit_try(self, typed: Typed) -> ast.expr:
        """Emit a helper that returns None if its part fails."""
        return self.call_helper("attempt", py.deferred(self.emit(typed.parts[0])))

    # -- logic --------------------------------------------------------------------------------------------
    def emit_logic(self, typed: Typed) -> ast.expr:
        """Emit `and` or `or`; a helper if a term may fail, as another term can still decide the result."""
        terms = self.emit_parts(typed)
        if any(part.faults for part in typed.parts):
            deciding = ast.Constant(typed.detail == "||")
            deferred = ast.Tuple([py.deferred(term) for term in terms], ast.Load())
            return self.call_helper("decide_fallible", deciding, deferred)
        return ast.BoolOp(ast.And() if typed.detail == "&&" else ast.Or(), terms)

    def emit_not(self, typed: Typed) -> ast.expr:
        """Emit `not operand`."""
        return ast.UnaryOp(ast.Not(), self.emit(typed.parts[0]))

    def emit_conditional(self, typed: Typed) -> ast.expr:
        """Emit `then if condition else other`."""
        return ast.IfExp(*self.emit_parts(typed))

    def emit_compare(self, typed: Typed) -> ast.expr:
        """Emit a Python comparison; both sides have the same type."""
        left, right = self.emit_parts(typed)
        return py.compare(left, COMPARISONS[typed.detail], right)

    def emit_in_map(self, typed: Typed) -> ast.expr:
        """Emit `key in mapping`."""
        key, mapping = self.emit_parts(typed)
        return py.compare(key, ast.In, mapping)

    def emit_in_list(self, typed: Typed) -> ast.expr:
        """Emit `item in items`: a set if all items are literals, a helper for doubles."""
        item, items = typed.parts
        if item.type == t.DOUBLE:
            return self.call_helper("contains_double", *self.emit_parts(typed))
        if items.op is Op.LIST and items.parts and all(part.is_literal for part in items.parts):
            literals = self.constant(frozenset(part.detail for part in items.parts))
            return py.compare(self.emit(item), ast.In, literals)
        return py.compare(self.emit(item), ast.In, self.emit(items))

    # -- arithmetic ---------------------------------------------------------------------------------------
    def emit_negate(self, typed: Typed) -> ast.expr:
        """Emit `-operand`, wrapped in a helper if it may overflow."""
        detail: ArithmeticDetail = typed.detail
        value = ast.UnaryOp(ast.USub(), self.emit(typed.parts[0]))
        return value if detail.unchecked else self.call_helper("int_checked", value)

    def emit_add(self, typed: Typed) -> ast.expr:
        """Emit a concatenation."""
        left, right = self.emit_parts(typed)
        return ast.BinOp(left, ast.Add(), right)

    def emit_arithmetic(self, typed: Typed) -> ast.expr:
        """Emit a Python operator, or a helper where CEL's semantics differ or the operation may fail."""
        left, right = self.emit_parts(typed)
        detail: ArithmeticDetail = typed.detail
        operator = detail.operator
        if operator == "/" and typed.type == t.DOUBLE:
            return self.call_helper("divide_double", left, right)
        if operator in DIVISION and not detail.unchecked:
            return self.call_helper("divide" if operator == "/" else "remainder", left, right)
        value = ast.BinOp(left, ARITHMETIC[operator](), right)
        if detail.unchecked:
            return value
        return self.call_helper("int_checked" if typed.type == t.INT else "duration_checked", value)

    # -- functions and macros -----------------------------------------------------------------------------
    def emit_size(self, typed: Typed) -> ast.expr:
        """Emit `len(operand)`."""
        return self.call_helper("len", self.emit(typed.parts[0]))

    def emit_call(self, typed: Typed) -> ast.expr:
        """Emit a call by the target of the function: a method of str, a helper, an operator or a constant."""
        detail: CallDetail = typed.detail
        target, name = detail.function.emission
        match target:
            case Target.CONSTANT:
                return self.constant(detail.constant)
            case Target.PREPARED:
                return ast.Call(self.constant(detail.constant), [self.emit(typed.parts[0])], [])
            case Target.SAME:
                return self.emit(typed.parts[0])
            case Target.CONTAINS:
                text, part = self.emit_parts(typed)
                return py.compare(part, ast.In, text)
            case Target.METHOD:
                receiver, *given = self.emit_parts(typed)
                return py.call_method(receiver, name, *given)
            case Target.HELPER:
                return self.call_helper(name, *self.emit_parts(typed))

    def emit_macro(self, typed: Typed) -> ast.expr:
        """Emit a comprehension over the list; `all` and `exists` use a helper if the test may fail."""
        detail: MacroDetail = typed.detail
        name, variable = detail.name, detail.variable
        items, *run = self.emit_parts(typed)
        if name in ("all", "exists") and typed.parts[1].faults:
            test = py.deferred(run[0], py.local_name(variable))
            return self.call_helper("decide_fallible_test", ast.Constant(name == "exists"), items, test)
        if name in TRUTH_HELPERS:
            truths = ast.GeneratorExp(run[0], [py.for_each(variable, items, [])])
            return self.call_helper(TRUTH_HELPERS[name], truths)
        value = run[-1] if name == "map" else py.load(py.local_name(variable))
        tests = [run[0]] if detail.has_test else []
        return ast.ListComp(value, [py.for_each(variable, items, tests)])
