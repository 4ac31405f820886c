"""Runs the core's effects: connections to nodes, discovery, health checks, timers, the clock and signals."""
