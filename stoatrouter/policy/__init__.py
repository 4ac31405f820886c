"""The decision module: a pure state machine that decides what is sent, where and when, and what is rejected.

It knows nothing of HTTP, sockets or clocks, and imports nothing of the rest of the program. `Scheduler` takes
events and returns actions; both are defined in `interface.py`.
"""

from stoatrouter.policy.scheduler import Scheduler

__all__ = ["Scheduler"]
