"""The gRPC server of the control daemons."""

from __future__ import annotations
