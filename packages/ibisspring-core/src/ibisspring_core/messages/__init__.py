"""Typed messages between the daemons' parts."""

from __future__ import annotations
