"""Unification of settings files with each other and with the program's schema, by CUE's rules.

As in CUE, a field's value is all that is said of it anywhere, taken together: a vertex collects conjuncts,
each with the scope in which its names are looked up. Definitions (#Name) are closed: fields that they do not
allow are faults. All faults are collected, with their places in the operator's files.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from stoatrouter.settings import syntax as s
from stoatrouter.settings.constraints import KINDS, kind_of
from stoatrouter.settings.descriptions import described, found, said_by_operator, said_here
from stoatrouter.settings.errors import Fault
from stoatrouter.settings.vertex import Allowed, Conjunct, Scope, Vertex

DEEPEST = 60  # vertices below each other; deeper ones are a definition within itself
MOST_ALTERNATIVES = 64  # combinations of alternatives that are tried for one field
BUILT_IN = frozenset(KINDS)
STRENGTH = ("", "!", "?")  # marks of a field: the strongest that is said holds


class Evaluation:
    """One evaluation; vertices are expanded on demand."""

    def __init__(self) -> None:
        self.closings = 0

    # -- from conjuncts to arcs and constraints -----------------------------------------------------------
    def expand(self, vertex: Vertex) -> None:
        """Evaluate the conjuncts of a vertex; its fields get theirs, but are not expanded."""
        if vertex.expanded or vertex.expanding:
            return
        if vertex.depth > DEEPEST:
            vertex.faults.append(
                Fault(
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
        """Take one conjunct of a vertex; those that follow from it are appended to `waiting`."""
        node = conjunct.node
        match node:
            case s.Unified():
                waiting += [Conjunct(part, conjunct.scope, conjunct.closers) for part in node.parts]
            case s.Struct():
                self.struct(vertex, node, conjunct)
            case s.ListOf():
                vertex.lists.append((node, conjunct))
                vertex.constraints.kind("list", node.at, vertex.faults, vertex)
            case s.Disjunction():
                vertex.disjunctions.append(conjunct)
            case s.Atom():
                vertex.constraints.atom(node.value, node.at, vertex.faults, vertex)
            case s.BoundOf():
                operand = self.bound_operand(vertex, node, conjunct)
                if operand is not None:
                    vertex.constraints.bound(node.operator, operand.value, node.at, vertex.faults, vertex)
            case s.Reference():
                self.reference(vertex, node, conjunct, waiting, seen)

    def bound_operand(self, vertex: Vertex, node: s.BoundOf, conjunct: Conjunct) -> s.Atom | None:
        """The operand of a bound; None, with a fault recorded, where it is no number or string."""
        if isinstance(node.operand, s.Atom):
            return node.operand
        if isinstance(node.operand, s.Reference):
            found = self.resolve(vertex, node.operand, conjunct.scope)
            if isinstance(found, Vertex):
                self.expand(found)
                if found.constraints.is_concrete:
                    return s.Atom(node.at, found.constraints.value)
        vertex.faults.append(Fault(node.at, vertex.path, f"{node.operator} wants a number or a string"))
        return None

    def struct(self, vertex: Vertex, node: s.Struct, conjunct: Conjunct) -> None:
        """Take a struct: its fields, its patterns, and what it allows in closed definitions."""
        vertex.constraints.kind("struct", node.at, vertex.faults, vertex)
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
        """Follow a reference: append the conjuncts of what it names to `waiting`."""
        found = self.resolve(vertex, node, conjunct.scope)
        if found is None:
            return
        if isinstance(found, str):
            vertex.constraints.kind(found, node.at, vertex.faults, vertex)
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
        """What a name refers to: a vertex, or the name of a built-in kind; None with a fault recorded."""
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
            vertex.faults.append(
                Fault(
                    node.at, vertex.path, f"there is nothing named {node.name!r}", "a text stands in quotes"
                )
            )
            return None
        for name in node.path:
            self.expand(found)
            inner = found.chosen or found
            if name not in inner.arcs:
                vertex.faults.append(
                    Fault(node.at, vertex.path, f"{found.path or node.name!r} has no field {name!r}")
                )
                return None
            found = inner.arcs[name]
        return found

    def elements(self, vertex: Vertex) -> None:
        """Combine the lists of a vertex, element by element."""
        if not vertex.lists:
            return
        longest = max(len(node.items) for node, _ in vertex.lists)
        for node, conjunct in vertex.lists:
            if len(node.items) < longest and not node.open:
                vertex.faults.append(
                    Fault(
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
        """Add to fields the conjuncts of the patterns that their names match."""
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
        fits = not probe.faults and not self.choose(probe).faults
        probe.release()
        return fits

    def closed(self, vertex: Vertex) -> None:
        """Record faults for fields that a closed definition does not allow."""
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
                vertex.faults.append(Fault(arc.at, arc.path, "there is no such field", f"there is: {known}"))
                break

    # -- alternatives -------------------------------------------------------------------------------------
    def choose(self, vertex: Vertex) -> Vertex:
        """The vertex with its alternatives decided: the one that fits, or the default of several."""
        if vertex.chosen is not None:
            return vertex.chosen
        self.expand(vertex)
        if not vertex.disjunctions or vertex.faults:
            vertex.chosen = vertex
            return vertex
        fitting = [
            (default, made) for default, made in self.combinations(vertex) if not self.all_faults(made)
        ]
        if not fitting:
            vertex.faults += self.unfit(vertex)
            vertex.chosen = vertex
            return vertex
        preferred = [made for default, made in fitting if default] or [made for _, made in fitting]
        if len({repr(plain(self, made)) for made in preferred}) > 1:
            if not any(said_by_operator(c) for c in vertex.conjuncts):
                vertex.faults.append(
                    Fault(
                        vertex.up.at if vertex.up else vertex.at,
                        vertex.path,
                        "has no value",
                        f"allowed: {described(vertex)}",
                    )
                )
            else:
                vertex.faults.append(
                    Fault(
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
        """The vertex with each combination of alternatives, and whether it has defaults alone."""
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
        """Whether an alternative may fit by its kind; most do not, and need not be tried."""
        kind = kind_of(part)
        return kind is None or vertex.constraints.may_be(kind)

    def without_disjunctions(self, vertex: Vertex) -> list[Conjunct]:
        """All conjuncts of a vertex except alternatives, with references followed."""
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

    def unfit(self, vertex: Vertex) -> list[Fault]:
        """The faults where no alternative fits.

        Those of the nearest alternative, where only one is wrong further down alone.
        """
        near = [self.all_faults(made) for _, made in self.combinations(vertex)]
        deeper = [faults for faults in near if all(fault.path != vertex.path for fault in faults)]
        if len(deeper) == 1:
            return deeper[0]
        return [Fault(vertex.at, vertex.path, f"found {found(vertex)}", f"allowed: {described(vertex)}")]

    # -- what is wrong, and what comes out ----------------------------------------------------------------
    def all_faults(self, vertex: Vertex) -> list[Fault]:
        """All faults of a vertex and below it."""
        made = self.choose(vertex)
        faults = [*vertex.faults, *(made.faults if made is not vertex else ())]
        if made.constraints.is_struct or made.lists:
            said = {fault.path for fault in faults}
            for label, arc in list(made.arcs.items()):
                mark = made.marks.get(label, "")
                hidden = isinstance(label, str) and label[:1] in "#_"
                if mark == "?" or hidden or (said and arc.path in said):
                    continue
                if mark == "!":
                    faults.append(Fault(made.at, arc.path, "is missing", f"allowed: {described(arc)}"))
                    continue
                faults += self.all_faults(arc)
        elif not faults and not made.constraints.is_concrete:
            owner = vertex.up.at if vertex.up is not None else vertex.at
            place = vertex.at if said_here(vertex) else owner
            faults.append(Fault(place, vertex.path, "has no value", f"allowed: {described(vertex)}"))
        return faults

    def finish(self, vertex: Vertex, places: dict[str, s.Place]) -> tuple[list[Fault], Any]:
        """All faults of a vertex, and its plain data where there are none.

        Elements of lists are released one by one, so that a file of many rules needs the memory of one.
        """
        made = self.choose(vertex)
        faults = [*vertex.faults, *(made.faults if made is not vertex else ())]
        places[vertex.path] = vertex.at
        if not (made.constraints.is_struct or made.lists):
            return (faults or self.all_faults(vertex)), made.constraints.value
        said = {fault.path for fault in faults}
        fields: dict[Any, Any] = {}
        for label, arc in list(made.arcs.items()):
            mark = made.marks.get(label, "")
            hidden = isinstance(label, str) and label[:1] in "#_"
            if mark == "?" or hidden or (said and arc.path in said):
                continue
            if mark == "!":
                faults.append(Fault(made.at, arc.path, "is missing", f"allowed: {described(arc)}"))
                continue
            more, fields[label] = self.finish(arc, places)
            faults += more
            if isinstance(label, int):
                arc.release()
        if made.lists:
            return faults, [fields[i] for i in sorted(fields)]
        return faults, fields

    def export(self, vertex: Vertex, places: dict[str, s.Place]) -> Any:
        """The plain data of a vertex without faults; fills in the place of each path."""
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
    """The plain data of a vertex in which nothing is wrong."""
    return evaluation.export(vertex, {})


def evaluated(structs: Iterable[Conjunct]) -> tuple[Evaluation, Vertex]:
    """A vertex that unifies several structs, and its evaluation."""
    evaluation, vertex = Evaluation(), Vertex("", None)
    vertex.conjuncts = list(structs)
    return evaluation, vertex
