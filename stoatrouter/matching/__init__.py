"""Rule tables: the rule that a request matches and the decision that it yields, without I/O or clock.

The exception is `files`, which reads rule files.
"""
