"""Per-key ordering: one request at a time, and a hold-down after an unknown outcome. Terms: interface.py."""

from __future__ import annotations

from collections import deque

from stoatrouter.policy.request import Request
from stoatrouter.policy.units import CONTROL_INTERVAL


class KeyOrder:
    """Queues requests of ordered classes by key, in order of arrival."""

    def __init__(self) -> None:
        """Start with no request queued and no key held down."""
        self.queues: dict[str, deque[Request]] = {}
        self.hold_down_until: dict[str, int] = {}  # until when a key is held down, in microseconds

    def enqueue(self, request: Request) -> None:
        """Append a request to the queue of its key, if its class is ordered by key."""
        if request.request_class.ordered_by_key and request.key is not None:
            self.queues.setdefault(request.key, deque()).append(request)

    def blocked_until(self, request: Request, now: int) -> int:
        """Return from when its key's order allows a request of an ordered class (microseconds); 0: now.

        A request's own retries do not wait for the hold-down.
        """
        key = request.key
        if key is None:
            return 0
        hold_down_until = self.hold_down_until.get(key, 0)
        is_first = self.queues[key][0] is request
        if is_first and (request.attempts or now >= hold_down_until):
            return 0
        return max(now + CONTROL_INTERVAL, hold_down_until)

    def dequeue(self, request: Request) -> Request | None:
        """Remove a finished request from its key's queue and hold the key down.

        Returns:
            The next request of the key, which may be sent at the key's `hold_down_until`; None without any.
        """
        key = request.key
        if not request.request_class.ordered_by_key or key is None:
            return None
        queue = self.queues.get(key)
        if not queue or request not in queue:
            return None
        queue.remove(request)
        self.hold_down_until[key] = max(self.hold_down_until.get(key, 0), request.key_hold_down_until)
        return queue[0] if queue else None

    def forget_old(self, now: int) -> None:
        """Drop empty queues and expired hold-downs."""
        self.hold_down_until = {key: until for key, until in self.hold_down_until.items() if until > now}
        self.queues = {key: queue for key, queue in self.queues.items() if queue}
