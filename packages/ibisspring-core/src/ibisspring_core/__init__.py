"""Kernel, timer service, settings, logs, counters and typed messages."""

from __future__ import annotations
