"""Hollow heads: the control loops and network code of heads without fronts or clients, many in one process.

`HollowHead` is one such head; `HollowFleet` runs many of them in worker processes
(docs/measurements/capacity.md). The program does not import this package when it serves requests.
"""
