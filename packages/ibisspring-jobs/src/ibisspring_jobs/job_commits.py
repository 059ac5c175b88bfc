"""Commits accepted jobs to the jobs' log, the large ones in chunks."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_jobs.commands import AcceptJob, AcceptUpload, DropUploads, UploadItems
from ibisspring_jobs.uploads import chunks_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.jobs import Job
    from ibisspring_jobs.state import JobsState

# A job of at most this many chunks is committed with one command.
MAX_CHUNKS_AT_ONCE = 4
# Number of chunks of one job that wait for their commit at the same time.
CHUNKS_IN_FLIGHT = 4


class JobCommits:
    """
    Proposes the commands that add a job.

    :param propose: proposes a command of the jobs' log.
    """

    def __init__(
        self,
        state: JobsState,
        counters: Counters,
        propose: Callable[[Any], Awaitable[Any]],
    ) -> None:
        self._state = state
        self._counters = counters
        self._propose = propose
        self._uploading: set[str] = set()

    async def commit(self, job: Job) -> Any:
        """
        Add a job.

        :return: the last command's `Committed`, with which a job of several chunks may still be
            missing: another leader has then dropped its chunks. A refusal with `not_run` if the job
            will not be added.
        """
        chunks = chunks_of(job.items)
        first = tuple(itertools.islice(chunks, MAX_CHUNKS_AT_ONCE + 1))
        if len(first) <= MAX_CHUNKS_AT_ONCE:
            return await self._propose(AcceptJob(job))
        upload = secrets.token_hex(8)
        eliot.log_message("jobs:uploading", job=job.job, upload=upload, items=len(job.items))
        self._uploading.add(upload)
        try:
            return await self._commit_chunks(job, upload, itertools.chain(first, chunks))
        finally:
            self._uploading.discard(upload)

    async def _commit_chunks(self, job: Job, upload: str, chunks: Any) -> Any:
        started_at = boot_now()
        count = size = 0
        in_flight: list[asyncio.Future[Any]] = []
        refusal = None
        for number, data in enumerate(chunks):
            in_flight.append(
                asyncio.ensure_future(self._propose(UploadItems(upload, number, data)))
            )
            count, size = number + 1, size + len(data)
            if len(in_flight) == CHUNKS_IN_FLIGHT:
                committed = await in_flight.pop(0)
                refusal = committed if isinstance(committed, Refusal) else None
                if refusal is not None:
                    break
        answers = await asyncio.gather(*in_flight)
        refusal = refusal or next((one for one in answers if isinstance(one, Refusal)), None)
        self._counters.add("jobs.uploaded_chunks", count)
        eliot.log_message(
            "jobs:uploaded",
            job=job.job,
            upload=upload,
            chunks=count,
            bytes=size,
            took_s=round(boot_now() - started_at, 3),
            reason=refusal.reason.value if refusal is not None else "",
        )
        if refusal is not None:
            # Without its last command the job is never added, whichever chunks are committed.
            return replace(refusal, not_run=True)
        accepted = AcceptUpload(replace(job, items=()), upload, len(job.items))
        return await self._propose(accepted)

    async def drop_abandoned(self) -> None:
        """Remove the chunks of jobs that earlier leaders did not add completely."""
        abandoned = tuple(one for one in self._state.upload_by_id if one not in self._uploading)
        if not abandoned:
            return
        committed = await self._propose(DropUploads(abandoned))
        if not isinstance(committed, Refusal):
            self._counters.add("jobs.uploads_dropped", len(abandoned))
            eliot.log_message("jobs:uploads_dropped", uploads=abandoned)


__all__ = ["JobCommits"]
