"""Short forms for building Python's syntax tree with the `ast` module."""

from __future__ import annotations

import ast

INPUT = "r"  # the one argument of a compiled expression; macros' variables have a prefix and never hide it


def arguments(*names: str) -> ast.arguments:
    """The positional parameters of a function or lambda."""
    return ast.arguments(
        posonlyargs=[],
        args=[ast.arg(name) for name in names],
        vararg=None,
        kwonlyargs=[],
        kw_defaults=[],
        kwarg=None,
        defaults=[],
    )


def function(name: str, value: ast.expr) -> ast.FunctionDef:
    """A function of the object of inputs that returns a value."""
    return ast.FunctionDef(  # type: ignore[call-arg]  # type_params is there from Python 3.12 on
        name=name,
        args=arguments(INPUT),
        body=[ast.Return(value)],
        decorator_list=[],
        returns=None,
        type_comment=None,
        type_params=[],
    )


def load(name: str) -> ast.Name:
    """The value of a name."""
    return ast.Name(name, ast.Load())


def local_name(name: str) -> str:
    """The Python name of a macro's variable: no name that a helper or a constant has."""
    return f"v_{name}"


def deferred(value: ast.expr, *names: str) -> ast.Lambda:
    """An expression that is evaluated when it is called, with these parameters."""
    return ast.Lambda(args=arguments(*names), body=value)


def call_method(receiver: ast.expr, name: str, *given: ast.expr) -> ast.Call:
    """`receiver.name(given)`."""
    return ast.Call(ast.Attribute(receiver, name, ast.Load()), list(given), [])


def compare(left: ast.expr, operator: type[ast.cmpop], right: ast.expr) -> ast.Compare:
    """`left operator right`."""
    return ast.Compare(left, [operator()], [right])


def for_each(name: str, items: ast.expr, tests: list[ast.expr]) -> ast.comprehension:
    """The `for name in items if tests` of a comprehension; the name is that of a macro's variable."""
    target = ast.Name(local_name(name), ast.Store())
    return ast.comprehension(target=target, iter=items, ifs=tests, is_async=0)
