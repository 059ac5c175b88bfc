"""Kernel, timer, settings, logs, counters, clients and typed messages of all daemons."""

from __future__ import annotations
