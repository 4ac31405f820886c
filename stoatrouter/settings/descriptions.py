"""Formats values and constraints as text for messages to operators."""

from __future__ import annotations

from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import json_text, truncate
from stoatrouter.settings.vertex import Conjunct, Vertex

MAX_TEXT_LENGTH = 120  # characters of one node in a message


def is_from_operator(conjunct: Conjunct) -> bool:
    """Return whether a conjunct is from an operator's file, not from a shipped schema."""
    return not conjunct.node.at.in_schema


def is_set_by_operator(vertex: Vertex) -> bool:
    """Return whether an operator's file has any conjunct on a vertex."""
    return any(is_from_operator(conjunct) for conjunct in vertex.conjuncts)


def describe_found(vertex: Vertex) -> str:
    """Return the conjuncts of the operator's files on a vertex, as text."""
    nodes = [conjunct.node for conjunct in vertex.conjuncts if is_from_operator(conjunct)]
    return " & ".join(map(format_node, nodes)) or "nothing"


def describe_allowed(vertex: Vertex) -> str:
    """Return the schema's conjuncts on a vertex as text, or the operator's if there is no schema."""
    schema = [conjunct.node for conjunct in vertex.conjuncts if not is_from_operator(conjunct)]
    nodes = schema or [conjunct.node for conjunct in vertex.conjuncts]
    return " & ".join(dict.fromkeys(map(format_node, nodes))) or "anything"


def format_node(node: s.Node) -> str:
    """Return a node in CUE's syntax, truncated to `MAX_TEXT_LENGTH` characters."""
    match node:
        case s.Atom():
            text = json_text(node.value)
        case s.Reference():
            text = ".".join((node.name, *node.path))
        case s.BoundExpression():
            text = f"{node.operator}{format_node(node.operand)}"
        case s.Conjunction():
            text = " & ".join(map(format_node, node.parts))
        case s.Disjunction():
            text = " | ".join(("*" if default else "") + format_node(part) for default, part in node.parts)
        case s.ListLiteral():
            text = _format_list(node)
        case s.Struct():
            text = "{" + ", ".join(f"{f.label}{f.mark}: {format_node(f.value)}" for f in node.fields) + "}"
        case _:
            text = "..."
    return truncate(text, MAX_TEXT_LENGTH)


def _format_list(node: s.ListLiteral) -> str:
    parts = [format_node(item) for item in node.items]
    if node.open:
        parts.append(f"...{format_node(node.rest) if node.rest else ''}")
    return f"[{', '.join(parts)}]"
