"""The project's own laboratory: stand-ins of the systems that a head serves, and judges of what heads do."""
