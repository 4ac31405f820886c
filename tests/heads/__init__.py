"""Tests of fleets of heads: pure cores in virtual time, processes with injected faults, and histories."""
