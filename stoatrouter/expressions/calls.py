"""Checks of calls of functions."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import functions as fn
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.checks import CheckerBase
from stoatrouter.expressions.errors import EvaluationError, Problem
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Scope, Typed, folded

LONGEST_PATTERN = 256  # code points of a regular expression


class FunctionChecks(CheckerBase):
    """Checks calls of functions, and prepares their literal arguments."""

    def function(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        """Check a call of a function by its overloads; raises Stop where none fits."""
        overloads = fn.BY_NAME.get((node.function, node.receiver is not None), [])
        kinds = [part.type for part in parts]
        found = next(
            (
                f
                for f in overloads
                if len(f.arguments) == len(kinds) and all(map(fn.accepts, f.arguments, kinds))
            ),
            None,
        )
        if found is None:
            raise self.wrong(node, *unknown(node, overloads, kinds))
        if isinstance(kinds[0] if kinds else None, t.MapOf) and kinds[0].folded:
            parts = (parts[0], folded(parts[1]))
        given = [part.bound for part in parts]
        faults = (
            ()
            if not found.fails or self.sure(found, parts, scope)
            else (
                Problem(
                    node.at,
                    f"{show(node)} may fail: {found.fails}",
                    f"give it a fallback: try({show(node)}).orValue(...)",
                ),
            )
        )
        detail, bound = self.ready(found, parts), found.bound(given)
        if found.name == "duration" and parts[0].op == "literal":
            micros = detail // timedelta(microseconds=1)
            return self.made(node, t.DURATION, "literal", detail=detail, bound=b.whole(micros, micros), own=0)
        if found.name == "split" and parts[1].op == "literal" and parts[1].detail and len(parts) == 2:
            bound = b.narrowed(bound, 1)  # there is one piece at least
        return self.made(
            node,
            found.result,
            "call",
            parts,
            detail=(found, detail),
            bound=bound,
            own=found.cost(given),
            faults=faults,
        )

    def sure(self, found: fn.Function, parts: tuple[Typed, ...], scope: Scope) -> bool:
        """Whether a call that may fail in general cannot fail here."""
        if found.name == "duration":
            return parts[0].op == "literal"  # it is read at load
        if found.name != "substring":
            return False
        least = max(parts[0].bound.least, scope.longest(parts[0].node))
        ends = [part.bound for part in parts[1:]]
        return ends[0].low >= 0 and ends[-1].high <= least and (len(ends) == 1 or ends[0].high <= ends[1].low)

    def ready(self, found: fn.Function, parts: tuple[Typed, ...]) -> Any:
        """A literal argument, prepared at load; raises Stop where it is malformed."""
        # imported here: the matcher is loaded only where an expression has a pattern
        from stoatrouter.expressions import prepared

        last = parts[-1]
        if found.name == "duration" and last.op == "literal" and last.type == t.STRING:
            try:
                return prepared.duration(last.detail)
            except EvaluationError as error:
                raise self.wrong(
                    last.node, f"{show(last.node)}: {error}", "like '1h30m' or '250ms'"
                ) from None
        if not found.literal:
            return None
        if last.op != "literal":
            raise self.wrong(
                last.node,
                f"the last argument of {found.name} must be a literal",
                "it is read once, when the rule is loaded",
            )
        if found.name == "matches" and len(last.detail) > LONGEST_PATTERN:
            raise self.wrong(
                last.node, f"a pattern of {len(last.detail)} characters", f"{LONGEST_PATTERN} at most"
            )
        try:
            return prepared.pattern(last.detail) if found.name == "matches" else prepared.network(last.detail)
        except ValueError as error:
            raise self.wrong(last.node, f"{show(last.node)}: {error}") from None


def unknown(node: s.Call, overloads: list[fn.Function], kinds: list[t.Type]) -> tuple[str, str]:
    """Why no function fits a call, and what to write in its place."""
    if not overloads:
        if node.function in fn.LEFT_OUT:
            return f"{node.function}() is left out", fn.LEFT_OUT[node.function]
        other = fn.BY_NAME.get((node.function, node.receiver is None))
        remedy = "" if not other else ("call it as a method: x." if node.receiver is None else "call it as ")
        return f"there is no function {node.function!r}", remedy and f"{remedy}{node.function}(...)"
    forms = "; ".join(signature(f) for f in overloads)
    return f"{node.function} does not take ({', '.join(map(str, kinds))})", f"it is {forms}"


def signature(f: fn.Function) -> str:
    """A function with its types, as the reference writes it."""
    kinds = [str(kind) for kind in f.arguments]
    if f.method:
        return f"{kinds[0]}.{f.name}({', '.join(kinds[1:])}) -> {f.result}"
    return f"{f.name}({', '.join(kinds)}) -> {f.result}"
