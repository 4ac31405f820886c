"""Rule tables: which rule a request matches, and what that yields for the core. Free of I/O and clock."""
