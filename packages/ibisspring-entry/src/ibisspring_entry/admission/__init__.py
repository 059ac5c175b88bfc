"""Admission of callers by their client account's rate, shared with the other entries."""

from __future__ import annotations

from ibisspring_entry.admission.service import AdmissionService

__all__ = ["AdmissionService"]
