"""Ids of requests that nodes may have run, and what a request with such an id is answered.

An id is spent by the first attempt of a request whose class does not allow any number of runs. It stays spent
after the answer, and after its client has left: the attempt may have run, or may still run.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from stoatrouter.core.durations import from_microseconds, to_microseconds
from stoatrouter.core.requests import Answer, Failed, Refused
from stoatrouter.policy import interface as api


class SpentIds:
    """Ids with the times at which they were spent, dropped in that order."""

    def __init__(self, span: timedelta, limit: int) -> None:
        """Start with none.

        Args:
            span: How long an id stays spent.
            limit: The most ids; at this number no further request that would spend one is admitted.
        """
        self.span = span
        self.limit = limit
        self._spent_at: dict[str, timedelta] = {}

    def __contains__(self, request: str) -> bool:
        """Return whether an id is spent."""
        return request in self._spent_at

    def __len__(self) -> int:
        """Return the number of ids that are remembered."""
        return len(self._spent_at)

    def rejection(self, request: str, request_class: api.RequestClass, now: timedelta) -> Answer | None:
        """Return the answer to a request whose id is spent, or could not be remembered; None: it may run."""
        if request_class.effect is api.Effect.SAFE:
            return None
        self.forget_old(now)
        if request in self:
            return answer_to_spent(request_class)
        return Refused(None) if len(self) >= self.limit else None

    def add(self, request: str, now: timedelta) -> None:
        """Remember that an id was spent at `now`, or before."""
        self._spent_at.setdefault(request, now)

    def add_all(self, requests: Iterable[str], now: timedelta) -> None:
        """Remember that these ids were spent at `now`, or before."""
        for request in requests:
            self.add(request, now)

    def discard(self, request: str) -> None:
        """Forget an id: none of its attempts has run."""
        self._spent_at.pop(request, None)

    def forget_old(self, now: timedelta) -> None:
        """Drop the ids whose time is over."""
        while self._spent_at:
            request, spent_at = next(iter(self._spent_at.items()))
            if now - spent_at <= self.span:
                return
            del self._spent_at[request]

    def written(self, now: timedelta) -> list[list[Any]]:
        """Return the ids as plain data, each with its age in microseconds, oldest first."""
        self.forget_old(now)
        return [[request, to_microseconds(now - at)] for request, at in self._spent_at.items()]

    def restore(self, data: Iterable[Any], now: timedelta) -> None:
        """Add the output of `written`; raises TypeError or ValueError if it is malformed."""
        for request, age in data:
            self.add(str(request), now - from_microseconds(int(age)))


def retention_of(classes: Iterable[api.RequestClass]) -> timedelta:
    """Return how long ids stay spent: the longest deadline, and the longest window for repeats after it."""
    classes = tuple(classes)
    longest = max(c.deadline for c in classes) + max(c.repeat_window for c in classes)
    return from_microseconds(longest)


def answer_to_spent(request_class: api.RequestClass) -> Answer:
    """Return the answer to a request whose id is spent.

    Where all nodes discard repeats of a request, trying again is harmless, so it is refused.
    """
    if request_class.effect is api.Effect.IDEMPOTENT and request_class.group is api.Group.ALL:
        return Refused(None)
    return Failed()
