"""Values during an evaluation: the conjuncts of each field and the scopes in which names are looked up.

Vertex, arc and conjunct are terms of CUE's own evaluator.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from stoatrouter.settings import syntax as s
from stoatrouter.settings.constraints import Constraints
from stoatrouter.settings.errors import Fault

Label = str | int
IDENTIFIER = re.compile(r"[#_]*[A-Za-z$][A-Za-z0-9_$]*")


@dataclass(slots=True, eq=False)
class Scope:
    """A struct in which names are looked up, and the enclosing scope."""

    up: Scope | None
    vertex: Vertex
    names: frozenset[str]
    imports: Mapping[str, Vertex] = field(default_factory=dict)


@dataclass(slots=True, frozen=True, eq=False)
class Conjunct:
    """One constraint on a value; `closing_ids` identify the uses of definitions that it comes from."""

    node: s.Node
    scope: Scope
    closing_ids: frozenset[int] = frozenset()


@dataclass(slots=True, eq=False)
class AllowedFields:
    """The fields that one use of a definition allows in a struct."""

    labels: set[str] = field(default_factory=set)
    patterns: list[tuple[s.Node, Scope]] = field(default_factory=list)
    open: bool = False


# The slots of a vertex that are filled on first use, with the types of their contents
LAZY_SLOTS: dict[str, type] = {
    "arcs": dict,
    "optional": dict,
    "marks": dict,
    "disjunctions": list,
    "allowed": dict,
    "patterns": list,
    "lists": list,
    "faults": list,
}


class Vertex:
    """The value of a field, which unifies all conjuncts on it."""

    __slots__ = (
        "label",
        "up",
        "conjuncts",
        "arcs",
        "family",
        "optional",
        "marks",
        "expanded",
        "expanding",
        "constraints",
        "disjunctions",
        "allowed",
        "patterns",
        "lists",
        "faults",
        "chosen",
        "depth",
    )

    def __init__(self, label: Label, up: Vertex | None) -> None:
        """Create a vertex without conjuncts; the root of a file has an empty label and no vertex above it."""
        self.label = label
        self.up = up
        # all vertices of one evaluation: they refer to each other and are released together
        self.family: list[Vertex] = [] if up is None else up.family
        self.family.append(self)
        if isinstance(label, int):
            self.family = [self]  # an element of a list is released once it has been exported
        self.depth: int = 0 if up is None else up.depth + 1
        self.conjuncts: list[Conjunct] = []
        self.constraints = Constraints()
        self.expanded = False
        self.expanding = False
        self.chosen: Vertex | None = None

    if TYPE_CHECKING:
        arcs: dict[Label, Vertex]
        optional: dict[Label, list[Conjunct]]  # conjuncts on optional fields that do not exist yet
        marks: dict[Label, str]
        disjunctions: list[Conjunct]
        allowed: dict[int, AllowedFields]
        patterns: list[tuple[s.Pattern, Conjunct, Scope]]
        lists: list[tuple[s.ListLiteral, Conjunct]]
        faults: list[Fault]

    def __getattr__(self, name: str) -> Any:
        """Fill a lazy slot. Most vertices are scalars and never need these slots, which saves memory."""
        content = LAZY_SLOTS[name]()
        setattr(self, name, content)
        return content

    @property
    def path(self) -> str:
        """Return the path of the field from the top of the file, such as `scopes.app.rules[2]`."""
        if self.up is None:
            return ""
        above = self.up.path
        if isinstance(self.label, int):
            return f"{above}[{self.label}]"
        name = self.label if IDENTIFIER.fullmatch(self.label) else f'"{self.label}"'
        return f"{above}.{name}" if above else name

    @property
    def at(self) -> s.Place:
        """Return the place of the value: in an operator's file if one sets it, else in the schema."""
        places = [conjunct.node.at for conjunct in self.conjuncts]
        own = [place for place in places if not place.in_schema]
        return (own or places or [s.Place("", 0)])[0]

    def arc(self, label: Label) -> Vertex:
        """Return the vertex of a field or element; create it if it does not exist."""
        arc = self.arcs.get(label)
        if arc is None:
            arc = self.arcs[label] = Vertex(label, self)
            arc.conjuncts = self.optional.pop(label, arc.conjuncts)
        return arc

    def release(self) -> None:
        """Drop all references.

        Vertices refer to each other, so that only the garbage collector would free them, which would stop a
        serving head for a second after a large file.
        """
        family, self.family = self.family, []
        for vertex in family:
            if vertex is not self and vertex.family is not family:
                vertex.release()
            vertex.up = None
            vertex.chosen = None
            vertex.conjuncts.clear()
            for name in LAZY_SLOTS:
                if name != "faults":
                    getattr(vertex, name).clear()
            vertex.family = []


def is_hidden(label: Label) -> bool:
    """Return whether a field is a definition or hidden, and so exempt from closedness and export."""
    return isinstance(label, str) and label.startswith(s.HIDDEN)
