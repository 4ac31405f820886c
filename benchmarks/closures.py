"""Compilation of expressions to a tree of Python closures, a baseline for benchmarks of the compiler."""

from __future__ import annotations

import operator
from collections.abc import Callable
from typing import Any

from stoatrouter.expressions import runtime
from stoatrouter.expressions.compiler import find_function
from stoatrouter.expressions.functions import Target
from stoatrouter.expressions.typed import Checked, Typed

Evaluator = Callable[[Any], Any]
COMPARISONS = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
PLAIN_FUNCTIONS: dict[str, Callable[..., Any]] = {
    "str": str,
    "float": float,
    "contains": operator.contains,
    "same": lambda value: value,
}


def compile_closures(checked: Checked) -> Evaluator | None:
    """Compile an expression; return None if it has macros, which would need a scope for their variables."""
    try:
        return compile_node(checked.root)
    except NotImplementedError:
        return None


def compile_node(typed: Typed) -> Evaluator:
    parts = [compile_node(part) for part in typed.parts]
    detail = typed.detail
    match typed.op, parts:
        case "literal", _:
            return lambda r: detail
        case "variable", _:
            return operator.attrgetter(detail)
        case (("key!" | "element!"), (a, b)):
            return lambda r: a(r)[b(r)]
        case "key", (a, b):
            return lambda r: runtime.key(a(r), b(r))
        case "key?", (a, b):
            return lambda r: a(r).get(b(r))
        case "or", (a, b):
            return lambda r: runtime.or_value(a(r), b(r))
        case "try", (a,):
            return lambda r: runtime.attempt(lambda: a(r))
        case "logic", _:
            operands = tuple(parts)
            if detail == "&&":
                return lambda r: all(part(r) for part in operands)
            return lambda r: any(part(r) for part in operands)
        case "not", (a,):
            return lambda r: not a(r)
        case "conditional", (a, b, c):
            return lambda r: b(r) if a(r) else c(r)
        case "compare", (a, b):
            operation = COMPARISONS[detail]
            return lambda r: operation(a(r), b(r))
        case "in map", (a, b):
            return lambda r: a(r) in b(r)
        case "in list", (a, b):
            return lambda r: a(r) in b(r)
        case ("list", _):
            return lambda r: [part(r) for part in parts]
        case "map", _:
            return lambda r: {k(r): v(r) for k, v in zip(parts[::2], parts[1::2], strict=True)}
        case "add", (a, b):
            return lambda r: a(r) + b(r)
        case "arithmetic", (a, b):
            operation = {"+": operator.add, "-": operator.sub, "*": operator.mul, "%": operator.mod}[
                detail[0]
            ]
            return lambda r: operation(a(r), b(r))
        case "size", (a,):
            return lambda r: len(a(r))
        case "call", _:
            return compile_call(typed, parts)
    raise NotImplementedError(typed.op)


def compile_call(typed: Typed, parts: list[Evaluator]) -> Evaluator:
    function, prepared = typed.detail
    name = function.emission.name
    if name == "matches":
        return lambda r: prepared(parts[0](r))
    if name == "cidr":
        return lambda r: prepared
    if function.emission.target is Target.METHOD:
        work: Callable[..., Any] = getattr(str, name)
    else:
        work = PLAIN_FUNCTIONS.get(name) or find_function(name)
    if len(parts) == 1:
        first = parts[0]
        return lambda r: work(first(r))
    return lambda r: work(*(part(r) for part in parts))
