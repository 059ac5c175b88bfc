"""Puts the folder of the platform's adapter on the path; it is no installed package."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[3] / "platform"))
