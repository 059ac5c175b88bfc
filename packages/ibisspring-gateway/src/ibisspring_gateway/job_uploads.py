"""Submits a large job to the leader of the jobs' log in chunks."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.job_uploads import (
    ChunksStored,
    SubmitUpload,
    UploadChunk,
    chunks_of,
    upload_id,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_core.messages.jobs import Job

# A job of at most this many chunks is submitted in one message.
MAX_CHUNKS_AT_ONCE = 4


def is_large(job: Job) -> bool:
    """Whether a job is to be submitted in chunks."""
    count = sum(1 for _ in itertools.islice(chunks_of(job.items), MAX_CHUNKS_AT_ONCE + 1))
    return count > MAX_CHUNKS_AT_ONCE


async def submit_in_chunks(
    job: Job,
    call: Callable[[Any], Awaitable[Any]],
    wall_s: Callable[[], float],
    timeout_s: float,
) -> Any:
    """
    Submit a job, beginning with the first chunk that is not stored yet.

    :param call: calls the leader of the jobs' log.
    :param wall_s: returns the wall-clock time, in seconds since 1970.
    :param timeout_s: time limit in seconds.
    :return: the leader's answer to the submission; a refusal if there is none in time.
    """
    started_at = boot_now()
    upload = upload_id(job)
    answer = await _submit_until(started_at + timeout_s, job, upload, call, wall_s)
    eliot.log_message(
        "runner:job_uploaded",
        job=job.job,
        upload=upload,
        answer=type(answer).__name__,
        reason=answer.reason.value if isinstance(answer, Refusal) else "",
        took_s=round(boot_now() - started_at, 3),
    )
    return answer


async def _submit_until(
    end_at: float,
    job: Job,
    upload: str,
    call: Callable[[Any], Awaitable[Any]],
    wall_s: Callable[[], float],
) -> Any:
    stored = 0
    while boot_now() < end_at:
        answer = await _send_from(stored, job, upload, call, end_at)
        if answer is None:
            head = replace(job, items=(), submitted_s=wall_s())
            answer = await call(SubmitUpload(head, upload, len(job.items)))
        if not isinstance(answer, ChunksStored):
            return answer
        # Another entry has stored more chunks of the same job, or a leader has dropped them.
        stored = answer.count
    return _timed_out()


async def _send_from(
    first: int, job: Job, upload: str, call: Callable[[Any], Awaitable[Any]], end_at: float
) -> Any:
    """
    Send all chunks from a number on.

    :return: None if all are stored; otherwise the answer that says that another chunk is the next,
        or why there is none.
    """
    for number, data in enumerate(chunks_of(job.items)):
        if number < first:
            continue
        message = UploadChunk(job.job, job.client_account, upload, number, data)
        answer = await call(message)
        while _is_to_wait(answer) and boot_now() < end_at:
            await asyncio.sleep(answer.retry_after_s)
            answer = await call(message)
        if answer != ChunksStored(number + 1):
            return answer
        if boot_now() >= end_at:
            return _timed_out()
    return None


def _timed_out() -> Refusal:
    return Refusal(Reason.TIMEOUT, not_run=False, detail="the job was not stored in time")


def _is_to_wait(answer: Any) -> bool:
    """Whether the leader stores as many other large jobs as it may."""
    return isinstance(answer, Refusal) and answer.reason is Reason.QUEUE_FULL


__all__ = ["MAX_CHUNKS_AT_ONCE", "is_large", "submit_in_chunks"]
