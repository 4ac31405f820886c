"""Types, possible failures, sizes and costs of an expression, all worked out once at load.

What may fail is not an error by itself: it may stand inside `try(...)`, or be guarded. What reaches the top
unguarded is refused, with the place, the reason and the way to guard it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import functions as fn
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.environment import Environment, Limits
from stoatrouter.expressions.errors import EvaluationError, ExpressionError, Position, Problem
from stoatrouter.expressions.guards import Fact, facts, key_fact, value_fact
from stoatrouter.expressions.literals import in_range
from stoatrouter.expressions.show import show

LIST_STEPS, MAP_STEPS = 10, 30  # cel-go's costs of making one
LONGEST_PATTERN = 256  # code points of a regular expression
SCALARS = {"bool": t.BOOL, "int": t.INT, "double": t.DOUBLE, "string": t.STRING, "bytes": t.BYTES}
EQUAL, ARITHMETIC = ("==", "!="), ("+", "-", "*", "/", "%")
OPTIONAL = ("hasValue", "value", "or", "orValue")


@dataclass(slots=True, frozen=True)
class Typed:
    """A node with all that is known of it. `op` and `detail` tell the compiler what to make of it."""

    node: s.Node
    type: t.Type
    op: str
    parts: tuple[Typed, ...] = ()
    detail: Any = None
    bound: b.Bound = b.ANY
    own: int = 1  # steps without those of the parts
    repeats: tuple[int, ...] = ()  # how often each part is run, where that is not once
    faults: tuple[Problem, ...] = ()  # why evaluation may fail
    cost: int = 0

    def times(self, i: int) -> int:
        return self.repeats[i] if self.repeats else 1


@dataclass(slots=True, frozen=True)
class Checked:
    """An expression that passed: its worst case is within the limits and it cannot fail."""

    root: Typed
    environment: Environment

    @property
    def type(self) -> t.Type:
        return self.root.type

    @property
    def cost(self) -> int:
        """Steps in the worst case."""
        return self.root.cost

    @property
    def bound(self) -> b.Bound:
        return self.root.bound


class Stop(Exception):
    """A part has no type; what is above it cannot be checked."""


def check(
    node: s.Node, environment: Environment, want: t.Type | object | None = None, limits: Limits | None = None
) -> Checked:
    """Check a whole expression; raises ExpressionError with all that is wrong."""
    limits = limits or Limits()
    checker = Checker(environment, limits)
    try:
        root = checker.of(node, Scope())
    except Stop:
        raise ExpressionError(*checker.problems) from None
    problems = [*checker.problems, *root.faults]
    if isinstance(want, t.Type) and t.joined(root.type, want) != want:
        problems.append(Problem(node.at, f"this yields {root.type}, but {want} is wanted here"))
    if root.cost > limits.steps:
        problems.append(
            Problem(
                node.at,
                f"it may take {root.cost} steps, {limits.steps} at most",
                "most of them: " + ", ".join(breakdown(root)),
            )
        )
    if root.bound.total > limits.result:
        problems.append(
            Problem(
                node.at,
                f"its value may have a size of {root.bound.total}, {limits.result} at most",
                "use substring or fewer parts",
            )
        )
    if problems:
        raise ExpressionError(*problems)
    return Checked(root, environment)


def breakdown(root: Typed, most: int = 3) -> list[str]:
    """What costs most: the operations with their place and steps in the worst case."""
    found: list[tuple[int, Position, str]] = []
    waiting = [(root, 1)]
    while waiting:
        typed, times = waiting.pop()
        found.append((typed.own * times, typed.node.at, show(typed.node)))
        waiting += [(part, times * typed.times(i)) for i, part in enumerate(typed.parts)]
    found.sort(key=lambda entry: (-entry[0], entry[1]))
    return [f"{steps} for {text} at {at}" for steps, at, text in found[:most]]


@dataclass(slots=True, frozen=True)
class Scope:
    """What holds at one place of an expression: variables of macros, and what guards have shown."""

    locals: dict[str, Typed] = field(default_factory=dict)
    known: frozenset[Fact] = frozenset()

    def knowing(self, more: Iterable[Fact]) -> Scope:
        return Scope(self.locals, self.known | frozenset(more))

    def longest(self, node: s.Node) -> int:
        """How long a list or text is known to be at least."""
        return max((f.least for f in self.known if f.kind == "length" and f.subject == node), default=0)


class Checker:
    """One check of one expression; collects what is wrong."""

    def __init__(self, environment: Environment, limits: Limits) -> None:
        self.environment, self.limits = environment, limits
        self.problems: list[Problem] = []

    # -- making nodes -------------------------------------------------------------------------------------
    def made(
        self,
        node: s.Node,
        kind: t.Type,
        op: str,
        parts: tuple[Typed, ...] = (),
        *,
        faults: tuple[Problem, ...] = (),
        own: int = 1,
        repeats: tuple[int, ...] = (),
        total: int | None = None,
        **more: Any,
    ) -> Typed:
        typed = Typed(
            node,
            kind,
            op,
            parts,
            own=own,
            repeats=repeats,
            faults=tuple(f for part in parts for f in part.faults) + faults,
            **more,
        )
        cost = own + sum(p.cost * typed.times(i) for i, p in enumerate(parts)) if total is None else total
        # Guards memory: no value on the way may be larger than this, however few steps make it.
        if op != "variable" and typed.bound.total > self.limits.largest:
            self.wrong(
                node,
                f"{show(node)} may have a size of {typed.bound.total}, {self.limits.largest} at most",
                "limit what it is made of",
            )
        return replace(typed, cost=cost)

    def wrong(self, node: s.Node, what: str, remedy: str = "") -> Stop:
        self.problems.append(Problem(node.at, what, remedy))
        return Stop()

    def stopped(self, parts: Iterable[Typed]) -> Stop:
        """What is known to be wrong with the siblings of a part without a type is said as well."""
        self.problems += [fault for part in parts for fault in part.faults]
        return Stop()

    def all_of(self, nodes: Iterable[s.Node], scope: Scope) -> tuple[Typed, ...]:
        """Check siblings; what is wrong with any of them is said together."""
        done, stopped = [], False
        for node in nodes:
            try:
                done.append(self.of(node, scope))
            except Stop:
                stopped = True
        if stopped:
            raise self.stopped(done)
        return tuple(done)

    # -- by kind of node ----------------------------------------------------------------------------------
    def of(self, node: s.Node, scope: Scope) -> Typed:
        match node:
            case s.Literal():
                return self.literal(node)
            case s.Name() | s.Select():
                return self.named(node, scope)
            case s.Index():
                return self.indexed(node, scope)
            case s.Logic():
                return self.logic(node, scope)
            case s.Conditional():
                return self.conditional(node, scope)
            case s.ListLiteral():
                return self.list_literal(node, scope)
            case s.MapLiteral():
                return self.map_literal(node, scope)
            case s.Call():
                return self.call(node, scope)
        raise AssertionError(node)

    def literal(self, node: s.Literal) -> Typed:
        value, bound = node.value, b.ANY
        if isinstance(value, str | bytes):
            bound = b.Bound(len(value), len(value))
        elif node.kind == "int":
            if not in_range(value):
                raise self.wrong(node, f"{value} is out of an int's 64 bits")
            bound = b.whole(int(value), int(value))
        return self.made(node, SCALARS[node.kind], "literal", detail=value, bound=bound, own=0)

    def named(self, node: s.Name | s.Select, scope: Scope) -> Typed:
        path = s.path_of(node)
        first = path.partition(".")[0] if path is not None else None
        if isinstance(node, s.Name) and node.name in scope.locals:
            return self.made(
                node,
                scope.locals[node.name].type,
                "local",
                detail=node.name,
                bound=scope.locals[node.name].bound,
            )
        if first not in scope.locals and path is not None:
            if (found := self.environment.variables.get(path)) is not None:
                return self.made(node, found.type, "variable", detail=found.attribute, bound=found.bound)
            if path in self.environment.prefixes:
                raise self.wrong(
                    node,
                    f"{path!r} is no value by itself",
                    "it has: " + ", ".join(self.environment.fields_below(path)),
                )
        if isinstance(node, s.Name):
            raise self.wrong(
                node,
                f"there is no {node.name!r}",
                "there is: "
                + ", ".join(
                    sorted(
                        {name.partition(".")[0] for name in self.environment.variables} | set(scope.locals)
                    )
                ),
            )
        above = s.path_of(node.operand)
        if above in self.environment.prefixes and first not in scope.locals:
            raise self.wrong(
                node,
                f"{above!r} has no field {node.field_name!r}",
                "it has: " + ", ".join(self.environment.fields_below(above or "")),
            )
        operand = self.of(node.operand, scope)
        if not isinstance(operand.type, t.MapOf):
            raise self.wrong(node, f"{operand.type} has no field {node.field_name!r}")
        key = self.literal(s.Literal(node.at, 1, node.field_name, "string"))
        return self.keyed(node, operand, key, node.optional, scope)

    def indexed(self, node: s.Index, scope: Scope) -> Typed:
        operand, index = self.all_of((node.operand, node.index), scope)
        if isinstance(operand.type, t.MapOf):
            if index.type != t.STRING:
                raise self.wrong(node.index, f"a key is a string, not {index.type}")
            return self.keyed(node, operand, index, node.optional, scope)
        if not isinstance(operand.type, t.ListOf):
            raise self.wrong(node, f"{operand.type} has no elements", "only lists and maps have")
        if index.type != t.INT:
            raise self.wrong(node.index, f"an index is an int, not {index.type}")
        kind, bound = operand.type.element, operand.bound.inner or b.ANY
        if kind == t.NEVER:
            raise self.wrong(node, "an empty list has no elements")
        if node.optional:
            return self.optional(node, kind, "element?", (operand, index), bound=bound)
        sure = max(operand.bound.least, scope.longest(node.operand))
        if index.bound.low >= 0 and index.bound.high < sure:
            return self.made(node, kind, "element!", (operand, index), bound=bound)
        text = show(node.operand)
        fault = Problem(
            node.at,
            f"{show(node)} may lie outside of the list",
            f"write {text}[?{show(node.index)}].orValue(...), or guard it: "
            f"size({text}) > {show(node.index)} && ...",
        )
        return self.made(node, kind, "element", (operand, index), bound=bound, faults=(fault,))

    def keyed(self, node: s.Node, operand: Typed, key: Typed, optional: bool, scope: Scope) -> Typed:
        """A look-up in a map."""
        assert isinstance(operand.type, t.MapOf)
        kind, bound = operand.type.value, operand.bound.inner or b.ANY
        if operand.type.folded:
            key = folded(key)
        if optional:
            return self.optional(node, kind, "key?", (operand, key), bound=bound)
        written = (
            operand.op == "map"
            and key.op == "literal"
            and key.detail in [part.detail for part in operand.parts[::2] if part.op == "literal"]
        )
        if written or key_fact(operand.node, key.node, operand.type.folded) in scope.known:
            return self.made(node, kind, "key!", (operand, key), bound=bound)
        text, name = show(operand.node), show(key.node)
        remedy = f"write {text}[?{name}].orValue(...), or guard it: {name} in {text} && ..."
        fault = Problem(node.at, f"{text}[{name}] may be missing", remedy)
        return self.made(node, kind, "key", (operand, key), bound=bound, faults=(fault,))

    def optional(self, node: s.Node, kind: t.Type, op: str, parts: tuple[Typed, ...], **more: Any) -> Typed:
        # Guards the compiled form, in which none is told from a value: an optional holds no optional.
        if isinstance(kind, t.OptionalOf):
            raise self.wrong(node, "an optional of an optional is left out", "use orValue first")
        return self.made(node, t.OptionalOf(kind), op, parts, **more)

    def logic(self, node: s.Logic, scope: Scope) -> Typed:
        parts, inner, stopped = [], scope, False
        for term in node.terms:
            try:
                part = self.of(term, inner)
                if part.type != t.BOOL:
                    raise self.wrong(
                        term,
                        f"{node.operator} wants bool, not {part.type}",
                        "nothing is converted by itself: compare it",
                    )
                parts.append(part)
            except Stop:
                stopped = True
            inner = inner.knowing(facts(term, node.operator == "&&", self.environment))
        if stopped:
            raise self.stopped(parts)
        return self.made(
            node, t.BOOL, "logic", tuple(parts), detail=node.operator, bound=b.TRUTH, own=len(parts) - 1
        )

    def conditional(self, node: s.Conditional, scope: Scope) -> Typed:
        condition = self.of(node.condition, scope)
        if condition.type != t.BOOL:
            raise self.wrong(node.condition, f"?: wants bool, not {condition.type}", "compare it")
        then = self.of(node.then, scope.knowing(facts(node.condition, True, self.environment)))
        other = self.of(node.other, scope.knowing(facts(node.condition, False, self.environment)))
        kind = t.joined(then.type, other.type)
        if kind is None:
            raise self.wrong(node.other, f"?: yields {then.type} or {other.type}", "both must be of one type")
        return self.made(
            node,
            kind,
            "conditional",
            (condition, then, other),
            bound=then.bound.joined(other.bound),
            total=1 + condition.cost + max(then.cost, other.cost),
        )

    def list_literal(self, node: s.ListLiteral, scope: Scope) -> Typed:
        parts = self.all_of(node.items, scope)
        kind: t.Type = t.NEVER
        inner: b.Bound | None = None
        for part in parts:
            together = t.joined(kind, part.type)
            if together is None:
                raise self.wrong(part.node, f"a list of {kind} has no {part.type}", "all must be of one type")
            kind, inner = together, part.bound if inner is None else inner.joined(part.bound)
        if isinstance(kind, t.OptionalOf):
            raise self.wrong(node, "a list of optionals is left out", "use orValue first")
        return self.made(
            node,
            t.ListOf(kind),
            "list",
            parts,
            bound=b.many(len(parts), inner or b.ANY, len(parts)),
            own=LIST_STEPS,
        )

    def map_literal(self, node: s.MapLiteral, scope: Scope) -> Typed:
        parts = self.all_of((part for item in node.items for part in item), scope)
        kind, inner, seen = t.NEVER, None, set()
        for key, value in zip(parts[::2], parts[1::2], strict=True):
            if key.type != t.STRING or key.op != "literal":
                raise self.wrong(key.node, "a key of a map is a string literal")
            if key.detail in seen:
                raise self.wrong(key.node, f"the key {key.detail!r} stands twice")
            seen.add(key.detail)
            together = t.joined(kind, value.type)
            if together is None or isinstance(value.type, t.OptionalOf):
                raise self.wrong(
                    value.node, f"a map to {kind} has no {value.type}", "all must be of one type"
                )
            kind, inner = together, value.bound if inner is None else inner.joined(value.bound)
        return self.made(
            node,
            t.MapOf(kind),
            "map",
            parts,
            own=MAP_STEPS,
            bound=b.many(len(node.items), inner or b.ANY, len(node.items)),
        )

    # -- calls --------------------------------------------------------------------------------------------
    def call(self, node: s.Call, scope: Scope) -> Typed:
        name, count = node.function, len(node.arguments)
        if node.receiver is not None and name in fn.MACROS:
            return self.macro(node, scope)
        if node.receiver is None and name == "has" and count == 1:
            return self.has(node, scope)
        if node.receiver is None and name == "try" and count == 1:
            return self.tried(node, scope)
        if node.receiver is not None and name == "optMap" and count == 2:
            return self.optional_map(node, scope)
        if node.receiver == s.Name(node.at, 1, "optional") and name in ("of", "none", "ofNonZeroValue"):
            return self.optional_of(node, scope)
        given = (*((node.receiver,) if node.receiver is not None else ()), *node.arguments)
        parts = self.all_of(given, scope)
        if name in ("==", "!=", "<", "<=", ">", ">=", "in", "+", "-", "*", "/", "%", "!"):
            return self.operator(node, parts)
        if node.receiver is not None and name in OPTIONAL and isinstance(parts[0].type, t.OptionalOf):
            return self.of_optional(node, parts, scope)
        if name == "size" and len(parts) == 1:
            return self.size(node, parts, scope)
        return self.function(node, parts, scope)

    def function(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
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
        """What is made at load of a literal argument."""
        from stoatrouter.expressions import (
            prepared,
        )  # the matcher is loaded where an expression has a pattern

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

    def operator(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        name, kinds = node.function, [part.type for part in parts]
        if name == "!":
            if kinds != [t.BOOL]:
                raise self.wrong(node, f"! wants bool, not {kinds[0]}")
            return self.made(node, t.BOOL, "not", parts, bound=b.TRUTH)
        if name == "in":
            return self.contained(node, parts)
        if name in ARITHMETIC:
            return self.arithmetic(node, parts)
        left, right = parts
        kind = t.joined(*kinds)
        fine = kind is not None and (t.equatable(kind) if name in EQUAL else kind in t.COMPARABLE)
        # Guards the meaning of NaN: lists of doubles would be compared by identity first.
        if not fine or (
            isinstance(kind, t.ListOf) and t.DOUBLE in (kind.element, getattr(kind.element, "element", 0))
        ):
            raise self.wrong(
                node,
                f"{name} is not defined for {kinds[0]} and {kinds[1]}",
                "convert one of them" if kinds[0] != kinds[1] else "",
            )
        return self.made(
            node,
            t.BOOL,
            "compare",
            parts,
            detail=name,
            bound=b.TRUTH,
            own=b.comparing(left.bound, right.bound),
        )

    def contained(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        item, items = parts
        if isinstance(items.type, t.MapOf) and item.type == t.STRING:
            if items.type.folded:
                item = folded(item)
            return self.made(
                node, t.BOOL, "in map", (item, items), bound=b.TRUTH, own=1 + b.walk(item.bound.length)
            )
        if (
            not isinstance(items.type, t.ListOf)
            or t.joined(items.type.element, item.type) is None
            or not t.equatable(item.type)
            or isinstance(item.type, t.ListOf)
        ):
            raise self.wrong(node, f"in is not defined for {item.type} and {items.type}")
        each = b.comparing(item.bound, items.bound.inner or b.ANY)
        return self.made(node, t.BOOL, "in list", parts, bound=b.TRUTH, own=1 + each * items.bound.length)

    def arithmetic(self, node: s.Call, parts: tuple[Typed, ...]) -> Typed:
        name, kinds = node.function, [part.type for part in parts]
        if len(parts) == 1:
            zero = replace(parts[0], bound=b.whole(0, 0))
            return self.numbers(node, "-", (zero, parts[0]), parts)
        left, right = (part.bound for part in parts)
        kind = t.joined(*kinds)
        if name == "+" and kind in (t.STRING, t.BYTES):
            bound = b.Bound(left.length + right.length, left.least + right.least)
            return self.made(node, kind, "add", parts, bound=bound, own=1 + b.walk(bound.length))
        if name == "+" and isinstance(kind, t.ListOf):
            inner = [x.inner for x in (left, right) if x.inner is not None and x.length]
            bound = b.many(
                left.length + right.length,
                inner[0].joined(inner[-1]) if inner else b.ANY,
                left.least + right.least,
            )
            return self.made(node, kind, "add", parts, bound=bound, own=1 + b.walk(bound.length))
        return self.numbers(node, name, parts, parts)

    def numbers(
        self, node: s.Call, name: str, operands: tuple[Typed, ...], parts: tuple[Typed, ...]
    ) -> Typed:
        """Arithmetic of numbers: that of ints may overflow, unless their bounds show that it cannot."""
        kind = parts[0].type
        allowed = {t.INT: ARITHMETIC, t.DOUBLE: ("+", "-", "*", "/"), t.DURATION: ("+", "-")}
        if (
            any(part.type != kind for part in parts)
            or name not in allowed.get(kind, ())
            or (len(parts) == 1 and kind == t.DURATION)
        ):
            raise self.wrong(
                node,
                f"{name} is not defined for " + " and ".join(str(p.type) for p in parts),
                "convert one of them" if len({p.type for p in parts}) > 1 else "",
            )
        op = "negate" if len(parts) == 1 else "arithmetic"
        if kind == t.DOUBLE:
            return self.made(node, kind, op, parts, detail=(name, True))
        left, right = (o.bound for o in operands)
        if name in "/%":
            low, high = b.quotient(name, left, right)
            faulty = right.low <= 0 <= right.high and "the divisor may be 0"
            faulty = faulty or (not b.fits(low, high) and "it may overflow")
        else:
            low, high = b.arithmetic(name, left, right)
            faulty = not b.fits(low, high, kind) and "it may overflow"
        faults = (
            (
                Problem(
                    node.at,
                    f"{show(node)} may fail: {faulty}",
                    f"give it a fallback: try({show(node)}).orValue(...)",
                ),
            )
            if faulty
            else ()
        )
        simple = not faulty and (name not in "/%" or (left.low >= 0 and right.low >= 0))
        return self.made(
            node, kind, op, parts, detail=(name, simple), bound=b.clipped(low, high, kind), faults=faults
        )

    def size(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        (part,) = parts
        if part.type not in (t.STRING, t.BYTES) and not isinstance(part.type, t.ListOf | t.MapOf):
            raise self.wrong(node, f"{part.type} has no size")
        least = max(part.bound.least, scope.longest(part.node))
        return self.made(node, t.INT, "size", parts, bound=b.whole(least, max(least, part.bound.length)))

    # -- what may be there or not -------------------------------------------------------------------------
    def has(self, node: s.Call, scope: Scope) -> Typed:
        wanted = node.arguments[0]
        if not isinstance(wanted, s.Select) or wanted.optional:
            raise self.wrong(
                node,
                "has() wants a field of a map, like has(request.headers.host)",
                "for other keys: 'name' in map",
            )
        path = s.path_of(wanted.operand)
        if path in self.environment.prefixes:
            raise self.wrong(
                node, f"has() wants a field of a map; {path!r} is none", "its fields are always there"
            )
        operand = self.of(wanted.operand, scope)
        if not isinstance(operand.type, t.MapOf):
            raise self.wrong(node, f"has() wants a field of a map, not of {operand.type}")
        key = self.literal(s.Literal(wanted.at, 1, wanted.field_name, "string"))
        key = folded(key) if operand.type.folded else key
        return self.made(node, t.BOOL, "in map", (key, operand), bound=b.TRUTH)

    def tried(self, node: s.Call, scope: Scope) -> Typed:
        (part,) = self.all_of(node.arguments, scope)
        if not part.faults:
            raise self.wrong(node, f"{show(node.arguments[0])} cannot fail", "leave try() away")
        return replace(self.optional(node, part.type, "try", (part,), bound=part.bound), faults=())

    def optional_of(self, node: s.Call, scope: Scope) -> Typed:
        if node.function != "of" or len(node.arguments) != 1:
            raise self.wrong(node, f"optional.{node.function} is left out", "use ?: with a value of the type")
        parts = self.all_of(node.arguments, scope)
        return self.optional(node, parts[0].type, "same", parts, bound=parts[0].bound)

    def of_optional(self, node: s.Call, parts: tuple[Typed, ...], scope: Scope) -> Typed:
        kind = parts[0].type
        assert isinstance(kind, t.OptionalOf)
        name, rest, bound = node.function, parts[1:], parts[0].bound
        wanted = {"hasValue": (), "value": (), "orValue": (kind.value,), "or": (kind,)}[name]
        if len(rest) != len(wanted) or any(
            t.joined(r.type, w) is None for r, w in zip(rest, wanted, strict=True)
        ):
            raise self.wrong(
                node,
                f"{name} of {kind} wants ({', '.join(map(str, wanted))}), not "
                f"({', '.join(str(r.type) for r in rest)})",
            )
        if name == "hasValue":
            return self.made(node, t.BOOL, "has value", parts, bound=b.TRUTH)
        if name == "value":
            if value_fact(parts[0].node) in scope.known:
                return self.made(node, kind.value, "same", parts, bound=bound)
            text = show(parts[0].node)
            fault = Problem(
                node.at,
                f"{text} may have no value",
                f"write {text}.orValue(...), or guard it: {text}.hasValue() && ...",
            )
            return self.made(node, kind.value, "value", parts, bound=bound, faults=(fault,))
        result = t.joined(kind.value if name == "orValue" else kind, rest[0].type)
        assert result is not None
        return self.made(node, result, "or", parts, bound=bound.joined(rest[0].bound))

    def optional_map(self, node: s.Call, scope: Scope) -> Typed:
        assert node.receiver is not None
        operand = self.of(node.receiver, scope)
        if not isinstance(operand.type, t.OptionalOf):
            raise self.wrong(node, f"optMap wants an optional, not {operand.type}")
        inner = self.with_local(node, replace(operand, type=operand.type.value), scope)
        body = self.of(node.arguments[1], inner)
        return self.optional(
            node, body.type, "optional map", (operand, body), bound=body.bound, detail=self.variable(node)
        )

    # -- macros -------------------------------------------------------------------------------------------
    def variable(self, node: s.Call) -> str:
        """The name that a macro gives to its element."""
        name = node.arguments[0]
        if not isinstance(name, s.Name):
            raise self.wrong(name, f"the first argument of {node.function} is the name of a variable")
        return name.name

    def with_local(self, node: s.Call, element: Typed, scope: Scope) -> Scope:
        name = self.variable(node)
        taken = {v.partition(".")[0] for v in self.environment.variables} | set(scope.locals) | {"optional"}
        # Guards the reader, and what guards have shown: within an expression a name means one thing.
        if name in taken:
            raise self.wrong(
                node.arguments[0], f"{name!r} stands for something else already", "choose another name"
            )
        return Scope({**scope.locals, name: element}, scope.known)

    def macro(self, node: s.Call, scope: Scope) -> Typed:
        assert node.receiver is not None
        name, count = node.function, len(node.arguments)
        if count != 2 and not (name == "map" and count == 3):
            raise self.wrong(node, f"{name} wants a variable and an expression")
        items = self.of(node.receiver, scope)
        if not isinstance(items.type, t.ListOf):
            raise self.wrong(
                node,
                f"{name} wants a list, not {items.type}",
                "macros over maps are left out" if isinstance(items.type, t.MapOf) else "",
            )
        most, inner_bound = items.bound.length, items.bound.inner or b.ANY
        element = replace(items, type=items.type.element, bound=inner_bound)
        inner = self.with_local(node, element, scope)
        test = self.of(node.arguments[1], inner) if name != "map" or count == 3 else None
        if test is not None and test.type != t.BOOL:
            raise self.wrong(node.arguments[1], f"{name} wants a bool here, not {test.type}")
        body = (
            self.of(
                node.arguments[-1],
                inner.knowing(facts(node.arguments[1], True, self.environment) if count == 3 else ()),
            )
            if name == "map"
            else None
        )
        run = tuple(part for part in (test, body) if part is not None)
        if body is not None and isinstance(body.type, t.OptionalOf):
            raise self.wrong(node.arguments[-1], "a list of optionals is left out", "use orValue first")
        kind: t.Type = t.BOOL
        bound = b.TRUTH
        if name == "filter":
            kind, bound = items.type, b.many(most, inner_bound)
        elif body is not None:
            kind = t.ListOf(body.type)
            bound = b.many(most, body.bound, 0 if test is not None else items.bound.least)
        makes = LIST_STEPS if name in ("filter", "map") else 0
        return self.made(
            node,
            kind,
            "macro",
            (items, *run),
            detail=(name, self.variable(node), test is not None),
            bound=bound,
            own=1 + makes + most,
            repeats=(1, *(most for _ in run)),
        )


def folded(key: Typed) -> Typed:
    """A key in the one case in which header fields are kept."""
    if key.op == "literal":
        return replace(key, detail=key.detail.lower(), node=replace(key.node, value=key.detail.lower()))
    return replace(
        key,
        op="folded",
        parts=(key,),
        own=1 + b.walk(key.bound.length),
        repeats=(),
        cost=key.cost + 1 + b.walk(key.bound.length),
    )


def unknown(node: s.Call, overloads: list[fn.Function], kinds: list[t.Type]) -> tuple[str, str]:
    """Why a call is none of the language's, and what is."""
    if not overloads:
        if node.function in fn.LEFT_OUT:
            return f"{node.function}() is left out", fn.LEFT_OUT[node.function]
        other = fn.BY_NAME.get((node.function, node.receiver is None))
        remedy = "" if not other else ("call it as a method: x." if node.receiver is None else "call it as ")
        return f"there is no function {node.function!r}", remedy and f"{remedy}{node.function}(...)"
    forms = "; ".join(signature(f) for f in overloads)
    return f"{node.function} does not take ({', '.join(map(str, kinds))})", f"it is {forms}"


def signature(f: fn.Function) -> str:
    """A function as the reference writes it."""
    kinds = [str(kind) for kind in f.arguments]
    if f.method:
        return f"{kinds[0]}.{f.name}({', '.join(kinds[1:])}) -> {f.result}"
    return f"{f.name}({', '.join(kinds)}) -> {f.result}"
