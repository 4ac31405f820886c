"""The operators' address: calls that inspect a head and change its state."""
