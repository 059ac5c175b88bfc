"""The directory: what all daemons must agree on, replicated on the control VMs."""

from __future__ import annotations
