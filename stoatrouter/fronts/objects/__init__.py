"""An object API over HTTP in front of the core."""
