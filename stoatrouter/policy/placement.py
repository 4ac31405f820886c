"""Placement: selects the node of a request, and records where new data was written. Terms: interface.py."""

from __future__ import annotations

from stoatrouter.policy.interface import Effect, Group, Phase
from stoatrouter.policy.node import Node
from stoatrouter.policy.request import Request
from stoatrouter.policy.slow_start import SlowStart
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.volume import Volume

ANY_SHARD = -1  # the shard of a request that writes new data


class Placement:
    """Assigns requests to the least loaded node that may serve them."""

    def __init__(self, state: SchedulerState, slow_start: SlowStart) -> None:
        """Use the scheduler's shared state; no new data has been recorded yet."""
        self.state = state
        self.capacity_fraction = slow_start.capacity_fraction
        # The shard to which this host recently wrote new data, and when (microseconds), by volume and key.
        self.recent_writes: dict[tuple[Volume, str | None], tuple[int, int]] = {}

    def place(self, request: Request, now: int) -> None:
        """Assign a request to a node of its shard: the least loaded in phase ON, else a draining one."""
        if request.node is not None:
            request.node.pending.pop(request.id, None)
        shard, zone = self._allowed_place(request)
        node = None
        # New data goes to a warming-up node last, whose capacity is needed for reads that no other can serve.
        if shard == ANY_SHARD and zone is None:
            # Chosen at random among equals: without attempts in flight, hosts with little traffic would all
            # select the same node.
            node = self.state.nodes.least_loaded(now, self.capacity_fraction, self.state.random.random())
        request.node = node or self._least_loaded_of(shard, zone, now)
        if request.node is not None:
            request.node.pending[request.id] = None

    def _allowed_place(self, request: Request) -> tuple[int, int | None]:
        """Return the shard, and the zone if only one is allowed.

        If an attempt may have run and only its shard or zone discards repeats, retries must stay there.
        """
        request_class = request.request_class
        if not request.attempts or request_class.effect is not Effect.IDEMPOTENT:
            return request.shard, None
        home = next((attempt.node for attempt in request.attempts if attempt.may_have_run()), None)
        if home is None:
            return request.shard, None
        shard = home.shard if request_class.group is Group.SHARD else request.shard
        return shard, home.zone if request_class.group is Group.ZONE else None

    def _least_loaded_of(self, shard: int, zone: int | None, now: int) -> Node | None:
        """Return the shard's least loaded node that accepts work, preferring phase ON over draining.

        Load is relative to the node's capacity fraction; ties are broken at random.
        """
        draw = self.state.random.random
        accepting = [
            node
            for node in self.state.nodes.of_shard(shard)
            if node.accepts(now) and (zone is None or zone == node.zone)
        ]
        return min(
            accepting,
            default=None,
            key=lambda node: (
                node.phase is not Phase.ON,
                node.load() / self.capacity_fraction(node, now),
                draw(),
            ),
        )

    def record_new_data(self, request: Request, node: Node, now: int) -> None:
        """Record the shard to which new data was written: a client may use an outdated location."""
        self.recent_writes[(request.volume, request.key)] = node.shard, now

    def redirect_to_data(self, request: Request, now: int) -> bool:
        """Redirect a request to the shard to which this host wrote its data, if that is another one.

        Returns:
            Whether the request has to be placed again; it then does not wait for its backoff.
        """
        shard, _ = self.recent_writes.get((request.volume, request.key), (request.shard, 0))
        moved = request.shard not in (shard, ANY_SHARD)
        request.shard = shard
        if moved:
            request.wait_until = now
        return moved

    def forget_old(self, now: int) -> None:
        """Drop locations that no client can still be requesting."""
        self.recent_writes = {
            data: place for data, place in self.recent_writes.items() if now - place[1] < self.state.retention
        }
