"""Settings: a YAML file, checked as a whole, every finding with its place."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.settings.model import (
    ControlSettings,
    EntrySettings,
    Settings,
    StatsdSettings,
)

if TYPE_CHECKING:
    from ibisspring_core.settings.loader import load_settings


def __getattr__(name: str) -> Any:
    # Imported where it is used: a daemon that gets its settings otherwise saves the 0.8 MB that the
    # YAML library takes.
    if name == "load_settings":
        from ibisspring_core.settings.loader import load_settings

        return load_settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


__all__ = ["ControlSettings", "EntrySettings", "Settings", "StatsdSettings", "load_settings"]
