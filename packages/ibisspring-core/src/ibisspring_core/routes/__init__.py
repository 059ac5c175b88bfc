"""Routes: which requests go to which service, which accounts may call, and the limits."""

from __future__ import annotations

from ibisspring_core.routes.access import Caller, identify, may_use
from ibisspring_core.routes.check import check_table
from ibisspring_core.routes.index import RouteIndex, allowed_regions
from ibisspring_core.routes.model import (
    ClientAccount,
    JobTerms,
    RepeatRule,
    Route,
    RouteTable,
    ScalingTerms,
    ServiceTerms,
    Share,
)

__all__ = [
    "Caller",
    "ClientAccount",
    "JobTerms",
    "RepeatRule",
    "Route",
    "RouteIndex",
    "RouteTable",
    "ScalingTerms",
    "ServiceTerms",
    "Share",
    "allowed_regions",
    "check_table",
    "identify",
    "may_use",
]
