r"""Parses literals of settings files by CUE's specification ("Numeric literals", "String literals").

Interpolation, `\(...)`, and escapes within raw strings are not supported.
"""

from __future__ import annotations

import re

MAX_DIGITS = 300  # characters of a number without its multiplier
MAX_NUMBER_SHOWN = 40  # characters of a number in a message
MULTIPLIERS = {
    "K": 10**3,
    "M": 10**6,
    "G": 10**9,
    "T": 10**12,
    "Ki": 2**10,
    "Mi": 2**20,
    "Gi": 2**30,
    "Ti": 2**40,
}
NUMBER_WITH_MULTIPLIER = re.compile(r"(.*?)([KMGT]i?)?")
ESCAPE = re.compile(r"\\(?:([abfnrtv/\\\"])|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})|([\s\S]))")
ESCAPE_VALUES = dict(zip('abfnrtv/\\"', '\a\b\f\n\r\t\v/\\"', strict=True))
INVALID_CODE_POINT = "110000"  # in hex, one more than the highest code point of Unicode


class LiteralError(Exception):
    """A literal is not accepted."""

    def __init__(self, what: str, remedy: str = "") -> None:
        """Store what is wrong and how to correct it; the remedy is empty if that cannot be guessed."""
        super().__init__(what)
        self.what = what
        self.remedy = remedy


def read_number(literal: str) -> int | float:
    """Return the value of an unsigned number, including its multiplier (`64Ki`).

    Raises:
        LiteralError: The number has a leading zero, or is longer than `MAX_DIGITS`.
    """
    text = literal.replace("_", "")
    if text[:2] == "0x":
        return int(text, 16)
    found = NUMBER_WITH_MULTIPLIER.fullmatch(text)
    assert found is not None
    digits = found[1]
    factor = MULTIPLIERS.get(found[2] or "", 1)
    # Python limits the digits of an int. Leading zeros are likely typing errors, and CUE rejects them too.
    if len(digits) > MAX_DIGITS or re.match("0[0-9]", digits):
        raise LiteralError(f"{literal[:MAX_NUMBER_SHOWN]} is not a valid number")
    if "." in digits or "e" in digits.lower():
        scaled = float(digits) * factor
        return int(scaled) if factor > 1 and scaled == int(scaled) else scaled
    return int(digits) * factor


def read_string(literal: str) -> str:
    """Return the value of a single-line string in `"`."""
    return unescape(literal[1:-1])


def read_multiline(literal: str) -> str:
    '''Return the value of a multi-line string in `"""`.'''
    return unescape(dedent(literal[4:-3]))


def read_raw(literal: str) -> str:
    r"""Return the value of a raw string between `#"` and `"#`, in which only `\#` starts an escape.

    Raises:
        LiteralError: The string has such an escape.
    """
    text = dedent(literal[5:-4]) if literal.startswith('#"""') else literal[2:-2]
    if "\\#" in text:
        raise LiteralError('escapes in #"..."# are not supported')
    return text


def dedent(text: str) -> str:
    """Remove from the lines of a multi-line string the white space that precedes its closing quotes.

    Raises:
        LiteralError: A line is indented less, or the closing quotes are not on a line of their own.
    """
    *lines, last = text.split("\n")
    if last.strip(" \t"):
        raise LiteralError("the closing quotes of a multi-line string must be on a line of their own")
    if any(line.strip(" \t") and not line.startswith(last) for line in lines):
        raise LiteralError("a line of a multi-line string is indented less than its closing quotes")
    return "\n".join(line.removeprefix(last) for line in lines)


def unescape(text: str) -> str:
    """Replace the escapes of a text.

    Raises:
        LiteralError: The text has an escape that CUE does not define, a surrogate, or an interpolation.
    """
    return ESCAPE.sub(_unescaped, text) if "\\" in text else text


def _unescaped(found: re.Match[str]) -> str:
    short, four, eight, other = found.groups()
    if short is not None:
        return ESCAPE_VALUES[short]
    if other == "(":
        raise LiteralError("interpolation is not supported")
    code_point = int(four or eight or INVALID_CODE_POINT, 16)
    if other is not None or code_point > 0x10FFFF or 0xD800 <= code_point < 0xE000:
        raise LiteralError(f"unknown escape {found[0]}", 'write \\\\ or use #"..."#')
    return chr(code_point)
