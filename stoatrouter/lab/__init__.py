"""The project's own laboratory: stand-ins of the systems that a head serves, to try and to measure with."""
