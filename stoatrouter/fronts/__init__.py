"""Fronts: each translates a wire to requests of the core and final answers back."""
