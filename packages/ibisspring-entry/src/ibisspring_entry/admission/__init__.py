"""Admission of requests at each client account's rate, which all entries share."""

from __future__ import annotations

from ibisspring_entry.admission.service import AdmissionService

__all__ = ["AdmissionService"]
