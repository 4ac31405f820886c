"""Counters of the connections to nodes, which show the costs of pooling."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ConnectionCounters:
    """Counts since the process started."""

    dials: int = 0  # connections that were requested, whether they opened or not
    dials_beside_resting: int = 0  # of these, those during the reuse delay of an idle connection to the node
    reuses: int = 0
    waits_for_rest: int = 0  # waits in a full pool for the end of a reuse delay
    ended_for_room: int = 0  # idle connections to other nodes that were closed in a full pool
    repetitions_dropped: int = 0  # duplicate answers that arrived during a later request
    # of these, those with no other answer after them: the node failed, or it was the request's own answer
    repetitions_without_another: int = 0
    # answers equal to an earlier one on the connection about the same subject, so not treated as duplicates
    equal_answers_passed: int = 0
