"""A tree-walking interpreter of the expression language, written from CEL's definition without the compiler.

It counts its steps by the actual sizes of values.
"""

from __future__ import annotations

import ipaddress
import math
import re
from datetime import timedelta

import xxhash

from stoatrouter.expressions import syntax as s


class Fault(Exception):
    """An error value of CEL."""


class Opt:
    """An optional value of CEL."""

    def __init__(self, *value):
        self.value = value


def total_size(value):
    """Return the size of a value: the length of a string, the sizes of a list's items, or 1."""
    if isinstance(value, str | bytes):
        return max(1, len(value))
    if isinstance(value, list):
        return max(1, sum(total_size(item) for item in value))
    return 1


def tenths(length):
    """Return a tenth of a length, rounded up: the steps for reading it."""
    return -(-length // 10)


class Reference:
    """Evaluates an expression with the values of variables by their dotted names."""

    def __init__(self, variables, folded=()):
        self.variables = variables
        self.folded = folded  # paths of maps whose keys are in lower case
        self.steps = 0

    def of(self, node, scope=None):
        return getattr(self, type(node).__name__)(node, scope or {})

    def step(self, count=1):
        self.steps += count

    def check_bool(self, value):
        assert isinstance(value, bool)
        return value

    def Literal(self, node, scope):  # noqa: N802
        return node.value

    def Name(self, node, scope):  # noqa: N802
        self.step()
        return scope[node.name] if node.name in scope else self.variables[node.name]

    def Select(self, node, scope):  # noqa: N802
        path = s.path_of(node)
        if path in self.variables and path.partition(".")[0] not in scope:
            self.step()
            return self.variables[path]
        return self.lookup(node, node.operand, node.field_name, node.optional, scope)

    def Index(self, node, scope):  # noqa: N802
        return self.lookup(node, node.operand, self.of(node.index, scope), node.optional, scope)

    def lookup(self, node, operand, key, optional, scope):
        items = self.of(operand, scope)
        self.step()
        key = self.fold(operand, node, key)
        exists = key in items if isinstance(items, dict) else 0 <= key < len(items)
        if optional:
            return Opt(items[key]) if exists else Opt()
        if not exists:
            raise Fault("missing")
        return items[key]

    def fold(self, operand, node, key):
        if s.path_of(operand) not in self.folded:
            return key
        literal = isinstance(node, s.Select) or (
            isinstance(node, s.Index) and isinstance(node.index, s.Literal)
        )
        if not literal:
            self.step(1 + tenths(len(key)))
        return key.lower()

    def Logic(self, node, scope):  # noqa: N802
        deciding_value = node.operator == "||"
        fault = None
        for i, term in enumerate(node.terms):
            self.step(1 if i else 0)
            try:
                if self.check_bool(self.of(term, scope)) is deciding_value:
                    return deciding_value
            except Fault as error:
                fault = error
        if fault:
            raise fault
        return not deciding_value

    def Conditional(self, node, scope):  # noqa: N802
        self.step()
        return self.of(node.then if self.check_bool(self.of(node.condition, scope)) else node.other, scope)

    def ListLiteral(self, node, scope):  # noqa: N802
        self.step(10)
        return [self.of(item, scope) for item in node.items]

    def MapLiteral(self, node, scope):  # noqa: N802
        self.step(30)
        return {self.of(key, scope): self.of(value, scope) for key, value in node.items}

    def Call(self, node, scope):  # noqa: N802
        name = node.function
        if name in ("all", "exists", "exists_one", "filter", "map") and node.receiver is not None:
            return self.macro(node, scope)
        if name == "has":
            return self.has(node, scope)
        if name == "try":
            return self.attempt(node, scope)
        if name == "optMap":
            return self.map_optional(node, scope)
        if name == "of" and node.receiver == s.Name(node.at, 1, "optional"):
            self.step()
            return Opt(self.of(node.arguments[0], scope))
        parts = (*((node.receiver,) if node.receiver is not None else ()), *node.arguments)
        given = [self.of(part, scope) for part in parts]
        self.step()
        if name == "values" and s.path_of(node.receiver) in self.folded:
            given[1] = self.fold_argument(node, given[1])
        if name == "in" and s.path_of(node.arguments[1]) in self.folded:
            given[0] = self.fold_argument(node, given[0])
        return OPERATIONS[name](self, *given)

    def has(self, node, scope):
        select = node.arguments[0]
        operand = self.of(select.operand, scope)
        self.step()
        is_folded = s.path_of(select.operand) in self.folded
        return (select.field_name.lower() if is_folded else select.field_name) in operand

    def attempt(self, node, scope):
        """Return the value of an expression as an optional, which is empty if the value is an error."""
        self.step()
        try:
            return Opt(self.of(node.arguments[0], scope))
        except Fault:
            return Opt()

    def map_optional(self, node, scope):
        self.step()
        found = self.of(node.receiver, scope)
        if not found.value:
            return found
        return Opt(self.of(node.arguments[1], {**scope, node.arguments[0].name: found.value[0]}))

    def fold_argument(self, node, key):
        """Return the key in lower case; a key that is not a literal costs steps by its length."""
        if not isinstance(node.arguments[0], s.Literal):
            self.step(1 + tenths(len(key)))
        return key.lower()

    def macro(self, node, scope):
        items = self.of(node.receiver, scope)
        name = node.function
        self.step(1 + len(items) + (10 if name in ("filter", "map") else 0))

        def run(i, item):
            return self.of(node.arguments[i], {**scope, node.arguments[0].name: item})

        if name == "filter":
            return [item for item in items if run(1, item)]
        if name == "map":
            return [run(-1, item) for item in items if len(node.arguments) == 2 or run(1, item)]
        if name == "exists_one":
            return sum([run(1, item) for item in items]) == 1
        deciding_value = name == "exists"
        fault = None
        for item in items:
            try:
                if run(1, item) is deciding_value:
                    return deciding_value
            except Fault as error:
                fault = error
        if fault:
            raise fault
        return not deciding_value

    # -- operations: each counts its steps beyond the first -----------------------------------------------
    def compare(self, a, b, relation):
        self.step(tenths(min(total_size(a), total_size(b))))
        return relation(a, b)

    def plus(self, a, b):
        if isinstance(a, str | bytes | list):
            self.step(tenths(len(a) + len(b)))
            return a + b
        return check_range(a + b)

    def minus(self, a, *b):
        return check_range(a - b[0] if b else -a)

    def divide(self, a, b):
        if isinstance(a, float):
            if b:
                return a / b
            return math.nan if a == 0 or math.isnan(a) else math.copysign(math.inf, a) * math.copysign(1, b)
        if b == 0:
            raise Fault("division")
        if a % b == 0:
            return check_range(math.trunc(a // b))
        sign = -1 if (a < 0) != (b < 0) else 1
        return check_range((abs(a) // abs(b)) * sign)

    def remainder(self, a, b):
        if b == 0:
            raise Fault("modulus")
        return int(math.fmod(a, b)) if abs(a) < 1 << 50 > abs(b) else a - b * self.divide(a, b)

    def is_member(self, a, b):
        if isinstance(b, dict):
            self.step(tenths(len(a)))
            return a in b
        self.step(sum(1 + tenths(min(total_size(a), total_size(item))) for item in b))
        return any(a == item for item in b)

    def charge_length(self, value, length, passes=1):
        self.step(tenths(length) * max(1, passes))
        return value

    def matches(self, text, pattern):
        found = re.search(pattern, text) is not None
        return self.charge_length(found, len(text), -(-len(pattern) // 4))

    def substring(self, text, start, stop=None):
        stop = len(text) if stop is None else stop
        self.charge_length(None, len(text))
        if not 0 <= start <= stop <= len(text):
            raise Fault("range")
        return text[start:stop]

    def join(self, items, between=""):
        text = between.join(items)
        return self.charge_length(text, len(text))

    def split(self, text, separator):
        return self.charge_length(text.split(separator) if separator else [*text], len(text))

    def to_int(self, value):
        if isinstance(value, str):
            self.charge_length(None, len(value))
            if len(value) > 64 or not re.fullmatch("[+-]?[0-9]{1,40}", value):
                raise Fault("int")
            return check_range(int(value))
        if isinstance(value, float) and not -(2.0**63) < value < 2.0**63:
            raise Fault("int")
        return int(value)

    def to_string(self, value):
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value) if not isinstance(value, str) else value

    def or_value(self, found, *other):
        return found.value[0] if found.value else other[0]

    def value(self, found):
        if not found.value:
            raise Fault("none")
        return found.value[0]

    def hashed(self, value):
        data = value.encode() if isinstance(value, str) else value
        return self.charge_length(xxhash.xxh3_64(data).intdigest() // 2, len(value))


def check_range(value):
    """Return a value that is in the range of its type; raises Fault for others."""
    if isinstance(value, int) and not -(1 << 63) <= value < 1 << 63:
        raise Fault("overflow")
    if isinstance(value, timedelta) and abs(value) > timedelta(seconds=315_576_000_000):
        raise Fault("overflow")
    return value


def in_network(self, network, address):
    try:
        return ipaddress.ip_address(str(address)) in network
    except ValueError:
        raise Fault("address") from None


R = Reference
OPERATIONS = {
    "==": lambda r, a, b: r.compare(a, b, lambda x, y: x == y),
    "!=": lambda r, a, b: r.compare(a, b, lambda x, y: x != y),
    "<": lambda r, a, b: r.compare(a, b, lambda x, y: x < y),
    "<=": lambda r, a, b: r.compare(a, b, lambda x, y: x <= y),
    ">": lambda r, a, b: r.compare(a, b, lambda x, y: x > y),
    ">=": lambda r, a, b: r.compare(a, b, lambda x, y: x >= y),
    "+": R.plus,
    "-": R.minus,
    "*": lambda r, a, b: check_range(a * b),
    "/": R.divide,
    "%": R.remainder,
    "in": R.is_member,
    "!": lambda r, a: not a,
    "size": lambda r, a: len(a),
    "matches": R.matches,
    "substring": R.substring,
    "startsWith": lambda r, a, b: r.charge_length(a.startswith(b), len(b)),
    "join": R.join,
    "split": R.split,
    "endsWith": lambda r, a, b: r.charge_length(a.endswith(b), len(b)),
    "int": R.to_int,
    "string": R.to_string,
    "contains": lambda r, a, b: r.charge_length(a.find(b) >= 0, len(a), tenths(len(b))),
    "indexOf": lambda r, a, b: r.charge_length(a.find(b), len(a), tenths(len(b))),
    "lowerAscii": lambda r, a: r.charge_length("".join(c.lower() if c.isascii() else c for c in a), len(a)),
    "upperAscii": lambda r, a: r.charge_length("".join(c.upper() if c.isascii() else c for c in a), len(a)),
    "trim": lambda r, a: r.charge_length(a.strip(" \t\n\v\f\r\x85\xa0\u3000"), len(a)),
    "hash": R.hashed,
    "hex16": lambda r, a: f"{a % (1 << 64):016x}",
    "double": lambda r, a: float(a),
    "orValue": R.or_value,
    "or": lambda r, a, b: a if a.value else b,
    "value": R.value,
    "hasValue": lambda r, a: bool(a.value),
    "containsIP": in_network,
    "family": lambda r, a: a.version,
    "cidr": lambda r, a: ipaddress.ip_network(a),
    "values": lambda r, a, b: r.charge_length(list(a.lists.get(b, (a[b],) if b in a else ())), len(a)),
    "duration": lambda r, a: timedelta(seconds=float(a[:-1])),
    "bytes": lambda r, a: r.charge_length(a.encode(), len(a)),
    "getSeconds": lambda r, a: math.trunc(a / timedelta(seconds=1)),
}
