"""Parses CEL literals (cel-spec, doc/langdef.md, "Lexis")."""

from __future__ import annotations

import re

MIN_INT = -(1 << 63)
MAX_INT = (1 << 63) - 1
MAX_INT_LITERAL_LENGTH = 100  # characters of an int literal

ESCAPE = re.compile(
    r"""\\(?:([abfnrtv\\?"'`])|[xX]([0-9a-fA-F]{2})|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})"""
    r"""|([0-3][0-7]{2})|([\s\S]?))"""
)
ESCAPED = dict(zip("abfnrtv\\?\"'`", "\a\b\f\n\r\t\v\\?\"'`", strict=True))


class LiteralError(Exception):
    """A literal is not valid in CEL; the message says why."""


def strip_quotes(text: str) -> str:
    """Return the text between the quotes, with escapes unchanged."""
    return text[3:-3] if text[:3] in ('"""', "'''") else text[1:-1]


def read_string(text: str) -> str:
    """Return the value of a quoted string without a prefix.

    Raises:
        LiteralError: An escape is not valid in CEL.
    """
    inner = strip_quotes(text)
    return ESCAPE.sub(read_escape, inner) if "\\" in text else inner


def read_raw(text: str) -> str | bytes:
    """Return the value of a raw string or raw bytes, in which there are no escapes."""
    prefix = re.match("[rRbB]+", text)
    assert prefix is not None
    inner = strip_quotes(text[prefix.end() :])
    return inner.encode() if "b" in prefix[0].lower() else inner


def read_bytes(text: str) -> bytes:
    r"""Return the value of a bytes literal: \x and octal escapes are bytes, all else is encoded as UTF-8.

    Raises:
        LiteralError: An escape is not valid in CEL, or only in strings.
    """
    inner = strip_quotes(text[1:])
    data = bytearray()
    end = 0
    for found in ESCAPE.finditer(inner):
        data += inner[end : found.start()].encode()
        if found[2]:
            data.append(int(found[2], 16))
        elif found[5]:
            data.append(int(found[5], 8))
        elif found[3] or found[4]:
            raise LiteralError("\\u and \\U escapes are not allowed in bytes")
        else:
            data += read_escape(found).encode()
        end = found.end()
    return bytes(data + inner[end:].encode())


def read_escape(found: re.Match[str]) -> str:
    """Return the character that an escape denotes.

    Raises:
        LiteralError: The escape is not valid in CEL, or denotes no Unicode character.
    """
    short, two, four, eight, octal, other = found.groups()
    if short:
        return ESCAPED[short]
    if other is not None:
        raise LiteralError(f"unknown escape \\{other}")
    number = int(octal, 8) if octal else int(two or four or eight, 16)
    # Surrogates are not characters, and encoding them later would fail.
    if number > 0x10FFFF or 0xD800 <= number < 0xE000:
        raise LiteralError(f"\\{found[0][1:]} is not a Unicode character")
    return chr(number)


def read_int(text: str) -> int:
    """Return the value of a decimal or hexadecimal int without a sign.

    The value may be `MAX_INT + 1`, as a minus sign makes it `MIN_INT`.

    Raises:
        LiteralError: The literal is longer than `MAX_INT_LITERAL_LENGTH`, or does not fit into 64 bits.
    """
    # Avoids Python's own limit on the digits of an int, and the time to convert many digits.
    if len(text) > MAX_INT_LITERAL_LENGTH:
        raise LiteralError(f"the number has more than {MAX_INT_LITERAL_LENGTH} digits")
    number = int(text, 16) if text[:2].lower() == "0x" else int(text)
    if number > MAX_INT + 1:
        raise LiteralError(f"{text} does not fit into a 64-bit int")
    return number


def in_range(number: object) -> bool:
    """Return whether a value is an int that fits into 64 bits."""
    return isinstance(number, int) and MIN_INT <= number <= MAX_INT


def read_double(text: str) -> float:
    """Return the value of a floating-point literal.

    Raises:
        LiteralError: The value exceeds the largest double.
    """
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise LiteralError(f"{text} is out of the range of double")
    return number
