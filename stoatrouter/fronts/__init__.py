"""Fronts: each translates one wire protocol to requests of the core, and final answers back."""
