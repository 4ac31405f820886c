"""Loads operators' files, in a strict subset of CUE, as typed records checked against the shipped schemas.

The supported subset is documented in docs/settings.md. CUE accepts every file that this package accepts.
"""

from stoatrouter.settings.errors import Fault, SettingsError
from stoatrouter.settings.load import Loaded, load, load_data, load_text
from stoatrouter.settings.syntax import Place

__all__ = ["Fault", "Loaded", "Place", "SettingsError", "load", "load_data", "load_text"]
