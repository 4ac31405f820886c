"""Literals as CEL writes them (cel-spec, doc/langdef.md, "Lexis")."""

from __future__ import annotations

import re

LEAST_INT, MOST_INT = -(1 << 63), (1 << 63) - 1

ESCAPE = re.compile(
    r"""\\(?:([abfnrtv\\?"'`])|[xX]([0-9a-fA-F]{2})|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})"""
    r"""|([0-3][0-7]{2})|([\s\S]?))"""
)
SHORT = {
    "a": "\a",
    "b": "\b",
    "f": "\f",
    "n": "\n",
    "r": "\r",
    "t": "\t",
    "v": "\v",
    "\\": "\\",
    "?": "?",
    '"': '"',
    "'": "'",
    "`": "`",
}


class BadLiteral(Exception):
    """A literal that CEL does not know; the text says why."""


def quoted(text: str) -> str:
    """What stands between the quotes, with escapes as they are."""
    return text[3:-3] if text[:3] in ('"""', "'''") else text[1:-1]


def string(text: str) -> str:
    """A quoted string without prefix."""
    return ESCAPE.sub(code_point, quoted(text)) if "\\" in text else quoted(text)


def raw(text: str) -> str | bytes:
    """A raw string, or raw bytes: nothing is an escape."""
    prefix = re.match("[rRbB]+", text)
    assert prefix is not None
    inner = quoted(text[prefix.end() :])
    return inner.encode() if "b" in prefix[0].lower() else inner


def byte_string(text: str) -> bytes:
    """A bytes literal: \\x and octal escapes are bytes, all else is UTF-8."""
    inner, out, at = quoted(text[1:]), bytearray(), 0
    for found in ESCAPE.finditer(inner):
        out += inner[at : found.start()].encode()
        numeric = found[2] and int(found[2], 16), found[5] and int(found[5], 8)
        if found[2] or found[5]:
            out.append(numeric[0] if found[2] else numeric[1])
        elif found[3] or found[4]:
            raise BadLiteral("bytes have no \\u or \\U escapes")
        else:
            out += code_point(found).encode()
        at = found.end()
    return bytes(out + inner[at:].encode())


def code_point(found: re.Match[str]) -> str:
    """The character that an escape stands for."""
    short, hexed, four, eight, octal, other = found.groups()
    if short:
        return SHORT[short]
    if other is not None:
        raise BadLiteral(f"unknown escape \\{other}")
    number = int(octal, 8) if octal else int(hexed or four or eight, 16)
    # Guards what is encoded later: surrogates are no characters.
    if number > 0x10FFFF or 0xD800 <= number < 0xE000:
        raise BadLiteral(f"\\{found[0][1:]} is no Unicode character")
    return chr(number)


def integer(text: str) -> int:
    """A decimal or hexadecimal int; it may be one more than the most, which a minus makes the least."""
    # Guards against Python's own bound on the digits of a number, and against the time that they take.
    if len(text) > 100:
        raise BadLiteral("a number of more than 100 digits")
    number = int(text, 16) if text[:2].lower() == "0x" else int(text)
    if number > MOST_INT + 1:
        raise BadLiteral(f"{text} is out of an int's 64 bits")
    return number


def in_range(number: object) -> bool:
    """Whether an int has 64 bits at most."""
    return isinstance(number, int) and LEAST_INT <= number <= MOST_INT


def double(text: str) -> float:
    """A floating point literal."""
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise BadLiteral(f"{text} is out of a double's range")
    return number
