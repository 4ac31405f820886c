"""Operators' files: a strict subset of CUE, unified with the schemas that are shipped, as typed records.

What is read and what is left out: docs/settings.md. What this accepts, CUE accepts.
"""

from stoatrouter.settings.errors import Fault, SettingsError
from stoatrouter.settings.load import Loaded, load, load_data, load_text
from stoatrouter.settings.syntax import Place

__all__ = ["Fault", "Loaded", "Place", "SettingsError", "load", "load_data", "load_text"]
