"""Capacity: commands that measure what grows with the fleet, each at several sizes, with a fitted slope."""
