"""Records and parses samples of request heads (request line and header fields), without I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from stoatrouter.matching.inputs import Input, read_input

MASK = b"***"  # replaces the value of a masked field
MAX_LINE_LENGTH = 65_536  # characters of one record; longer ones are not recorded


class Sampler:
    """Records the first of every `one_in` request heads, with the named header fields masked."""

    def __init__(self, one_in: int, mask: Iterable[str]) -> None:
        """Create a sampler.

        Args:
            one_in: The number of requests of which one is recorded.
            mask: The names of header fields whose values are not recorded, in upper or lower case.
        """
        self.one_in = one_in
        self.masked_fields = frozenset(name.lower().encode() for name in mask)
        self.request_count = 0

    def sample(self, request: Input, target: str, fields: Iterable[tuple[bytes, bytes]]) -> str | None:
        """Return the record of a request as a line of JSON; None if it is not recorded.

        Args:
            request: The parsed request.
            target: Its target as received.
            fields: Its header lines as received.
        """
        self.request_count += 1
        if (self.request_count - 1) % self.one_in:
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
    """Parse a record as a front parses the request; raises ValueError or UnreadableRequestError."""
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
        raise ValueError(f"not a recorded request: {error}") from None
    return read_input(method, target, fields, peer, size, request_class)


def read_samples(lines: Iterable[str]) -> Iterator[tuple[int, Input | Exception]]:
    """Yield the requests of a log with line numbers from 1; for an unreadable record, its error."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            yield number, read_sample(line)
        except Exception as error:  # noqa: BLE001 - passed to the caller with its line
            yield number, error
