"""Test and measurement code: stand-ins, the demo, simulated fleets, hollow heads and history checkers."""
