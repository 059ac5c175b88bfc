"""The binary ibisspringd."""

from __future__ import annotations
