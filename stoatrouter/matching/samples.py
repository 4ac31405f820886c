"""Recorded request heads: which are taken, what of them is written, and how they are read again. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from stoatrouter.matching.inputs import Input, read_input

MASKED = b"***"
LONGEST_LINE = 65_536  # characters of one record; longer heads are left out and counted


class Sampler:
    """Takes one head in `one_in`, the first of each so many, and masks what is named."""

    def __init__(self, one_in: int, mask: Iterable[str]) -> None:
        self.one_in, self.mask = one_in, frozenset(name.lower().encode() for name in mask)
        self.seen = 0

    def take(self, given: Input, target: str, fields: Iterable[tuple[bytes, bytes]]) -> str | None:
        """The record of a request, or None where it is not one of the sample."""
        self.seen += 1
        if (self.seen - 1) % self.one_in:
            return None
        kept = [
            [name.decode("latin-1"), (MASKED if name.lower() in self.mask else value).decode("latin-1")]
            for name, value in fields
        ]
        line = json.dumps(
            {
                "method": given.method,
                "target": target,
                "fields": kept,
                "peer": given.peer,
                "size": given.size,
                "class": given.request_class,
            },
            separators=(",", ":"),
        )
        return line if len(line) <= LONGEST_LINE else None


def read_sample(line: str) -> Input:
    """A recorded request, as service read it. Raises ValueError, or Unreadable as service would."""
    try:
        said: dict[str, Any] = json.loads(line)
        fields = [
            (str(name).encode("latin-1"), str(value).encode("latin-1")) for name, value in said["fields"]
        ]
        method, target, peer = str(said["method"]), str(said["target"]), str(said.get("peer", "127.0.0.1"))
        size, kind = int(said.get("size", -1)), str(said.get("class", ""))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"no recorded request: {error}") from None
    return read_input(method, target, fields, peer, size, kind)


def read_samples(lines: Iterable[str]) -> Iterator[tuple[int, Input | Exception]]:
    """All of a log, by line from 1; what cannot be read is given as the error that it is."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            yield number, read_sample(line)
        except Exception as error:  # noqa: BLE001 - handed on, with its line
            yield number, error
