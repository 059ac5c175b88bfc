"""The binary ibisspring, the command line for operators."""

from __future__ import annotations
