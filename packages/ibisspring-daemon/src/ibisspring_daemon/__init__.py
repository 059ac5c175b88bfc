"""The executable `ibisspringd`, which runs a daemon with one or more roles."""

from __future__ import annotations
