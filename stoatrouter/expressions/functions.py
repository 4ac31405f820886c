"""The functions of the language, as data: types, costs, sizes of values, and why they may fail.

Names and meanings are those of cel-spec and of cel-go's ext/strings, the network functions those of
Kubernetes' CEL library; `hash`, `hex16` and `values` are this project's.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stoatrouter.expressions import types as t
from stoatrouter.expressions.bounds import ANY, DIGITS, MOST_DURATION, TRUTH, Bound, many, text, walk, whole

Bounds = Sequence[Bound]


def first(given: Bounds) -> int:
    """Goes through its first argument."""
    return 1 + walk(given[0].length)


def both(given: Bounds) -> int:
    """Looks for its second argument in its first."""
    return 1 + walk(given[0].length) * max(1, walk(given[1].length))


def plain(given: Bounds) -> int:
    return 1


def like(given: Bounds) -> Bound:
    """As long as its first argument at most."""
    return text(given[0].length)


def fixed(bound: Bound) -> Callable[[Bounds], Bound]:
    return lambda given: bound


@dataclass(slots=True, frozen=True)
class Function:
    """One overload. The receiver of a method is its first argument.

    `emit` says what it is compiled to: `.name` a method of its first argument, `=name` a helper of
    runtime.py, `~name` a helper that gets a constant made at load.
    """

    name: str
    arguments: tuple[t.Type, ...]
    result: t.Type
    emit: str
    method: bool = True
    cost: Callable[[Bounds], int] = plain
    bound: Callable[[Bounds], Bound] = fixed(ANY)
    fails: str = ""  # why it may fail; empty where it cannot
    literal: bool = False  # its last argument must be a literal, from which something is made at load


S, N, B, I = t.STRING, t.INT, t.BOOL, t.IP  # noqa: E741 - a table reads better with short columns
TEXTS = t.ListOf(S)


def pieces(given: Bounds) -> Bound:
    """Of split: as many pieces as characters and one more; together no longer than the text."""
    return many(given[0].length + 1, text(given[0].length), cap=given[0].length + 1)


def some_pieces(given: Bounds) -> Bound:
    most = given[0].length + 1
    if given[2].low >= 0:
        most = min(most, max(0, given[2].high))
    return many(most, text(given[0].length), cap=given[0].length + 1)


def glued(given: Bounds) -> Bound:
    inner = given[0].inner or ANY
    between = given[1].length if len(given) > 1 else 0
    return text(given[0].length * (inner.length + between))


def gluing(given: Bounds) -> int:
    return 1 + walk(glued(given).length)


def listed(given: Bounds) -> Bound:
    """Of `values`: as many as there may be fields; together they are what the joined value may be."""
    inner = given[0].inner or ANY
    return many(given[0].length, inner, cap=max(given[0].length, inner.length))


def matching(given: Bounds) -> int:
    """cel-go's estimate: a tenth of the text times a quarter of the pattern."""
    return 1 + walk(given[0].length) * max(1, -(-given[1].length // 4))


def in_bytes(given: Bounds) -> Bound:
    return Bound(given[0].length * 4)


def seconds(micros: int) -> Callable[[Bounds], Bound]:
    return fixed(whole(-MOST_DURATION // micros, MOST_DURATION // micros))


REPEATED = t.MapOf(S, repeated=True)
FUNCTIONS: tuple[Function, ...] = (
    Function("startsWith", (S, S), B, ".startswith", cost=lambda g: 1 + walk(g[1].length)),
    Function("endsWith", (S, S), B, ".endswith", cost=lambda g: 1 + walk(g[1].length)),
    Function("contains", (S, S), B, "=contains", cost=both),
    Function("indexOf", (S, S), N, ".find", cost=both, bound=lambda g: whole(-1, g[0].length)),
    Function("matches", (S, S), B, "~matches", cost=matching, literal=True),
    Function("matches", (S, S), B, "~matches", method=False, cost=matching, literal=True),
    Function("lowerAscii", (S,), S, "=lower_ascii", cost=first, bound=like),
    Function("upperAscii", (S,), S, "=upper_ascii", cost=first, bound=like),
    Function("trim", (S,), S, "=trim", cost=first, bound=like),
    Function("split", (S, S), TEXTS, "=split", cost=first, bound=pieces),
    Function("split", (S, S, N), TEXTS, "=split", cost=first, bound=some_pieces),
    Function("substring", (S, N), S, "=substring", cost=first, bound=like, fails="the range may lie outside"),
    Function(
        "substring", (S, N, N), S, "=substring", cost=first, bound=like, fails="the range may lie outside"
    ),
    Function("join", (TEXTS,), S, "=join", cost=gluing, bound=glued),
    Function("join", (TEXTS, S), S, "=join", cost=gluing, bound=glued),
    Function("values", (REPEATED, S), TEXTS, "=values", cost=lambda g: 1 + walk(g[0].length), bound=listed),
    Function("int", (N,), N, "=same", False, bound=lambda g: g[0]),
    Function("int", (S,), N, "=int_of_text", False, first, fails="the text may be no int"),
    Function("int", (t.DOUBLE,), N, "=int_of_double", False, fails="the double may be out of an int's range"),
    Function("double", (t.DOUBLE,), t.DOUBLE, "=same", False),
    Function("double", (N,), t.DOUBLE, "=float", False),
    Function("double", (S,), t.DOUBLE, "=double_of_text", False, first, fails="the text may be no double"),
    Function("bool", (B,), B, "=same", False, bound=fixed(TRUTH)),
    Function("bool", (S,), B, "=bool_of_text", False, first, fixed(TRUTH), "the text may be no bool"),
    Function("string", (S,), S, "=same", False, bound=lambda g: g[0]),
    Function("string", (N,), S, "=str", False, bound=fixed(text(DIGITS, 1))),
    Function("string", (B,), S, "=text_of_bool", False, bound=fixed(text(5, 4))),
    Function("string", (t.BYTES,), S, "=text_of_bytes", False, first, like, "the bytes may be no UTF-8"),
    Function("string", (t.DURATION,), S, "=text_of_duration", False, bound=fixed(text(24, 2))),
    Function("string", (I,), S, "=str", False, bound=fixed(text(45, 2))),
    Function("bytes", (t.BYTES,), t.BYTES, "=same", False, bound=lambda g: g[0]),
    Function("bytes", (S,), t.BYTES, "=encode", False, first, in_bytes),
    Function("duration", (t.DURATION,), t.DURATION, "=same", False, bound=lambda g: g[0]),
    Function(
        "duration",
        (S,),
        t.DURATION,
        "=duration_of_text",
        False,
        first,
        fixed(whole(-MOST_DURATION, MOST_DURATION)),
        "the text may be no duration",
    ),
    Function("getHours", (t.DURATION,), N, "=hours", bound=seconds(3_600_000_000)),
    Function("getMinutes", (t.DURATION,), N, "=minutes", bound=seconds(60_000_000)),
    Function("getSeconds", (t.DURATION,), N, "=seconds", bound=seconds(1_000_000)),
    Function("getMilliseconds", (t.DURATION,), N, "=milliseconds", bound=seconds(1_000)),
    Function("ip", (S,), I, "=ip_of_text", False, first, fails="the text may be no IP address"),
    Function("isIP", (S,), B, "=is_ip", False, first),
    Function("family", (I,), N, "=family", bound=fixed(whole(4, 6))),
    Function("cidr", (S,), t.CIDR, "~cidr", False, literal=True),
    Function("containsIP", (t.CIDR, I), B, "=contains_ip"),
    Function("containsIP", (t.CIDR, S), B, "=contains_text", fails="the text may be no IP address"),
    Function("hash", (S,), N, "=stable_hash", False, first, fixed(whole(0, (1 << 63) - 1))),
    Function("hash", (t.BYTES,), N, "=stable_hash", False, first, fixed(whole(0, (1 << 63) - 1))),
    Function("hex16", (N,), S, "=hex16", False, bound=fixed(text(16, 16))),
)

BY_NAME: dict[tuple[str, bool], list[Function]] = {}
for _function in FUNCTIONS:
    BY_NAME.setdefault((_function.name, _function.method), []).append(_function)

MACROS = ("all", "exists", "exists_one", "filter", "map")
LEFT_OUT = {
    "timestamp": "a rule must not depend on the time: the same request has the same outcome",
    "uint": "use int",
    "type": "types are known at load",
    "dyn": "there are no dynamic types",
    "getDate": "there are no timestamps",
    "getFullYear": "there are no timestamps",
    "format": "use + and string()",
    "replace": "its result is hard to bound; use split and join",
}


def accepts(wanted: t.Type, given: t.Type) -> bool:
    """Whether a value of one type may stand where another is wanted."""
    if isinstance(wanted, t.MapOf) and wanted.repeated:
        return isinstance(given, t.MapOf) and given.repeated
    return t.joined(wanted, given) == wanted
