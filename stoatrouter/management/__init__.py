"""The management interface: calls by which operators inspect a head and change its state."""
