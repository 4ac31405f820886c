"""Recorded request heads: which are taken, what of them is written, how they are read. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from stoatrouter.matching.inputs import Input, read_input

MASKED = b"***"
LONGEST_LINE = 65_536  # characters of one record; longer heads are left out and counted


class Sampler:
    """Takes the first of every `one_in` request heads and masks the named header fields."""

    def __init__(self, one_in: int, mask: Iterable[str]) -> None:
        self.one_in, self.mask = one_in, frozenset(name.lower().encode() for name in mask)
        self.seen = 0

    def take(self, given: Input, target: str, fields: Iterable[tuple[bytes, bytes]]) -> str | None:
        """The record of a request, or None where it is not in the sample."""
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
    """Parse a record as service would the request; raises ValueError or Unreadable."""
    try:
        record: dict[str, Any] = json.loads(line)
        fields = [
            (str(name).encode("latin-1"), str(value).encode("latin-1")) for name, value in record["fields"]
        ]
        method, target = str(record["method"]), str(record["target"])
        peer = str(record.get("peer", "127.0.0.1"))
        size, kind = int(record.get("size", -1)), str(record.get("class", ""))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"no recorded request: {error}") from None
    return read_input(method, target, fields, peer, size, kind)


def read_samples(lines: Iterable[str]) -> Iterator[tuple[int, Input | Exception]]:
    """All records of a log with their line numbers from 1; an unreadable one is given as its error."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            yield number, read_sample(line)
        except Exception as error:  # noqa: BLE001 - handed on, with its line
            yield number, error
