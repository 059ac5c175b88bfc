"""Open requests by key: they end when the key is withdrawn, or the lease is lapsed for too long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.rules import Rules

LAPSE_GRACE_S = 5.0
"""
Seconds that open requests go on without a lease: an election passes within them, and a key that was
withdrawn behind a cut still stops working within seconds.
"""

WATCH_EVERY_S = 0.25


class OpenRequest:
    """One request under way; `reason` says why it was ended, if it was."""

    def __init__(self, task: asyncio.Task[None], key: str, client_account: str) -> None:
        self.task = task
        self.key = key
        self.client_account = client_account
        self.reason: Reason | None = None

    def end(self, reason: Reason) -> None:
        """Cancel its work; what its caller gets is the refusal of `take_end`."""
        if self.reason is None:
            self.reason = reason
            self.task.cancel()

    def take_end(self) -> Refusal | None:
        """
        Take the cancellation back so that the caller can be told.

        :return: what to tell; None where the caller itself left.
        """
        if self.reason is None:
            return None
        self.task.uncancel()
        return Refusal(self.reason, False, None, "ended in its course; it may have run")


class OpenWork:
    """All callers' requests under way at this entry."""

    def __init__(self, kernel: Kernel) -> None:
        self._open: set[OpenRequest] = set()
        self._lapsed_at: float | None = None
        self._lease = kernel.find("lease")
        self._counters: Counters = kernel.find("counters")
        self._lease.subscribe(self._end_withdrawn)
        kernel.find("timer").subscribe("open_work", WATCH_EVERY_S, self._watch_lease)

    def enter(self, key: str, client_account: str) -> OpenRequest:
        """
        Note the request that the current task serves, until that task is done.

        :param key: the caller's key.
        :param client_account: its client account.
        :return: the open request.
        """
        task = asyncio.current_task()
        entered = OpenRequest(task, key, client_account)
        self._open.add(entered)
        task.add_done_callback(lambda _: self._open.discard(entered))
        return entered

    def end_all(self, reason: Reason) -> None:
        """
        End every open request.

        :param reason: what their callers are told.
        """
        for request in list(self._open):
            self._counters.add(f"ended.{reason.value}")
            request.end(reason)

    def _end_withdrawn(self, old: Rules, new: Rules) -> None:
        for request in list(self._open):
            if new.client_account_of(request.key) == request.client_account:
                continue
            self._counters.add(f"ended.{Reason.KEY_WITHDRAWN.value}")
            request.end(Reason.KEY_WITHDRAWN)

    async def _watch_lease(self, now: float) -> None:
        if not isinstance(self._lease.view(), Refusal):
            self._lapsed_at = None
            return
        if self._lapsed_at is None:
            self._lapsed_at = boot_now()
        if now - self._lapsed_at < LAPSE_GRACE_S:
            return
        self.end_all(Reason.LEASE_LAPSED)


__all__ = ["LAPSE_GRACE_S", "OpenRequest", "OpenWork"]
