"""Between heads: datagrams, streams, their authentication, and the disk.

This package runs the effects of the pure packages below it (agreement, credit, history, membership). A head
whose STOATROUTER_HEADS names no file imports nothing of it.
"""
