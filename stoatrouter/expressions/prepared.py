"""What is made once, at load, of a literal: a regular expression, a network, a duration."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from datetime import timedelta

from stoatrouter.expressions.runtime import Network, duration_of_text

MOST_PATTERN_MEMORY = 1 << 20  # bytes that RE2 may take for a pattern and its automata


def pattern(text: str) -> Callable[[str], bool]:
    """Whether an RE2 pattern is found anywhere in a text; linear in the text. ValueError where it is none."""
    import re2

    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = MOST_PATTERN_MEMORY, False, True
    try:
        compiled = re2.compile(text, options)
    except re2.error as error:
        reason = error.args[0] if error.args else error
        raise ValueError(reason.decode() if isinstance(reason, bytes) else str(reason)) from None
    # The package's search() builds a match object of 4 us; the matcher below it needs 1 us (design note).
    matcher = compiled._regexp
    unanchored, match = type(matcher).Anchor.UNANCHORED, matcher.Match

    def found(searched: str) -> bool:
        data = searched.encode()
        return match(unanchored, data, 0, len(data))[0][0] >= 0

    return found


def network(text: str) -> Network:
    """A network in CIDR notation; ValueError where it is none, or has bits beyond its prefix."""
    if "/" not in text or "%" in text:
        raise ValueError("a network is written like 10.0.0.0/8")
    return ipaddress.ip_network(text)


def duration(text: str) -> timedelta:
    return duration_of_text(text)
