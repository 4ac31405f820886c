"""Runs the core's effects: connections to nodes, discovery, probes, timers, the clock and signals."""
