"""One request at a time within a key, and hold-down after an unknown outcome. Terms: interface.py."""

from __future__ import annotations

from collections import deque

from stoatrouter.policy.request import Request
from stoatrouter.policy.units import READ_EVERY


class KeyOrder:
    """Requests of classes that are ordered by key, in order of arrival per key."""

    def __init__(self) -> None:
        """Start with no request queued and no key held down."""
        self.queues: dict[str, deque[Request]] = {}
        self.held_until: dict[str, int] = {}  # until when a key is held down, in microseconds

    def enqueue(self, request: Request) -> None:
        """Queue a request behind those of its key, if its class is ordered."""
        if request.request_class.ordered_by_key and request.key is not None:
            self.queues.setdefault(request.key, deque()).append(request)

    def blocked_until(self, request: Request, now: int) -> int:
        """From when the order of its key lets a request go; 0: now.

        A request's own retries do not wait for the hold-down.
        """
        key = request.key
        if not request.request_class.ordered_by_key or key is None:
            return 0
        held_until = self.held_until.get(key, 0)
        is_first = self.queues[key][0] is request
        if is_first and (request.attempts or now >= held_until):
            return 0
        return max(now + READ_EVERY, held_until)

    def leave(self, request: Request) -> Request | None:
        """Take a finished request out of its key's queue and hold the key down.

        Returns:
            The request whose turn comes at `held_until` of the key, if there is one.
        """
        key = request.key
        if not request.request_class.ordered_by_key or key is None:
            return None
        queue = self.queues.get(key)
        if not queue or request not in queue:
            return None
        queue.remove(request)
        self.held_until[key] = max(self.held_until.get(key, 0), request.key_held_until)
        return queue[0] if queue else None

    def forget_old(self, now: int) -> None:
        """Drop empty queues and hold-downs that are over."""
        self.held_until = {key: until for key, until in self.held_until.items() if until > now}
        self.queues = {key: queue for key, queue in self.queues.items() if queue}
