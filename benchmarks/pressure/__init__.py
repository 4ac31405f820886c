"""Pressure trials: one real head beside peers that hold its memory, its time or its connections."""
