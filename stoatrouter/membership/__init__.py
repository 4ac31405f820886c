"""Membership: which heads are alive (a SWIM failure detector) and which nodes a registry lists (a follower).

No socket, no file, no clock: the callers in stoatrouter/peering run the effects.
"""
