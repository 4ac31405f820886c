"""What the heads agree on: a replicated log (Raft) among a few voters, followed by all other heads.

No socket, no file, no clock: `peering` runs what is decided here. Names and rules follow Ongaro's thesis
("Consensus: Bridging Theory and Practice", 2014): `raft` is the reducer of events into effects, `records`
the messages, events and effects, `log` the entries and snapshot, `machine` the state machine they feed.
"""
