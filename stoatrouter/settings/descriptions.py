"""Values and constraints as text, for messages to operators."""

from __future__ import annotations

from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import json_text, truncate
from stoatrouter.settings.vertex import Conjunct, Vertex

LONGEST_TEXT = 120  # characters of one node in a message


def is_from_operator(conjunct: Conjunct) -> bool:
    """Whether a conjunct stands in an operator's file, not in a shipped schema."""
    return not conjunct.node.at.in_schema


def is_set_by_operator(vertex: Vertex) -> bool:
    """Whether an operator's file has any conjunct on a vertex."""
    return any(is_from_operator(conjunct) for conjunct in vertex.conjuncts)


def describe_found(vertex: Vertex) -> str:
    """What an operator's file has for a vertex, as text."""
    nodes = [conjunct.node for conjunct in vertex.conjuncts if is_from_operator(conjunct)]
    return " & ".join(map(format_node, nodes)) or "nothing"


def describe_allowed(vertex: Vertex) -> str:
    """What the schema allows in a vertex, as text; what an operator wrote where there is no schema."""
    schema = [conjunct.node for conjunct in vertex.conjuncts if not is_from_operator(conjunct)]
    nodes = schema or [conjunct.node for conjunct in vertex.conjuncts]
    return " & ".join(dict.fromkeys(map(format_node, nodes))) or "anything"


def format_node(node: s.Node) -> str:
    """A node as text in CUE's syntax, cut to `LONGEST_TEXT` characters."""
    match node:
        case s.Atom():
            text = json_text(node.value)
        case s.Reference():
            text = ".".join((node.name, *node.path))
        case s.BoundOf():
            text = f"{node.operator}{format_node(node.operand)}"
        case s.Unified():
            text = " & ".join(map(format_node, node.parts))
        case s.Disjunction():
            text = " | ".join(("*" if default else "") + format_node(part) for default, part in node.parts)
        case s.ListOf():
            text = _format_list(node)
        case s.Struct():
            text = "{" + ", ".join(f"{f.label}{f.mark}: {format_node(f.value)}" for f in node.fields) + "}"
        case _:
            text = "..."
    return truncate(text, LONGEST_TEXT)


def _format_list(node: s.ListOf) -> str:
    parts = [format_node(item) for item in node.items]
    if node.open:
        parts.append(f"...{format_node(node.rest) if node.rest else ''}")
    return f"[{', '.join(parts)}]"
