"""The operators' rules file: one rule per line, each with a comment that names its requester."""

from __future__ import annotations

from ibisspring_core.rules.model import (
    ClientAccount,
    IdempotentCall,
    Placement,
    Rules,
    Trainer,
    key_digest,
)
from ibisspring_core.rules.parser import parse_rules

__all__ = [
    "ClientAccount",
    "IdempotentCall",
    "Placement",
    "Rules",
    "Trainer",
    "key_digest",
    "parse_rules",
]
