"""Open requests of callers: cancelled when their key is withdrawn or the lease stays lapsed."""

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
Seconds for which open requests continue without a valid lease.

The time is long enough for an election of a control leader, and short enough that a key that is
withdrawn while this entry is cut off from the control daemons stops working within seconds.
"""

# Seconds between two checks whether the lease has been lapsed for `LAPSE_GRACE_S`.
WATCH_INTERVAL_S = 0.25


class OpenRequest:
    """A request that is being served; `reason` is set when this entry cancels it."""

    def __init__(self, task: asyncio.Task[None], key: str, client_account: str) -> None:
        self.task = task
        self.key = key
        self.client_account = client_account
        self.reason: Reason | None = None

    def cancel(self, reason: Reason) -> None:
        """Cancel the request's task; the caller gets the refusal that `take_refusal` returns."""
        if self.reason is None:
            self.reason = reason
            self.task.cancel()

    def take_refusal(self) -> Refusal | None:
        """
        Revert the cancellation of the current task, so that a response can be sent.

        :return: the refusal to send; None if the caller closed the connection, in which case the
            cancellation is not reverted.
        """
        if self.reason is None:
            return None
        self.task.uncancel()
        return Refusal(
            self.reason,
            False,
            None,
            "the request was cancelled while it was running; it may have run",
        )


class OpenWork:
    """All requests of callers that this entry is serving."""

    def __init__(self, kernel: Kernel) -> None:
        self._open_requests: set[OpenRequest] = set()
        self._lapsed_at: float | None = None
        self._lease = kernel.find("lease")
        self._counters: Counters = kernel.find("counters")
        self._lease.subscribe(self._cancel_withdrawn)
        kernel.find("timer").subscribe("open_work", WATCH_INTERVAL_S, self._watch_lease)

    def register(self, key: str, client_account: str) -> OpenRequest:
        """
        Register the request that the current task serves; it is removed when that task is done.

        :param key: the caller's API key.
        :param client_account: client account of the key.
        :return: the registered request, which says why it was cancelled, if it was.
        """
        task = asyncio.current_task()
        open_request = OpenRequest(task, key, client_account)
        self._open_requests.add(open_request)
        task.add_done_callback(lambda _: self._open_requests.discard(open_request))
        return open_request

    def cancel_all(self, reason: Reason) -> None:
        """
        Cancel every open request.

        :param reason: reason in the refusals that the callers get.
        """
        for request in list(self._open_requests):
            self._counters.add(f"ended.{reason.value}")
            request.cancel(reason)

    def _cancel_withdrawn(self, old: Rules, new: Rules) -> None:
        for request in list(self._open_requests):
            if new.client_account_of(request.key) == request.client_account:
                continue
            self._counters.add(f"ended.{Reason.KEY_WITHDRAWN.value}")
            request.cancel(Reason.KEY_WITHDRAWN)

    async def _watch_lease(self, now: float) -> None:
        if not isinstance(self._lease.view(), Refusal):
            self._lapsed_at = None
            return
        if self._lapsed_at is None:
            self._lapsed_at = boot_now()
        if now - self._lapsed_at < LAPSE_GRACE_S:
            return
        self.cancel_all(Reason.LEASE_LAPSED)


__all__ = ["LAPSE_GRACE_S", "OpenRequest", "OpenWork"]
