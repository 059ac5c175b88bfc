"""Command line for operators: the executable `ibisspring`."""

from __future__ import annotations
