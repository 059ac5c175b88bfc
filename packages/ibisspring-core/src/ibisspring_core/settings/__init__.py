"""Settings: a YAML file, checked as a whole, every finding with its place."""

from __future__ import annotations

from ibisspring_core.settings.loader import load_settings
from ibisspring_core.settings.model import (
    ControlSettings,
    EntrySettings,
    Settings,
    StatsdSettings,
)

__all__ = ["ControlSettings", "EntrySettings", "Settings", "StatsdSettings", "load_settings"]
