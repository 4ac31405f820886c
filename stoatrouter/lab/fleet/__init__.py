"""Fleets of the heads' pure parts in virtual time: one seed gives one order of events and one digest."""
