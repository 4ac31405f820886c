"""Between heads: datagrams, streams, their MAC, and the disk. It runs the effects of the pure packages below
it.

Nothing of it is imported by a head whose STOATROUTER_HEADS names no file.
"""
