"""Formats expressions for messages: short, and on one line."""

from __future__ import annotations

import json

from stoatrouter.expressions import syntax as s

MAX_SHOWN_LENGTH = 60  # characters of an expression shown in a message
ELLIPSIS = "..."


def show(node: s.Node) -> str:
    """Return the text of a node, truncated to `MAX_SHOWN_LENGTH` characters."""
    text = format_node(node)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[: MAX_SHOWN_LENGTH - len(ELLIPSIS)] + ELLIPSIS


def format_node(node: s.Node) -> str:
    """Return the full text of a node, which parses to the same node."""
    match node:
        case s.Literal():
            return format_literal(node)
        case s.Name():
            return node.name
        case s.Select():
            return f"{format_node(node.operand)}.{'?' if node.optional else ''}{node.field_name}"
        case s.Index():
            mark = "?" if node.optional else ""
            return f"{format_node(node.operand)}[{mark}{format_node(node.index)}]"
        case s.Logic():
            return "(" + f" {node.operator} ".join(map(format_node, node.terms)) + ")"
        case s.Conditional():
            condition, then, other = map(format_node, (node.condition, node.then, node.other))
            return f"({condition} ? {then} : {other})"
        case s.ListLiteral():
            return f"[{', '.join(map(format_node, node.items))}]"
        case s.MapLiteral():
            return "{" + ", ".join(f"{format_node(k)}: {format_node(v)}" for k, v in node.items) + "}"
        case s.Call():
            return format_call(node)
    raise AssertionError(node)


def format_call(node: s.Call) -> str:
    """Return the text of an operation in parentheses, or of a call of a function or method."""
    name = node.function
    arguments = [format_node(argument) for argument in node.arguments]
    if name.isidentifier() and name != "in":
        receiver = f"{format_node(node.receiver)}." if node.receiver is not None else ""
        return f"{receiver}{name}({', '.join(arguments)})"
    if len(arguments) > 1:
        return f"({arguments[0]} {name} {arguments[1]})"
    return f"{name}({arguments[0]})" if name == "-" else f"{name}{arguments[0]}"


def format_literal(node: s.Literal) -> str:
    """Return the text of a literal; a string as in JSON, bytes as escapes."""
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
