"""Checks of function calls."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import functions as fn
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import CheckerBase, failure_problem
from stoatrouter.expressions.conversions import MICROSECOND, duration_of_text
from stoatrouter.expressions.errors import EvaluationError, Problem
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Op, Scope, Typed, fold_key

MAX_PATTERN_LENGTH = 256  # code points of a regular expression


class CallDetail(NamedTuple):
    """The function that is called, and the object prepared from its literal argument, if it requires one."""

    function: fn.Function
    constant: Any


class FunctionChecks(CheckerBase):
    """Checks function calls and prepares their literal arguments.

    All methods raise UntypedError if the node cannot be typed or a literal is malformed.
    """

    def check_function(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        """Check a function call against the overloads of the function."""
        function = self.select_overload(node, parts)
        if parts and isinstance(parts[0].type, t.MapOf) and parts[0].type.folded:
            parts = (parts[0], fold_key(parts[1]))
        given = [part.bound for part in parts]
        bound = function.bound(given)
        if function.name == "duration" and parts[0].is_literal:
            return self.check_duration_literal(node, parts, bound)
        faults: tuple[Problem, ...] = ()
        if function.fails and not cannot_fail(function, parts, scope):
            faults = (failure_problem(node, function.fails),)
        constant = self.prepare_literal(function, parts[-1]) if function.literal else None
        if function.name == "split" and len(parts) == 2 and parts[1].is_literal and parts[1].detail:
            bound = b.with_min_length(bound, 1)  # a non-empty separator yields at least one piece
        return self.typed_node(
            node,
            function.result,
            Op.CALL,
            parts,
            detail=CallDetail(function, constant),
            bound=bound,
            own_steps=function.cost(given),
            faults=faults,
        )

    def select_overload(self, node: s.Call, parts: tuple[Typed, ...]) -> fn.Function:
        """Return the overload that accepts arguments of these types."""
        overloads = fn.BY_NAME.get((node.function, node.receiver is not None), [])
        kinds = [part.type for part in parts]
        for function in overloads:
            if len(function.arguments) == len(kinds) and all(map(fn.accepts, function.arguments, kinds)):
                return function
        raise self.reject(node, *explain_mismatch(node, overloads, kinds))

    def check_duration_literal(self, node: s.Call, parts: tuple[Typed, ...], bound: b.Bound) -> Typed:
        """Check duration() of a literal, which is parsed at load and becomes a constant."""
        (text,) = parts
        span = text.detail
        if text.type == t.STRING:
            try:
                span = duration_of_text(text.detail)
            except EvaluationError as error:
                what = f"{show(text.node)}: {error}"
                raise self.reject(text.node, what, "for example '1h30m' or '250ms'") from None
        assert isinstance(span, timedelta)
        micros = span // MICROSECOND
        bound = b.int_bound(micros, micros)
        return self.typed_node(node, t.DURATION, Op.LITERAL, detail=span, bound=bound, own_steps=0)

    def prepare_literal(self, function: fn.Function, part: Typed) -> Any:
        """Return the object prepared at load from the last argument, which must be a literal."""
        # imported here so that RE2 is loaded only if an expression has a pattern
        from stoatrouter.expressions import prepared

        if not part.is_literal:
            what = f"the last argument of {function.name} must be a literal"
            raise self.reject(part.node, what, "it is compiled once, when the rule is loaded")
        is_pattern = function.name == "matches"
        if is_pattern and len(part.detail) > MAX_PATTERN_LENGTH:
            what = f"the pattern has {len(part.detail)} characters"
            raise self.reject(part.node, what, f"the limit is {MAX_PATTERN_LENGTH}")
        try:
            return (prepared.compile_pattern if is_pattern else prepared.parse_network)(part.detail)
        except ValueError as error:
            raise self.reject(part.node, f"{show(part.node)}: {error}") from None


def cannot_fail(function: fn.Function, parts: tuple[Typed, ...], scope: Scope) -> bool:
    """Return whether a call of a fallible function cannot fail: substring with a range inside the string."""
    if function.name != "substring":
        return False
    text, *ends = parts
    min_length = max(text.bound.min_length, scope.known_length(text.node))
    first, last = ends[0].bound, ends[-1].bound
    return first.low >= 0 and last.high <= min_length and (len(ends) == 1 or first.high <= last.low)


def explain_mismatch(node: s.Call, overloads: list[fn.Function], kinds: list[t.Type]) -> tuple[str, str]:
    """Return why no overload matches a call, and what to write instead."""
    name = node.function
    if overloads:
        forms = "; ".join(map(format_signature, overloads))
        return f"{name} does not accept ({', '.join(map(str, kinds))})", f"available: {forms}"
    if name in fn.UNSUPPORTED:
        return f"{name}() is not supported", fn.UNSUPPORTED[name]
    what = f"there is no function {name!r}"
    if (name, node.receiver is None) not in fn.BY_NAME:
        return what, ""
    if node.receiver is None:
        return what, f"call it as a method: x.{name}(...)"
    return what, f"call it as {name}(...)"


def format_signature(function: fn.Function) -> str:
    """Return the signature of a function, as docs/expressions.md shows it."""
    kinds = [str(kind) for kind in function.arguments]
    if function.method:
        return f"{kinds[0]}.{function.name}({', '.join(kinds[1:])}) -> {function.result}"
    return f"{function.name}({', '.join(kinds)}) -> {function.result}"
