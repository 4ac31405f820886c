"""Helpers that build Python syntax trees with the `ast` module."""

from __future__ import annotations

import ast

INPUT = (
    "r"  # the only parameter of a compiled expression; variables of macros are prefixed, so none shadows it
)


def arguments(*names: str) -> ast.arguments:
    """Return the positional parameters of a function or lambda."""
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
    """Return a function that takes the object of inputs and returns a value."""
    return ast.FunctionDef(  # type: ignore[call-arg]  # type_params exists since Python 3.12
        name=name,
        args=arguments(INPUT),
        body=[ast.Return(value)],
        decorator_list=[],
        returns=None,
        type_comment=None,
        type_params=[],
    )


def load(name: str) -> ast.Name:
    """Return an expression that loads a name."""
    return ast.Name(name, ast.Load())


def local_name(name: str) -> str:
    """Return the Python name of the variable of a macro, distinct from the names of helpers and constants."""
    return f"v_{name}"


def deferred(value: ast.expr, *names: str) -> ast.Lambda:
    """Return a lambda with these parameters, which defers the evaluation of an expression."""
    return ast.Lambda(args=arguments(*names), body=value)


def call_method(receiver: ast.expr, name: str, *given: ast.expr) -> ast.Call:
    """Return `receiver.name(given)`."""
    return ast.Call(ast.Attribute(receiver, name, ast.Load()), list(given), [])


def compare(left: ast.expr, operator: type[ast.cmpop], right: ast.expr) -> ast.Compare:
    """Return `left operator right`."""
    return ast.Compare(left, [operator()], [right])


def for_each(name: str, items: ast.expr, tests: list[ast.expr]) -> ast.comprehension:
    """Return `for name in items if tests` of a comprehension, for the variable of a macro."""
    target = ast.Name(local_name(name), ast.Store())
    return ast.comprehension(target=target, iter=items, ifs=tests, is_async=0)
