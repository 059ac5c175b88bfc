"""
Admission control of jobs: which jobs are rejected at once, and when they may return.

Load pattern: trainers submit steps that together need more engine time than the largest fleet has
until the trainers give up. A job that cannot be met holds its trainer until its time limit and
takes slots from jobs that could be met.

This module holds the types that the jobs' leader, the log and the operators' commands share.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Reservation:
    """
    A place that was promised to a rejected job, as it is kept in the log.

    :param job: id of the rejected job.
    :param service: name of its service.
    :param client_account: account that submitted it.
    :param first_seen_s: wall-clock time of its first submission, in seconds since 1970; its time
        limits count from then.
    :param not_before_s: wall-clock time from which the job finds its place.
    :param expires_s: wall-clock time after which the place is given to others.
    :param slot_s: reserved slot-seconds.
    """

    job: str
    service: str
    client_account: str
    first_seen_s: float
    not_before_s: float
    expires_s: float
    slot_s: float


@dataclass(frozen=True)
class JobAdmitted:
    """The job is accepted; `predicted_end_s` is the wall-clock time of its last wanted group."""

    predicted_end_s: float


@dataclass(frozen=True)
class JobRejected:
    """
    The job is rejected and none of its items has run.

    :param reservation: the place that the job finds when it returns; None if it cannot be met at
        any time before its time limit.
    :param retry_after_s: seconds until the place is free; None without a reservation.
    """

    reservation: Reservation | None
    retry_after_s: float | None


__all__ = ["JobAdmitted", "JobRejected", "Reservation"]
