"""The gRPC services of the control role."""

from __future__ import annotations
