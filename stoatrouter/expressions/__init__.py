"""A subset of the Common Expression Language (CEL): parsed, checked, bounded and compiled once, at load.

The package is independent of HTTP, sockets and clocks: an `Environment` declares the inputs, their types and
their bounds. docs/expressions.md lists what is supported, what is not, and where this subset is stricter
than CEL.
"""

from stoatrouter.expressions.checker import check
from stoatrouter.expressions.compiler import Program, compile_checked
from stoatrouter.expressions.environment import Environment, Limits, Variable
from stoatrouter.expressions.errors import ExpressionError, Problem
from stoatrouter.expressions.parser import parse
from stoatrouter.expressions.typed import Checked

__all__ = [
    "Checked",
    "Environment",
    "ExpressionError",
    "Limits",
    "Problem",
    "Program",
    "Variable",
    "check",
    "compile_checked",
    "load",
    "parse",
]


def load(
    source: str, environment: Environment, expected_type: object = None, limits: Limits | None = None
) -> Program:
    """Parse, check and compile one expression.

    Args:
        source: The expression.
        environment: The inputs that the expression may refer to.
        expected_type: The type that the expression must yield; None allows any type.
        limits: Limits of its cost and sizes; None for the default limits.

    Raises:
        ExpressionError: All problems that were found.
    """
    return compile_checked(check(parse(source), environment, expected_type, limits or Limits()))
