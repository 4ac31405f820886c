"""Runs the core's effects: nodes, discovery, probes, timers, the clock and signals."""
