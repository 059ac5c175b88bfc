"""Settings of a daemon, loaded from a YAML file; all findings are reported together."""

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
    # Imported on first use: a daemon that does not load its settings from YAML saves the 0.8 MB of
    # memory that the YAML library uses.
    if name == "load_settings":
        from ibisspring_core.settings.loader import load_settings

        return load_settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


__all__ = ["ControlSettings", "EntrySettings", "Settings", "StatsdSettings", "load_settings"]
