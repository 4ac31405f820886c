"""Membership: a SWIM failure detector for heads, and a follower of the endpoint list in a registry.

The package does no I/O and reads no clock: the callers, e.g. in stoatrouter/peering, execute the effects.
"""
