"""
Bootstraps the directory's log at the first start of the whole system, without an operator.

Bootstrapping writes the first entry of the log, which names its first members.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus.manage import bootstrap
from ibisspring_core.clock import boot_now

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

RETRY_S = 0.2


class LogBootstrap:
    """
    The task that bootstraps the directory's log.

    All seeds (the first control daemons) are configured with the same three addresses. Only the
    seed with the lowest address bootstraps, and only after all three have answered with empty
    disks. Two partitions therefore never create two logs. A VM that lost its disk is started
    without the setting `found`, so it never creates a second log beside the one that the other VMs
    hold.
    """

    name = "founding"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: VmSettings) -> LogBootstrap:
        """
        Build the service `founding` of a control VM.

        :param settings: the VM's settings, already validated; they state the seeds and `found`.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """
        Start the task that bootstraps the directory's log, if this daemon is the one to do so.

        This is the case if `found` is set, this daemon has the lowest seed address, and its log is
        empty.
        """
        settings = self._settings
        self._consensus = kernel.find("consensus")
        has_lowest_seed = bool(settings.seeds) and settings.peer_address == min(settings.seeds)
        if settings.found and has_lowest_seed and self._consensus.core.is_empty:
            self._task = asyncio.create_task(self._bootstrap(), name="founding")

    async def stop(self) -> None:
        """Cancel the task that bootstraps the directory's log, if it still runs."""
        if self._task is not None:
            self._task.cancel()

    async def _bootstrap(self) -> None:
        started_s = boot_now()
        while self._consensus.core.is_empty:
            result = await bootstrap(self._consensus)
            if result.ok:
                eliot.log_message("founding:founded", after_s=round(boot_now() - started_s, 3))
                return
            eliot.log_message("founding:waits", detail=result.detail)
            await asyncio.sleep(RETRY_S)


__all__ = ["LogBootstrap"]
