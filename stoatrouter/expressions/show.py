"""An expression as text again, for messages: short, and in one line."""

from __future__ import annotations

import json

from stoatrouter.expressions import syntax as s

LONGEST = 60


def show(node: s.Node) -> str:
    """The text of a node, cut where it is long."""
    text = written(node)
    return text if len(text) <= LONGEST else text[: LONGEST - 3] + "..."


def written(node: s.Node) -> str:
    """The whole text of a node, in a form that parses to the same node."""
    match node:
        case s.Literal():
            return literal(node)
        case s.Name():
            return node.name
        case s.Select():
            return f"{written(node.operand)}.{'?' if node.optional else ''}{node.field_name}"
        case s.Index():
            return f"{written(node.operand)}[{'?' if node.optional else ''}{written(node.index)}]"
        case s.Logic():
            return "(" + f" {node.operator} ".join(map(written, node.terms)) + ")"
        case s.Conditional():
            return f"({written(node.condition)} ? {written(node.then)} : {written(node.other)})"
        case s.ListLiteral():
            return f"[{', '.join(map(written, node.items))}]"
        case s.MapLiteral():
            return "{" + ", ".join(f"{written(k)}: {written(v)}" for k, v in node.items) + "}"
        case s.Call():
            return call(node)
    raise AssertionError(node)


def call(node: s.Call) -> str:
    arguments = [written(argument) for argument in node.arguments]
    if not node.function.isidentifier() or node.function == "in":
        if len(arguments) == 1:
            return (
                f"{node.function}({arguments[0]})"
                if node.function == "-"
                else f"{node.function}{arguments[0]}"
            )
        return f"({arguments[0]} {node.function} {arguments[1]})"
    receiver = f"{written(node.receiver)}." if node.receiver is not None else ""
    return f"{receiver}{node.function}({', '.join(arguments)})"


def literal(node: s.Literal) -> str:
    if isinstance(node.value, bool):
        return "true" if node.value else "false"
    if isinstance(node.value, bytes):
        return 'b"' + "".join(f"\\x{byte:02x}" for byte in node.value) + '"'
    if isinstance(node.value, str):
        return json.dumps(node.value, ensure_ascii=False).replace("\x7f", "\\x7f")
    if isinstance(node.value, float):
        text = repr(node.value)
        return text if "." in text or "e" in text else text + ".0"
    return str(node.value)
