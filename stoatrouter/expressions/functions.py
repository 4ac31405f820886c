"""The functions of the language, as data: types, costs, bounds of values, and why a call may fail.

Names and semantics are those of cel-spec and of cel-go's ext/strings, for networks those of Kubernetes' CEL
library; `hash`, `hex16` and `values` are additions of this project. Costs are cel-go's (see `bounds`).
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

Bounds = Sequence[Bound]  # the bounds of all arguments of a call
MAX_HASH = (1 << 63) - 1
MAX_UTF8_BYTES = 4  # bytes of one code point
RANGE_FAILURE = "the range may exceed the string"


class Target(Enum):
    """What a call is compiled to."""

    METHOD = auto()  # a method of the first argument
    HELPER = auto()  # a builtin, or a function of runtime.py or conversions.py
    PREPARED = auto()  # a function prepared at load, called with the first argument
    CONSTANT = auto()  # a constant prepared at load
    CONTAINS = auto()  # the `in` operator of Python
    SAME = auto()  # the argument itself


class Emission(NamedTuple):
    """The target of a call, and the name of the method, helper or prepared object."""

    target: Target
    name: str


def method(name: str) -> Emission:
    """Return the emission of a method of the first argument."""
    return Emission(Target.METHOD, name)


def helper(name: str) -> Emission:
    """Return the emission of a builtin, or of a function of runtime.py or conversions.py."""
    return Emission(Target.HELPER, name)


SAME = Emission(Target.SAME, "same")
CONTAINS = Emission(Target.CONTAINS, "contains")
MATCHES = Emission(Target.PREPARED, "matches")
CIDR = Emission(Target.CONSTANT, "cidr")


# -- costs --------------------------------------------------------------------------------------------------
def constant_cost(given: Bounds) -> int:
    """Return the cost of a call that scans none of its arguments."""
    return 1


def scan_first_cost(given: Bounds) -> int:
    """Return the cost of scanning the first argument."""
    return 1 + scan_steps(given[0].length)


def scan_second_cost(given: Bounds) -> int:
    """Return the cost of scanning the second argument."""
    return 1 + scan_steps(given[1].length)


def search_cost(given: Bounds) -> int:
    """Return the cost of searching for the second argument in the first."""
    return 1 + scan_steps(given[0].length) * max(1, scan_steps(given[1].length))


def match_cost(given: Bounds) -> int:
    """Return cel-go's estimate: a tenth of the string length times a quarter of the pattern length."""
    return 1 + scan_steps(given[0].length) * max(1, -(-given[1].length // 4))


def join_cost(given: Bounds) -> int:
    """Return the cost of building the joined string."""
    return 1 + scan_steps(join_bound(given).length)


# -- bounds -------------------------------------------------------------------------------------------------
def constant_bound(bound: Bound) -> Callable[[Bounds], Bound]:
    """Return a function that yields this bound for any arguments."""
    return lambda given: bound


def first_bound(given: Bounds) -> Bound:
    """Return the bound of the first argument."""
    return given[0]


def shorter_text_bound(given: Bounds) -> Bound:
    """Return the bound of a string that is no longer than the first argument."""
    return text_bound(given[0].length)


def index_bound(given: Bounds) -> Bound:
    """Return the bound of a position in the first argument, or -1."""
    return int_bound(-1, given[0].length)


def split_bound(given: Bounds) -> Bound:
    """Return the bound of split(): one piece more than characters, together no longer than the string."""
    return list_bound(given[0].length + 1, text_bound(given[0].length), max_total=given[0].length + 1)


def limited_split_bound(given: Bounds) -> Bound:
    """Return the bound of split() with a limit, the third argument; a negative one is no limit."""
    max_pieces = given[0].length + 1
    if given[2].low >= 0:
        max_pieces = min(max_pieces, max(0, given[2].high))
    return list_bound(max_pieces, text_bound(given[0].length), max_total=given[0].length + 1)


def join_bound(given: Bounds) -> Bound:
    """Return the bound of join(): the length of all elements, with a separator after each."""
    inner = given[0].inner or ANY
    between = given[1].length if len(given) > 1 else 0
    return text_bound(given[0].length * (inner.length + between))


def values_bound(given: Bounds) -> Bound:
    """Return the bound of values(): one for each field, together no longer than the joined value."""
    inner = given[0].inner or ANY
    return list_bound(given[0].length, inner, max_total=max(given[0].length, inner.length))


def encoded_bound(given: Bounds) -> Bound:
    """Return the bound of the UTF-8 encoding of a string."""
    return Bound(given[0].length * MAX_UTF8_BYTES)


def units_bound(micros: int) -> Callable[[Bounds], Bound]:
    """Return a function that yields the bound of a duration in whole units of this many microseconds."""
    return constant_bound(int_bound(-MAX_DURATION // micros, MAX_DURATION // micros))


@dataclass(slots=True, frozen=True)
class Function:
    """One overload of a function. The receiver of a method is its first argument.

    Attributes:
        name: The name in CEL.
        arguments: The types of the arguments.
        result: The type of the value.
        emission: What a call is compiled to.
        method: Whether the function is called as a method of its first argument.
        cost: Returns the steps of a call from the bounds of the arguments.
        bound: Returns the bound of the value from the bounds of the arguments.
        fails: Why a call may fail; empty if it cannot.
        literal: Whether the last argument must be a literal, from which an object is prepared at load.
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


S, N, B, I = t.STRING, t.INT, t.BOOL, t.IP  # noqa: E741 - short names keep the table narrow
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
    Function(
        "int", (S,), N, helper("int_of_text"), False, scan_first_cost, fails="the string might not be an int"
    ),
    Function(
        "int",
        (t.DOUBLE,),
        N,
        helper("int_of_double"),
        False,
        fails="the double may be out of the range of int",
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
        fails="the string might not be a double",
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
        "the string might not be a bool",
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
        "the bytes might not be valid UTF-8",
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
        "the string might not be a duration",
    ),
    Function("getHours", (t.DURATION,), N, helper("hours"), bound=units_bound(3_600_000_000)),
    Function("getMinutes", (t.DURATION,), N, helper("minutes"), bound=units_bound(60_000_000)),
    Function("getSeconds", (t.DURATION,), N, helper("seconds"), bound=units_bound(1_000_000)),
    Function("getMilliseconds", (t.DURATION,), N, helper("milliseconds"), bound=units_bound(1_000)),
    Function(
        "ip",
        (S,),
        I,
        helper("ip_of_text"),
        False,
        scan_first_cost,
        fails="the string might not be an IP address",
    ),
    Function("isIP", (S,), B, helper("is_ip"), False, scan_first_cost),
    Function("family", (I,), N, helper("family"), bound=constant_bound(int_bound(4, 6))),
    Function("cidr", (S,), t.CIDR, CIDR, False, literal=True),
    Function("containsIP", (t.CIDR, I), B, helper("contains_ip")),
    Function(
        "containsIP", (t.CIDR, S), B, helper("contains_text"), fails="the string might not be an IP address"
    ),
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

# Overloads by name, and whether they are methods
BY_NAME: dict[tuple[str, bool], list[Function]] = {}
for _function in FUNCTIONS:
    BY_NAME.setdefault((_function.name, _function.method), []).append(_function)

# Unsupported functions of CEL, and the reason or a replacement
UNSUPPORTED = {
    "timestamp": "a rule must not depend on the time: the same request must have the same outcome",
    "uint": "use int",
    "type": "types are known at load",
    "dyn": "there are no dynamic types",
    "getDate": "there are no timestamps",
    "getFullYear": "there are no timestamps",
    "format": "use + and string()",
    "replace": "the size of its result is hard to bound; use split and join",
}


def accepts(declared: t.Type, given: t.Type) -> bool:
    """Return whether a parameter of a declared type accepts an argument of a given type."""
    if isinstance(declared, t.MapOf) and declared.repeated:
        return isinstance(given, t.MapOf) and given.repeated
    return t.common_type(declared, given) == declared
