"""Runs the decisions of the jobs' leader: one for all events since the decision before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_decisions.decision_pacing import DecisionPacing

if TYPE_CHECKING:
    from collections.abc import Callable


class PacedDecisions:
    """
    Runs a decision at once if it is due, or else once for all requests until it is due.

    :param decide: makes one decision.
    :param record: receives the seconds that each decision took.
    """

    def __init__(self, decide: Callable[[], None], record: Callable[[float], None]) -> None:
        self._decide = decide
        self._record = record
        self._pacing = DecisionPacing()
        self._pending: asyncio.TimerHandle | None = None
        self._decided: asyncio.Event | None = None

    def request(self) -> None:
        """Request a decision that regards everything that has happened until now."""
        if self._pending is not None:
            return
        due_in_s = self._pacing.due_in_s(boot_now())
        if due_in_s <= 0.0:
            self._run()
            return
        self._decided = asyncio.Event()
        self._pending = asyncio.get_running_loop().call_later(due_in_s, self._run)

    async def wait(self) -> None:
        """Request a decision, and wait until it is made."""
        self.request()
        if self._decided is not None:
            await self._decided.wait()

    def stop(self) -> None:
        """Cancel the pending decision."""
        if self._pending is not None:
            self._pending.cancel()
        self._finish()

    def _run(self) -> None:
        began_at = boot_now()
        try:
            self._decide()
        finally:
            ended_at = boot_now()
            self._pacing.decided(began_at, ended_at)
            self._record(ended_at - began_at)
            self._finish()

    def _finish(self) -> None:
        self._pending = None
        if self._decided is not None:
            self._decided.set()
            self._decided = None


__all__ = ["PacedDecisions"]
