"""Errors as values: a refusal with its reason, a finding with its place."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Reason(enum.Enum):
    """Why a request was refused or failed; each one has a statsd counter `refused.<value>`."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    NO_ENDPOINT = "no_endpoint"
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
    MISMATCHED_ANSWER = "mismatched_answer"
    TOO_LARGE = "too_large"
    STALE = "stale"
    OWNER_LOST = "owner_lost"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Refusal:
    """
    A typed refusal, returned in place of a result and never raised.

    :param reason: the sentinel that names the cause.
    :param not_run: True only when no byte left for an endpoint, or the endpoint said that it
        refused before work.
    :param retry_after_s: seconds after which the caller may come back; None where a retry cannot
        help.
    :param detail: one sentence for a person, without secrets.
    """

    reason: Reason
    not_run: bool
    retry_after_s: float | None = None
    detail: str = ""


@dataclass(frozen=True)
class Finding:
    """
    One fault in a file or a message, with its place; findings are collected and reported together.

    :param place: the file name or message field.
    :param line: line number from 1; 0 where lines mean nothing.
    :param column: column from 1; 0 where columns mean nothing.
    :param message: what is wrong and what to write instead.
    """

    place: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.place}:{self.line}:{self.column}: {self.message}"


__all__ = ["Finding", "Reason", "Refusal"]
