"""Literals as CEL writes them (cel-spec, doc/langdef.md, "Lexis")."""

from __future__ import annotations

import re

MIN_INT = -(1 << 63)
MAX_INT = (1 << 63) - 1
MAX_INT_LITERAL_LENGTH = 100  # characters of an int

ESCAPE = re.compile(
    r"""\\(?:([abfnrtv\\?"'`])|[xX]([0-9a-fA-F]{2})|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})"""
    r"""|([0-3][0-7]{2})|([\s\S]?))"""
)
ESCAPED = dict(zip("abfnrtv\\?\"'`", "\a\b\f\n\r\t\v\\?\"'`", strict=True))


class LiteralError(Exception):
    """A literal that CEL does not know; the text says why."""


def strip_quotes(text: str) -> str:
    """What stands between the quotes, with escapes as they are."""
    return text[3:-3] if text[:3] in ('"""', "'''") else text[1:-1]


def read_string(text: str) -> str:
    """The value of a quoted string without prefix.

    Raises:
        LiteralError: An escape that CEL does not know.
    """
    inner = strip_quotes(text)
    return ESCAPE.sub(read_escape, inner) if "\\" in text else inner


def read_raw(text: str) -> str | bytes:
    """The value of a raw string, or of raw bytes: nothing is an escape."""
    prefix = re.match("[rRbB]+", text)
    assert prefix is not None
    inner = strip_quotes(text[prefix.end() :])
    return inner.encode() if "b" in prefix[0].lower() else inner


def read_bytes(text: str) -> bytes:
    r"""The value of a bytes literal: \x and octal escapes are bytes, all else is UTF-8.

    Raises:
        LiteralError: An escape that CEL does not know, or has for strings alone.
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
            raise LiteralError("bytes have no \\u or \\U escapes")
        else:
            data += read_escape(found).encode()
        end = found.end()
    return bytes(data + inner[end:].encode())


def read_escape(found: re.Match[str]) -> str:
    """The character that an escape stands for.

    Raises:
        LiteralError: CEL does not know it, or it is no character.
    """
    short, two, four, eight, octal, other = found.groups()
    if short:
        return ESCAPED[short]
    if other is not None:
        raise LiteralError(f"unknown escape \\{other}")
    number = int(octal, 8) if octal else int(two or four or eight, 16)
    # Guards what is encoded later: surrogates are no characters.
    if number > 0x10FFFF or 0xD800 <= number < 0xE000:
        raise LiteralError(f"\\{found[0][1:]} is no Unicode character")
    return chr(number)


def read_int(text: str) -> int:
    """The value of a decimal or hexadecimal int without a sign.

    It may be one more than the greatest int, which a minus makes the least.

    Raises:
        LiteralError: It is longer than `MAX_DIGITS`, or has more than 64 bits.
    """
    # Guards against Python's own bound on the digits of a number, and against the time that they take.
    if len(text) > MAX_INT_LITERAL_LENGTH:
        raise LiteralError(f"a number of more than {MAX_INT_LITERAL_LENGTH} digits")
    number = int(text, 16) if text[:2].lower() == "0x" else int(text)
    if number > MAX_INT + 1:
        raise LiteralError(f"{text} is out of an int's 64 bits")
    return number


def in_range(number: object) -> bool:
    """Whether a value is an int of 64 bits at most."""
    return isinstance(number, int) and MIN_INT <= number <= MAX_INT


def read_double(text: str) -> float:
    """The value of a floating point literal.

    Raises:
        LiteralError: It is greater than the greatest double.
    """
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise LiteralError(f"{text} is out of a double's range")
    return number
