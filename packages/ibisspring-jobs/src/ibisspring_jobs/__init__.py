"""Jobs: many requests that are submitted at once, kept on the store VMs and run by the entries."""

from __future__ import annotations
