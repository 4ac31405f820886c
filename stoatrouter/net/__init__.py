"""Runs the core's effects: node connections, discovery, health checks, timers, the clock and signals."""
