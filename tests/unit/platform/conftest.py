"""Adds the folder of the platform's adapter to `sys.path`, since it is not an installed package."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[3] / "platform"))
