"""Commits jobs to the jobs' log on its leader; large ones arrive and are committed in chunks."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.job_uploads import ChunksStored
from ibisspring_core.messages.jobs import JobAccepted, UnknownJob
from ibisspring_jobs.commands import AcceptJob, AcceptUpload, DropUploads, UploadItems

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.job_uploads import SubmitUpload, UploadChunk
    from ibisspring_core.messages.jobs import Job
    from ibisspring_jobs.state import JobsState
    from ibisspring_jobs.uploads import Upload

# Number of jobs whose chunks are stored at the same time. Further ones wait at their entries, so
# that the stores' memory does not depend on how many large jobs arrive at once.
MAX_UPLOADS = 2
UPLOAD_RETRY_AFTER_S = 0.2
# Seconds without a chunk after which an upload is dropped: its entry or its caller has given up.
UPLOAD_IDLE_S = 3.0


class JobCommits:
    """
    Proposes the commands that add a job.

    :param propose: proposes a command of the jobs' log.
    """

    def __init__(
        self, state: JobsState, counters: Counters, propose: Callable[[Any], Awaitable[Any]]
    ) -> None:
        self._state = state
        self._counters = counters
        self._propose = propose
        self._upload_by_job: dict[str, str] = {}
        self._committing_by_chunk: dict[tuple[str, int], asyncio.Future[Any]] = {}
        # Number of chunks of each upload, and since when it is unchanged.
        self._seen_by_upload: dict[str, tuple[int, float]] = {}

    async def commit(self, job: Job) -> Any:
        """
        Add a job, from its chunks if `find_uploaded` has found it in these.

        :return: the command's `Committed`, with which the job may still be missing if its chunks
            were dropped meanwhile; a refusal.
        """
        upload = self._upload_by_job.pop(job.job, None)
        if upload not in self._state.upload_by_id:
            return await self._propose(AcceptJob(job))
        accepted = AcceptUpload(replace(job, items=()), upload, len(job.items))
        return await self._propose(accepted)

    async def store_chunk(self, message: UploadChunk) -> Any:
        """
        Commit the next chunk of an upload.

        :return: `ChunksStored`; `JobAccepted` if the job needs no further chunk; `UnknownJob` if
            its id belongs to another account; a refusal.
        """
        job_record = self._state.job_by_id.get(message.job)
        if job_record is not None:
            is_owner = job_record.job.client_account == message.client_account
            return JobAccepted() if is_owner else UnknownJob()
        started = {*self._state.upload_by_id, *(key[0] for key in self._committing_by_chunk)}
        if message.number == 0 and message.upload not in started:
            if len(started) >= MAX_UPLOADS:
                detail = f"{len(started)} other large jobs are being stored"
                return Refusal(Reason.QUEUE_FULL, True, UPLOAD_RETRY_AFTER_S, detail)
            eliot.log_message("jobs:uploading", job=message.job, upload=message.upload)
        if message.number == self._stored(message.upload):
            committed = await self._commit_chunk(message)
            if isinstance(committed, Refusal):
                return committed
        return ChunksStored(self._stored(message.upload))

    async def _commit_chunk(self, message: UploadChunk) -> Any:
        """Commit a chunk once, also if two entries send it at the same time."""
        key = (message.upload, message.number)
        committing = self._committing_by_chunk.get(key)
        if committing is None:
            self._counters.add("jobs.uploaded_chunks")
            chunk = UploadItems(message.upload, message.number, message.data)
            committing = asyncio.ensure_future(self._propose(chunk))
            self._committing_by_chunk[key] = committing
            committing.add_done_callback(lambda _: self._committing_by_chunk.pop(key, None))
        return await asyncio.shield(committing)

    def _stored(self, upload: str) -> int:
        stored = self._state.upload_by_id.get(upload)
        return stored.chunks if stored is not None else 0

    def find_uploaded(self, message: SubmitUpload) -> Job | ChunksStored:
        """Return the job with the items of its chunks, or how many chunks are stored so far."""
        stored: Upload | None = self._state.upload_by_id.get(message.upload)
        if stored is None or not stored.is_complete(message.items):
            return ChunksStored(self._stored(message.upload))
        self._upload_by_job[message.job.job] = message.upload
        eliot.log_message(
            "jobs:uploaded",
            job=message.job.job,
            upload=message.upload,
            chunks=stored.chunks,
            items=message.items,
        )
        return replace(message.job, items=tuple(stored.items))

    async def drop_idle(self, now: float) -> None:
        """
        Remove the chunks of jobs that nobody goes on to submit.

        :param now: seconds since boot.
        """
        idle = []
        seen_by_upload = {}
        for key, upload in self._state.upload_by_id.items():
            chunks, since = self._seen_by_upload.get(key, (-1, now))
            if chunks != upload.chunks:
                since = now
            seen_by_upload[key] = (upload.chunks, since)
            if now - since >= UPLOAD_IDLE_S:
                idle.append(key)
        self._seen_by_upload = seen_by_upload
        self._upload_by_job = {
            job: upload for job, upload in self._upload_by_job.items() if upload in seen_by_upload
        }
        if not idle:
            return
        committed = await self._propose(DropUploads(tuple(idle)))
        if not isinstance(committed, Refusal):
            self._counters.add("jobs.uploads_dropped", len(idle))
            eliot.log_message("jobs:uploads_dropped", uploads=idle)


__all__ = ["MAX_UPLOADS", "UPLOAD_IDLE_S", "JobCommits"]
