"""Unification of settings files with each other and with the schema that the program ships, by CUE's rules.

As in CUE, a field's value is all that is said of it anywhere, taken together: a vertex collects conjuncts,
each with the scope in which its names are looked up. Definitions (#Name) are closed: what they do not allow
is wrong.
Everything that is wrong is collected, with the place in the operator's file.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from stoatrouter.settings import syntax as s
from stoatrouter.settings.constraints import KINDS, Constraints, kind_of
from stoatrouter.settings.errors import Wrong

DEEPEST = 60  # vertices below each other; deeper ones are a definition within itself
MOST_ALTERNATIVES = 64  # combinations of alternatives that are tried for one field
BUILT_IN = frozenset(KINDS)
Label = str | int
STRENGTH = ("", "!", "?")  # marks of a field: the strongest that is said holds


@dataclass(slots=True, eq=False)
class Scope:
    """Where names are looked up: the struct that they stand in, and what is around it."""

    up: Scope | None
    vertex: Vertex
    names: frozenset[str]
    imports: Mapping[str, Vertex] = field(default_factory=dict)


@dataclass(slots=True, frozen=True, eq=False)
class Conjunct:
    """One thing that is said of a value. `closers` are the definitions by which it is said."""

    node: s.Node
    scope: Scope
    closers: frozenset[int] = frozenset()


@dataclass(slots=True, eq=False)
class Allowed:
    """What a definition allows in a struct."""

    labels: set[str] = field(default_factory=set)
    patterns: list[tuple[s.Node, Scope]] = field(default_factory=list)
    open: bool = False


EMPTY: dict[str, type] = {
    "arcs": dict,
    "optional": dict,
    "marks": dict,
    "disjunctions": list,
    "allowed": dict,
    "patterns": list,
    "lists": list,
    "wrongs": list,
}


class Vertex:
    """A field's value, from all that is said of it."""

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
        "wrongs",
        "chosen",
        "depth",
    )

    def __init__(self, label: Label, up: Vertex | None) -> None:
        self.label, self.up = label, up
        # all vertices of one evaluation: they refer to each other, and are let go together
        self.family: list[Vertex] = [] if up is None else up.family
        self.family.append(self)
        if isinstance(label, int):
            self.family = [self]  # an element of a list is let go once it has been taken out
        self.depth = 0 if up is None else up.depth + 1
        self.conjuncts: list[Conjunct] = []
        self.constraints = Constraints()
        self.expanded = self.expanding = False
        self.chosen: Vertex | None = None

    if TYPE_CHECKING:
        arcs: dict[Label, Vertex]
        optional: dict[Label, list[Conjunct]]  # said of fields that are not there so far
        marks: dict[Label, str]
        disjunctions: list[Conjunct]
        allowed: dict[int, Allowed]
        patterns: list[tuple[s.Pattern, Conjunct, Scope]]
        lists: list[tuple[s.ListOf, Conjunct]]
        wrongs: list[Wrong]

    def __getattr__(self, name: str) -> Any:
        # only called for a slot that is not filled yet: most vertices are scalars, and have none of these
        made = EMPTY[name]()
        setattr(self, name, made)
        return made

    @property
    def path(self) -> str:
        if self.up is None:
            return ""
        above = self.up.path
        if isinstance(self.label, int):
            return f"{above}[{self.label}]"
        name = self.label if re.fullmatch(r"[#_]*[A-Za-z$][A-Za-z0-9_$]*", self.label) else f'"{self.label}"'
        return f"{above}.{name}" if above else name

    def arc(self, label: Label) -> Vertex:
        made = self.arcs.get(label)
        if made is None:
            made = self.arcs[label] = Vertex(label, self)
            made.conjuncts = self.optional.pop(label, made.conjuncts)
        return made

    def release(self) -> None:
        """Let go of everything. Guards a serving head: what refers to itself would be left to the garbage
        collector, which would stand still for a second after a large file."""
        family, self.family = self.family, []
        for vertex in family:
            if vertex is not self and vertex.family is not family:
                vertex.release()
            vertex.up = vertex.chosen = None
            vertex.conjuncts.clear()
            for name in EMPTY:
                if name != "wrongs":
                    getattr(vertex, name).clear()
            vertex.family = []

    @property
    def at(self) -> s.Place:
        """Where the value stands: in an operator's file before the schema's."""
        places = [c.node.at for c in self.conjuncts]
        own = [p for p in places if not p.file.startswith("<")]
        return (own or places or [s.Place("", 0)])[0]


class Evaluation:
    """One evaluation. Vertices are expanded when they are asked for."""

    def __init__(self) -> None:
        self.closings = 0

    # -- from conjuncts to arcs and constraints -----------------------------------------------------------
    def expand(self, vertex: Vertex) -> None:
        """Work out what is said of a vertex itself; of its arcs only what is said of them from here."""
        if vertex.expanded or vertex.expanding:
            return
        if vertex.depth > DEEPEST:
            vertex.wrongs.append(
                Wrong(
                    vertex.at,
                    vertex.path[:60],
                    "a definition holds itself, without end",
                    "make its field optional",
                )
            )
            vertex.expanded = True
            return
        vertex.expanding = True
        waiting, seen = list(vertex.conjuncts), {id(vertex)}
        while waiting:
            self.take(vertex, waiting.pop(0), waiting, seen)
        if vertex.constraints.may_hold:
            self.elements(vertex)
            self.by_pattern(vertex)
            self.closed(vertex)
        vertex.expanded, vertex.expanding = True, False

    def take(self, vertex: Vertex, conjunct: Conjunct, waiting: list[Conjunct], seen: set[int]) -> None:
        node = conjunct.node
        match node:
            case s.Unified():
                waiting += [Conjunct(part, conjunct.scope, conjunct.closers) for part in node.parts]
            case s.Struct():
                self.struct(vertex, node, conjunct)
            case s.ListOf():
                vertex.lists.append((node, conjunct))
                vertex.constraints.kind("list", node.at, vertex.wrongs, vertex)
            case s.Disjunction():
                vertex.disjunctions.append(conjunct)
            case s.Atom():
                vertex.constraints.atom(node.value, node.at, vertex.wrongs, vertex)
            case s.BoundOf():
                operand = self.bound_operand(vertex, node, conjunct)
                if operand is not None:
                    vertex.constraints.bound(node.operator, operand.value, node.at, vertex.wrongs, vertex)
            case s.Reference():
                self.reference(vertex, node, conjunct, waiting, seen)

    def bound_operand(self, vertex: Vertex, node: s.BoundOf, conjunct: Conjunct) -> s.Atom | None:
        if isinstance(node.operand, s.Atom):
            return node.operand
        if isinstance(node.operand, s.Reference):
            found = self.resolve(vertex, node.operand, conjunct.scope)
            if isinstance(found, Vertex):
                self.expand(found)
                if found.constraints.is_concrete:
                    return s.Atom(node.at, found.constraints.value)
        vertex.wrongs.append(Wrong(node.at, vertex.path, f"{node.operator} wants a number or a string"))
        return None

    def struct(self, vertex: Vertex, node: s.Struct, conjunct: Conjunct) -> None:
        vertex.constraints.kind("struct", node.at, vertex.wrongs, vertex)
        scope = Scope(conjunct.scope, vertex, frozenset(f.label for f in node.fields), conjunct.scope.imports)
        for given in node.fields:
            said = Conjunct(given.value, scope, conjunct.closers)
            if given.mark == "?" and given.label not in vertex.arcs:
                vertex.optional.setdefault(given.label, []).append(said)
                continue
            vertex.arc(given.label).conjuncts.append(said)
            before = vertex.marks.get(given.label, "?")
            vertex.marks[given.label] = STRENGTH[min(STRENGTH.index(before), STRENGTH.index(given.mark))]
        vertex.patterns += [(pattern, conjunct, scope) for pattern in node.patterns]
        for closer in conjunct.closers:
            allowed = vertex.allowed.setdefault(closer, Allowed())
            allowed.labels.update(f.label for f in node.fields)
            allowed.patterns += [(pattern.label, scope) for pattern in node.patterns]
            allowed.open = allowed.open or node.open

    def reference(
        self, vertex: Vertex, node: s.Reference, conjunct: Conjunct, waiting: list[Conjunct], seen: set[int]
    ) -> None:
        found = self.resolve(vertex, node, conjunct.scope)
        if found is None:
            return
        if isinstance(found, str):
            vertex.constraints.kind(found, node.at, vertex.wrongs, vertex)
            return
        if id(found) in seen:
            return  # x: x says nothing of x
        seen.add(id(found))
        closers = conjunct.closers
        if any(name.lstrip("_").startswith("#") for name in (node.name, *node.path)):
            self.closings += 1
            closers = closers | {self.closings}
        waiting += [Conjunct(c.node, c.scope, c.closers | closers) for c in found.conjuncts]

    def resolve(self, vertex: Vertex, node: s.Reference, scope: Scope) -> Vertex | str | None:
        """What a name stands for: a vertex, or a built-in kind."""
        at: Scope | None = scope
        while at is not None and node.name not in at.names:
            at = at.up
        if at is not None:
            found = at.vertex.arc(node.name)
        elif node.name in scope.imports:
            found = scope.imports[node.name]
        elif node.name in BUILT_IN and not node.path:
            return node.name
        else:
            vertex.wrongs.append(
                Wrong(
                    node.at, vertex.path, f"there is nothing named {node.name!r}", "a text stands in quotes"
                )
            )
            return None
        for name in node.path:
            self.expand(found)
            inner = found.chosen or found
            if name not in inner.arcs:
                vertex.wrongs.append(
                    Wrong(node.at, vertex.path, f"{found.path or node.name!r} has no field {name!r}")
                )
                return None
            found = inner.arcs[name]
        return found

    def elements(self, vertex: Vertex) -> None:
        """Lists, element by element."""
        if not vertex.lists:
            return
        longest = max(len(node.items) for node, _ in vertex.lists)
        for node, conjunct in vertex.lists:
            if len(node.items) < longest and not node.open:
                vertex.wrongs.append(
                    Wrong(
                        vertex.at, vertex.path, f"a list of {longest} elements, {len(node.items)} are allowed"
                    )
                )
            for i in range(longest):
                if i < len(node.items):
                    vertex.arc(i).conjuncts.append(Conjunct(node.items[i], conjunct.scope, conjunct.closers))
                elif node.rest is not None:
                    vertex.arc(i).conjuncts.append(Conjunct(node.rest, conjunct.scope, conjunct.closers))
            for i in range(longest):
                vertex.marks[i] = ""

    def by_pattern(self, vertex: Vertex) -> None:
        """What patterns say of the fields whose names they match."""
        for pattern, conjunct, scope in vertex.patterns:
            for label, arc in vertex.arcs.items():
                if (
                    isinstance(label, str)
                    and label[:1] not in "#_"
                    and self.matches(pattern.label, scope, label)
                ):
                    arc.conjuncts.append(Conjunct(pattern.value, scope, conjunct.closers))

    def matches(self, pattern: s.Node, scope: Scope, label: str) -> bool:
        """Whether a field's name unifies with a pattern."""
        probe = Vertex("", None)
        probe.conjuncts = [Conjunct(s.Atom(pattern.at, label), scope), Conjunct(pattern, scope)]
        self.expand(probe)
        fits = not probe.wrongs and not self.choose(probe).wrongs
        probe.release()
        return fits

    def closed(self, vertex: Vertex) -> None:
        """Fields that a definition does not allow."""
        for label, arc in vertex.arcs.items():
            if not isinstance(label, str) or label[:1] in "#_" or vertex.marks.get(label) == "?":
                continue
            for allowed in vertex.allowed.values():
                if (
                    allowed.open
                    or label in allowed.labels
                    or any(self.matches(pattern, scope, label) for pattern, scope in allowed.patterns)
                ):
                    continue
                known = ", ".join(sorted(name for name in allowed.labels if name[:1] not in "#_"))
                vertex.wrongs.append(Wrong(arc.at, arc.path, "there is no such field", f"there is: {known}"))
                break

    # -- alternatives -------------------------------------------------------------------------------------
    def choose(self, vertex: Vertex) -> Vertex:
        """The vertex with its alternatives decided: the one that fits, or of several the default."""
        if vertex.chosen is not None:
            return vertex.chosen
        self.expand(vertex)
        if not vertex.disjunctions or vertex.wrongs:
            vertex.chosen = vertex
            return vertex
        fitting = [
            (default, made) for default, made in self.combinations(vertex) if not self.all_wrongs(made)
        ]
        if not fitting:
            vertex.wrongs += self.unfit(vertex)
            vertex.chosen = vertex
            return vertex
        preferred = [made for default, made in fitting if default] or [made for _, made in fitting]
        if len({repr(plain(self, made)) for made in preferred}) > 1:
            if not any(said_by_operator(c) for c in vertex.conjuncts):
                vertex.wrongs.append(
                    Wrong(
                        vertex.up.at if vertex.up else vertex.at,
                        vertex.path,
                        "has no value",
                        f"allowed: {described(vertex)}",
                    )
                )
            else:
                vertex.wrongs.append(
                    Wrong(
                        vertex.at,
                        vertex.path,
                        "more than one alternative fits",
                        f"allowed: {described(vertex)}",
                    )
                )
            vertex.chosen = vertex
            return vertex
        vertex.chosen = preferred[0]
        return vertex.chosen

    def combinations(self, vertex: Vertex) -> Iterator[tuple[bool, Vertex]]:
        """The vertex with each alternative, and whether defaults alone were taken."""
        pending: list[tuple[bool, list[Conjunct]]] = [(True, [])]
        for conjunct in vertex.disjunctions:
            node = conjunct.node
            assert isinstance(node, s.Disjunction)
            marked = any(default for default, _ in node.parts)
            pending = [
                (
                    is_default and (default or not marked),
                    [*taken, Conjunct(part, conjunct.scope, conjunct.closers)],
                )
                for is_default, taken in pending
                for default, part in node.parts
                if self.plausible(vertex, part)
            ][:MOST_ALTERNATIVES]
        rest = self.without_disjunctions(vertex)
        for is_default, taken in pending:
            made = Vertex(vertex.label, vertex.up)
            made.conjuncts = [*rest, *taken]
            yield is_default, self.choose(made)

    def plausible(self, vertex: Vertex, part: s.Node) -> bool:
        """Whether an alternative may fit, by its kind alone: most do not, and need not be tried."""
        kind = kind_of(part)
        return kind is None or vertex.constraints.may_be(kind)

    def without_disjunctions(self, vertex: Vertex) -> list[Conjunct]:
        """All that is said of a vertex but its alternatives, with references followed."""
        kept: list[Conjunct] = []
        waiting, seen = list(vertex.conjuncts), {id(vertex)}
        while waiting:
            conjunct = waiting.pop(0)
            if isinstance(conjunct.node, s.Unified):
                waiting += [Conjunct(part, conjunct.scope, conjunct.closers) for part in conjunct.node.parts]
            elif isinstance(conjunct.node, s.Reference) and conjunct.node.name not in BUILT_IN:
                self.reference(Vertex(vertex.label, vertex.up), conjunct.node, conjunct, waiting, seen)
            elif not isinstance(conjunct.node, s.Disjunction):
                kept.append(conjunct)
        return kept

    def unfit(self, vertex: Vertex) -> list[Wrong]:
        """No alternative fits: said for the one that is nearest, where one is wrong further down alone."""
        near = [self.all_wrongs(made) for _, made in self.combinations(vertex)]
        deeper = [wrongs for wrongs in near if all(wrong.path != vertex.path for wrong in wrongs)]
        if len(deeper) == 1:
            return deeper[0]
        return [Wrong(vertex.at, vertex.path, f"found {found(vertex)}", f"allowed: {described(vertex)}")]

    # -- what is wrong, and what comes out ----------------------------------------------------------------
    def all_wrongs(self, vertex: Vertex) -> list[Wrong]:
        """Everything that is wrong with a vertex and below it."""
        made = self.choose(vertex)
        wrongs = [*vertex.wrongs, *(made.wrongs if made is not vertex else ())]
        if made.constraints.is_struct or made.lists:
            said = {wrong.path for wrong in wrongs}
            for label, arc in list(made.arcs.items()):
                mark = made.marks.get(label, "")
                hidden = isinstance(label, str) and label[:1] in "#_"
                if mark == "?" or hidden or (said and arc.path in said):
                    continue
                if mark == "!":
                    wrongs.append(Wrong(made.at, arc.path, "is missing", f"allowed: {described(arc)}"))
                    continue
                wrongs += self.all_wrongs(arc)
        elif not wrongs and not made.constraints.is_concrete:
            owner = vertex.up.at if vertex.up is not None else vertex.at
            place = vertex.at if said_here(vertex) else owner
            wrongs.append(Wrong(place, vertex.path, "has no value", f"allowed: {described(vertex)}"))
        return wrongs

    def finish(self, vertex: Vertex, places: dict[str, s.Place]) -> tuple[list[Wrong], Any]:
        """Everything that is wrong with a vertex, and its plain data where nothing is. Elements of lists are
        let go one by one: a file of many rules needs the memory of one."""
        made = self.choose(vertex)
        wrongs = [*vertex.wrongs, *(made.wrongs if made is not vertex else ())]
        places[vertex.path] = vertex.at
        if not (made.constraints.is_struct or made.lists):
            return (wrongs or self.all_wrongs(vertex)), made.constraints.value
        said = {wrong.path for wrong in wrongs}
        fields: dict[Any, Any] = {}
        for label, arc in list(made.arcs.items()):
            mark = made.marks.get(label, "")
            hidden = isinstance(label, str) and label[:1] in "#_"
            if mark == "?" or hidden or (said and arc.path in said):
                continue
            if mark == "!":
                wrongs.append(Wrong(made.at, arc.path, "is missing", f"allowed: {described(arc)}"))
                continue
            more, fields[label] = self.finish(arc, places)
            wrongs += more
            if isinstance(label, int):
                arc.release()
        if made.lists:
            return wrongs, [fields[i] for i in sorted(fields)]
        return wrongs, fields

    def export(self, vertex: Vertex, places: dict[str, s.Place]) -> Any:
        """The plain data of a vertex in which nothing is wrong; fills in where each path stands."""
        made = self.choose(vertex)
        places[vertex.path] = vertex.at
        if made.constraints.is_struct:
            return {
                label: self.export(arc, places)
                for label, arc in made.arcs.items()
                if isinstance(label, str) and label[:1] not in "#_" and made.marks.get(label) == ""
            }
        if made.lists:
            return [
                self.export(made.arcs[i], places) for i in sorted(i for i in made.arcs if isinstance(i, int))
            ]
        return made.constraints.value


def plain(evaluation: Evaluation, vertex: Vertex) -> Any:
    return evaluation.export(vertex, {})


def said_by_operator(conjunct: Conjunct) -> bool:
    return not conjunct.node.at.file.startswith("<")


def said_here(vertex: Vertex) -> bool:
    return any(said_by_operator(c) for c in vertex.conjuncts)


def found(vertex: Vertex) -> str:
    """What an operator's file says of a vertex."""
    said = [written(c.node) for c in vertex.conjuncts if said_by_operator(c)]
    return " & ".join(said) or "nothing"


def described(vertex: Vertex) -> str:
    """What the schema allows, as it is written there; what an operator said where there is no schema."""
    said = [c.node for c in vertex.conjuncts if not said_by_operator(c)] or [c.node for c in vertex.conjuncts]
    return " & ".join(dict.fromkeys(map(written, said))) or "anything"


def written(node: s.Node) -> str:
    """A node as text, cut where it is long."""
    match node:
        case s.Atom():
            text = json_text(node.value)
        case s.Reference():
            text = ".".join((node.name, *node.path))
        case s.BoundOf():
            text = f"{node.operator}{written(node.operand)}"
        case s.Unified():
            text = " & ".join(map(written, node.parts))
        case s.Disjunction():
            text = " | ".join(("*" if default else "") + written(part) for default, part in node.parts)
        case s.ListOf():
            inner = [written(item) for item in node.items] + (
                [f"...{written(node.rest) if node.rest else ''}"] if node.open else []
            )
            text = f"[{', '.join(inner)}]"
        case s.Struct():
            text = "{" + ", ".join(f"{f.label}{f.mark}: {written(f.value)}" for f in node.fields) + "}"
        case _:
            text = "..."
    return text if len(text) <= 120 else text[:117] + "..."


def json_text(value: Any) -> str:
    import json

    return json.dumps(value, ensure_ascii=False)


def evaluated(structs: Iterable[Conjunct]) -> tuple[Evaluation, Vertex]:
    """A vertex of several structs taken together."""
    evaluation, vertex = Evaluation(), Vertex("", None)
    vertex.conjuncts = list(structs)
    return evaluation, vertex
