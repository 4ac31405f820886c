"""Recorded request heads: which are recorded, what of them is written, how they are read. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from stoatrouter.matching.inputs import Input, read_input

MASK = b"***"  # in place of a masked field's value
MAX_LINE_LENGTH = 65_536  # characters of one record; longer heads are left out


class Sampler:
    """Samples the first of every `one_in` request heads and masks the named header fields."""

    def __init__(self, one_in: int, mask: Iterable[str]) -> None:
        """Sample from the next request on.

        Args:
            one_in: One of so many requests is recorded.
            mask: The names of header fields whose values are not recorded, in any case.
        """
        self.one_in = one_in
        self.masked_fields = frozenset(name.lower().encode() for name in mask)
        self.seen = 0

    def sample(self, request: Input, target: str, fields: Iterable[tuple[bytes, bytes]]) -> str | None:
        """Return the record of a request as a line of JSON; None where it is not in the sample.

        Args:
            request: The request as rules see it.
            target: Its target as it came.
            fields: Its header lines as they came.
        """
        self.seen += 1
        if (self.seen - 1) % self.one_in:
            return None
        record = {
            "method": request.method,
            "target": target,
            "fields": [self._record_field(name, value) for name, value in fields],
            "peer": request.peer,
            "size": request.size,
            "class": request.request_class,
        }
        line = json.dumps(record, separators=(",", ":"))
        return line if len(line) <= MAX_LINE_LENGTH else None

    def _record_field(self, name: bytes, value: bytes) -> list[str]:
        recorded = MASK if name.lower() in self.masked_fields else value
        return [name.decode("latin-1"), recorded.decode("latin-1")]


def read_sample(line: str) -> Input:
    """Parse a record as service would the request; raises ValueError or UnreadableRequestError."""
    try:
        record: dict[str, Any] = json.loads(line)
        fields = [
            (str(name).encode("latin-1"), str(value).encode("latin-1")) for name, value in record["fields"]
        ]
        method = str(record["method"])
        target = str(record["target"])
        peer = str(record.get("peer", "127.0.0.1"))
        size = int(record.get("size", -1))
        request_class = str(record.get("class", ""))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"no recorded request: {error}") from None
    return read_input(method, target, fields, peer, size, request_class)


def read_samples(lines: Iterable[str]) -> Iterator[tuple[int, Input | Exception]]:
    """Yield all records of a log with their line numbers from 1; an unreadable one as its error."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            yield number, read_sample(line)
        except Exception as error:  # noqa: BLE001 - handed on, with its line
            yield number, error
