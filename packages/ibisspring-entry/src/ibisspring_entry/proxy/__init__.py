"""Sends callers' requests to endpoints and returns complete answers or refusals."""

from __future__ import annotations

from ibisspring_entry.proxy.messages import (
    CompleteAnswer,
    GenerateRequest,
    GenerationEnd,
    GenerationFailed,
    PlainRequest,
    TokenRun,
)
from ibisspring_entry.proxy.service import Endpoints

__all__ = [
    "GenerationEnd",
    "Endpoints",
    "GenerationFailed",
    "GenerateRequest",
    "CompleteAnswer",
    "PlainRequest",
    "TokenRun",
]
