"""Rule tables: which rule a request matches, and what it becomes for the core. Free of I/O and clock."""
