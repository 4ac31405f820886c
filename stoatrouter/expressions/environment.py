"""What an expression may refer to: inputs by name, with their types and the bounds that are
enforced on them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoatrouter.expressions import types as t
from stoatrouter.expressions.bounds import ANY, Bound


@dataclass(slots=True, frozen=True)
class Variable:
    """One input. `attribute` is where the compiled expression finds it on the object that it is given.

    Whoever evaluates must keep inputs within `bound`: costs and sizes are computed from it.
    """

    type: t.Type
    attribute: str
    bound: Bound = ANY


@dataclass(slots=True, frozen=True)
class Limits:
    """What one expression may take."""

    steps: int = 20_000  # in the worst case, in cel-go's units
    result: int = 16_384  # code points, bytes and scalars of its value
    largest: int = 262_144  # the same, of any value on the way


@dataclass(slots=True, frozen=True)
class Environment:
    """The inputs by their dotted names."""

    variables: Mapping[str, Variable]
    prefixes: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        above = {name[:i] for name in self.variables for i, c in enumerate(name) if c == "."}
        object.__setattr__(self, "prefixes", frozenset(above))

    def fields_below(self, prefix: str) -> list[str]:
        """The names right below a prefix."""
        return sorted(
            {
                name[len(prefix) + 1 :].partition(".")[0]
                for name in self.variables
                if name.startswith(prefix + ".")
            }
        )
