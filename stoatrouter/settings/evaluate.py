"""Unification of settings files with each other and with the program's schema, by CUE's rules.

As in CUE, a field's value is the conjunction of everything declared for it anywhere: a vertex collects
conjuncts, each with the scope in which its names are looked up. Definitions (#Name) are closed: fields that
they do not allow are faults. All faults are collected, with their places in the operator's files.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from stoatrouter.settings import syntax as s
from stoatrouter.settings.constraints import KINDS, kinds_of_node
from stoatrouter.settings.descriptions import (
    describe_allowed,
    describe_found,
    is_from_operator,
    is_set_by_operator,
)
from stoatrouter.settings.errors import Fault
from stoatrouter.settings.vertex import Allowed, Conjunct, Label, Scope, Vertex, is_hidden

MAX_DEPTH = 60  # vertices below each other; deeper ones are a definition within itself
LONGEST_PATH = 60  # characters of the path in the fault of a definition within itself
MAX_ALTERNATIVES = 64  # combinations of alternatives that are tried for one field
STRENGTH = ("", "!", "?")  # marks of a field: the first of these that any declaration has holds


@dataclass(slots=True)
class Expansion:
    """The conjuncts of a vertex that are still to be applied, and the vertices already referred to."""

    waiting: list[Conjunct]
    seen: set[int]

    @classmethod
    def of(cls, vertex: Vertex) -> Expansion:
        """Begin with all conjuncts of a vertex; a reference to itself adds nothing."""
        return cls(list(vertex.conjuncts), {id(vertex)})

    def add_parts(self, node: s.Unified, conjunct: Conjunct) -> None:
        """Add the parts of a conjunction."""
        self.waiting += [Conjunct(part, conjunct.scope, conjunct.closers) for part in node.parts]


class Evaluation:
    """One evaluation; vertices are expanded on demand."""

    def __init__(self) -> None:
        """Begin with no definition used."""
        self.definition_uses = 0

    # -- from conjuncts to arcs and constraints -----------------------------------------------------------
    def expand(self, vertex: Vertex) -> None:
        """Evaluate the conjuncts of a vertex; its fields get theirs, but are not expanded."""
        if vertex.expanded or vertex.expanding:
            return
        if vertex.depth > MAX_DEPTH:
            what = "a definition holds itself, without end"
            path = vertex.path[:LONGEST_PATH]
            vertex.faults.append(Fault(vertex.at, path, what, "make its field optional"))
            vertex.expanded = True
            return
        vertex.expanding = True
        expansion = Expansion.of(vertex)
        while expansion.waiting:
            self.apply_conjunct(vertex, expansion.waiting.pop(0), expansion)
        if vertex.constraints.may_have_arcs:
            self.unify_lists(vertex)
            self.apply_patterns(vertex)
            self.check_closedness(vertex)
        vertex.expanded = True
        vertex.expanding = False

    def apply_conjunct(self, vertex: Vertex, conjunct: Conjunct, expansion: Expansion) -> None:
        """Apply one conjunct to a vertex; those that follow from it are left to the expansion."""
        node = conjunct.node
        match node:
            case s.Unified():
                expansion.add_parts(node, conjunct)
            case s.Struct():
                self.apply_struct(vertex, node, conjunct)
            case s.ListOf():
                vertex.lists.append((node, conjunct))
                vertex.constraints.add_kind("list", node.at, vertex.faults, vertex)
            case s.Disjunction():
                vertex.disjunctions.append(conjunct)
            case s.Atom():
                vertex.constraints.add_value(node.value, node.at, vertex.faults, vertex)
            case s.BoundOf():
                operand = self.bound_operand(vertex, node, conjunct)
                if operand is not None:
                    vertex.constraints.add_bound(node.operator, operand.value, node.at, vertex.faults, vertex)
            case s.Reference():
                self.follow_reference(vertex, node, conjunct, expansion)

    def bound_operand(self, vertex: Vertex, node: s.BoundOf, conjunct: Conjunct) -> s.Atom | None:
        """The operand of a bound; None, with a fault recorded, where it is no number or string."""
        if isinstance(node.operand, s.Atom):
            return node.operand
        if isinstance(node.operand, s.Reference):
            target = self.resolve(vertex, node.operand, conjunct.scope)
            if isinstance(target, Vertex):
                self.expand(target)
                if target.constraints.is_concrete:
                    return s.Atom(node.at, target.constraints.value)
        vertex.faults.append(Fault(node.at, vertex.path, f"{node.operator} wants a number or a string"))
        return None

    def apply_struct(self, vertex: Vertex, node: s.Struct, conjunct: Conjunct) -> None:
        """Apply a struct: its fields, its patterns, and what it allows in closed definitions."""
        vertex.constraints.add_kind("struct", node.at, vertex.faults, vertex)
        labels = frozenset(declared.label for declared in node.fields)
        scope = Scope(conjunct.scope, vertex, labels, conjunct.scope.imports)
        for declared in node.fields:
            value = Conjunct(declared.value, scope, conjunct.closers)
            if declared.mark == "?" and declared.label not in vertex.arcs:
                vertex.optional.setdefault(declared.label, []).append(value)
                continue
            vertex.arc(declared.label).conjuncts.append(value)
            before = vertex.marks.get(declared.label, "?")
            strongest = min(STRENGTH.index(before), STRENGTH.index(declared.mark))
            vertex.marks[declared.label] = STRENGTH[strongest]
        vertex.patterns += [(pattern, conjunct, scope) for pattern in node.patterns]
        for closer in conjunct.closers:
            allowed = vertex.allowed.setdefault(closer, Allowed())
            allowed.labels.update(labels)
            allowed.patterns += [(pattern.label, scope) for pattern in node.patterns]
            allowed.open = allowed.open or node.open

    def follow_reference(
        self, vertex: Vertex, node: s.Reference, conjunct: Conjunct, expansion: Expansion
    ) -> None:
        """Add the conjuncts of what a reference names; those of a definition close the struct."""
        target = self.resolve(vertex, node, conjunct.scope)
        if target is None:
            return
        if isinstance(target, str):
            vertex.constraints.add_kind(target, node.at, vertex.faults, vertex)
            return
        if id(target) in expansion.seen:
            return  # x: x adds nothing to x
        expansion.seen.add(id(target))
        closers = conjunct.closers
        if any(name.lstrip("_").startswith("#") for name in (node.name, *node.path)):
            self.definition_uses += 1
            closers = closers | {self.definition_uses}
        expansion.waiting += [Conjunct(c.node, c.scope, c.closers | closers) for c in target.conjuncts]

    def resolve(self, vertex: Vertex, node: s.Reference, scope: Scope) -> Vertex | str | None:
        """What a name refers to: a vertex, or the name of a built-in kind; None with a fault recorded."""
        at: Scope | None = scope
        while at is not None and node.name not in at.names:
            at = at.up
        if at is not None:
            return self.select_path(vertex, node, at.vertex.arc(node.name))
        if node.name in scope.imports:
            return self.select_path(vertex, node, scope.imports[node.name])
        if node.name in KINDS and not node.path:
            return node.name
        what = f"there is nothing named {node.name!r}"
        vertex.faults.append(Fault(node.at, vertex.path, what, "a text stands in quotes"))
        return None

    def select_path(self, vertex: Vertex, node: s.Reference, target: Vertex) -> Vertex | None:
        """Go down the path of a reference, field by field; None with a fault recorded."""
        for name in node.path:
            self.expand(target)
            inner = target.chosen or target
            if name not in inner.arcs:
                what = f"{target.path or node.name!r} has no field {name!r}"
                vertex.faults.append(Fault(node.at, vertex.path, what))
                return None
            target = inner.arcs[name]
        return target

    def unify_lists(self, vertex: Vertex) -> None:
        """Combine the lists of a vertex, element by element."""
        if not vertex.lists:
            return
        longest = max(len(node.items) for node, _ in vertex.lists)
        for node, conjunct in vertex.lists:
            if len(node.items) < longest and not node.open:
                what = f"a list of {longest} elements, {len(node.items)} are allowed"
                vertex.faults.append(Fault(vertex.at, vertex.path, what))
            for i in range(longest):
                item = node.items[i] if i < len(node.items) else node.rest
                if item is not None:
                    vertex.arc(i).conjuncts.append(Conjunct(item, conjunct.scope, conjunct.closers))
            for i in range(longest):
                vertex.marks[i] = ""

    def apply_patterns(self, vertex: Vertex) -> None:
        """Add to fields the conjuncts of the patterns that their names match."""
        for pattern, conjunct, scope in vertex.patterns:
            for label, arc in vertex.arcs.items():
                if not isinstance(label, str) or is_hidden(label):
                    continue
                if self.matches_pattern(pattern.label, scope, label):
                    arc.conjuncts.append(Conjunct(pattern.value, scope, conjunct.closers))

    def matches_pattern(self, pattern: s.Node, scope: Scope, label: str) -> bool:
        """Whether a field's name unifies with a pattern."""
        trial = Vertex("", None)
        trial.conjuncts = [Conjunct(s.Atom(pattern.at, label), scope), Conjunct(pattern, scope)]
        self.expand(trial)
        fits = not trial.faults and not self.decide_alternatives(trial).faults
        trial.release()
        return fits

    def check_closedness(self, vertex: Vertex) -> None:
        """Record faults for fields that a closed definition does not allow."""
        for label, arc in vertex.arcs.items():
            if not isinstance(label, str) or is_hidden(label) or vertex.marks.get(label) == "?":
                continue
            for allowed in vertex.allowed.values():
                if self.is_allowed(allowed, label):
                    continue
                known = ", ".join(sorted(name for name in allowed.labels if not is_hidden(name)))
                vertex.faults.append(Fault(arc.at, arc.path, "there is no such field", f"there is: {known}"))
                break

    def is_allowed(self, allowed: Allowed, label: str) -> bool:
        """Whether one use of a definition allows a field."""
        if allowed.open or label in allowed.labels:
            return True
        return any(self.matches_pattern(pattern, scope, label) for pattern, scope in allowed.patterns)

    # -- alternatives -------------------------------------------------------------------------------------
    def decide_alternatives(self, vertex: Vertex) -> Vertex:
        """The vertex with its alternatives decided: the one that fits, or the default of several.

        Where none fits, or several do, a fault is recorded and the vertex itself is returned.
        """
        if vertex.chosen is not None:
            return vertex.chosen
        self.expand(vertex)
        if not vertex.disjunctions or vertex.faults:
            vertex.chosen = vertex
            return vertex
        fitting = [
            (default, candidate)
            for default, candidate in self.combinations(vertex)
            if not self.collect_faults(candidate)
        ]
        preferred = [candidate for default, candidate in fitting if default]
        preferred = preferred or [candidate for _, candidate in fitting]
        if not preferred:
            vertex.faults += self.mismatch(vertex)
            vertex.chosen = vertex
        elif len({repr(self.export(candidate, {})) for candidate in preferred}) > 1:
            vertex.faults.append(self.ambiguity(vertex))
            vertex.chosen = vertex
        else:
            vertex.chosen = preferred[0]
        return vertex.chosen

    def combinations(self, vertex: Vertex) -> Iterator[tuple[bool, Vertex]]:
        """The vertex with each combination of alternatives, and whether it has defaults alone."""
        pending: list[tuple[bool, list[Conjunct]]] = [(True, [])]
        for conjunct in vertex.disjunctions:
            node = conjunct.node
            assert isinstance(node, s.Disjunction)
            has_default = any(default for default, _ in node.parts)
            pending = [
                (
                    all_defaults and (default or not has_default),
                    [*selected, Conjunct(part, conjunct.scope, conjunct.closers)],
                )
                for all_defaults, selected in pending
                for default, part in node.parts
                if self.may_fit(vertex, part)
            ][:MAX_ALTERNATIVES]
        rest = self.without_disjunctions(vertex)
        for all_defaults, selected in pending:
            candidate = Vertex(vertex.label, vertex.up)
            candidate.conjuncts = [*rest, *selected]
            yield all_defaults, self.decide_alternatives(candidate)

    def may_fit(self, vertex: Vertex, part: s.Node) -> bool:
        """Whether an alternative may fit by its kind; most do not, and need not be tried."""
        kinds = kinds_of_node(part)
        return kinds is None or vertex.constraints.may_be(kinds)

    def without_disjunctions(self, vertex: Vertex) -> list[Conjunct]:
        """All conjuncts of a vertex except alternatives, with references followed."""
        others: list[Conjunct] = []
        expansion = Expansion.of(vertex)
        while expansion.waiting:
            conjunct = expansion.waiting.pop(0)
            node = conjunct.node
            if isinstance(node, s.Unified):
                expansion.add_parts(node, conjunct)
            elif isinstance(node, s.Reference) and node.name not in KINDS:
                self.follow_reference(Vertex(vertex.label, vertex.up), node, conjunct, expansion)
            elif not isinstance(node, s.Disjunction):
                others.append(conjunct)
        return others

    def mismatch(self, vertex: Vertex) -> list[Fault]:
        """The faults where no alternative fits.

        Those of the nearest alternative, where exactly one has all its faults further down.
        """
        trials = [self.collect_faults(candidate) for _, candidate in self.combinations(vertex)]
        nearest = [faults for faults in trials if all(fault.path != vertex.path for fault in faults)]
        if len(nearest) == 1:
            return nearest[0]
        what = f"found {describe_found(vertex)}"
        return [Fault(vertex.at, vertex.path, what, f"allowed: {describe_allowed(vertex)}")]

    def ambiguity(self, vertex: Vertex) -> Fault:
        """The fault where several alternatives fit, and none of them is the default."""
        allowed = f"allowed: {describe_allowed(vertex)}"
        if any(is_from_operator(conjunct) for conjunct in vertex.conjuncts):
            return Fault(vertex.at, vertex.path, "more than one alternative fits", allowed)
        return Fault(owner_place(vertex), vertex.path, "has no value", allowed)

    # -- faults and plain data ----------------------------------------------------------------------------
    def collect_faults(self, vertex: Vertex) -> list[Fault]:
        """All faults of a vertex and below it."""
        decided, faults = self.decide(vertex)
        if decided.constraints.is_struct or decided.lists:
            for _, arc in self.exported_arcs(decided, faults):
                faults += self.collect_faults(arc)
        elif not faults and not decided.constraints.is_concrete:
            place = vertex.at if is_set_by_operator(vertex) else owner_place(vertex)
            what = f"allowed: {describe_allowed(vertex)}"
            faults.append(Fault(place, vertex.path, "has no value", what))
        return faults

    def collect_data(self, vertex: Vertex, places: dict[str, s.Place]) -> tuple[list[Fault], Any]:
        """All faults of a vertex, and its plain data where there are none; fills in the place of each path.

        Elements of lists are released one by one, so that a file of many rules needs the memory of one.
        """
        decided, faults = self.decide(vertex)
        places[vertex.path] = vertex.at
        if not (decided.constraints.is_struct or decided.lists):
            return (faults or self.collect_faults(vertex)), decided.constraints.value
        fields: dict[Any, Any] = {}
        for label, arc in self.exported_arcs(decided, faults):
            more, fields[label] = self.collect_data(arc, places)
            faults += more
            if isinstance(label, int):
                arc.release()
        if decided.lists:
            return faults, [fields[i] for i in sorted(fields)]
        return faults, fields

    def decide(self, vertex: Vertex) -> tuple[Vertex, list[Fault]]:
        """The vertex with its alternatives decided, and the faults of both."""
        decided = self.decide_alternatives(vertex)
        return decided, [*vertex.faults, *(decided.faults if decided is not vertex else ())]

    def exported_arcs(self, vertex: Vertex, faults: list[Fault]) -> Iterator[tuple[Label, Vertex]]:
        """The fields and elements that have to have a value, except those that have a fault already.

        A required field that no declaration gives a value is appended to the faults.
        """
        faulty = {fault.path for fault in faults}
        for label, arc in list(vertex.arcs.items()):
            mark = vertex.marks.get(label, "")
            if mark == "?" or is_hidden(label) or (faulty and arc.path in faulty):
                continue
            if mark == "!":
                allowed = f"allowed: {describe_allowed(arc)}"
                faults.append(Fault(vertex.at, arc.path, "is missing", allowed))
                continue
            yield label, arc

    def export(self, vertex: Vertex, places: dict[str, s.Place]) -> Any:
        """The plain data of a vertex without faults; fills in the place of each path."""
        decided = self.decide_alternatives(vertex)
        places[vertex.path] = vertex.at
        if decided.constraints.is_struct:
            return {
                label: self.export(arc, places)
                for label, arc in decided.arcs.items()
                if isinstance(label, str) and not is_hidden(label) and decided.marks.get(label) == ""
            }
        if decided.lists:
            elements = sorted(label for label in decided.arcs if isinstance(label, int))
            return [self.export(decided.arcs[i], places) for i in elements]
        return decided.constraints.value


def owner_place(vertex: Vertex) -> s.Place:
    """The place of the struct or list around a vertex, where the vertex itself has none of the operator's."""
    return vertex.at if vertex.up is None else vertex.up.at
