"""The shared history of routing rules: versions, edits, undo, and when a version is activated.

Pure decisions and state, the same at every head: no socket, no file, no clock. `rule_history` is the state
machine that the heads' log drives, `activation` the leader's decision about a pending version, `records` the
commands and their results, `stored_version` the form of the version on a head's disk.
"""
