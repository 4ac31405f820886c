"""Fleets of the heads' pure parts in virtual time: one seed, one order of events, the same digest each
time.
"""
