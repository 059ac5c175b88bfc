"""
Writes the core's `Persist` effects and snapshots to disk, in order, in one thread.

One sync covers all `Persist` effects that are queued when it starts (group commit).
"""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import eliot

from ibisspring_consensus.events import InstallSnapshot, Persist
from ibisspring_consensus.files import DiskFull, NoDescriptors, WriteRefused
from ibisspring_consensus.storage import LogChange, SegmentStart

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_consensus.messages import Entry, SnapshotMeta
    from ibisspring_consensus.storage import Storage

WRITE_RETRY_S = 0.25
_KIND_BY_REFUSAL = {
    DiskFull: "consensus:disk_full",
    NoDescriptors: "consensus:no_descriptors",
}


@dataclass(frozen=True)
class StoreSnapshot:
    """
    Write job: store a snapshot of this replica's state machine and start a new log segment.

    :param meta: metadata of the snapshot.
    :param data: the state machine's encoded state.
    :param base: start of the new log segment.
    :param entries: log entries of the new segment.
    :param done: called once the snapshot and the new segment are synced.
    """

    meta: SnapshotMeta
    data: bytes
    base: SegmentStart
    entries: tuple[Entry, ...]
    done: Callable[[], None]


WriteJob = Persist | InstallSnapshot | StoreSnapshot
Result = TypeVar("Result")


async def retry_while_refused(write: Callable[[], Awaitable[Result]]) -> Result:
    """
    Write, and retry every `WRITE_RETRY_S` while the disk is full or no file descriptor is free.

    No acknowledgement depends on data that is not written, so a full disk only delays this replica:
    the other replicas continue, and this replica takes part again once space is free. If the daemon
    ended because of the full disk, it would end again at each start.

    :param write: makes one attempt; raises `WriteRefused` if the system refuses the write.
    :return: the result of the successful attempt.
    """
    refused = False
    while True:
        try:
            return await write()
        except WriteRefused as error:
            if not refused:
                eliot.log_message(_KIND_BY_REFUSAL[type(error)], error=repr(error))
            refused = True
            await asyncio.sleep(WRITE_RETRY_S)


class Writer:
    """Queue of a replica's write jobs, and the thread that runs these jobs."""

    def __init__(
        self, storage: Storage, on_synced: Callable[[int], None], on_failed: Callable[[], None]
    ) -> None:
        self.storage = storage
        self.group_commit = True
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._jobs: deque[WriteJob] = deque()
        self._wake = asyncio.Event()
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="consensus-disk")
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that runs the queued jobs."""
        self._task = asyncio.create_task(self._run(), name="consensus:writer")

    async def stop(self) -> None:
        """
        Stop after the current write and close the files; drop the jobs that are still queued.

        No acknowledgement depends on the dropped jobs.
        """
        if self._task is not None:
            self._task.cancel()
        await asyncio.to_thread(self._executor.shutdown)
        self.storage.close()

    def add(self, job: WriteJob) -> None:
        """Queue a write job; jobs run in the order in which they were queued."""
        self._jobs.append(job)
        self._wake.set()

    async def read_snapshot(self, index: int, offset: int, size: int) -> bytes | None:
        """
        Read a part of a stored snapshot in the writer's thread, to send it to a follower.

        :return: the part; None if the snapshot was removed, or if it cannot be read at present and
            the caller has to retry.
        """
        try:
            return await self._in_thread(self.storage.read_snapshot, index, offset, size)
        except OSError as error:
            eliot.log_message("consensus:snapshot_unread", index=index, error=repr(error))
            return None

    async def _in_thread(self, function: Callable[..., object], *arguments: object) -> object:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function, *arguments)

    async def _in_thread_with_retries(
        self, function: Callable[..., object], *arguments: object
    ) -> None:
        await retry_while_refused(lambda: self._in_thread(function, *arguments))

    async def _run(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._jobs:
                    await self._run_next_job()
        except Exception as error:
            # After a failed sync the content of the disk is unknown, and a second sync may succeed
            # although data was dropped. The replica therefore stops taking part in consensus, and
            # acknowledges nothing more.
            frame = traceback.extract_tb(error.__traceback__)[-1]
            at = f"{frame.name}:{frame.lineno}"
            eliot.log_message("consensus:disk_failed", error=repr(error), at=at)
            self._on_failed()

    async def _run_next_job(self) -> None:
        job = self._jobs.popleft()
        if isinstance(job, Persist):
            batch = [job]
            while self.group_commit and self._jobs and isinstance(self._jobs[0], Persist):
                batch.append(self._jobs.popleft())
            await self._in_thread_with_retries(self._write, tuple(batch))
            self._on_synced(batch[-1].sequence)
            return
        await self._in_thread_with_retries(self._store_snapshot, job)
        if isinstance(job, InstallSnapshot):
            self._on_synced(job.sequence)
            return
        job.done()

    def _write(self, batch: tuple[Persist, ...]) -> None:
        hard_states = [job.hard_state for job in batch if job.hard_state is not None]
        # Term and vote are written before the log: if the stored log held entries of a term newer
        # than the stored term, the replica could vote in a term in which it already acknowledged a
        # leader.
        if hard_states:
            self.storage.write_hard_state(hard_states[-1])
        changes = tuple(
            LogChange(job.truncate_from, job.entries)
            for job in batch
            if job.truncate_from or job.entries
        )
        if changes:
            self.storage.write_log(changes)

    def _store_snapshot(self, job: InstallSnapshot | StoreSnapshot) -> None:
        base = job.base if isinstance(job, StoreSnapshot) else _base_of(job.meta)
        self.storage.write_snapshot(job.meta, job.data)
        self.storage.compact(job.meta, base, job.entries)


def _base_of(meta: SnapshotMeta) -> SegmentStart:
    return SegmentStart(meta.index, meta.term)


__all__ = ["StoreSnapshot", "Writer", "retry_while_refused"]
