"""Errors as values: a refused request with its reason, a fault with its position in a file."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Reason(enum.Enum):
    """Why a request was refused or failed; each value has a statsd counter `refused.<value>`."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    NO_ENDPOINT = "no_endpoint"
    EVACUATED = "evacuated"
    OUTSIDE_REGIONS = "outside_regions"
    COLD = "cold"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    CANNOT_FINISH = "cannot_finish"
    LEASE_LAPSED = "lease_lapsed"
    STOPPING = "stopping"
    NO_LEADER = "no_leader"
    CONFLICT = "conflict"
    IN_PROGRESS = "in_progress"
    MAY_HAVE_RUN = "may_have_run"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_SILENT = "endpoint_silent"
    CRASH_SUSPECT = "crash_suspect"
    MISMATCHED_ANSWER = "mismatched_answer"
    TOO_LARGE = "too_large"
    SHORT_OF_MEMORY = "short_of_memory"
    STALE = "stale"
    OWNER_LOST = "owner_lost"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Refusal:
    """
    A typed refusal, returned in place of a result and never raised.

    :param not_run: True only if no byte of the request was sent to an endpoint, or the endpoint
        answered that it rejected the request before it started.
    :param retry_after_s: seconds after which the caller may retry; None if a retry cannot help.
    :param detail: one sentence for humans, without secrets.
    """

    reason: Reason
    not_run: bool
    retry_after_s: float | None = None
    detail: str = ""


@dataclass(frozen=True)
class Finding:
    """
    A fault in a file or message and its position; all findings of a file are reported together.

    :param place: file name, or field of the message.
    :param line: line number, from 1; 0 if not applicable.
    :param column: column, from 1; 0 if not applicable.
    :param message: the fault, and the correct form where possible.
    """

    place: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.place}:{self.line}:{self.column}: {self.message}"


__all__ = ["Finding", "Reason", "Refusal"]
