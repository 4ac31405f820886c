"""The end of a request and its timers: the final answer, and what is forgotten. Actions: interface.py."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Effect, Group
from stoatrouter.policy.key_order import KeyOrder
from stoatrouter.policy.request import Request
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.volume import Volume

Identity = tuple[Volume, str | None, str, float]  # by which a client's retry of a request is known


class RequestLifecycle:
    """Sets requests' timers, answers requests, and closes them."""

    def __init__(self, state: SchedulerState, key_order: KeyOrder) -> None:
        """Work on the scheduler's state; no timer is set yet."""
        settings = state.settings
        self.state = state
        self.key_order = key_order
        self.max_retry_after = settings.max_retry_after if settings.accepts_retry_after else 0
        self.timers: dict[int, Request] = {}
        self.last_token = 0
        self.answered: dict[Identity, tuple[int, int]] = {}  # unserved lately: its objective and deadline

    def wake_at(self, at: int, request: Request, now: int) -> None:
        """Set a timer that looks at a request again at `at` (microseconds)."""
        self.last_token += 1
        self.timers[self.last_token] = request
        self.state.actions.append(api.SetTimer(max(0, at - now), self.last_token))

    def objective_at(
        self, event: api.RequestArrived, volume: Volume, kind: api.RequestClass, now: int
    ) -> int:
        """When an arrived request is to be answered: by its class's objective, and before its client leaves.

        A client that comes back with what it was given no service for has not got a new objective.
        """
        leaves_at = now + max(0, event.time_left)
        identity = (volume, event.key, kind.name, event.units)
        objective_at, deadline = self.answered.pop(identity, (leaves_at, 0))
        came_back = event.repeat or leaves_at <= deadline + self.state.least_latency
        if not came_back:
            objective_at = leaves_at
        return min(now + kind.latency_objective, leaves_at, objective_at)

    def finish(self, request: Request, now: int) -> None:
        """Give the final answer: a rejection where a retry is harmless, else a failure."""
        identity = (request.volume, request.key, request.request_class.name, request.units)
        self.answered[identity] = (request.objective_at, request.deadline)
        retry_after = self._retry_after(request, now)
        if retry_is_harmless(request):
            self.state.actions.append(api.Reject(request.id, retry_after))
        else:
            self.state.actions.append(api.Fail(request.id))
        self.close(request, now)

    def _retry_after(self, request: Request, now: int) -> int:
        """How long (microseconds) until the volume's limit and the node's pace let such a request through."""
        node_opens_at = request.node.opens_at(now) if request.node is not None else now
        available_at = request.volume.available_at(now, request.units)
        return max(0, min(self.max_retry_after, max(node_opens_at, available_at) - now))

    def close(self, request: Request, now: int) -> None:
        """Send no more of a request, and forget it once no attempt is in flight."""
        request.done = True
        if request.node is not None:
            request.node.pending.pop(request.id, None)
        if request.in_flight():
            return
        self.state.requests.pop(request.id, None)
        next_in_order = self.key_order.leave(request)
        if next_in_order is not None and request.key is not None:
            self.wake_at(self.key_order.hold_down_until[request.key], next_in_order, now)

    def forget_old(self, now: int) -> None:
        """Drop unserved requests whose clients can no longer come back in time."""
        self.answered = {identity: times for identity, times in self.answered.items() if times[1] > now}


def retry_is_harmless(request: Request) -> bool:
    """Whether the client may send a request again without a second effect."""
    effect = request.request_class.effect
    if effect is Effect.SAFE or not request.may_have_run():
        return True
    return effect is Effect.IDEMPOTENT and request.request_class.group is Group.ALL
