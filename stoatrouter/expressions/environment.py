"""The inputs that an expression may refer to, with their types and the bounds that are enforced on them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoatrouter.expressions import types as t
from stoatrouter.expressions.bounds import ANY, Bound


@dataclass(slots=True, frozen=True)
class Variable:
    """One input. `attribute` is the attribute of the object of inputs that holds its value.

    The caller must keep inputs within `bound`, as costs and sizes are computed from it.
    """

    type: t.Type
    attribute: str
    bound: Bound = ANY


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one expression.

    Attributes:
        max_steps: The steps in the worst case, in cel-go's cost units (see `bounds`).
        max_result_size: The code points, bytes and scalars of the result.
        max_value_size: The code points, bytes and scalars of any intermediate value.
    """

    max_steps: int = 20_000
    max_result_size: int = 16_384
    max_value_size: int = 262_144


@dataclass(slots=True, frozen=True)
class Environment:
    """The inputs by their dotted names; `prefixes` are names such as `request` that only group others."""

    variables: Mapping[str, Variable]
    prefixes: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        """Compute the prefixes, such as `request` for `request.path`."""
        above = {name[:i] for name in self.variables for i, c in enumerate(name) if c == "."}
        object.__setattr__(self, "prefixes", frozenset(above))

    def top_names(self) -> set[str]:
        """Return the first parts of all names."""
        return {name.partition(".")[0] for name in self.variables}

    def fields_below(self, prefix: str) -> list[str]:
        """Return the names directly below a prefix, sorted."""
        return sorted(
            {
                name[len(prefix) + 1 :].partition(".")[0]
                for name in self.variables
                if name.startswith(prefix + ".")
            }
        )
