"""Hollow heads: the control loops and the wire code of heads without fronts and clients, many to a process.

`HollowHead` is one of them, `HollowFleet` starts many in worker processes (docs/measurements/capacity.md). No
serving head imports this package.
"""
