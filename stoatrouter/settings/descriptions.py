"""Values and constraints as text, for messages to operators."""

from __future__ import annotations

from typing import Any

from stoatrouter.settings import syntax as s
from stoatrouter.settings.vertex import Conjunct, Vertex


def said_by_operator(conjunct: Conjunct) -> bool:
    """Whether a conjunct stands in an operator's file; the schema's files have names in angle brackets."""
    return not conjunct.node.at.file.startswith("<")


def said_here(vertex: Vertex) -> bool:
    """Whether an operator's file says anything of a vertex."""
    return any(said_by_operator(c) for c in vertex.conjuncts)


def found(vertex: Vertex) -> str:
    """What an operator's file says of a vertex, as text."""
    said = [written(c.node) for c in vertex.conjuncts if said_by_operator(c)]
    return " & ".join(said) or "nothing"


def described(vertex: Vertex) -> str:
    """What the schema allows in a vertex, as text; what an operator wrote where there is no schema."""
    said = [c.node for c in vertex.conjuncts if not said_by_operator(c)] or [c.node for c in vertex.conjuncts]
    return " & ".join(dict.fromkeys(map(written, said))) or "anything"


def written(node: s.Node) -> str:
    """A node as text, cut to 120 characters."""
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
    """A value as JSON text."""
    import json

    return json.dumps(value, ensure_ascii=False)
