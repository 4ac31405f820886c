"""What an expression may refer to: inputs by name, with their types and the bounds enforced on them."""

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
    """What one expression may take.

    Attributes:
        steps: The steps in the worst case, in cel-go's units (see `bounds`).
        result: The code points, bytes and scalars of its value.
        largest: The same, of any value on the way.
    """

    max_steps: int = 20_000
    max_result_size: int = 16_384
    max_value_size: int = 262_144


@dataclass(slots=True, frozen=True)
class Environment:
    """The inputs by their dotted names; `prefixes` are the names that stand above others alone."""

    variables: Mapping[str, Variable]
    prefixes: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        """Compute the prefixes: `request` of `request.path`."""
        above = {name[:i] for name in self.variables for i, c in enumerate(name) if c == "."}
        object.__setattr__(self, "prefixes", frozenset(above))

    def top_names(self) -> set[str]:
        """The first parts of all names."""
        return {name.partition(".")[0] for name in self.variables}

    def fields_below(self, prefix: str) -> list[str]:
        """The names right below a prefix, sorted."""
        return sorted(
            {
                name[len(prefix) + 1 :].partition(".")[0]
                for name in self.variables
                if name.startswith(prefix + ".")
            }
        )
