"""The service `usage_meter`: records usage and flushes it to the control leader in sequence."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now, wall_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import Refused, UsageRecord
from ibisspring_core.messages.views import EntryView
from ibisspring_entry.usage_meter.ledger import Ledger

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.commands import AddUsage
    from ibisspring_core.settings import Settings

FLUSH_EVERY_S = 1.0
STOP_FLUSH_S = 20.0
DEFAULT_WINDOW_S = 60.0


class UsageMeter:
    """Meters this entry's usage."""

    name = "usage_meter"

    def __init__(self, daemon: str, incarnation: int) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._ledger = Ledger(daemon, incarnation)
        self._flushing = asyncio.Lock()
        self._subscription: Any = None
        self._window_s = DEFAULT_WINDOW_S

    @classmethod
    def from_config(cls, settings: Settings) -> UsageMeter:
        """
        Build the meter.

        :param settings: checked settings.
        :return: the meter; its incarnation rises with each start of the daemon.
        """
        return cls(settings.daemon, time.time_ns())

    async def start(self, kernel: Kernel) -> None:
        """Begin to flush."""
        self._client = kernel.find("control_client")
        self._counters = kernel.find("counters")
        self._lease = kernel.find_optional("lease")
        timer = kernel.find("timer")
        self._subscription = timer.subscribe("usage_meter", FLUSH_EVERY_S, self._tick)

    async def stop(self) -> None:
        """Hand over what is left, for a bounded time."""
        self._subscription.cancel()
        end_s = boot_now() + STOP_FLUSH_S
        while boot_now() < end_s:
            if await self.flush():
                return
            await asyncio.sleep(FLUSH_EVERY_S)
        eliot.log_message("usage:unflushed", batches=len(self._ledger.unconfirmed()))
        self._counters.add("usage.unflushed", len(self._ledger.unconfirmed()))

    def record(
        self,
        client_account: str,
        service: str,
        tokens: int,
        calls: int,
        endpoint_s: float,
        request_id: str,
    ) -> None:
        """
        Record the usage of one request that has ended.

        :param client_account: who pays.
        :param service: the model or plain service.
        :param tokens: generated tokens.
        :param calls: answered calls.
        :param endpoint_s: seconds of endpoint work.
        :param request_id: a second record under the same id is not billed.
        """
        window = self._window()
        usage = UsageRecord(client_account, service, tokens, calls, endpoint_s)
        if not self._ledger.add(window, usage, request_id):
            self._counters.add("usage.repeated")

    async def flush(self) -> bool:
        """
        Hand over what was metered so far.

        :return: True once all of it is committed.
        """
        async with self._flushing:
            self._ledger.cut()
            for batch in self._ledger.unconfirmed():
                if not await self._hand_over(batch):
                    return False
        return True

    async def _tick(self, now: float) -> None:
        await self.flush()

    async def _hand_over(self, batch: AddUsage) -> bool:
        request_id = f"usage-{batch.daemon}-{batch.incarnation}-{batch.sequence}"
        result = await self._client.propose(batch, request_id)
        if isinstance(result, Refusal):
            self._counters.retried(result.reason)
            return False
        if isinstance(result, Refused):
            # Only for a start of this daemon that was forgotten: sending it again cannot help.
            self._counters.refused(Reason(result.reason))
            eliot.log_message("usage:refused", sequence=batch.sequence, detail=result.detail)
        self._ledger.confirm(batch.sequence)
        return True

    def _window(self) -> int:
        view = self._lease.view() if self._lease is not None else None
        # A stream may end while the lease is lapsed: it is billed by the last known length.
        if isinstance(view, EntryView):
            self._window_s = view.usage_window_s
        return int(wall_now() // self._window_s)


__all__ = ["UsageMeter"]
