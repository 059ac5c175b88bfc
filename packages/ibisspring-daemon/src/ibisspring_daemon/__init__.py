"""The daemon: the executable `ibisspringd`."""

from __future__ import annotations
