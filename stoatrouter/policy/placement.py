"""Placement: at which node a request waits, and where new data was put. Terms: interface.py."""

from __future__ import annotations

from stoatrouter.policy.interface import Effect, Group, Phase
from stoatrouter.policy.node import Node
from stoatrouter.policy.request import Request
from stoatrouter.policy.slow_start import SlowStart
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.volume import Volume

ANY_SHARD = -1  # of a request for new data


class Placement:
    """Files requests at the least loaded node that may serve them."""

    def __init__(self, state: SchedulerState, slow_start: SlowStart) -> None:
        """Work on the scheduler's state; no data has been put anywhere yet."""
        self.state = state
        self.capacity_fraction = slow_start.capacity_fraction
        # The shard where this host lately put new data, and when (microseconds), by volume and key.
        self.recent_writes: dict[tuple[Volume, str | None], tuple[int, int]] = {}

    def place(self, request: Request, now: int) -> None:
        """File a request at a node of its shard: the least loaded that is on, else one that drains."""
        if request.node is not None:
            request.node.pending.pop(request.id, None)
        shard, zone = self._allowed_place(request)
        node = None
        # New data goes to a warming-up node last: what it bears is for the reads that no other can serve.
        if shard == ANY_SHARD and zone is None:
            # the draw: with nothing in flight, hosts with little traffic would all find the same node first
            node = self.state.nodes.least_loaded(now, self.capacity_fraction, self.state.random.random())
        request.node = node or self._least_loaded_of(shard, zone, now)
        if request.node is not None:
            request.node.pending[request.id] = None

    def _allowed_place(self, request: Request) -> tuple[int, int | None]:
        """The shard, and the zone if only one will do.

        What may have run where only a shard or zone discards repeats is of use nowhere else.
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

    def note_new_data(self, request: Request, node: Node, now: int) -> None:
        """Remember at which shard new data was written: a client may ask with an older place."""
        self.recent_writes[(request.volume, request.key)] = node.shard, now

    def follow_data(self, request: Request, now: int) -> bool:
        """Send a request to where its data was put through this host, if that is another shard.

        Returns:
            Whether it is to be placed anew; it then need not wait for its backoff.
        """
        shard, _ = self.recent_writes.get((request.volume, request.key), (request.shard, 0))
        moved = request.shard not in (shard, ANY_SHARD)
        request.shard = shard
        if moved:
            request.wait_until = now
        return moved

    def forget_old(self, now: int) -> None:
        """Drop places that no client can still be asking for."""
        self.recent_writes = {
            data: place for data, place in self.recent_writes.items() if now - place[1] < self.state.retention
        }
