r"""Literals of settings files: their values, by CUE's specification ("Numeric literals", "String literals").

Left out are interpolation, `\(...)`, and escapes within raw strings.
"""

from __future__ import annotations

import re

MAX_DIGITS = 300  # characters of a number
LONGEST_NUMBER = 40  # characters of a number in a message
SUFFIXES = {
    "K": 10**3,
    "M": 10**6,
    "G": 10**9,
    "T": 10**12,
    "Ki": 2**10,
    "Mi": 2**20,
    "Gi": 2**30,
    "Ti": 2**40,
}
SUFFIXED = re.compile(r"(.*?)([KMGT]i?)?")
ESCAPE = re.compile(r"\\(?:([abfnrtv/\\\"])|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})|([\s\S]))")
ESCAPED = dict(zip('abfnrtv/\\"', '\a\b\f\n\r\t\v/\\"', strict=True))
NO_CODE_POINT = "110000"  # in hex, one more than Unicode has


class LiteralError(Exception):
    """A literal that is not accepted: why, and what would be right."""

    def __init__(self, what: str, remedy: str = "") -> None:
        """Keep both parts of the message; the remedy is empty where there is no good guess."""
        super().__init__(what)
        self.what = what
        self.remedy = remedy


def read_number(literal: str) -> int | float:
    """The value of a number without a sign, its multiplier (`64Ki`) included.

    Raises:
        LiteralError: It begins with 0, or is longer than `MAX_DIGITS`.
    """
    text = literal.replace("_", "")
    if text[:2] == "0x":
        return int(text, 16)
    found = SUFFIXED.fullmatch(text)
    assert found is not None
    digits = found[1]
    factor = SUFFIXES.get(found[2] or "", 1)
    # Guards Python's bound on digits, and typing slips: CUE has no numbers that start with 0 either.
    if len(digits) > MAX_DIGITS or re.match("0[0-9]", digits):
        raise LiteralError(f"{literal[:LONGEST_NUMBER]} is no number")
    if "." in digits or "e" in digits.lower():
        scaled = float(digits) * factor
        return int(scaled) if factor > 1 and scaled == int(scaled) else scaled
    return int(digits) * factor


def read_string(literal: str) -> str:
    """The value of a string in one line, within `"`."""
    return unescape(literal[1:-1])


def read_multiline(literal: str) -> str:
    '''The value of a string of several lines, within `"""`.'''
    return unescape(dedent(literal[4:-3]))


def read_raw(literal: str) -> str:
    r"""The value of a string within `#"` and `"#`, in which only `\#` would be an escape.

    Raises:
        LiteralError: It has such an escape.
    """
    text = dedent(literal[5:-4]) if literal.startswith('#"""') else literal[2:-2]
    if "\\#" in text:
        raise LiteralError('escapes within #"..."# are not part of the subset that is read here')
    return text


def dedent(text: str) -> str:
    """The lines of a multi-line string without the white space that stands before its closing quotes.

    Raises:
        LiteralError: A line is indented less, or the closing quotes do not stand alone.
    """
    *lines, last = text.split("\n")
    if last.strip(" \t"):
        raise LiteralError("the closing quotes of a multi-line string stand on a line of their own")
    if any(line.strip(" \t") and not line.startswith(last) for line in lines):
        raise LiteralError("a line of a multi-line string is indented less than its closing quotes")
    return "\n".join(line.removeprefix(last) for line in lines)


def unescape(text: str) -> str:
    """A text with its escapes replaced.

    Raises:
        LiteralError: An escape that CUE does not know, a surrogate, or an interpolation.
    """
    return ESCAPE.sub(_unescaped, text) if "\\" in text else text


def _unescaped(found: re.Match[str]) -> str:
    short, four, eight, other = found.groups()
    if short is not None:
        return ESCAPED[short]
    if other == "(":
        raise LiteralError("interpolation is not part of the subset that is read here")
    code_point = int(four or eight or NO_CODE_POINT, 16)
    if other is not None or code_point > 0x10FFFF or 0xD800 <= code_point < 0xE000:
        raise LiteralError(f"unknown escape {found[0]}", 'write \\\\ or use #"..."#')
    return chr(code_point)
