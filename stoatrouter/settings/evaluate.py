"""Unifies settings files with each other and with a shipped schema, by CUE's rules.

As in CUE, the value of a field is the conjunction of all its declarations: a vertex collects conjuncts, each
with the scope in which its names are looked up. Definitions (#Name) are closed: fields that they do not allow
are faults. All faults are collected, with their places in the operator's files.
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
from stoatrouter.settings.vertex import AllowedFields, Conjunct, Label, Scope, Vertex, is_hidden

MAX_DEPTH = 60  # levels of vertices; a deeper one means that a definition contains itself
MAX_PATH_SHOWN = 60  # characters of the path in the fault of a definition that contains itself
MAX_COMBINATIONS = 64  # combinations of alternatives tried for one field
MARK_PRECEDENCE = ("", "!", "?")  # marks of a field; the first one that any declaration has applies


@dataclass(slots=True)
class Expansion:
    """The conjuncts of a vertex that are still to be applied, and the vertices already followed."""

    pending: list[Conjunct]
    seen: set[int]

    @classmethod
    def of(cls, vertex: Vertex) -> Expansion:
        """Create an expansion of all conjuncts of a vertex; a reference to the vertex itself adds nothing."""
        return cls(list(vertex.conjuncts), {id(vertex)})

    def add_parts(self, node: s.Conjunction, conjunct: Conjunct) -> None:
        """Add the parts of a conjunction."""
        self.pending += [Conjunct(part, conjunct.scope, conjunct.closing_ids) for part in node.parts]


class Evaluation:
    """One evaluation of settings; vertices are expanded on demand."""

    def __init__(self) -> None:
        """Start without any use of a definition."""
        self.definition_uses = 0

    # -- from conjuncts to arcs and constraints -----------------------------------------------------------
    def expand(self, vertex: Vertex) -> None:
        """Apply the conjuncts of a vertex; its fields get their conjuncts but are not expanded."""
        if vertex.expanded or vertex.expanding:
            return
        if vertex.depth > MAX_DEPTH:
            what = "infinite recursion: a definition contains itself"
            path = vertex.path[:MAX_PATH_SHOWN]
            vertex.faults.append(Fault(vertex.at, path, what, "make the field optional"))
            vertex.expanded = True
            return
        vertex.expanding = True
        expansion = Expansion.of(vertex)
        while expansion.pending:
            self.apply_conjunct(vertex, expansion.pending.pop(0), expansion)
        if vertex.constraints.may_have_arcs:
            self.unify_lists(vertex)
            self.apply_patterns(vertex)
            self.check_closedness(vertex)
        vertex.expanded = True
        vertex.expanding = False

    def apply_conjunct(self, vertex: Vertex, conjunct: Conjunct, expansion: Expansion) -> None:
        """Apply one conjunct to a vertex; add the conjuncts that follow from it to the expansion."""
        node = conjunct.node
        match node:
            case s.Conjunction():
                expansion.add_parts(node, conjunct)
            case s.Struct():
                self.apply_struct(vertex, node, conjunct)
            case s.ListLiteral():
                vertex.lists.append((node, conjunct))
                vertex.constraints.add_kind("list", node.at, vertex.faults, vertex)
            case s.Disjunction():
                vertex.disjunctions.append(conjunct)
            case s.Atom():
                vertex.constraints.add_value(node.value, node.at, vertex.faults, vertex)
            case s.BoundExpression():
                operand = self.bound_operand(vertex, node, conjunct)
                if operand is not None:
                    vertex.constraints.add_bound(node.operator, operand.value, node.at, vertex.faults, vertex)
            case s.Reference():
                self.follow_reference(vertex, node, conjunct, expansion)

    def bound_operand(self, vertex: Vertex, node: s.BoundExpression, conjunct: Conjunct) -> s.Atom | None:
        """Return the operand of a bound; record a fault and return None if it is not a number or string."""
        if isinstance(node.operand, s.Atom):
            return node.operand
        if isinstance(node.operand, s.Reference):
            target = self.resolve(vertex, node.operand, conjunct.scope)
            if isinstance(target, Vertex):
                self.expand(target)
                if target.constraints.is_concrete:
                    return s.Atom(node.at, target.constraints.value)
        vertex.faults.append(Fault(node.at, vertex.path, f"{node.operator} requires a number or a string"))
        return None

    def apply_struct(self, vertex: Vertex, node: s.Struct, conjunct: Conjunct) -> None:
        """Apply a struct: its fields, its patterns, and the fields that it allows in closed definitions."""
        vertex.constraints.add_kind("struct", node.at, vertex.faults, vertex)
        labels = frozenset(declared.label for declared in node.fields)
        scope = Scope(conjunct.scope, vertex, labels, conjunct.scope.imports)
        for declared in node.fields:
            value = Conjunct(declared.value, scope, conjunct.closing_ids)
            if declared.mark == "?" and declared.label not in vertex.arcs:
                vertex.optional.setdefault(declared.label, []).append(value)
                continue
            vertex.arc(declared.label).conjuncts.append(value)
            before = vertex.marks.get(declared.label, "?")
            strongest = min(MARK_PRECEDENCE.index(before), MARK_PRECEDENCE.index(declared.mark))
            vertex.marks[declared.label] = MARK_PRECEDENCE[strongest]
        vertex.patterns += [(pattern, conjunct, scope) for pattern in node.patterns]
        for closing_id in conjunct.closing_ids:
            allowed = vertex.allowed.setdefault(closing_id, AllowedFields())
            allowed.labels.update(labels)
            allowed.patterns += [(pattern.label, scope) for pattern in node.patterns]
            allowed.open = allowed.open or node.open

    def follow_reference(
        self, vertex: Vertex, node: s.Reference, conjunct: Conjunct, expansion: Expansion
    ) -> None:
        """Add the conjuncts of the vertex that a reference names; those of a definition close the struct."""
        target = self.resolve(vertex, node, conjunct.scope)
        if target is None:
            return
        if isinstance(target, str):
            vertex.constraints.add_kind(target, node.at, vertex.faults, vertex)
            return
        if id(target) in expansion.seen:
            return  # x: x adds nothing to x
        expansion.seen.add(id(target))
        closing_ids = conjunct.closing_ids
        if any(name.lstrip("_").startswith("#") for name in (node.name, *node.path)):
            self.definition_uses += 1
            closing_ids = closing_ids | {self.definition_uses}
        expansion.pending += [
            Conjunct(c.node, c.scope, c.closing_ids | closing_ids) for c in target.conjuncts
        ]

    def resolve(self, vertex: Vertex, node: s.Reference, scope: Scope) -> Vertex | str | None:
        """Return the vertex or built-in kind that a name refers to; record a fault if there is none."""
        at: Scope | None = scope
        while at is not None and node.name not in at.names:
            at = at.up
        if at is not None:
            return self.select_path(vertex, node, at.vertex.arc(node.name))
        if node.name in scope.imports:
            return self.select_path(vertex, node, scope.imports[node.name])
        if node.name in KINDS and not node.path:
            return node.name
        what = f"unknown name {node.name!r}"
        vertex.faults.append(Fault(node.at, vertex.path, what, "strings must be quoted"))
        return None

    def select_path(self, vertex: Vertex, node: s.Reference, target: Vertex) -> Vertex | None:
        """Follow the path of a reference field by field; record a fault and return None if one is missing."""
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
        """Unify the lists of a vertex element by element."""
        if not vertex.lists:
            return
        longest = max(len(node.items) for node, _ in vertex.lists)
        for node, conjunct in vertex.lists:
            if len(node.items) < longest and not node.open:
                what = f"found a list of {longest} elements, but {len(node.items)} are allowed"
                vertex.faults.append(Fault(vertex.at, vertex.path, what))
            for i in range(longest):
                item = node.items[i] if i < len(node.items) else node.rest
                if item is not None:
                    vertex.arc(i).conjuncts.append(Conjunct(item, conjunct.scope, conjunct.closing_ids))
            for i in range(longest):
                vertex.marks[i] = ""

    def apply_patterns(self, vertex: Vertex) -> None:
        """Add the conjuncts of patterns to the fields whose names match."""
        for pattern, conjunct, scope in vertex.patterns:
            for label, arc in vertex.arcs.items():
                if not isinstance(label, str) or is_hidden(label):
                    continue
                if self.matches_pattern(pattern.label, scope, label):
                    arc.conjuncts.append(Conjunct(pattern.value, scope, conjunct.closing_ids))

    def matches_pattern(self, pattern: s.Node, scope: Scope, label: str) -> bool:
        """Return whether a field's name unifies with a pattern."""
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
                vertex.faults.append(Fault(arc.at, arc.path, "field not allowed", f"allowed fields: {known}"))
                break

    def is_allowed(self, allowed: AllowedFields, label: str) -> bool:
        """Return whether one use of a definition allows a field."""
        if allowed.open or label in allowed.labels:
            return True
        return any(self.matches_pattern(pattern, scope, label) for pattern, scope in allowed.patterns)

    # -- alternatives -------------------------------------------------------------------------------------
    def decide_alternatives(self, vertex: Vertex) -> Vertex:
        """Return the vertex with its alternatives decided: the one that fits, or the default of several.

        If none fits, or several do, a fault is recorded and the vertex itself is returned.
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
            vertex.faults += self.mismatch_faults(vertex)
            vertex.chosen = vertex
        elif len({repr(self.export(candidate, {})) for candidate in preferred}) > 1:
            vertex.faults.append(self.ambiguity_fault(vertex))
            vertex.chosen = vertex
        else:
            vertex.chosen = preferred[0]
        return vertex.chosen

    def combinations(self, vertex: Vertex) -> Iterator[tuple[bool, Vertex]]:
        """Yield the vertex with each combination of alternatives, and whether all of those are defaults."""
        pending: list[tuple[bool, list[Conjunct]]] = [(True, [])]
        for conjunct in vertex.disjunctions:
            node = conjunct.node
            assert isinstance(node, s.Disjunction)
            has_default = any(default for default, _ in node.parts)
            pending = [
                (
                    all_defaults and (default or not has_default),
                    [*selected, Conjunct(part, conjunct.scope, conjunct.closing_ids)],
                )
                for all_defaults, selected in pending
                for default, part in node.parts
                if self.may_fit(vertex, part)
            ][:MAX_COMBINATIONS]
        rest = self.without_disjunctions(vertex)
        for all_defaults, selected in pending:
            candidate = Vertex(vertex.label, vertex.up)
            candidate.conjuncts = [*rest, *selected]
            yield all_defaults, self.decide_alternatives(candidate)

    def may_fit(self, vertex: Vertex, part: s.Node) -> bool:
        """Return whether an alternative may fit by its kind; most do not, and so are not tried."""
        kinds = kinds_of_node(part)
        return kinds is None or vertex.constraints.may_be(kinds)

    def without_disjunctions(self, vertex: Vertex) -> list[Conjunct]:
        """Return all conjuncts of a vertex except disjunctions, with references followed."""
        others: list[Conjunct] = []
        expansion = Expansion.of(vertex)
        while expansion.pending:
            conjunct = expansion.pending.pop(0)
            node = conjunct.node
            if isinstance(node, s.Conjunction):
                expansion.add_parts(node, conjunct)
            elif isinstance(node, s.Reference) and node.name not in KINDS:
                self.follow_reference(Vertex(vertex.label, vertex.up), node, conjunct, expansion)
            elif not isinstance(node, s.Disjunction):
                others.append(conjunct)
        return others

    def mismatch_faults(self, vertex: Vertex) -> list[Fault]:
        """Return the faults of a vertex for which no alternative fits.

        If exactly one alternative has all its faults below the vertex, it is the closest match, and its
        faults are returned.
        """
        trials = [self.collect_faults(candidate) for _, candidate in self.combinations(vertex)]
        nearest = [faults for faults in trials if all(fault.path != vertex.path for fault in faults)]
        if len(nearest) == 1:
            return nearest[0]
        what = f"found {describe_found(vertex)}"
        return [Fault(vertex.at, vertex.path, what, f"allowed: {describe_allowed(vertex)}")]

    def ambiguity_fault(self, vertex: Vertex) -> Fault:
        """Return the fault of a vertex for which several alternatives fit and none is the default."""
        allowed = f"allowed: {describe_allowed(vertex)}"
        if any(is_from_operator(conjunct) for conjunct in vertex.conjuncts):
            return Fault(vertex.at, vertex.path, "more than one alternative fits", allowed)
        return Fault(owner_place(vertex), vertex.path, "has no value", allowed)

    # -- faults and plain data ----------------------------------------------------------------------------
    def collect_faults(self, vertex: Vertex) -> list[Fault]:
        """Return all faults of a vertex and of the vertices below it."""
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
        """Return all faults of a vertex, and its plain data if there are none; add the place of each path.

        Elements of lists are released one by one, so that a file with many rules needs the memory of one.
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
        """Return the vertex with its alternatives decided, and the faults of both vertices."""
        decided = self.decide_alternatives(vertex)
        return decided, [*vertex.faults, *(decided.faults if decided is not vertex else ())]

    def exported_arcs(self, vertex: Vertex, faults: list[Fault]) -> Iterator[tuple[Label, Vertex]]:
        """Yield the fields and elements that must have a value, except those that have a fault already.

        For a required field without a value, a fault is appended instead.
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
        """Return the plain data of a vertex without faults; add the place of each path."""
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
    """Return the place of the enclosing struct or list, for a vertex that no operator's file sets."""
    return vertex.at if vertex.up is None else vertex.up.at
