"""A named subset of the Common Expression Language: parsed, typed, bounded and compiled once, at load.

It knows nothing of HTTP, sockets or clocks: an `Environment` names the inputs, their types and their bounds.
What is there of CEL, what is left out and where it is stricter: docs/expressions.md.
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
        environment: The inputs that it may refer to.
        expected_type: The type that it must yield; any type where it is None.
        limits: What it may take; the default limits where it is None.

    Raises:
        ExpressionError: Every problem that was found.
    """
    return compile_checked(check(parse(source), environment, expected_type, limits or Limits()))
