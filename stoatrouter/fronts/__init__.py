"""Fronts: each translates one wire protocol to requests of the core, and the answers back."""
