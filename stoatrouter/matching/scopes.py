"""Scopes: areas of teams by host and path prefix, and what a team's rules may reach.

A request belongs to one scope at most: among those that claim its host, the one with the longest path
prefix. So no team's rules see another's requests, and the order of scopes does not matter.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition
from stoatrouter.matching.records import Scope

ANY_HOST = "*"


class Areas:
    """Finds the scope of a request by its host and path."""

    def __init__(self, scopes: Mapping[str, Scope]) -> None:
        self.by_host: dict[str, dict[str, str]] = {}
        self.lengths: dict[str, tuple[int, ...]] = {}
        for name, scope in scopes.items():
            for host in scope.hosts:
                for path in scope.paths:
                    self.by_host.setdefault(host, {}).setdefault(path, name)
        for host, paths in self.by_host.items():
            self.lengths[host] = tuple(sorted({len(path) for path in paths}, reverse=True))
        self.suffixes = tuple(sorted((h for h in self.by_host if h.startswith("*.")), key=len, reverse=True))

    def owner(self, host: str, path: str) -> str | None:
        """The name of the scope; None where no scope claims the request.

        A host by its name precedes `*.domain`, a longer domain precedes a shorter one, and both precede `*`.
        """
        for claimed in self.claimed(host):
            paths = self.by_host[claimed]
            for length in self.lengths[claimed]:
                if (name := paths.get(path[:length])) is not None:
                    return name
        return None

    def claimed(self, host: str) -> Iterable[str]:
        """The claims that a host falls under, in order of precedence."""
        if host in self.by_host:
            yield host
        for suffix in self.suffixes:
            if host.endswith(suffix[1:]):
                yield suffix
        if ANY_HOST in self.by_host:
            yield ANY_HOST


def collisions(scopes: Mapping[str, Scope]) -> list[tuple[str, str, str, str]]:
    """Areas that two scopes claim: both names, the host and the path."""
    taken: dict[tuple[str, str], str] = {}
    found = []
    for name, scope in scopes.items():
        for host in scope.hosts:
            for path in scope.paths:
                first = taken.setdefault((host, path), name)
                if first != name:
                    found.append((first, name, host, path))
    return found


def outside(scope: Scope, wanted: Condition) -> str | None:
    """What of a condition lies outside its scope, so that it never matches; None where nothing does."""
    for demand in wanted.demands:
        if demand.dimension == ("host", ""):
            for host in demand.values:
                if not any(covers_host(claim, host) for claim in scope.hosts):
                    return f"the host {host!r}"
        if demand.dimension in (PATH, PREFIX):
            for path in demand.values:
                inside = any(
                    path.startswith(claim) or (demand.dimension == PREFIX and claim.startswith(path))
                    for claim in scope.paths
                )
                if not inside:
                    return f"the path {path!r}"
    return None


def covers_host(claim: str, host: str) -> bool:
    """Whether a claim of a scope covers a host; `*.domain` covers all hosts below it."""
    return claim in (ANY_HOST, host) or (claim.startswith("*.") and host.endswith(claim[1:]))
