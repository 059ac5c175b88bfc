"""Sends requests to endpoints and returns complete answers or refusals."""

from __future__ import annotations

from ibisspring_entry.proxy.messages import (
    End,
    Failed,
    GenerateRequest,
    PlainAnswer,
    PlainRequest,
    TokenRun,
)
from ibisspring_entry.proxy.service import Endpoints

__all__ = [
    "End",
    "Endpoints",
    "Failed",
    "GenerateRequest",
    "PlainAnswer",
    "PlainRequest",
    "TokenRun",
]
