"""Counts what is held, for tests of memory that must not grow."""

from __future__ import annotations

import gc
from types import FunctionType, MethodType, ModuleType

CONTAINERS = (dict, list, set, tuple)
NOT_STATE = (ModuleType, FunctionType, MethodType, type, str, bytes, int, float)


def held(root: object) -> int:
    """How many elements the containers hold that can be reached from an object."""
    seen: set[int] = set()
    to_visit, count = [root], 0
    while to_visit:
        found = to_visit.pop()
        if id(found) in seen or isinstance(found, NOT_STATE):
            continue
        seen.add(id(found))
        if isinstance(found, CONTAINERS) or hasattr(found, "popleft"):
            count += len(found)
        to_visit += gc.get_referents(found)
    return count
