"""The retry budget over an exact sliding window. Its parameters: `Rules` in interface.py."""

from __future__ import annotations

from collections import deque

from stoatrouter.policy.interface import Rules


class RetryBudget:
    """Counts arrivals and retries; retries are allowed up to a minimum plus a ratio of the arrivals.

    Entries older than the window are dropped with each arrival, not only when a retry is considered: without
    failures that may not happen for hours, and memory would grow with each request.
    """

    def __init__(self, rules: Rules) -> None:
        """Start with nothing counted; without `retry_budget_window` every retry is allowed."""
        self.rules = rules
        self.arrivals = deque[int]()  # microseconds
        self.retries = deque[int]()  # microseconds

    def note_arrival(self, now: int) -> None:
        """Record a client's request that arrived at `now` (microseconds)."""
        if self.rules.retry_budget_window is None:
            return
        self.arrivals.append(now)
        self._drop_old(now, self.rules.retry_budget_window)

    def note_retry(self, now: int) -> None:
        """Record a retry sent at `now` (microseconds)."""
        if self.rules.retry_budget_window is not None:
            self.retries.append(now)

    def allows_retry(self, now: int) -> bool:
        """Return whether the budget allows one more retry at `now` (microseconds)."""
        rules = self.rules
        if rules.retry_budget_window is None:
            return True
        self._drop_old(now, rules.retry_budget_window)
        allowed = rules.retry_budget_min + rules.retry_budget_ratio * len(self.arrivals)
        return len(self.retries) + 1 <= allowed

    def forget_old(self, now: int) -> None:
        """Drop entries that have left the window by `now` (microseconds), even without any arrivals."""
        if self.rules.retry_budget_window is not None:
            self._drop_old(now, self.rules.retry_budget_window)

    def _drop_old(self, now: int, window: int) -> None:
        drop_before(self.retries, now - window)
        drop_before(self.arrivals, now - window + 1)


def drop_before(times: deque[int], first: int) -> None:
    """Drop all times before `first` from the left of an ascending queue."""
    while times and times[0] < first:
        times.popleft()
