"""Generates requests that match rules, from the constraints of the rules' conditions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Constraint
from stoatrouter.matching.inputs import Input, UnreadableRequestError, read_input
from stoatrouter.matching.table import CompiledScope

WILDCARD_LABEL = "any"  # replaces the star in a host pattern
FILLER_SEGMENT = "x"  # for path segments without a constraint
PEER_ADDRESS = "127.0.0.1"


@dataclass(slots=True)
class Draft:
    """A request under construction, to which the constraints of a condition are applied."""

    host: str
    method: str = "GET"
    path: str = ""
    query: list[str] = field(default_factory=list)
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)
    segments: dict[int, str] = field(default_factory=dict)

    def apply_constraint(self, constraint: Constraint) -> None:
        """Set the part that a constraint applies to to its smallest value; unknown dimensions are skipped."""
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
        """Return the request target: the path with its segments filled in, and the query."""
        path = fill_segments(self.path or default_path, self.segments)
        return path + ("?" + "&".join(self.query) if self.query else "")


def example_requests(compiled: CompiledScope) -> list[Input]:
    """Return a request for each rule of a scope, built from its constraints; unreadable ones are left out."""
    requests = []
    for rule in compiled.rules:
        try:
            requests.append(example_request(compiled, rule.condition))
        except UnreadableRequestError:
            continue
    return requests


def example_request(compiled: CompiledScope, condition: Condition) -> Input:
    """Return a request of a scope that satisfies the constraints of a condition.

    Raises:
        UnreadableRequestError: A front would reject the request before applying rules.
    """
    draft = Draft(compiled.scope.hosts[0].replace("*", WILDCARD_LABEL))
    for constraint in condition.constraints:
        draft.apply_constraint(constraint)
    fields = [(b"Host", draft.host.encode()), *draft.fields]
    return read_input(draft.method, draft.target(compiled.scope.paths[0]), fields, PEER_ADDRESS)


def fill_segments(path: str, segments: Mapping[int, str]) -> str:
    """Return a path with some segments replaced; it is extended if it has too few."""
    parts = path.split("/")[1:]
    for index, value in segments.items():
        parts += [FILLER_SEGMENT] * (index + 1 - len(parts))
        parts[index] = value
    return "/" + "/".join(parts)
