"""Counts the elements of reachable containers, for tests that memory does not grow."""

from __future__ import annotations

import gc
from types import FunctionType, MethodType, ModuleType

CONTAINERS = (dict, list, set, tuple)
STATELESS_TYPES = (ModuleType, FunctionType, MethodType, type, str, bytes, int, float)


def held(root: object) -> int:
    """Return how many elements are in the containers that are reachable from an object."""
    seen: set[int] = set()
    to_visit = [root]
    count = 0
    while to_visit:
        item = to_visit.pop()
        if id(item) in seen or isinstance(item, STATELESS_TYPES):
            continue
        seen.add(id(item))
        if isinstance(item, CONTAINERS) or hasattr(item, "popleft"):
            count += len(item)
        to_visit += gc.get_referents(item)
    return count
