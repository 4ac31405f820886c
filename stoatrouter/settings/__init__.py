"""Operators' files: a strict subset of CUE, unified with the schemas that are shipped, as typed records.

What is read and what is left out: docs/settings.md. What this accepts, CUE accepts.
"""

from stoatrouter.settings.errors import Fault, SettingsError
from stoatrouter.settings.load import Loaded, data_of, load, load_text
from stoatrouter.settings.syntax import Place

__all__ = ["Loaded", "Place", "SettingsError", "Fault", "data_of", "load", "load_text"]
