"""Carries out what must last, in order, in a thread of its own, with one sync for many changes."""

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
    """Write a snapshot that this replica took and begin a segment after it."""

    meta: SnapshotMeta
    data: bytes
    base: SegmentStart
    entries: tuple[Entry, ...]
    done: Callable[[], None]


WriteJob = Persist | InstallSnapshot | StoreSnapshot
Result = TypeVar("Result")


async def retry_while_refused(write: Callable[[], Awaitable[Result]]) -> Result:
    """
    Write, and wait where the disk is full or there is no descriptor for a file.

    Nothing was promised for what is not written, so a full disk is like one that is slow: the other
    replicas go on, and this one takes part again once there is room. Ended instead, it would end
    again at each start.

    :param write: tries once; raises `WriteRefused` where it is refused for now.
    :return: what the try with room returned.
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
    """The queue in front of the disk."""

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
        """Start the task that empties the queue."""
        self._task = asyncio.create_task(self._run(), name="consensus:writer")

    async def stop(self) -> None:
        """Stop after the write that is under way; what waits was promised to nobody."""
        if self._task is not None:
            self._task.cancel()
        await asyncio.to_thread(self._executor.shutdown)
        self.storage.close()

    def add(self, job: WriteJob) -> None:
        """Queue a job; jobs are done in order."""
        self._jobs.append(job)
        self._wake.set()

    async def read_snapshot(self, index: int, offset: int, size: int) -> bytes | None:
        """
        Read a piece of a stored snapshot off the event loop.

        :return: the bytes; None where it went, or can't be read now and is asked for again.
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
            # After a failed sync nobody knows what the disk holds, and a second sync may say that
            # all is well. The replica takes no further part, so that it promises nothing more.
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
        # Term and vote first: a log with entries of a term that the replica does not know of would
        # let it vote in a term in which it already acknowledged a leader.
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
