"""Request timers, final answers and removal of finished requests. Actions: interface.py."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Effect, Group
from stoatrouter.policy.key_order import KeyOrder
from stoatrouter.policy.request import Request
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.volume import Volume

# Volume, key, class and units, by which a client's retry of a request is recognized.
RequestIdentity = tuple[Volume, str | None, str, float]


class RequestLifecycle:
    """Sets requests' timers, answers requests, and closes them."""

    def __init__(self, state: SchedulerState, key_order: KeyOrder) -> None:
        """Use the scheduler's shared state; no timer is set yet."""
        settings = state.settings
        self.state = state
        self.key_order = key_order
        self.max_retry_after = settings.max_retry_after if settings.accepts_retry_after else 0
        self.timers: dict[int, Request] = {}
        self.last_token = 0
        # Objective and deadline (microseconds) of requests that were recently rejected or failed.
        self.unserved: dict[RequestIdentity, tuple[int, int]] = {}

    def set_timer(self, at: int, request: Request, now: int) -> None:
        """Set a timer to re-examine a request at `at` (microseconds)."""
        self.last_token += 1
        self.timers[self.last_token] = request
        self.state.actions.append(api.SetTimer(max(0, at - now), self.last_token))

    def objective_at(
        self, event: api.RequestArrived, volume: Volume, kind: api.RequestClass, now: int
    ) -> int:
        """Return by when to answer an arrived request: within its objective, before its client leaves.

        A client's retry of a request that was not served keeps the objective of the first request.
        """
        leaves_at = now + max(0, event.time_left)
        identity = (volume, event.key, kind.name, event.units)
        objective_at, deadline = self.unserved.pop(identity, (leaves_at, 0))
        is_client_retry = event.repeat or leaves_at <= deadline + self.state.min_latency
        if not is_client_retry:
            objective_at = leaves_at
        return min(now + kind.latency_objective, leaves_at, objective_at)

    def finish(self, request: Request, now: int) -> None:
        """Give the final answer: a rejection where a retry is harmless, otherwise a failure."""
        identity = (request.volume, request.key, request.request_class.name, request.units)
        self.unserved[identity] = (request.objective_at, request.deadline)
        retry_after = self._retry_after(request, now)
        if retry_is_harmless(request):
            self.state.actions.append(api.Reject(request.id, retry_after))
        else:
            self.state.actions.append(api.Fail(request.id))
        self.close(request, now)

    def _retry_after(self, request: Request, now: int) -> int:
        """Return how long (microseconds) the volume's limit and the node's pace hold such a request back."""
        node_available_at = request.node.next_send_at(now) if request.node is not None else now
        available_at = request.volume.available_at(now, request.units)
        return max(0, min(self.max_retry_after, max(node_available_at, available_at) - now))

    def close(self, request: Request, now: int) -> None:
        """Stop sending a request, and remove it once no attempt is in flight."""
        request.done = True
        if request.node is not None:
            request.node.pending.pop(request.id, None)
        if request.in_flight():
            return
        if self.state.requests.pop(request.id, None) is not None:
            request.volume.open_requests -= 1
        next_in_order = self.key_order.dequeue(request)
        if next_in_order is not None and request.key is not None:
            self.set_timer(self.key_order.hold_down_until[request.key], next_in_order, now)

    def forget_old(self, now: int) -> None:
        """Drop unserved requests whose clients can no longer retry in time."""
        self.unserved = {identity: times for identity, times in self.unserved.items() if times[1] > now}


def retry_is_harmless(request: Request) -> bool:
    """Return whether the client may repeat a request without a second effect."""
    effect = request.request_class.effect
    if effect is Effect.SAFE or not request.may_have_run():
        return True
    return effect is Effect.IDEMPOTENT and request.request_class.group is Group.ALL
