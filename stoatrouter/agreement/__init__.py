"""Consensus between heads: a replicated log (Raft) among a few voters, which all other heads follow.

The package does no I/O and reads no clock: `peering` executes the effects that it returns. Names and rules
follow Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014). `raft` reduces events into effects,
`records` defines the messages, events and effects, `log` holds the entries and the snapshot, and `machine` is
the state machine to which committed entries are applied.
"""
