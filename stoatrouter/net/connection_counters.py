"""What has become of connections to nodes: the figures that tell costs of the pool apart."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ConnectionCounters:
    """Counted since the process started."""

    dials: int = 0  # connections that were asked for, opened or not
    dials_beside_resting: int = 0  # of these, while an idle connection to the node had to rest
    reuses: int = 0
    waits_for_rest: int = 0  # at the bound, for a connection that had to rest
    ended_for_room: int = 0  # idle connections to other nodes, ended at the bound
    repetitions_dropped: int = 0  # answers that came a second time, under a later request
    # of these, those after which no other answer came: the node failed, or it was the request's own
    repetitions_without_another: int = 0
    equal_answers_passed: int = 0  # equal to an earlier one of the connection, about the same: no repetitions
