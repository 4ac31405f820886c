"""Deterministic simulation of fleets in virtual time: a seed determines the events and their digest."""
