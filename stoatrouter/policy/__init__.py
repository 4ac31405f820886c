"""The decision module: a pure state machine that decides what to send, where and when, and what to reject.

It does not depend on HTTP, sockets, clocks or any other package of the program. `Scheduler` takes events and
returns actions; both are defined in `interface.py`.
"""

from stoatrouter.policy.scheduler import Scheduler

__all__ = ["Scheduler"]
