"""
The service `result_reads`, which reads the results of jobs for callers.

Long texts are read from a nearby store, which is one in the entry's own data centre.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_core.messages.job_reads import (
    ReadListed,
    ReadResults,
    ResultsListed,
    ResultsRead,
)

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Up to this many bytes of results are returned by the leader of the jobs log in its first response,
# without a second call. A trainer that reads results as they are completed reads no more
# than this at a time.
INLINE_BYTES = 16_384
# Reads of more than that which are under way at the same time, and reads whose first response may
# have any size. Each takes up to 3 MB of memory until its answer is encoded.
MAX_LONG_READS = 3
MAX_WHOLE_READS = 2
NEARBY_CALL_TIMEOUT_S = 0.3
# Seconds for which a store that did not answer is not called again. Within this time, the directory
# removes a store without contact from the directory view.
AVOID_SILENT_STORE_S = 2.0


class ResultReads:
    """
    Reads the results of a job by their position in the job's result list.

    The leader of the jobs log says up to which position results exist, and a nearby store returns
    long texts. The result at a position never changes, so any store that has applied the log entry
    returns the same result. Callers read complete jobs repeatedly, and the leader is usually in
    another data centre: without nearby reads, the texts would be sent between data centres each
    time.
    """

    name = "result_reads"

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._avoid_until_by_address: dict[str, float] = {}
        self._long_reads = asyncio.Semaphore(MAX_LONG_READS)
        self._whole_reads = 0

    @classmethod
    def from_config(cls, settings: VmSettings) -> ResultReads:
        """
        Build the service of an entry, which reads from stores in the entry's data centre.

        :param settings: validated settings of the entry.
        """
        return cls(settings.data_centre)

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that reads use, such as the runner for calls to the leader."""
        self._view = kernel.find("directory_view")
        self._client = kernel.find("peer_client")
        self._counters = kernel.find("counters")
        self._runner = kernel.find("runner")

    async def stop(self) -> None:
        """No-op: the service runs no task and owns no connection."""

    async def read(self, message: ReadResults) -> Any:
        """
        Read a job's results from a position on.

        :param message: the job, the first position and the limits; the leader of the jobs log waits
            up to `hold_s` seconds for a result at that position.
        :return: `ResultsRead`; `UnknownJob`; or a refusal where no leader answered in time.
        """
        if not self._nearby_store() and self._whole_reads < MAX_WHOLE_READS:
            return await self._read_whole(message)
        message = replace(message, inline_bytes=INLINE_BYTES)
        answer = await self._runner.call_jobs_leader(message, message.hold_s)
        if not isinstance(answer, ResultsListed):
            return answer
        async with self._long_reads:
            return await self._read_long(message, answer)

    async def _read_whole(self, message: ReadResults) -> Any:
        """Read everything with one call to the leader."""
        self._whole_reads += 1
        try:
            return await self._runner.call_jobs_leader(message, message.hold_s)
        finally:
            self._whole_reads -= 1

    async def _read_long(self, message: ReadResults, answer: ResultsListed) -> Any:
        from_store = await self._read_nearby(message, answer)
        found = len(from_store.results)
        if message.after + found >= answer.listed:
            return ResultsRead(answer.total, from_store.results)
        # No store answered, or it has not applied the newest results yet: read the results that its
        # response lacks from the leader.
        remaining_bytes = message.max_bytes - sum(
            len(result.output) for result in from_store.results
        )
        remaining = replace(
            message,
            after=message.after + found,
            hold_s=0.0,
            max_bytes=remaining_bytes,
            inline_bytes=None,
        )
        from_leader = await self._runner.call_jobs_leader(remaining)
        if not isinstance(from_leader, ResultsRead):
            return from_leader
        return ResultsRead(answer.total, (*from_store.results, *from_leader.results))

    async def _read_nearby(self, message: ReadResults, answer: ResultsListed) -> ResultsRead:
        """Read the listed results from a nearby store; there are none without such a store."""
        store_address = self._nearby_store()
        if not store_address:
            return ResultsRead(answer.total, ())
        store_request = ReadListed(
            message.job, message.client_account, message.after, answer.listed
        )
        from_store = await self._client.call(store_address, store_request, NEARBY_CALL_TIMEOUT_S)
        if not isinstance(from_store, ResultsRead):
            self._avoid_until_by_address[store_address] = boot_now() + AVOID_SILENT_STORE_S
            from_store = ResultsRead(answer.total, ())
        found = len(from_store.results)
        self._counters.add("result_reads.near" if found else "result_reads.near_behind")
        return from_store

    def _nearby_store(self) -> str:
        """
        Choose a store with a replica in this data centre.

        :return: the store's peer address; empty where there is no such store, or where the leader
            of the jobs log itself is in this data centre.
        """
        view = self._view.view
        local_addresses = [
            store.address
            for store in view.stores
            if store.data_centre == self._data_centre and not store.empty
        ]
        if view.job_leader in local_addresses:
            return ""
        now = boot_now()
        usable = (
            address
            for address in local_addresses
            if now >= self._avoid_until_by_address.get(address, 0.0)
        )
        return next(usable, "")


__all__ = ["ResultReads"]
