"""The kernel service `usage_meter`: records usage and sends it to the control leader."""

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

FLUSH_INTERVAL_S = 1.0
STOP_FLUSH_TIMEOUT_S = 20.0
DEFAULT_WINDOW_S = 60.0


class UsageMeter:
    """Meters the usage of this entry's requests and sends it in batches, in sequence."""

    name = "usage_meter"

    def __init__(self, daemon: str, incarnation: int) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._ledger = Ledger(daemon, incarnation)
        self._flush_lock = asyncio.Lock()
        self._subscription: Any = None
        self._window_s = DEFAULT_WINDOW_S

    @classmethod
    def from_config(cls, settings: Settings) -> UsageMeter:
        """
        Build the meter of this daemon, with an incarnation that is larger at each start.

        :param settings: validated settings of the daemon.
        """
        return cls(settings.daemon, time.time_ns())

    async def start(self, kernel: Kernel) -> None:
        """Look up the services and send recorded usage every `FLUSH_INTERVAL_S`."""
        self._client = kernel.find("control_client")
        self._counters = kernel.find("counters")
        self._lease = kernel.find_optional("lease")
        timer = kernel.find("timer")
        self._subscription = timer.subscribe("usage_meter", FLUSH_INTERVAL_S, self._tick)

    async def stop(self) -> None:
        """Send unsent usage for up to `STOP_FLUSH_TIMEOUT_S`; log and count what stays unsent."""
        self._subscription.cancel()
        end_s = boot_now() + STOP_FLUSH_TIMEOUT_S
        while boot_now() < end_s:
            if await self.flush():
                return
            await asyncio.sleep(FLUSH_INTERVAL_S)
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

        :param client_account: client account that is billed.
        :param service: name of the model or plain service.
        :param tokens: number of generated tokens.
        :param calls: number of answered calls.
        :param endpoint_s: seconds of endpoint time.
        :param request_id: id of the request; a second record with the same id is not billed.
        """
        window = self._current_window()
        usage = UsageRecord(client_account, service, tokens, calls, endpoint_s)
        if not self._ledger.add(window, usage, request_id):
            self._counters.add("usage.repeated")

    async def flush(self) -> bool:
        """
        Send the usage recorded so far to the control leader.

        :return: True if all recorded usage is committed.
        """
        async with self._flush_lock:
            self._ledger.create_batches()
            for batch in self._ledger.unconfirmed():
                if not await self._commit(batch):
                    return False
        return True

    async def _tick(self, now: float) -> None:
        await self.flush()

    async def _commit(self, batch: AddUsage) -> bool:
        request_id = f"usage-{batch.daemon}-{batch.incarnation}-{batch.sequence}"
        result = await self._client.propose(batch, request_id)
        if isinstance(result, Refusal):
            self._counters.retried(result.reason)
            return False
        if isinstance(result, Refused):
            # The state machine refuses a batch only if it no longer knows this incarnation of the
            # daemon, so a retry would be refused as well.
            self._counters.refused(Reason(result.reason))
            eliot.log_message("usage:refused", sequence=batch.sequence, detail=result.detail)
        self._ledger.confirm(batch.sequence)
        return True

    def _current_window(self) -> int:
        view = self._lease.view() if self._lease is not None else None
        # A stream may end while the lease is lapsed and there is no view. The last known length of
        # usage windows is used then.
        if isinstance(view, EntryView):
            self._window_s = view.usage_window_s
        return int(wall_now() // self._window_s)


__all__ = ["UsageMeter"]
