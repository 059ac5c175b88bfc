"""The service `result_reads`: reads results, their texts from the nearest store that has them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_core.messages.jobs import ReadListed, ReadResults, ResultsListed, ResultsRead

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# What a trainer that keeps up reads at a time comes with the leader's word that it is listed.
INLINE_BYTES = 16_384
NEAR_CALL_S = 0.3
# A store that did not answer is left out until control, by its silence, no longer names it.
AVOID_S = 2.0


class ResultReads:
    """
    Asks the jobs' leader which positions are listed and a store nearby for long texts.

    Positions never change, so that any store that has applied them gives the same results. Callers
    read whole jobs again and again, and the leader mostly stands in another data centre.
    """

    name = "result_reads"

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._avoid_until_by_address: dict[str, float] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> ResultReads:
        """
        Build the service.

        :param settings: checked settings of an entry.
        :return: the service.
        """
        return cls(settings.data_centre)

    async def start(self, kernel: Kernel) -> None:
        """Find the parts it works with."""
        self._view = kernel.find("directory_view")
        self._client = kernel.find("peer_client")
        self._counters = kernel.find("counters")
        self._runner = kernel.find("runner")

    async def stop(self) -> None:
        """Nothing to stop."""

    async def read(self, message: ReadResults) -> Any:
        """
        Read results from a position on.

        :param message: `hold_s` seconds are waited for a result at that position.
        :return: `ResultsRead`; an `UnknownJob`, or a refusal where the leader was not found.
        """
        near = self._near()
        if near:
            message = replace(message, inline_bytes=INLINE_BYTES)
        answer = await self._runner.call_jobs(message, message.hold_s)
        if not isinstance(answer, ResultsListed):
            return answer
        listed = ReadListed(message.job, message.client_account, message.after, answer.listed)
        read = await self._client.call(near, listed, NEAR_CALL_S)
        if not isinstance(read, ResultsRead):
            self._avoid_until_by_address[near] = boot_now() + AVOID_S
            read = ResultsRead(answer.total, ())
        found = len(read.results)
        self._counters.add("result_reads.near" if found else "result_reads.near_behind")
        if message.after + found >= answer.listed:
            return ResultsRead(answer.total, read.results)
        # It has not applied the newest of them yet.
        left = message.max_bytes - sum(len(one.output) for one in read.results)
        rest = replace(
            message,
            after=message.after + found,
            hold_s=0.0,
            max_bytes=left,
            inline_bytes=None,
        )
        newest = await self._runner.call_jobs(rest)
        if not isinstance(newest, ResultsRead):
            return newest
        return ResultsRead(answer.total, (*read.results, *newest.results))

    def _near(self) -> str:
        """Find a store with a replica in this data centre; empty where the leader is as near."""
        view = self._view.view
        here = [
            one.address
            for one in view.stores
            if one.data_centre == self._data_centre and not one.empty
        ]
        if view.job_leader in here:
            return ""
        now = boot_now()
        usable = (one for one in here if now >= self._avoid_until_by_address.get(one, 0.0))
        return next(usable, "")


__all__ = ["ResultReads"]
