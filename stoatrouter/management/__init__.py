"""The second address, for operators alone: thin calls, no decisions."""
