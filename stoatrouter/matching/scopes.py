"""Assigns requests to scopes by host and path prefix, and checks that rules stay within their scope.

A request belongs to at most one scope: among those that claim its host, the one with the longest
matching path prefix. No team's rules therefore see another team's requests, and the order of scopes does not
matter.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Constraint
from stoatrouter.matching.records import Scope

ANY_HOST = "*"
HOST = ("host", "")


class Collision(NamedTuple):
    """A host and path prefix that two scopes claim."""

    first: str
    second: str
    host: str
    path: str


class ScopeIndex:
    """Finds the scope of a request by its host and path."""

    def __init__(self, scopes: Mapping[str, Scope]) -> None:
        """Index the claims of scopes; of two equal claims the first one takes effect.

        Args:
            scopes: The scopes by name.
        """
        self.by_host: dict[str, dict[str, str]] = {}  # scope names by host and path prefix
        for name, scope in scopes.items():
            for host in scope.hosts:
                for path in scope.paths:
                    self.by_host.setdefault(host, {}).setdefault(path, name)
        # Prefix lengths of each host in descending order.
        self.prefix_lengths = {
            host: tuple(sorted({len(path) for path in paths}, reverse=True))
            for host, paths in self.by_host.items()
        }
        wildcards = (host for host in self.by_host if host.startswith("*."))
        self.wildcards = tuple(sorted(wildcards, key=len, reverse=True))

    def find_scope(self, host: str, path: str) -> str | None:
        """Return the name of the scope that a request belongs to; None if no scope claims it.

        An exact host precedes `*.domain`, a longer domain precedes a shorter one, and both precede `*`.
        """
        for claim in self.find_claims(host):
            names = self.by_host[claim]
            for length in self.prefix_lengths[claim]:
                name = names.get(path[:length])
                if name is not None:
                    return name
        return None

    def find_claims(self, host: str) -> Iterable[str]:
        """Yield the claimed hosts that cover a host, in order of precedence."""
        if host in self.by_host:
            yield host
        for wildcard in self.wildcards:
            if host.endswith(wildcard[1:]):
                yield wildcard
        if ANY_HOST in self.by_host:
            yield ANY_HOST


def find_collisions(scopes: Mapping[str, Scope]) -> list[Collision]:
    """Return the hosts and path prefixes that more than one scope claims."""
    claims: dict[tuple[str, str], str] = {}
    collisions: list[Collision] = []
    for name, scope in scopes.items():
        for host in scope.hosts:
            for path in scope.paths:
                first = claims.setdefault((host, path), name)
                if first != name:
                    collisions.append(Collision(first, name, host, path))
    return collisions


def describe_outside(scope: Scope, condition: Condition) -> str | None:
    """Describe the first part of a condition that lies outside its scope; None if there is none.

    A rule with such a condition never matches.
    """
    for constraint in condition.constraints:
        if constraint.dimension == HOST:
            for host in constraint.values:
                if not any(covers_host(claim, host) for claim in scope.hosts):
                    return f"the host {host!r}"
        if constraint.dimension in (PATH, PREFIX):
            for path in constraint.values:
                if not any(reaches_claim(constraint, path, claim) for claim in scope.paths):
                    return f"the path {path!r}"
    return None


def reaches_claim(constraint: Constraint, path: str, claim: str) -> bool:
    """Return whether a path that meets a constraint by this value can lie below a claimed prefix."""
    return path.startswith(claim) or (constraint.dimension == PREFIX and claim.startswith(path))


def covers_host(claim: str, host: str) -> bool:
    """Return whether a claim of a scope covers a host; `*.domain` covers all hosts below the domain."""
    return claim in (ANY_HOST, host) or (claim.startswith("*.") and host.endswith(claim[1:]))
