"""From a checked expression to one Python function, by the `ast` module: made once, run for every request.

The function sees the object of inputs, the helpers of runtime.py that it names, and what was made of its
literals. There are no builtins in its reach, and no text of the expression becomes Python text.
"""

from __future__ import annotations

import ast
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stoatrouter.expressions import functions as fn
from stoatrouter.expressions import runtime
from stoatrouter.expressions import types as t
from stoatrouter.expressions.typed import Checked, Typed

INPUT = "r"  # the one argument; variables of macros get a prefix, so that they never meet it
COMPARE: dict[str, type[ast.cmpop]] = {
    "==": ast.Eq,
    "!=": ast.NotEq,
    "<": ast.Lt,
    "<=": ast.LtE,
    ">": ast.Gt,
    ">=": ast.GtE,
}
PLAIN: dict[str, type[ast.operator]] = {
    "+": ast.Add,
    "-": ast.Sub,
    "*": ast.Mult,
    "/": ast.FloorDiv,
    "%": ast.Mod,
}
BUILTINS: dict[str, Any] = {"len": len, "any": any, "all": all, "float": float, "str": str}


@dataclass(slots=True, frozen=True)
class Program:
    """A compiled expression. `run` takes the object of inputs; it does not raise."""

    run: Callable[[Any], Any]
    checked: Checked

    @property
    def type(self) -> t.Type:
        return self.checked.type

    @property
    def cost(self) -> int:
        """Steps in the worst case."""
        return self.checked.cost


def compile_checked(checked: Checked) -> Program:
    """Compile one expression."""
    (run,) = compile_many([checked])
    return Program(run, checked)


def compile_many(expressions: list[Checked]) -> list[Callable[[Any], Any]]:
    """Compile several expressions as one module of Python, which costs less than one module for each."""
    made = Maker()
    body: list[ast.stmt] = []
    for i, checked in enumerate(expressions):
        value = made.of(checked.root)
        body.append(
            ast.FunctionDef(
                name=f"f{i}",
                args=arguments(INPUT),
                body=[ast.Return(value)],
                decorator_list=[],
                returns=None,
                type_comment=None,
                type_params=[],
            )
        )
    module = ast.fix_missing_locations(ast.Module(body=body, type_ignores=[]))
    names = {"__builtins__": {}, **made.names}
    exec(compile(module, "<expressions>", "exec", dont_inherit=True, optimize=0), names)  # noqa: S102
    # taken out of their globals: a function that holds itself would be left to the garbage collector
    return [names.pop(f"f{i}") for i in range(len(expressions))]


def arguments(*names: str) -> ast.arguments:
    return ast.arguments(
        posonlyargs=[],
        args=[ast.arg(name) for name in names],
        vararg=None,
        kwonlyargs=[],
        kw_defaults=[],
        kwarg=None,
        defaults=[],
    )


def load(name: str) -> ast.Name:
    return ast.Name(name, ast.Load())


def later(value: ast.expr, *names: str) -> ast.Lambda:
    """An expression that is evaluated when it is called."""
    return ast.Lambda(args=arguments(*names), body=value)


def method(receiver: ast.expr, name: str, *given: ast.expr) -> ast.Call:
    return ast.Call(ast.Attribute(receiver, name, ast.Load()), list(given), [])


def compared(left: ast.expr, operator: type[ast.cmpop], right: ast.expr) -> ast.Compare:
    return ast.Compare(left, [operator()], [right])


def loop(name: str, items: ast.expr, tests: list[ast.expr]) -> ast.comprehension:
    return ast.comprehension(target=ast.Name(local(name), ast.Store()), iter=items, ifs=tests, is_async=0)


def local(name: str) -> str:
    """The Python name of a macro's variable: no name that a helper or a constant has."""
    return f"v_{name}"


class Maker:
    """Makes Python's syntax tree of typed nodes, and gathers the names that it needs."""

    def __init__(self) -> None:
        self.names: dict[str, Any] = {}
        self.made: dict[int, str] = {}

    def helper(self, name: str, *given: ast.expr) -> ast.Call:
        self.names[f"h_{name}"] = BUILTINS[name] if name in BUILTINS else getattr(runtime, name)
        return ast.Call(load(f"h_{name}"), list(given), [])

    def constant(self, value: Any) -> ast.expr:
        """What Python has no literal for, under a name."""
        name = f"k{len(self.names)}"
        self.names[name] = value
        return load(name)

    def of(self, typed: Typed) -> ast.expr:
        maker: Callable[[Typed], ast.expr] = getattr(self, "make_" + MAKERS.get(typed.op, typed.op))
        return maker(typed)

    def parts(self, typed: Typed) -> list[ast.expr]:
        return [self.of(part) for part in typed.parts]

    # -- values -------------------------------------------------------------------------------------------
    def make_literal(self, typed: Typed) -> ast.expr:
        if typed.type == t.DURATION:
            return self.constant(typed.detail)
        return ast.Constant(typed.detail)

    def make_variable(self, typed: Typed) -> ast.expr:
        return ast.Attribute(load(INPUT), typed.detail, ast.Load())

    def make_local(self, typed: Typed) -> ast.expr:
        return load(local(typed.detail))

    def make_list(self, typed: Typed) -> ast.expr:
        return ast.List(self.parts(typed), ast.Load())

    def make_map(self, typed: Typed) -> ast.expr:
        values = self.parts(typed)
        if all(part.op == "literal" for part in typed.parts):
            literal = {
                key.detail: value.detail
                for key, value in zip(typed.parts[::2], typed.parts[1::2], strict=True)
            }
            return self.constant(literal)
        return ast.Dict(list(values[::2]), values[1::2])

    def make_same(self, typed: Typed) -> ast.expr:
        return self.of(typed.parts[0])

    def make_folded(self, typed: Typed) -> ast.expr:
        return method(self.of(typed.parts[0]), "lower")

    # -- look-ups -----------------------------------------------------------------------------------------
    def make_key_sure(self, typed: Typed) -> ast.expr:
        mapping, key = self.parts(typed)
        return ast.Subscript(mapping, key, ast.Load())

    make_element_sure = make_key_sure

    def make_key(self, typed: Typed) -> ast.expr:
        return self.helper("key", *self.parts(typed))

    def make_element(self, typed: Typed) -> ast.expr:
        return self.helper("element", *self.parts(typed))

    def make_key_optional(self, typed: Typed) -> ast.expr:
        mapping, key = self.parts(typed)
        return method(mapping, "get", key)

    def make_element_optional(self, typed: Typed) -> ast.expr:
        return self.helper("element_or_none", *self.parts(typed))

    # -- optionals ----------------------------------------------------------------------------------------
    def make_has_value(self, typed: Typed) -> ast.expr:
        (part,) = typed.parts
        if part.op == "key?":
            mapping, key = self.parts(part)
            return compared(key, ast.In, mapping)
        return compared(self.of(part), ast.IsNot, ast.Constant(None))

    def make_value(self, typed: Typed) -> ast.expr:
        return self.helper("value", *self.parts(typed))

    def make_or(self, typed: Typed) -> ast.expr:
        optional, other = typed.parts
        if optional.op == "key?" and other.op == "literal":
            mapping, key = self.parts(optional)
            return method(mapping, "get", key, self.of(other))
        if other.faults:
            return self.helper("or_lazy", self.of(optional), later(self.of(other)))
        return self.helper("or_value", *self.parts(typed))

    def make_optional_map(self, typed: Typed) -> ast.expr:
        optional, body = self.parts(typed)
        return self.helper("optional_map", optional, later(body, local(typed.detail)))

    def make_try(self, typed: Typed) -> ast.expr:
        return self.helper("attempt", later(self.of(typed.parts[0])))

    # -- logic --------------------------------------------------------------------------------------------
    def make_logic(self, typed: Typed) -> ast.expr:
        terms = self.parts(typed)
        if any(part.faults for part in typed.parts):
            return self.helper(
                "either_way",
                ast.Constant(typed.detail == "||"),
                ast.Tuple([later(term) for term in terms], ast.Load()),
            )
        return ast.BoolOp(ast.And() if typed.detail == "&&" else ast.Or(), terms)

    def make_not(self, typed: Typed) -> ast.expr:
        return ast.UnaryOp(ast.Not(), self.of(typed.parts[0]))

    def make_conditional(self, typed: Typed) -> ast.expr:
        return ast.IfExp(*self.parts(typed))

    def make_compare(self, typed: Typed) -> ast.expr:
        left, right = self.parts(typed)
        return compared(left, COMPARE[typed.detail], right)

    def make_in_map(self, typed: Typed) -> ast.expr:
        key, mapping = self.parts(typed)
        return compared(key, ast.In, mapping)

    def make_in_list(self, typed: Typed) -> ast.expr:
        item, items = typed.parts
        if item.type == t.DOUBLE:
            return self.helper("same_double", *self.parts(typed))
        if items.op == "list" and items.parts and all(part.op == "literal" for part in items.parts):
            among = self.constant(frozenset(part.detail for part in items.parts))
            return compared(self.of(item), ast.In, among)
        return compared(self.of(item), ast.In, self.of(items))

    # -- arithmetic ---------------------------------------------------------------------------------------
    def make_negate(self, typed: Typed) -> ast.expr:
        value = ast.UnaryOp(ast.USub(), self.of(typed.parts[0]))
        return value if typed.detail[1] else self.helper("int_checked", value)

    def make_add(self, typed: Typed) -> ast.expr:
        left, right = self.parts(typed)
        return ast.BinOp(left, ast.Add(), right)

    def make_arithmetic(self, typed: Typed) -> ast.expr:
        left, right = self.parts(typed)
        operator, simple = typed.detail
        if operator == "/" and typed.type == t.DOUBLE:
            return self.helper("divide_double", left, right)
        if operator in "/%" and not simple:
            return self.helper("divide" if operator == "/" else "remainder", left, right)
        value = ast.BinOp(left, PLAIN[operator](), right)
        if simple:
            return value
        return self.helper("int_checked" if typed.type == t.INT else "duration_checked", value)

    # -- functions and macros -----------------------------------------------------------------------------
    def make_size(self, typed: Typed) -> ast.expr:
        return self.helper("len", self.of(typed.parts[0]))

    def make_call(self, typed: Typed) -> ast.expr:
        function, ready = typed.detail
        assert isinstance(function, fn.Function)
        kind, name = function.emit[0], function.emit[1:]
        if kind == "." and name != "find":
            receiver, *given = self.parts(typed)
            return method(receiver, name, *given)
        if kind == ".":
            return method(*self.parts(typed)[:1], name, *self.parts(typed)[1:])
        if name == "contains":
            text, part = self.parts(typed)
            return compared(part, ast.In, text)
        if name == "matches":
            return ast.Call(self.constant(ready), [self.of(typed.parts[0])], [])
        if name == "cidr":
            return self.constant(ready)
        return self.of(typed.parts[0]) if name == "same" else self.helper(name, *self.parts(typed))

    def make_macro(self, typed: Typed) -> ast.expr:
        name, variable, tested = typed.detail
        items, *run = self.parts(typed)
        if name in ("all", "exists") and typed.parts[1].faults:
            return self.helper("over", ast.Constant(name == "exists"), items, later(run[0], local(variable)))
        if name in ("all", "exists", "exists_one"):
            truths = ast.GeneratorExp(run[0], [loop(variable, items, [])])
            return self.helper({"all": "all", "exists": "any", "exists_one": "exactly_one"}[name], truths)
        value = run[-1] if name == "map" else load(local(variable))
        return ast.ListComp(value, [loop(variable, items, [run[0]] if tested else [])])


MAKERS = {
    "key!": "key_sure",
    "element!": "element_sure",
    "key?": "key_optional",
    "element?": "element_optional",
    "has value": "has_value",
    "optional map": "optional_map",
    "in map": "in_map",
    "in list": "in_list",
}
