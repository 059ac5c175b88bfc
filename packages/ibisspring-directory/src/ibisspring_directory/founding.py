"""Founds the directory's log at the first start of the whole system, without an operator."""

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


class Founding:
    """
    The task that founds.

    All seeds are told the same three addresses, and only the lowest of them founds, once all of
    them answered with empty disks: two halves that cannot see each other never found two logs, and
    a VM that lost its disk (which is not told to found) never founds beside what the others hold.
    """

    name = "founding"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: VmSettings) -> Founding:
        """
        Build the service.

        :param settings: checked settings of a control VM.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Found where that falls to this daemon."""
        settings = self._settings
        self._consensus = kernel.find("consensus")
        chosen = bool(settings.seeds) and settings.peer_address == min(settings.seeds)
        if settings.found and chosen and self._consensus.core.is_empty:
            self._task = asyncio.create_task(self._found(), name="founding")

    async def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()

    async def _found(self) -> None:
        began_s = boot_now()
        while self._consensus.core.is_empty:
            managed = await bootstrap(self._consensus)
            if managed.ok:
                eliot.log_message("founding:founded", after_s=round(boot_now() - began_s, 3))
                return
            eliot.log_message("founding:waits", detail=managed.detail)
            await asyncio.sleep(RETRY_S)


__all__ = ["Founding"]
