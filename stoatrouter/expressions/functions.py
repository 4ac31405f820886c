"""The functions of the language, as data: types, costs, sizes of values, and why they may fail.

Names and meanings are those of cel-spec and of cel-go's ext/strings, the network functions those of
Kubernetes' CEL library; `hash`, `hex16` and `values` are this project's. Costs are cel-go's (see `bounds`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from stoatrouter.expressions import types as t
from stoatrouter.expressions.bounds import (
    ANY,
    BOOL_BOUND,
    MAX_DURATION,
    MAX_INT_LENGTH,
    Bound,
    int_bound,
    list_bound,
    scan_steps,
    text_bound,
)

Bounds = Sequence[Bound]  # of all arguments
MAX_HASH = (1 << 63) - 1
MAX_UTF8_BYTES = 4  # bytes of a code point
RANGE_FAILURE = "the range may lie outside"


class Target(Enum):
    """What a call is compiled to."""

    METHOD = auto()  # a method of its first argument
    HELPER = auto()  # a builtin, or a function of runtime.py or conversions.py
    PREPARED = auto()  # a function that was prepared at load, of its first argument
    CONSTANT = auto()  # a constant that was prepared at load
    CONTAINS = auto()  # Python's `in`
    SAME = auto()  # its argument


class Emission(NamedTuple):
    """What a call is compiled to, and the name of the method, helper or preparation."""

    target: Target
    name: str


def method(name: str) -> Emission:
    """A method of the first argument."""
    return Emission(Target.METHOD, name)


def helper(name: str) -> Emission:
    """A builtin, or a function of runtime.py or conversions.py."""
    return Emission(Target.HELPER, name)


SAME = Emission(Target.SAME, "same")
CONTAINS = Emission(Target.CONTAINS, "contains")
MATCHES = Emission(Target.PREPARED, "matches")
CIDR = Emission(Target.CONSTANT, "cidr")


# -- costs --------------------------------------------------------------------------------------------------
def constant_cost(given: Bounds) -> int:
    """The cost of a call that goes through nothing."""
    return 1


def scan_first_cost(given: Bounds) -> int:
    """The cost of going through the first argument."""
    return 1 + scan_steps(given[0].length)


def scan_second_cost(given: Bounds) -> int:
    """The cost of going through the second argument."""
    return 1 + scan_steps(given[1].length)


def search_cost(given: Bounds) -> int:
    """The cost of looking for the second argument in the first."""
    return 1 + scan_steps(given[0].length) * max(1, scan_steps(given[1].length))


def match_cost(given: Bounds) -> int:
    """cel-go's estimate: a tenth of the text times a quarter of the pattern."""
    return 1 + scan_steps(given[0].length) * max(1, -(-given[1].length // 4))


def join_cost(given: Bounds) -> int:
    """The cost of writing the joined text."""
    return 1 + scan_steps(join_bound(given).length)


# -- bounds -------------------------------------------------------------------------------------------------
def constant_bound(bound: Bound) -> Callable[[Bounds], Bound]:
    """The same bound for all arguments."""
    return lambda given: bound


def first_bound(given: Bounds) -> Bound:
    """The bound of the first argument."""
    return given[0]


def shorter_text_bound(given: Bounds) -> Bound:
    """The bound of a text as long as the first argument at most."""
    return text_bound(given[0].length)


def index_bound(given: Bounds) -> Bound:
    """The bound of a position in the first argument, or -1."""
    return int_bound(-1, given[0].length)


def split_bound(given: Bounds) -> Bound:
    """As many pieces as characters and one more; together no longer than the text."""
    return list_bound(given[0].length + 1, text_bound(given[0].length), max_total=given[0].length + 1)


def limited_split_bound(given: Bounds) -> Bound:
    """The same, and no more pieces than the third argument, unless it may be negative."""
    max_pieces = given[0].length + 1
    if given[2].low >= 0:
        max_pieces = min(max_pieces, max(0, given[2].high))
    return list_bound(max_pieces, text_bound(given[0].length), max_total=given[0].length + 1)


def join_bound(given: Bounds) -> Bound:
    """As long as all elements, with the separator after each."""
    inner = given[0].inner or ANY
    between = given[1].length if len(given) > 1 else 0
    return text_bound(given[0].length * (inner.length + between))


def values_bound(given: Bounds) -> Bound:
    """As many as there may be fields; together they are what the joined value may be."""
    inner = given[0].inner or ANY
    return list_bound(given[0].length, inner, max_total=max(given[0].length, inner.length))


def encoded_bound(given: Bounds) -> Bound:
    """The bound of a text's UTF-8."""
    return Bound(given[0].length * MAX_UTF8_BYTES)


def units_bound(micros: int) -> Callable[[Bounds], Bound]:
    """The bound of a duration in whole units of so many microseconds."""
    return constant_bound(int_bound(-MAX_DURATION // micros, MAX_DURATION // micros))


@dataclass(slots=True, frozen=True)
class Function:
    """One overload. The receiver of a method is its first argument.

    Attributes:
        name: CEL's name of it.
        arguments: The types of its arguments.
        result: The type of its value.
        emission: What a call is compiled to.
        method: Whether it is called as a method of its first argument.
        cost: The steps of a call, from the bounds of the arguments.
        bound: The bound of the value, from the same.
        fails: Why it may fail; empty where it cannot.
        literal: Whether its last argument must be a literal, of which something is prepared at load.
    """

    name: str
    arguments: tuple[t.Type, ...]
    result: t.Type
    emission: Emission
    method: bool = True
    cost: Callable[[Bounds], int] = constant_cost
    bound: Callable[[Bounds], Bound] = constant_bound(ANY)
    fails: str = ""
    literal: bool = False


S, N, B, I = t.STRING, t.INT, t.BOOL, t.IP  # noqa: E741 - a table reads better with short columns
TEXTS = t.ListOf(S)
REPEATED = t.MapOf(S, repeated=True)
FUNCTIONS: tuple[Function, ...] = (
    Function("startsWith", (S, S), B, method("startswith"), cost=scan_second_cost),
    Function("endsWith", (S, S), B, method("endswith"), cost=scan_second_cost),
    Function("contains", (S, S), B, CONTAINS, cost=search_cost),
    Function("indexOf", (S, S), N, method("find"), cost=search_cost, bound=index_bound),
    Function("matches", (S, S), B, MATCHES, cost=match_cost, literal=True),
    Function("matches", (S, S), B, MATCHES, method=False, cost=match_cost, literal=True),
    Function("lowerAscii", (S,), S, helper("lower_ascii"), cost=scan_first_cost, bound=shorter_text_bound),
    Function("upperAscii", (S,), S, helper("upper_ascii"), cost=scan_first_cost, bound=shorter_text_bound),
    Function("trim", (S,), S, helper("trim"), cost=scan_first_cost, bound=shorter_text_bound),
    Function("split", (S, S), TEXTS, helper("split"), cost=scan_first_cost, bound=split_bound),
    Function("split", (S, S, N), TEXTS, helper("split"), cost=scan_first_cost, bound=limited_split_bound),
    Function(
        "substring",
        (S, N),
        S,
        helper("substring"),
        cost=scan_first_cost,
        bound=shorter_text_bound,
        fails=RANGE_FAILURE,
    ),
    Function(
        "substring",
        (S, N, N),
        S,
        helper("substring"),
        cost=scan_first_cost,
        bound=shorter_text_bound,
        fails=RANGE_FAILURE,
    ),
    Function("join", (TEXTS,), S, helper("join"), cost=join_cost, bound=join_bound),
    Function("join", (TEXTS, S), S, helper("join"), cost=join_cost, bound=join_bound),
    Function("values", (REPEATED, S), TEXTS, helper("values"), cost=scan_first_cost, bound=values_bound),
    Function("int", (N,), N, SAME, False, bound=first_bound),
    Function("int", (S,), N, helper("int_of_text"), False, scan_first_cost, fails="the text may be no int"),
    Function(
        "int", (t.DOUBLE,), N, helper("int_of_double"), False, fails="the double may be out of an int's range"
    ),
    Function("double", (t.DOUBLE,), t.DOUBLE, SAME, False),
    Function("double", (N,), t.DOUBLE, helper("float"), False),
    Function(
        "double",
        (S,),
        t.DOUBLE,
        helper("double_of_text"),
        False,
        scan_first_cost,
        fails="the text may be no double",
    ),
    Function("bool", (B,), B, SAME, False, bound=constant_bound(BOOL_BOUND)),
    Function(
        "bool",
        (S,),
        B,
        helper("bool_of_text"),
        False,
        scan_first_cost,
        constant_bound(BOOL_BOUND),
        "the text may be no bool",
    ),
    Function("string", (S,), S, SAME, False, bound=first_bound),
    Function("string", (N,), S, helper("str"), False, bound=constant_bound(text_bound(MAX_INT_LENGTH, 1))),
    Function("string", (B,), S, helper("text_of_bool"), False, bound=constant_bound(text_bound(5, 4))),
    Function(
        "string",
        (t.BYTES,),
        S,
        helper("text_of_bytes"),
        False,
        scan_first_cost,
        shorter_text_bound,
        "the bytes may be no UTF-8",
    ),
    Function(
        "string", (t.DURATION,), S, helper("text_of_duration"), False, bound=constant_bound(text_bound(24, 2))
    ),
    Function("string", (I,), S, helper("str"), False, bound=constant_bound(text_bound(45, 2))),
    Function("bytes", (t.BYTES,), t.BYTES, SAME, False, bound=first_bound),
    Function("bytes", (S,), t.BYTES, helper("encode"), False, scan_first_cost, encoded_bound),
    Function("duration", (t.DURATION,), t.DURATION, SAME, False, bound=first_bound),
    Function(
        "duration",
        (S,),
        t.DURATION,
        helper("duration_of_text"),
        False,
        scan_first_cost,
        constant_bound(int_bound(-MAX_DURATION, MAX_DURATION)),
        "the text may be no duration",
    ),
    Function("getHours", (t.DURATION,), N, helper("hours"), bound=units_bound(3_600_000_000)),
    Function("getMinutes", (t.DURATION,), N, helper("minutes"), bound=units_bound(60_000_000)),
    Function("getSeconds", (t.DURATION,), N, helper("seconds"), bound=units_bound(1_000_000)),
    Function("getMilliseconds", (t.DURATION,), N, helper("milliseconds"), bound=units_bound(1_000)),
    Function(
        "ip", (S,), I, helper("ip_of_text"), False, scan_first_cost, fails="the text may be no IP address"
    ),
    Function("isIP", (S,), B, helper("is_ip"), False, scan_first_cost),
    Function("family", (I,), N, helper("family"), bound=constant_bound(int_bound(4, 6))),
    Function("cidr", (S,), t.CIDR, CIDR, False, literal=True),
    Function("containsIP", (t.CIDR, I), B, helper("contains_ip")),
    Function("containsIP", (t.CIDR, S), B, helper("contains_text"), fails="the text may be no IP address"),
    Function(
        "hash", (S,), N, helper("stable_hash"), False, scan_first_cost, constant_bound(int_bound(0, MAX_HASH))
    ),
    Function(
        "hash",
        (t.BYTES,),
        N,
        helper("stable_hash"),
        False,
        scan_first_cost,
        constant_bound(int_bound(0, MAX_HASH)),
    ),
    Function("hex16", (N,), S, helper("hex16"), False, bound=constant_bound(text_bound(16, 16))),
)

# By name, and whether it is a method
BY_NAME: dict[tuple[str, bool], list[Function]] = {}
for _function in FUNCTIONS:
    BY_NAME.setdefault((_function.name, _function.method), []).append(_function)

# Functions of CEL that are left out, and why or what to use in their place
UNSUPPORTED = {
    "timestamp": "a rule must not depend on the time: the same request has the same outcome",
    "uint": "use int",
    "type": "types are known at load",
    "dyn": "there are no dynamic types",
    "getDate": "there are no timestamps",
    "getFullYear": "there are no timestamps",
    "format": "use + and string()",
    "replace": "its result is hard to bound; use split and join",
}


def accepts(declared: t.Type, given: t.Type) -> bool:
    """Whether an argument of one type may be given where a function declares another."""
    if isinstance(declared, t.MapOf) and declared.repeated:
        return isinstance(given, t.MapOf) and given.repeated
    return t.common_type(declared, given) == declared
