"""The replicated history of routing rules: versions, edits, undos and activation.

The package does no I/O and reads no clock. `rule_history` is the state machine to which commands from the
log are applied, `activation` decides at the leader about a pending version, `records` defines the commands
and their results, and `stored_version` encodes the version that a head stores on its disk.
"""
