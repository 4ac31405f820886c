"""Requests that apply_constraint rules, built from the constraints of the rules' conditions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Constraint
from stoatrouter.matching.inputs import Input, UnreadableRequestError, read_input
from stoatrouter.matching.table import CompiledScope

WILDCARD_LABEL = "any"  # in place of the star of a host
FILLER_SEGMENT = "x"  # a segment of a path that no constraint names
PEER_ADDRESS = "127.0.0.1"


@dataclass(slots=True)
class Draft:
    """A request in its parts, while the constraints of a condition are put into it."""

    host: str
    method: str = "GET"
    path: str = ""
    query: list[str] = field(default_factory=list)
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)
    segments: dict[int, str] = field(default_factory=dict)

    def apply_constraint(self, constraint: Constraint) -> None:
        """Put the least value that a constraint allows into its place; other dimensions are left out."""
        kind, name = constraint.dimension
        value = min(constraint.values)
        if kind == "host":
            self.host = value
        elif kind == "method":
            self.method = value
        elif constraint.dimension in (PATH, PREFIX):
            self.path = max(self.path, value, key=len)
        elif kind == "segment":
            self.segments[int(name)] = value
        elif kind == "header":
            self.fields.append((name.encode(), value.encode()))
        elif kind == "query":
            self.query.append(f"{name}={value}")

    def target(self, default_path: str) -> str:
        """The path, with its segments put in, and the query."""
        path = fill_segments(self.path or default_path, self.segments)
        return path + ("?" + "&".join(self.query) if self.query else "")


def example_requests(compiled: CompiledScope) -> list[Input]:
    """A request for each rule of a scope, as far as its constraints tell; none where that cannot be read."""
    requests = []
    for rule in compiled.rules:
        try:
            requests.append(example_request(compiled, rule.condition))
        except UnreadableRequestError:
            continue
    return requests


def example_request(compiled: CompiledScope, condition: Condition) -> Input:
    """A request of a scope that meets the constraints of a condition.

    Raises:
        UnreadableRequestError: A front would reject it before any rule.
    """
    draft = Draft(compiled.scope.hosts[0].replace("*", WILDCARD_LABEL))
    for constraint in condition.constraints:
        draft.apply_constraint(constraint)
    fields = [(b"Host", draft.host.encode()), *draft.fields]
    return read_input(draft.method, draft.target(compiled.scope.paths[0]), fields, PEER_ADDRESS)


def fill_segments(path: str, segments: Mapping[int, str]) -> str:
    """A path with some segments replaced, lengthened where it has too few."""
    parts = path.split("/")[1:]
    for at, value in segments.items():
        parts += [FILLER_SEGMENT] * (at + 1 - len(parts))
        parts[at] = value
    return "/" + "/".join(parts)
